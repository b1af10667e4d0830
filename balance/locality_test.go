package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Where crossing zones has a price, the own zone gets more, and others still take their part.
func TestLocality_crossZonePrice(t *testing.T) {
	for price, minOwn := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Prices.CrossZone, cfg.Zone = price, 1
		h := newHarness(t, cfg, identicalServers(8)...)
		own := 0
		for _, s := range sendSequence(h, 40) {
			if s > 4 {
				own++
			}
		}
		if own < minOwn || own > 38 || price == 0 && own > 20 {
			t.Errorf("price %v: %d of 40 in the own zone", price, own)
		}
	}
}

// zoned is a rig whose sidecar lies in zone 0 and pays for crossing; each zone has so many servers, IDs from 1.
func newZoneHarness(t *testing.T, change func(*Config), zones ...int) *harness {
	t.Helper()
	cfg := baseConfig()
	cfg.Prices.CrossZone, cfg.ConnectTimeout, cfg.SlowStartTime, cfg.MaxAttempts = 0.1, 120, 0, 3
	if change != nil {
		change(&cfg)
	}
	var list []Server
	for zone, n := range zones {
		for range n {
			list = append(list, Server{ID: ServerID(len(list) + 1), Rating: 1, Cell: len(list), Zone: zone})
		}
	}
	h := newHarness(t, cfg, list...)
	for range 40 { // it knows its demand, and so all servers
		h.now += 5
		id, _ := h.sendRequest(idempotentClass)
		h.endAttempt(id, 0, OK, 50)
	}
	return h
}

// zoneOf is the zone of the last attempt of a request.
func (h *harness) lastZone(id RequestID) int {
	r := h.b.reqs[id]
	return r.attempts[len(r.attempts)-1].server.Zone
}

// play answers requests in turn, by the verdict on the server of each attempt, and returns how many first sends went to
// each zone.
func (h *harness) playRequests(n int, every float64, verdict func(s *server) Result) map[int]int {
	h.t.Helper()
	first := map[int]int{}
	for range n {
		h.now += every
		id, _ := h.sendRequest(idempotentClass)
		for attempt := 0; h.b.reqs[id] != nil && attempt < len(h.b.reqs[id].attempts); attempt++ {
			s := h.b.reqs[id].attempts[attempt].server
			if attempt == 0 {
				first[s.Zone]++
			}
			res, took := verdict(s), 50.0
			if res == ConnectFailed {
				took = 120
			}
			h.now += took
			h.endAttempt(id, attempt, res, took)
		}
	}
	return first
}

func failZone(zone int) func(*server) Result {
	return func(s *server) Result {
		if s.Zone == zone {
			return ConnectFailed
		}
		return OK
	}
}

func alwaysOK(*server) Result { return OK }

func TestLocality_deadZone(t *testing.T) {
	for _, change := range []func(*Config){nil, func(c *Config) { c.Zone = 1 }} {
		h := newZoneHarness(t, change, 8, 8)
		tried := map[ServerID]bool{}
		h.playRequests(5, 20, func(s *server) Result { // less time than the first pause
			if s.Zone == 0 {
				tried[s.ID] = true
			}
			return failZone(0)(s)
		})
		left := h.b.ZoneStatus().Left == 1
		// From its own zone a sidecar meets it at once; from another one it has no need to.
		if near := h.b.cfg.Zone == 0; near && (!left || len(tried) != 2) || !near && len(tried) > 2 {
			t.Errorf("own zone %d: %d servers of the dead zone were met, left %v", h.b.cfg.Zone, len(tried), left)
		}
	}
}

func TestLocality_allZonesFail(t *testing.T) {
	h := newZoneHarness(t, nil, 6, 6, 6)
	h.playRequests(60, 100, func(*server) Result { return ConnectFailed })
	if z := h.b.ZoneStatus(); z.Left != 0 || z.Evidence == 0 {
		t.Errorf("%+v", z)
	}
	// As soon as one answers again, the others are known by it.
	h.playRequests(60, 100, failZone(0))
	if z := h.b.ZoneStatus(); z.Left != 1 {
		t.Errorf("one zone answers and another does not: %+v", z)
	}
}

