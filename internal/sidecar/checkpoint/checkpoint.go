package checkpoint

// Checkpoint names a step of a request or of the shutdown between which and the next one a process may be held up.
type Checkpoint string

const (
	RequestRead    Checkpoint = "request read"          // before the module is told of it
	AttemptDecided Checkpoint = "attempt decided"       // before a connection is looked for
	ClockRead      Checkpoint = "clock read"            // of an attempt: before its last checks and its first byte
	AnswerDecided  Checkpoint = "answer decided"        // before it is written
	DrainSignalled Checkpoint = "drain signalled"       // before the clock is read
	ServiceEnding  Checkpoint = "end of service is due" // the clock was read, nothing is ended yet
	WaitingEnding  Checkpoint = "waiting connections"   // service has ended, who waits has not been told
)

// Hook is called at each checkpoint: tests hold the caller up there. nil: nobody is.
type Hook func(Checkpoint)

func (h Hook) At(c Checkpoint) {
	if h != nil {
		h(c)
	}
}
