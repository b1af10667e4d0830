package checkpoint

// Checkpoint names a step of a request or of the shutdown between which and the next one a process may be held up.
type Checkpoint string

// The checkpoints.
const (
	RequestRead     Checkpoint = "request read"          // before the event loop gets it
	AttemptDecided  Checkpoint = "attempt decided"       // before a connection is taken
	ClockRead       Checkpoint = "clock read"            // of an attempt: before its last checks and its first byte
	ResponseDecided Checkpoint = "answer decided"        // before it is written
	DrainSignalled  Checkpoint = "drain signalled"       // before the clock is read
	ServiceEndDue   Checkpoint = "end of service is due" // the clock was read, nothing is ended yet
	ServiceEnded    Checkpoint = "waiting connections"   // service has ended, waiting connections have not
)

// Hook is called at each checkpoint, where a test may hold the caller up; nil: no test does.
type Hook func(Checkpoint)

// At calls the hook.
func (h Hook) At(c Checkpoint) {
	if h != nil {
		h(c)
	}
}
