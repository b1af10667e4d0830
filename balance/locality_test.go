package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// With a price for crossing zones, the own zone gets more requests, and other zones still get some.
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

// newZoneHarness returns a harness in zone 0 with a price for crossing zones. zones holds the number of servers of
// each zone; their IDs count from 1. Enough requests were served for all servers to be in the rotation.
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
	for range 40 { // brings all servers into the rotation
		h.now += 5
		id, _ := h.sendRequest(idempotentClass)
		h.endAttempt(id, 0, OK, 50)
	}
	return h
}

// lastZone returns the zone of a request's last attempt.
func (h *harness) lastZone(id RequestID) int {
	r := h.b.requests[id]
	return r.attempts[len(r.attempts)-1].server.Zone
}

// playRequests sends n requests at intervals of every ms; the verdict decides the result of each attempt by its
// server. It returns the number of first attempts by zone.
func (h *harness) playRequests(n int, every float64, verdict func(s *server) Result) map[int]int {
	h.t.Helper()
	firstAttempts := map[int]int{}
	for range n {
		h.now += every
		id, _ := h.sendRequest(idempotentClass)
		for attempt := 0; h.b.requests[id] != nil && attempt < len(h.b.requests[id].attempts); attempt++ {
			s := h.b.requests[id].attempts[attempt].server
			if attempt == 0 {
				firstAttempts[s.Zone]++
			}
			result, elapsed := verdict(s), 50.0
			if result == ConnectFailed {
				elapsed = 120
			}
			h.now += elapsed
			h.endAttempt(id, attempt, result, elapsed)
		}
	}
	return firstAttempts
}

// failZone returns a verdict by which no server of the given zone can be reached.
func failZone(zone int) func(*server) Result {
	return func(s *server) Result {
		if s.Zone == zone {
			return ConnectFailed
		}
		return OK
	}
}

// alwaysOK is a verdict by which each attempt succeeds.
func alwaysOK(*server) Result { return OK }

// The own zone is suspended after connect timeouts at two of its servers. A dead remote zone costs attempts at no
// more than two servers.
func TestLocality_deadZone(t *testing.T) {
	for _, change := range []func(*Config){nil, func(c *Config) { c.Zone = 1 }} {
		h := newZoneHarness(t, change, 8, 8)
		tried := map[ServerID]bool{}
		h.playRequests(5, 20, func(s *server) Result { // within the first pause
			if s.Zone == 0 {
				tried[s.ID] = true
			}
			return failZone(0)(s)
		})
		suspended := h.b.ZoneStatus().Suspended == 1
		// A dead own zone is detected at once. A dead remote zone needs no attempts.
		if near := h.b.cfg.Zone == 0; near && (!suspended || len(tried) != 2) || !near && len(tried) > 2 {
			t.Errorf("own zone %d: %d servers of the dead zone were tried, suspended %v", h.b.cfg.Zone, len(tried), suspended)
		}
	}
}

// No zone is suspended when all of them fail. As soon as one responds, those that still fail are suspended.
func TestLocality_allZonesFail(t *testing.T) {
	h := newZoneHarness(t, nil, 6, 6, 6)
	h.playRequests(60, 100, func(*server) Result { return ConnectFailed })
	if z := h.b.ZoneStatus(); z.Suspended != 0 || z.Evidence == 0 {
		t.Errorf("%+v", z)
	}
	// When one zone responds again, the zone that still fails is suspended.
	h.playRequests(60, 100, failZone(0))
	if z := h.b.ZoneStatus(); z.Suspended != 1 {
		t.Errorf("one zone responds and another does not: %+v", z)
	}
}

