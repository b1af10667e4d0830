package clientserver

import (
	"testing"

	"marblelane/internal/sidecar/inflight"
)

// The state of a request follows from its answer.
func TestCallState_ofAnswer(t *testing.T) {
	for _, test := range []struct {
		answer inflight.Response
		want   string
	}{
		{inflight.Response{Status: 200}, "answered"},
		{inflight.Response{Status: inflight.StatusRejected}, "rejected"},
		{inflight.Response{Status: inflight.StatusFailed}, "failed"},
		{inflight.Response{Status: inflight.StatusTimedOut}, "failed"},
		{inflight.Response{ClientDisconnected: true}, "client gone"},
	} {
		if got := stateOf(test.answer).String(); got != test.want {
			t.Errorf("%+v: %q, want %q", test.answer, got, test.want)
		}
	}
}
