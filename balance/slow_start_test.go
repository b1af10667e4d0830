package balance

import (
	"math"
	"math/rand"
	"testing"
)

// A route that directs all sidecars to one server in slow start does not send it more than a rotation without
// routes may.
func TestSlowStart_routedFleet(t *testing.T) {
	const sidecars, servers, gap = 120, 30, 250.0
	cfg := tenantConfig()
	all := identicalServers(servers)
	all[0].StartedAt = 1000
	var harnesses []*harness
	for i := range sidecars {
		cfg.Seed, cfg.Number = uint64(i), i
		h := newHarness(t, cfg, all[1:]...)
		for _, s := range h.b.servers {
			s.rank = h.b.rankOf(s)
		}
		h.handle(CanaryLease{Until: math.Inf(1)})
		h.handle(Routes{Rev: 1, List: []Route{canaryRoute(1, 1)}})
		harnesses = append(harnesses, h)
	}
	sent := make([]int, 20) // requests in each second
	for now := 1000.0; now < 21000; now += gap {
		for i, h := range harnesses {
			h.now = now + gap*float64(i)/sidecars
			if now == 1000 {
				h.handle(ServerList{Kind: ListFull, Servers: all})
			}
			id, a := h.sendForTenant(idempotentClass)
			if a.Server == 1 {
				sent[int((now-1000)/1000)]++
			}
			h.endAttempt(id, 0, OK, 20)
		}
	}
	for at, n := range sent {
		warmUpFraction := cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*float64(at+1)*1000/cfg.SlowStartTime
		if share := sidecars * 1000 / gap / servers * warmUpFraction; float64(n) > cfg.OverloadMultiple*share {
			t.Errorf("second %d: %d requests, an equal share is %.1f", at, n, share)
		}
	}
	t.Logf("sent in each second: %v", sent)
}

// A server that restarts under load gets no more than OverloadMultiple times its capacity from all sidecars in its
// first second. The budget counts responses rather than requests, which clients repeat.
func TestSlowStart_restartUnderLoad(t *testing.T) {
	const sidecars, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	sends := 0
	for n := range sidecars {
		cfg.Seed, cfg.Number = uint64(n+1), n
		servers := identicalServers(5)
		h := newHarness(t, cfg, servers...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // one server restarts half-way
				servers[0].StartedAt = h.now
				h.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
			}
			id, actions := h.sendRequest(idempotentClass)
			s, ok := sentTo(actions)
			if !ok {
				t.Fatal("the request was not sent")
			}
			if s == 1 && i >= perSecond*3 && i < perSecond*4 {
				sends++
			}
			h.endAttempt(id, 0, OK, 10)
			h.now += 1000 / perSecond
		}
	}
	// A warm server gets a fifth of the traffic. A server that has just started can answer SlowStartCapacity of
	// that, slightly more as it warms up, and fails at OverloadMultiple times that.
	limit := float64(sidecars*perSecond) / 5 * cfg.OverloadMultiple * (cfg.SlowStartCapacity + 0.05)
	if sends == 0 || float64(sends) > limit {
		t.Fatalf("%d attempts in the first second of a slow start, want 1 to %.0f", sends, limit)
	}
}

// A server that could not be connected and then responds has restarted, whatever the list says, and is in slow
// start.
func TestSlowStart_unreachableThenBack(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	id, actions := h.sendRequest(idempotentClass)
	s, _ := sentTo(actions)
	h.endAttempt(id, 0, ConnectFailed, 150)
	h.now += 60000
	for range 8 {
		id, actions = h.sendRequest(idempotentClass)
		if again, _ := sentTo(actions); again == s {
			h.endAttempt(id, 0, OK, 10)
			break
		}
		h.endAttempt(id, 0, OK, 10)
	}
	if !h.b.slowStart.warmingUp(h.b.byID[s]) {
		t.Fatal("the server is not in slow start")
	}
}

// The budget of a restarted server depends on what servers can answer, and not on how little this sidecar used it
// before: it gets requests even if its learned size is the lowest.
func TestSlowStart_smallServer(t *testing.T) {
	cfg := baseConfig()
	list := identicalServers(4)
	h := newHarness(t, cfg, list...)
	h.b.byID[1].logSize = -maxLogSize
	var inFlight []RequestID
	serve := func(ms int) int { // 200 requests a second, 8 in flight: busy servers
		sends := 0
		for range ms / 5 {
			h.now += 5
			id, actions := h.sendRequest(idempotentClass)
			if s, sent := sentTo(actions); sent {
				inFlight = append(inFlight, id)
				if s == 1 {
					sends++
				}
			}
			if len(inFlight) > 8 {
				h.endAttempt(inFlight[0], 0, OK, 40)
				inFlight = inFlight[1:]
			}
		}
		return sends
	}
	serve(2000)
	list[0].StartedAt = h.now
	h.handle(ServerList{Kind: ListDelta, Servers: list[:1]})
	serve(4000)
	sent := serve(4000)
	// In these 4 s it can answer 0.36 to 0.52 of its quarter of 800 requests, and fails at OverloadMultiple times
	// that.
	if sent < 30 || float64(sent) > cfg.OverloadMultiple*0.36*200 {
		t.Errorf("%d of 800 requests to a server at two fifths of its capacity", sent)
	}
}

