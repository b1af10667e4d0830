package upstream

import (
	"marblelane/internal/sidecar/inflight"
)

// This file has what connections to servers tell the event loop.

// BodyComplete tells that a call's body has come to its end.
type BodyComplete struct{ Call *inflight.Call }

// AnswerStarted offers an answer that is passed on as it comes.
type AnswerStarted struct {
	Attempt *Attempt
	Answer  inflight.Answer
}

// Connecting tells that an attempt has no kept connection, or has the new one.
type Connecting struct {
	Attempt     *Attempt
	Established bool
}

// ConnectionReady tells of a connection that nobody waits for any more.
type ConnectionReady struct{ Server *Server }
