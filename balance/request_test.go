package balance

import "testing"

// Requests and attempts change their state only along the permitted transitions, and each state has an entry in the
// transition tables.
func TestRequest_states(t *testing.T) {
	for _, test := range []struct {
		from, to requestState
		want     bool
	}{
		{requestQueued, requestAttempting, true}, {requestAttempting, requestQueued, true},
		{requestAttempting, requestResponding, true}, {requestResponding, requestDone, true},
		{requestQueued, requestResponding, false}, {requestResponding, requestQueued, false},
		{requestDone, requestQueued, false}, {requestDone, requestAttempting, false},
	} {
		r := request{state: test.from}
		if got := r.transitionTo(test.to); got != test.want || (r.state == test.to) != test.want {
			t.Errorf("transition from %v to %v: permitted %v, state afterwards %v", test.from, test.to, got, r.state)
		}
	}
	for _, test := range []struct {
		from, to attemptState
		want     bool
	}{
		{attemptSent, attemptConnecting, true}, {attemptConnecting, attemptSent, true},
		{attemptConnecting, attemptResponding, true}, {attemptResponding, attemptEnded, true},
		{attemptResponding, attemptConnecting, false}, {attemptResponding, attemptSent, false},
		{attemptEnded, attemptSent, false}, {attemptEnded, attemptResponding, false},
	} {
		a := attempt{state: test.from}
		if got := a.transitionTo(test.to); got != test.want || (a.state == test.to) != test.want {
			t.Errorf("transition from %v to %v: permitted %v, state afterwards %v", test.from, test.to, got, a.state)
		}
	}
	if len(requestTransitions) != int(requestDone)+1 || len(attemptTransitions) != int(attemptEnded)+1 {
		t.Error("a state has no entry in a transition table")
	}
}
