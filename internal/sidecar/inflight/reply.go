package inflight

import (
	"marblelane/balance"
)

// Reply is how an attempt or a health check ended.
type Reply struct {
	Result       balance.Result
	Answer       Answer
	Report       []float32 // the server's load report
	BodyConsumed bool      // the request's body cannot be sent again
	RouteRevoked bool      // the request's route does not hold any more
}
