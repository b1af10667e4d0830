package checkpoint

// Checkpoint names a point in the handling of a request or in the shutdown. The operating system may hold up the process
// there, before it takes the next step.
type Checkpoint string

// The checkpoints.
const (
	RequestRead     Checkpoint = "request read"          // the event loop has not received the request yet
	AttemptDecided  Checkpoint = "attempt decided"       // the attempt has no connection yet
	ClockRead       Checkpoint = "clock read"            // the attempt has not made its last checks and sent its first byte yet
	ResponseDecided Checkpoint = "response decided"      // the response to the client is not written yet
	DrainSignalled  Checkpoint = "drain signalled"       // the shutdown has not read the clock yet
	ServiceEndDue   Checkpoint = "end of service is due" // the clock was read, no request has been ended yet
	ServiceEnded    Checkpoint = "service ended"         // connections that wait for the rest of a request are still open
)

// Hook is called at each checkpoint and may hold up the caller. It is nil except in tests.
type Hook func(Checkpoint)

// At calls the hook, if there is one.
func (h Hook) At(c Checkpoint) {
	if h != nil {
		h(c)
	}
}
