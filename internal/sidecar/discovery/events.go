package discovery

import (
	"errors"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
)

var (
	// ErrCallTimeout ends a call whose first object did not come in time.
	ErrCallTimeout = errors.New("no line in time")
	// ErrWatchTimeout ends a watch that had got an object and then fell silent: its connection is broken.
	ErrWatchTimeout = errors.New("no further line in time")

	errSuperseded     = errors.New("another call was answered first")
	errObjectTooLarge = errors.New("line too long")
	errAddrChanged    = errors.New("the list service has another address now")
)

// RejectedError is an answer of a list service that is no list.
type RejectedError struct {
	Status     string
	RetryAfter float64 // ms; 0 if the answer does not say
}

// Error implements error.
func (e *RejectedError) Error() string { return "discovery answers " + e.Status }

// ListEvent is posted to the event loop for each object and each empty line of an answer, and once for a call that failed.
type ListEvent struct {
	Kind       balance.ListKind
	List       endpointlist.List
	Source     int     // the list service, by preference
	FromFetch  bool    // it answers a single call and not the watch
	Busy       bool    // of a call that failed: the list service runs
	RetryAfter float64 // ms; 0 if the list service does not say
}

// FailedEvent makes an event that of a call which failed with an error. A list service that leaves a call unanswered until it
// is given up runs, and is busy.
func FailedEvent(event ListEvent, err error) ListEvent {
	event.Kind = balance.ListFailed
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		event.Busy, event.RetryAfter = true, rejected.RetryAfter
	}
	if errors.Is(err, ErrCallTimeout) {
		event.Busy = true
		event.RetryAfter = float64(SilentCallPause.Milliseconds()) / 2 // the balancer waits for once to twice as long
	}
	return event
}