// Servers that refuse are there, and one that fails says little: half as much.
func TestLocality_partialEvidence(t *testing.T) {
	for _, c := range []struct {
		result        Result
		elapsed       float64
		serversNeeded int
	}{{ConnectFailed, 120, 2}, {ConnectFailed, 1, 4}, {Reset, 30, 4}, {Failed, 5, 4}} {
		h := newZoneHarness(t, nil, 8, 8)
		h.b.zones[0].answer, h.b.zones[1].answer = h.now, h.now+1
		n := 0
		for _, s := range h.b.servers {
			if s.Zone != 0 || h.b.zones[0].left {
				continue
			}
			h.now++
			h.b.now = h.now
			weight := partialEvidence
			if c.result == ConnectFailed && c.elapsed >= 60 {
				weight = 1
			}
			h.b.recordFailure(s, c.result == ConnectFailed, weight)
			h.b.recordFailure(s, c.result == ConnectFailed, weight) // a server is one witness, however often it fails
			h.b.answered(h.b.zones[1], false, 0.1)
			n++
		}
		if n != c.serversNeeded || !h.b.zones[0].left {
			t.Errorf("%+v: left %v after %d servers", c, h.b.zones[0].left, n)
		}
	}
}

func TestLocality_answerClearsEvidence(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	n := 0
	h.playRequests(200, 50, func(s *server) Result {
		if s.Zone == 0 {
			if n++; n%2 == 0 {
				return ConnectFailed
			}
		}
		return OK
	})
	if z := h.b.ZoneStatus(); z.Left != 0 {
		t.Errorf("a zone of which every second request is answered was left: %+v", z)
	}
}

// A zone that is most of the fleet needs more against it: what is left could not bear the load.
func TestLocality_largeZone(t *testing.T) {
	for _, c := range []struct{ own, other, need int }{{4, 12, 2}, {8, 8, 2}, {12, 4, 4}, {15, 1, 4}} {
		h := newZoneHarness(t, nil, c.own, c.other)
		tried := map[ServerID]bool{}
		h.playRequests(c.need+2, 20, func(s *server) Result {
			if s.Zone == 0 {
				tried[s.ID] = true
			}
			return failZone(0)(s)
		})
		if len(tried) != c.need {
			t.Errorf("%d of %d servers: left after %d of them", c.own, c.own+c.other, len(tried))
		}
	}
}

func TestLocality_zoneReturn(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	h.playRequests(20, 20, failZone(0))
	z := h.b.zones[0]
	if z.id != 0 || !z.left {
		t.Fatalf("%+v", z)
	}
	h.now = z.leftUntil + 1
	for _, s := range h.b.servers {
		s.ejectedUntil = 0
	}
	if id, _ := h.sendRequest(nonIdempotentClass); h.lastZone(id) != 1 {
		t.Error("an unsafe request tries a zone that was left")
	}
	var inZone []RequestID
	fill := func() (n int) {
		for range 20 {
			id, acts := h.sendRequest(idempotentClass)
			if !hasAction(acts, Send) {
				continue
			}
			if h.lastZone(id) != 0 {
				h.endAttempt(id, 0, OK, 50)
				continue
			}
			inZone = append(inZone, id)
			n++
		}
		return n
	}
	if n := fill(); n != 1 {
		t.Fatalf("%d requests try the zone at first", n)
	}
	for want := 1; want < 8 && z.left; want++ {
		h.now += 50
		h.endAttempt(inZone[0], 0, OK, 50)
		inZone = inZone[1:]
		fill()
		if z.left && int(z.out) != want {
			t.Fatalf("after %d good answers %g requests are there", want, z.out)
		}
	}
	if !z.left {
		t.Fatal("it was in full use before its answers were as many as its servers")
	}
	h.now += 50
	h.endAttempt(inZone[0], 0, OK, 50)
	if z.left {
		t.Errorf("it is not in full use after eight good answers: %+v", z)
	}
}

// A zone that fails on its return waits longer each time, and sidecars do not come back together.
func TestLocality_returnBackoff(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(5) {
		h := newZoneHarness(t, func(c *Config) { c.Seed = seed }, 8, 8)
		var pauses []float64
		var last float64
		for range 2000 {
			h.playRequests(1, 30, failZone(0))
			if z := h.b.zones[0]; z.left && z.leftUntil != last {
				last = z.leftUntil
				pauses = append(pauses, z.leftUntil-h.now)
			}
		}
		if len(pauses) < 5 {
			t.Fatalf("%d pauses", len(pauses))
		}
		for i := 1; i <= maxEjections; i++ {
			if pauses[i] < 1.1*pauses[i-1] {
				t.Errorf("seed %d: pauses %v", seed, pauses[:5])
			}
		}
		seen[fmt.Sprintf("%.0f", pauses[0])] = true
	}
	if len(seen) < 3 {
		t.Errorf("five sidecars have the pauses %v", seen)
	}
}

