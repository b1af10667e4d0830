package clientserver

import (
	"testing"

	"marblelane/internal/sidecar/inflight"
)

// The state of a request follows from its response.
func TestCallState_ofResponse(t *testing.T) {
	for _, test := range []struct {
		response inflight.Response
		want     string
	}{
		{inflight.Response{Status: 200}, "answered"},
		{inflight.Response{Status: inflight.StatusRejected}, "rejected"},
		{inflight.Response{Status: inflight.StatusFailed}, "failed"},
		{inflight.Response{Status: inflight.StatusTimedOut}, "failed"},
		{inflight.Response{ClientDisconnected: true}, "client gone"},
	} {
		if got := stateOfResponse(test.response).String(); got != test.want {
			t.Errorf("response %+v: state %q, want %q", test.response, got, test.want)
		}
	}
}