// A connect timeout is full evidence against a zone. A refused connection, a reset or a failure is half as much. A
// server counts once, however often it fails.
func TestLocality_partialEvidence(t *testing.T) {
	for _, c := range []struct {
		result        Result
		elapsed       float64
		serversNeeded int
	}{{ConnectFailed, 120, 2}, {ConnectFailed, 1, 4}, {Reset, 30, 4}, {Failed, 5, 4}} {
		h := newZoneHarness(t, nil, 8, 8)
		h.b.locality.zones[0].lastResponseAt, h.b.locality.zones[1].lastResponseAt = h.now, h.now+1
		n := 0
		for _, s := range h.b.servers {
			if s.Zone != 0 || h.b.locality.zones[0].suspended {
				continue
			}
			h.now++
			h.b.now = h.now
			weight := partialEvidence
			if c.result == ConnectFailed && c.elapsed >= 60 {
				weight = 1
			}
			h.b.outliers.recordFailure(s, c.result == ConnectFailed, weight)
			h.b.outliers.recordFailure(s, c.result == ConnectFailed, weight) // a server counts once
			h.b.locality.recordResponse(h.b.locality.zones[1], false, 0.1)
			n++
		}
		if n != c.serversNeeded || !h.b.locality.zones[0].suspended {
			t.Errorf("%+v: suspended %v after %d servers", c, h.b.locality.zones[0].suspended, n)
		}
	}
}

// A response clears the evidence against its zone: a zone that answers every second request is not suspended.
func TestLocality_responseClearsEvidence(t *testing.T) {
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
	if z := h.b.ZoneStatus(); z.Suspended != 0 {
		t.Errorf("a zone that answers every second request was suspended: %+v", z)
	}
}

// A zone with most of the servers is suspended only with more evidence, as the other zones could not take over its
// load.
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
			t.Errorf("%d of %d servers: suspended after %d of them", c.own, c.own+c.other, len(tried))
		}
	}
}

