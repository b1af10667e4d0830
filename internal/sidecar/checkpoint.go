package sidecar

// checkpoint names a step of a request or of the shutdown between which and the next one a process may be held up.
type checkpoint string

const (
	requestRead    checkpoint = "request read"          // before the module is told of it
	attemptDecided checkpoint = "attempt decided"       // before a connection is looked for
	clockRead      checkpoint = "clock read"            // of an attempt: before its last checks and its first byte
	answerDecided  checkpoint = "answer decided"        // before it is written
	drainSignalled checkpoint = "drain signalled"       // before the clock is read
	serviceEnding  checkpoint = "end of service is due" // the clock was read, nothing is ended yet
	waitingEnding  checkpoint = "waiting connections"   // service has ended, who waits has not been told
)

// checkpointHook is called at each checkpoint: tests hold the caller up there. nil: nobody is.
type checkpointHook func(checkpoint)

func (h checkpointHook) at(c checkpoint) {
	if h != nil {
		h(c)
	}
}
