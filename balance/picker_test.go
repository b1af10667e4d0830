package balance

import "testing"

// Smooth weighted round robin: a server with five times the weight gets five of seven requests, spread evenly.
func TestPicker_weights(t *testing.T) {
	servers := identicalServers(3)
	servers[0].Rating = 5
	got := sendSequence(newHarness(t, baseConfig(), servers...), 7)
	want := []ServerID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sequence %v, want %v", got, want)
		}
	}
}

// A server at the health floor still gets some requests.
func TestPicker_healthFloor(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	sends := 0
	for range 40 { // a success resets the errors, so they are set again each time
		h.b.servers[2].consecutiveErrors, h.b.servers[2].lastErrorAt = 1000, h.now
		if sendSequence(h, 1)[0] == 3 {
			sends++
		}
	}
	if sends == 0 || sends >= 10 {
		t.Fatalf("the server at the floor got %d of 40", sends)
	}
}

// A retry goes to the healthiest server that the request has not used yet, regardless of the rotation.
func TestPicker_rerouteByHealth(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for _, s := range h.b.servers {
		s.consecutiveErrors, s.lastErrorAt = 2, h.now
	}
	h.b.servers[2].consecutiveErrors = 1
	h.b.servers[1].currentWeight = 1000 // next in the rotation, but not the healthiest
	id, actions := h.sendRequest(idempotentClass)
	if s, _ := sentTo(actions); s != 2 {
		t.Fatalf("first sent to %d, want 2", s)
	}
	h.b.servers[3].currentWeight = 1000 // next in the rotation, which must not affect a retry
	if s, ok := sentTo(h.endAttempt(id, 0, Rejected, 1)); !ok || s != 3 {
		t.Fatalf("the second attempt goes to %d, want 3", s)
	}
}

// If each server has far more in flight than its share, a first attempt goes to the one with the lowest load per
// weight, and a retry goes by health. While one server is within its share, the rotation decides.
func TestPicker_allServersLoaded(t *testing.T) {
	for _, c := range []struct {
		inFlight [4]int
		want     ServerID
	}{
		{[4]int{4, 3, 4, 4}, 2}, // all are over their share
		{[4]int{4, 4, 1, 0}, 3}, // 3 and 4 are within their share, and 3 is next in the rotation
	} {
		h := newHarness(t, baseConfig(), identicalServers(4)...)
		for i, s := range h.b.servers {
			s.inFlight, s.currentWeight = c.inFlight[i], float64(10*(4-i))
		}
		h.b.servers[1].consecutiveErrors, h.b.servers[1].lastErrorAt = 1, h.now-5000
		r := &request{class: &h.b.cfg.Classes[idempotentClass], stats: &h.b.demand.classes[idempotentClass]}
		if c.want == 2 {
			if s := h.b.pick(r, true); s.ID == 2 {
				t.Errorf("%v: the retry went to the server of lowest health", c.inFlight)
			}
			for i, s := range h.b.servers {
				s.currentWeight = float64(10 * (4 - i))
			}
		}
		if s := h.b.pick(r, false); s.ID != c.want {
			t.Errorf("%v: sent to %d, want %d", c.inFlight, s.ID, c.want)
		}
	}
}

// Servers that respond twice as fast get a larger learned size, and so does their kind.
func TestPicker_learnedCapacity(t *testing.T) {
	servers := identicalServers(4)
	servers[2].Kind, servers[3].Kind = 1, 1
	h := newHarness(t, baseConfig(), servers...)
	sends := map[ServerID]int{}
	for range 1500 {
		id, actions := h.sendRequest(idempotentClass)
		s, _ := sentTo(actions)
		sends[s]++
		h.now += 5
		h.endAttempt(id, 0, OK, map[bool]float64{true: 20, false: 40}[s > 2])
	}
	if sends[3]+sends[4] < 3*(sends[1]+sends[2])/2 {
		t.Fatalf("attempts by server: %v", sends)
	}
	if h.b.capacity.kindLogSizes[1] <= h.b.capacity.kindLogSizes[0] {
		t.Fatalf("log sizes by kind: %v", h.b.capacity.kindLogSizes)
	}
}

// The first responses change the learned sizes faster than later ones, so that a restarted sidecar with little
// traffic soon detects slow servers.
func TestPicker_capacityLearningRate(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	fast, slow := h.b.servers[0], h.b.servers[1]
	for range 20 {
		h.b.capacity.learn(fast, 0.5)
		h.b.capacity.learn(slow, 1.5)
	}
	firstChange := fast.logSize - slow.logSize
	for range 2000 { // much later, one of two equal servers becomes faster
		h.b.capacity.learn(fast, 1)
		h.b.capacity.learn(slow, 1)
	}
	before := fast.logSize - slow.logSize
	for range 20 {
		h.b.capacity.learn(fast, 0.5)
		h.b.capacity.learn(slow, 1.5)
	}
	if laterChange := fast.logSize - slow.logSize - before; firstChange < 3*laterChange || laterChange <= 0 {
		t.Fatalf("learned %.3f at first and %.3f later", firstChange, laterChange)
	}
}
