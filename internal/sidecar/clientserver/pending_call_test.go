package clientserver

import (
	"testing"

	"marblelane/internal/sidecar/inflight"
)

// The state of a request follows from its answer.
func TestCallState_ofAnswer(t *testing.T) {
	for _, test := range []struct {
		answer inflight.Answer
		want   string
	}{
		{inflight.Answer{Status: 200}, "answered"},
		{inflight.Answer{Status: inflight.StatusRejected}, "rejected"},
		{inflight.Answer{Status: inflight.StatusFailed}, "failed"},
		{inflight.Answer{Status: inflight.StatusTimedOut}, "failed"},
		{inflight.Answer{ClientLeft: true}, "client gone"},
	} {
		if got := stateOf(test.answer).String(); got != test.want {
			t.Errorf("%+v: %q, want %q", test.answer, got, test.want)
		}
	}
}