// A suspended zone gets one idempotent request at first, and then as many in flight as it has answered. It is in
// full use after as many responses as it has servers.
func TestLocality_zoneReturn(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	h.playRequests(20, 20, failZone(0))
	z := h.b.locality.zones[0]
	if z.id != 0 || !z.suspended {
		t.Fatalf("%+v", z)
	}
	h.now = z.suspendedUntil + 1
	for _, s := range h.b.servers {
		s.ejectedUntil = 0
	}
	if id, _ := h.sendRequest(nonIdempotentClass); h.lastZone(id) != 1 {
		t.Error("a non-idempotent request is sent to a suspended zone")
	}
	var inZone []RequestID
	sendRound := func() (n int) {
		for range 20 {
			id, actions := h.sendRequest(idempotentClass)
			if !hasAction(actions, Send) {
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
	if n := sendRound(); n != 1 {
		t.Fatalf("%d requests try the zone at first", n)
	}
	for want := 1; want < 8 && z.suspended; want++ {
		h.now += 50
		h.endAttempt(inZone[0], 0, OK, 50)
		inZone = inZone[1:]
		sendRound()
		if z.suspended && int(z.trialsInFlight) != want {
			t.Fatalf("after %d responses %g requests are in flight in the zone", want, z.trialsInFlight)
		}
	}
	if !z.suspended {
		t.Fatal("the zone was in full use too early")
	}
	h.now += 50
	h.endAttempt(inZone[0], 0, OK, 50)
	if z.suspended {
		t.Errorf("the zone is not in full use after eight responses: %+v", z)
	}
}

// A zone that fails on its return is suspended for longer each time. The pauses of different sidecars differ, so
// that they do not return at the same time.
func TestLocality_returnBackoff(t *testing.T) {
	distinctPauses := map[string]bool{}
	for seed := range uint64(5) {
		h := newZoneHarness(t, func(c *Config) { c.Seed = seed }, 8, 8)
		var pauses []float64
		var lastEnd float64
		for range 2000 {
			h.playRequests(1, 30, failZone(0))
			if z := h.b.locality.zones[0]; z.suspended && z.suspendedUntil != lastEnd {
				lastEnd = z.suspendedUntil
				pauses = append(pauses, z.suspendedUntil-h.now)
			}
		}
		if len(pauses) < 5 {
			t.Fatalf("%d pauses", len(pauses))
		}
		for i := 1; i <= maxPauseDoublings; i++ {
			if pauses[i] < 1.1*pauses[i-1] {
				t.Errorf("seed %d: pauses %v", seed, pauses[:5])
			}
		}
		distinctPauses[fmt.Sprintf("%.0f", pauses[0])] = true
	}
	if len(distinctPauses) < 3 {
		t.Errorf("five sidecars have the pauses %v", distinctPauses)
	}
}

// With a fraction q of a zone's servers failing, random requests, and another zone that responds, the zone is
// suspended in q² of the cases, as zones.go states. The rate has an upper and a lower limit.
func TestLocality_falseAlarmRate(t *testing.T) {
	const servers, failing, trials = 64, 8, 100000
	h := newZoneHarness(t, nil, servers, servers)
	z, other := h.b.locality.zone(0), h.b.locality.zone(1)
	r := rand.New(rand.NewPCG(1, 2))
	suspensions := 0
	for range trials {
		h.b.now++
		h.b.locality.recordResponse(other, false, 0.1)
		if s := h.b.byID[ServerID(1+r.IntN(servers))]; s.ID <= failing {
			h.b.locality.addEvidence(s, 1)
		} else {
			h.b.locality.recordResponse(z, false, 0.1)
		}
		if z.suspended {
			suspensions++
			z.suspended, z.evidence, z.evidenceClearedAt = false, 0, h.b.now
		}
	}
	const q = float64(failing) / servers
	if rate := float64(suspensions) / trials; rate > q*q || rate < q*q/2 {
		t.Errorf("suspended in %.2f %% of the trials, want about %.2f", 100*rate, 100*q*q)
	}
}

// While the near servers are fast, nearly no request crosses zones.
func TestLocality_noNeedlessCrossing(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	if first := h.playRequests(500, 20, alwaysOK); first[1] > 5 {
		t.Errorf("first attempts by zone: %v", first)
	}
}

// Load that the near servers cannot take moves to another zone in steps, and returns when they can take it again.
func TestLocality_spillover(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	nearLatency := 220.0
	load := func(n int) (crossed int) {
		for range n {
			h.now += 20
			id, actions := h.sendRequest(idempotentClass)
			if !hasAction(actions, Send) {
				continue
			}
			elapsed := 50.0
			if h.lastZone(id) == 0 {
				elapsed = nearLatency
			} else {
				crossed++
			}
			h.endAttempt(id, 0, OK, elapsed)
		}
		return crossed
	}
	first, later := load(10), load(300)
	if first > 3 || later < 150 {
		t.Errorf("near servers are slow: %d of 10 cross at first, %d of 300 later", first, later)
	}
	nearLatency = 50
	load(400)
	if back := load(100); back > 10 {
		t.Errorf("near servers are fast again: %d of 100 cross", back)
	}
}

// The own zone is used first, then the own region, then other regions.
func TestLocality_regionOrder(t *testing.T) {
	h := newZoneHarness(t, func(c *Config) { c.Regions, c.RegionCost = []int{0, 0, 1}, 3 }, 4, 4, 4)
	if first := h.playRequests(200, 20, alwaysOK); first[0] < 195 {
		t.Errorf("all zones answer: first attempts by zone: %v", first)
	}
	if first := h.playRequests(100, 20, failZone(0)); first[1] < 85 || first[2] > 5 {
		t.Errorf("the own zone fails: first attempts by zone: %v", first)
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
		t.Errorf("the own region fails: first attempts by zone: %v", first)
	}
}

// A streamed response counts for its zone as soon as it starts: the next trial does not wait for its end.
func TestLocality_zoneReturnOfStreams(t *testing.T) {
	h := newZoneHarness(t, nil, 8, 8)
	h.playRequests(5, 20, failZone(0))
	z := h.b.locality.zones[0]
	h.now = z.suspendedUntil + 1
	for _, s := range h.b.servers {
		s.ejectedUntil = 0
	}
	for n := 1; n < 8; n++ {
		for i := 0; z.trialsInFlight == 0 && i < 20; i++ {
			id, actions := h.sendRequest(idempotentClass)
			if hasAction(actions, Send) && h.lastZone(id) != 0 {
				h.endAttempt(id, 0, OK, 50)
			}
		}
		if z.trialsInFlight != 1 {
			t.Fatalf("%g trials in flight after %d started responses", z.trialsInFlight, n-1)
		}
		h.handle(ResponseStarted{Request: h.lastID, Server: h.b.requests[h.lastID].attempts[0].server.ID, Elapsed: 50})
		if z.trialsInFlight != 0 || z.trialLimit != float64(n) {
			t.Fatalf("%+v after %d started responses", z, n)
		}
	}
}
