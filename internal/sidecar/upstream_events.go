package sidecar

// This file has what connections to servers tell the event loop.

// bodyComplete tells that a call's body has come to its end.
type bodyComplete struct{ call *call }

// answerStarted offers an answer that is passed on as it comes.
type answerStarted struct {
	attempt *attempt
	answer  answer
}

// connecting tells that an attempt has no kept connection, or has the new one.
type connecting struct {
	attempt *attempt
	up      bool
}

// connectionReady tells of a connection that nobody waits for any more.
type connectionReady struct{ up *upstream }
