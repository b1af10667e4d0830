package discovery

import (
	"errors"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
)

var (
	// ErrCallTimeout is the error of a call whose first object was not received within its timeout.
	ErrCallTimeout = errors.New("timeout: no list received")
	// ErrWatchTimeout is the error of a watch that received no further object or empty line within its timeout, which
	// means that its connection is broken.
	ErrWatchTimeout = errors.New("timeout: no further list or heartbeat received")

	errSuperseded     = errors.New("a concurrent call received a response first")
	errObjectTooLarge = errors.New("object in the response exceeds the size limit")
	errAddrChanged    = errors.New("address of the list service changed")
)

// RejectedError is the error of a call to which a list service responded with a status other than 200.
type RejectedError struct {
	Status     string
	RetryAfter float64 // pause that the response requests in ms; 0: none
}

// Error implements error.
func (e *RejectedError) Error() string { return "list service responded with status " + e.Status }

// ListEvent is posted to the event loop for each object and each empty line of a response, and once for each failed
// call.
type ListEvent struct {
	Kind       balance.ListKind
	List       endpointlist.List
	Source     int     // index of the list service; 0 is the preferred one
	FromFetch  bool    // the call was a fetch, not a watch
	Busy       bool    // the call failed, but the list service is running
	RetryAfter float64 // pause that the list service requests in ms; 0: none
}

// FailedEvent returns event as that of a call that failed with err. A list service that rejects a call, or accepts it
// and sends no response until the timeout, counts as running and busy.
func FailedEvent(event ListEvent, err error) ListEvent {
	event.Kind = balance.ListFailed
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		event.Busy, event.RetryAfter = true, rejected.RetryAfter
	}
	if errors.Is(err, ErrCallTimeout) {
		event.Busy = true
		event.RetryAfter = float64(SilentCallPause.Milliseconds()) / 2 // the balancer waits once to twice as long
	}
	return event
}
