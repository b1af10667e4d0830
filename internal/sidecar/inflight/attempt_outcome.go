package inflight

import (
	"marblelane/balance"
)

// AttemptOutcome is how an attempt or a health check ended.
type AttemptOutcome struct {
	Result       balance.Result
	Response     Response
	LoadReport   []float32 // the server's load report
	BodyConsumed bool      // the request's body cannot be sent again
	RouteRevoked bool      // the request's route does not hold any more
}
