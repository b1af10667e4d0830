package inflight

import (
	"marblelane/balance"
)

// AttemptOutcome is the outcome of an attempt or of a health check.
type AttemptOutcome struct {
	Result       balance.Result
	Response     Response
	LoadReport   []float32 // the server's load report
	BodyConsumed bool      // part of the request body was sent and not kept, so the body cannot be sent again
	RouteRevoked bool      // the request was not sent because its route was no longer valid
}