// restartFirstServer restarts the first server, which goes into slow start with a budget that has grown from 0 for
// two seconds.
func (h *harness) restartFirstServer() *server {
	entry := h.b.servers[0].Server
	entry.StartedAt = h.now
	h.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	h.now += 2000
	h.sendRequest(idempotentClass) // sets the weights
	s := h.b.servers[0]
	s.tokens, s.tokensAt = 0, h.now-2000
	return s
}

// The responses that are assumed for sidecars with little traffic add nearly nothing to the budget of servers in
// slow start, as they would add up over the fleet. Observed responses do.
func TestSlowStart_assumedResponses(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	s := h.restartFirstServer()
	if h.b.picker.withinBudget(s); s.tokens > 0.2 { // would be 1 with ten assumed responses
		t.Fatalf("%.2f attempts in two seconds", s.tokens)
	}
	for range 400 { // 200 observed responses per second
		h.b.admission.responses.add(h.now, rateSpanObjectives*h.b.maxObjective)
	}
	s.tokens, s.tokensAt = 0, h.now-2000
	if h.b.picker.withinBudget(s); s.tokens < 0.5 {
		t.Fatalf("%.2f attempts in two seconds for a busy sidecar", s.tokens)
	}
}

// The two processes of a sidecar during an upgrade share the assumed responses.
func TestSlowStart_processCount(t *testing.T) {
	budget := func(processes int) float64 {
		h := newHarness(t, baseConfig(), identicalServers(4)...)
		h.handle(ProcessCount{Processes: processes})
		s := h.restartFirstServer()
		h.b.picker.withinBudget(s)
		return s.tokens
	}
	if one, two := budget(1), budget(2); two > 0.51*one || two == 0 {
		t.Errorf("%v attempts for each of two processes, %v for one", two, one)
	}
}

// In any window of OverloadTime, all sidecars together send a server in slow start at most OverloadMultiple times
// what it can answer at that moment, plus one standard deviation. Its traffic when warm is taken as its capacity,
// which is a lower bound.
func TestSlowStart_manySidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, servers int }{{3, 6}, {200, 20}, {600, 60}} {
		cfg := baseConfig()
		rnd := rand.New(rand.NewSource(5))
		harnesses := make([]*harness, c.sidecars)
		for i := range harnesses {
			cfg.Number, cfg.Peers, cfg.Seed = i, c.sidecars, uint64(i)
			harnesses[i] = newHarness(t, cfg, identicalServers(c.servers)...)
			for _, s := range harnesses[i].b.servers {
				s.rank = harnesses[i].b.rankOf(s)
			}
			harnesses[i].b.dropRemovedServers()
		}
		const warm, end, perServer = 11000.0, 16000.0, 20.0 // perServer: requests a second
		gap := 1000 / perServer / float64(c.servers)
		var sendTimes []float64
		warmRate := 0.0
		restarted := identicalServers(1)[0]
		restarted.StartedAt = warm
		for now := 1000.0; now < end; now += gap {
			h := harnesses[rnd.Intn(len(harnesses))]
			h.now = now
			h.actions = h.actions[:0]
			if s := h.b.byID[1]; now >= warm && s.StartedAt != warm {
				h.handle(ServerList{Kind: ListDelta, Servers: []Server{restarted}})
			}
			id, actions := h.sendRequest(idempotentClass)
			to, ok := sentTo(actions)
			if !ok {
				continue
			}
			if to == 1 && now >= warm {
				sendTimes = append(sendTimes, now)
			} else if to == 1 {
				warmRate += 1000 / (warm - 1000)
			}
			h.endAttempt(id, 0, OK, 5)
		}
		for i, from := range sendTimes {
			n := 0
			for n < len(sendTimes)-i && sendTimes[i+n] < from+cfg.OverloadTime {
				n++
			}
			capacity := warmRate * (cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*(from-warm)/cfg.SlowStartTime)
			if limit := cfg.OverloadMultiple * capacity * cfg.OverloadTime / 1000; float64(n) > limit+math.Sqrt(limit) {
				t.Fatalf("%d sidecars, %d servers: %d attempts in a window, %.1f allowed", c.sidecars, c.servers, n, limit)
			}
		}
		if len(sendTimes) == 0 {
			t.Errorf("%d sidecars, %d servers: the server in slow start gets no requests", c.sidecars, c.servers)
		}
	}
}
