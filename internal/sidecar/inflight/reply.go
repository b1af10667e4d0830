package inflight

import (
	"marblelane/balance"
)

// Reply is how an attempt or probe ended.
type Reply struct {
	Result       balance.Result
	Answer       Answer
	Report       []float32
	BodyConsumed bool // the request's body is used up
	RouteRevoked bool // its route is not acted on any more
}