// The head of zones.go states how often a zone is left by chance: in q² of cases, when a part q of its servers is sick
// and requests meet them at random while another zone answers. It is held to it from both sides.
func TestLocality_falseAlarmRate(t *testing.T) {
	const servers, failing, trials = 64, 8, 100000
	h := newZoneHarness(t, nil, servers, servers)
	z, other := h.b.zone(0), h.b.zone(1)
	r := rand.New(rand.NewPCG(1, 2))
	left := 0
	for range trials {
		h.b.now++
		h.b.answered(other, false, 0.1)
		if s := h.b.byID[ServerID(1+r.IntN(servers))]; s.ID <= failing {
			h.b.addEvidence(s, 1)
		} else {
			h.b.answered(z, false, 0.1)
		}
		if z.left {
			left++
			z.left, z.evidence, z.cleared = false, 0, h.b.now
		}
	}
	const q = float64(failing) / servers
	if rate := float64(left) / trials; rate > q*q || rate < q*q/2 {
		t.Errorf("left in %.2f %% of meetings, not in about %.2f", 100*rate, 100*q*q)
	}
}

func TestLocality_noNeedlessCrossing(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	if first := h.playRequests(500, 20, alwaysOK); first[1] > 5 {
		t.Errorf("first sends by zone: %v", first)
	}
}

// What near servers cannot take crosses, in steps, and comes back.
func TestLocality_spillover(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	nearLatency := 220.0
	load := func(n int) (far int) {
		for range n {
			h.now += 20
			id, acts := h.sendRequest(idempotentClass)
			if !hasAction(acts, Send) {
				continue
			}
			took := 50.0
			if h.lastZone(id) == 0 {
				took = nearLatency
			} else {
				far++
			}
			h.endAttempt(id, 0, OK, took)
		}
		return far
	}
	first, later := load(10), load(300)
	if first > 3 || later < 150 {
		t.Errorf("near answers are slow: %d of 10 crossed at first, %d of 300 later", first, later)
	}
	nearLatency = 50
	load(400)
	if back := load(100); back > 10 {
		t.Errorf("near answers are quick again: %d of 100 cross", back)
	}
}

func TestLocality_regionOrder(t *testing.T) {
	h := newZoneHarness(t, func(c *Config) { c.Regions, c.RegionCost = []int{0, 0, 1}, 3 }, 4, 4, 4)
	if first := h.playRequests(200, 20, alwaysOK); first[0] < 195 {
		t.Errorf("calm: %v", first)
	}
	if first := h.playRequests(100, 20, failZone(0)); first[1] < 85 || first[2] > 5 {
		t.Errorf("the own zone is dead: %v", first)
	}
	h.playRequests(20, 20, func(s *server) Result {
		if s.Zone < 2 {
			return ConnectFailed
		}
		return OK
	})
	if first := h.playRequests(100, 20, func(s *server) Result {
		if s.Zone < 2 {
			return ConnectFailed
		}
		return OK
	}); first[2] < 85 {
		t.Errorf("the own region is dead: %v", first)
	}
}

// A long answer that has begun has told all about its zone: the next trial does not wait for its end.
func TestLocality_zoneReturnOfStreams(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	h.playRequests(5, 20, failZone(0))
	z := h.b.zones[0]
	h.now = z.leftUntil + 1
	for _, s := range h.b.servers {
		s.ejectedUntil = 0
	}
	for n := 1; n < 8; n++ {
		for i := 0; z.out == 0 && i < 20; i++ {
			id, acts := h.sendRequest(idempotentClass)
			if hasAction(acts, Send) && h.lastZone(id) != 0 {
				h.endAttempt(id, 0, OK, 50)
			}
		}
		if z.out != 1 {
			t.Fatalf("%g trials out after %d long answers have begun", z.out, n-1)
		}
		h.handle(AnswerStarted{Request: h.lastID, Server: h.b.reqs[h.lastID].attempts[0].server.ID, Elapsed: 50})
		if z.out != 0 || z.admitLimit != float64(n) {
			t.Fatalf("%+v after %d answers have begun", z, n)
		}
	}
}
