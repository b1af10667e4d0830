package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Where crossing zones has a price, the own zone gets more, and others still take their part.
func TestLocality_crossZonePrice(t *testing.T) {
	for price, least := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Prices.CrossZone, cfg.Zone = price, 1
		g := newHarness(t, cfg, identicalServers(8)...)
		own := 0
		for _, s := range sendSequence(g, 40) {
			if s > 4 {
				own++
			}
		}
		if own < least || own > 38 || price == 0 && own > 20 {
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
	g := newHarness(t, cfg, list...)
	for range 40 { // it knows its demand, and so all servers
		g.now += 5
		id, _ := g.sendRequest(idempotentClass)
		g.endAttempt(id, 0, OK, 50)
	}
	return g
}

// zoneOf is the zone of the last attempt of a request.
func (g *harness) lastZone(id RequestID) int {
	r := g.b.requests[id]
	return r.attempts[len(r.attempts)-1].server.Zone
}

// play answers requests in turn, by the verdict on the server of each attempt, and returns how many first sends went to
// each zone.
func (g *harness) playRequests(n int, every float64, verdict func(s *server) Result) map[int]int {
	g.t.Helper()
	first := map[int]int{}
	for range n {
		g.now += every
		id, _ := g.sendRequest(idempotentClass)
		for attempt := 0; g.b.requests[id] != nil && attempt < len(g.b.requests[id].attempts); attempt++ {
			s := g.b.requests[id].attempts[attempt].server
			if attempt == 0 {
				first[s.Zone]++
			}
			res, took := verdict(s), 50.0
			if res == ConnectFailed {
				took = 120
			}
			g.now += took
			g.endAttempt(id, attempt, res, took)
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
		g := newZoneHarness(t, change, 8, 8)
		met := map[ServerID]bool{}
		g.playRequests(5, 20, func(s *server) Result { // less time than the first pause
			if s.Zone == 0 {
				met[s.ID] = true
			}
			return failZone(0)(s)
		})
		left := g.b.ZoneStatus().Left == 1
		// From its own zone a sidecar meets it at once; from another one it has no need to.
		if near := g.b.cfg.Zone == 0; near && (!left || len(met) != 2) || !near && len(met) > 2 {
			t.Errorf("own zone %d: %d servers of the dead zone were met, left %v", g.b.cfg.Zone, len(met), left)
		}
	}
}

func TestLocality_allZonesFail(t *testing.T) {
	g := newZoneHarness(t, nil, 6, 6, 6)
	g.playRequests(60, 100, func(*server) Result { return ConnectFailed })
	if z := g.b.ZoneStatus(); z.Left != 0 || z.Evidence == 0 {
		t.Errorf("%+v", z)
	}
	// As soon as one answers again, the others are known by it.
	g.playRequests(60, 100, failZone(0))
	if z := g.b.ZoneStatus(); z.Left != 1 {
		t.Errorf("one zone answers and another does not: %+v", z)
	}
}

// Servers that refuse are there, and one that fails says little: half as much.
func TestLocality_partialEvidence(t *testing.T) {
	for _, c := range []struct {
		result Result
		took   float64
		need   int
	}{{ConnectFailed, 120, 2}, {ConnectFailed, 1, 4}, {Reset, 30, 4}, {Failed, 5, 4}} {
		g := newZoneHarness(t, nil, 8, 8)
		g.b.locality.zones[0].answeredAt, g.b.locality.zones[1].answeredAt = g.now, g.now+1
		n := 0
		for _, s := range g.b.servers {
			if s.Zone != 0 || g.b.locality.zones[0].left {
				continue
			}
			g.now++
			g.b.now = g.now
			weight := partialEvidence
			if c.result == ConnectFailed && c.took >= 60 {
				weight = 1
			}
			g.b.outliers.recordFailure(s, c.result == ConnectFailed, weight)
			g.b.outliers.recordFailure(s, c.result == ConnectFailed, weight) // a server is one witness, however often it fails
			g.b.locality.recordAnswer(g.b.locality.zones[1], false, 0.1)
			n++
		}
		if n != c.need || !g.b.locality.zones[0].left {
			t.Errorf("%+v: left %v after %d servers", c, g.b.locality.zones[0].left, n)
		}
	}
}

func TestLocality_answerClearsEvidence(t *testing.T) {
	g := newZoneHarness(t, nil, 8, 8)
	n := 0
	g.playRequests(200, 50, func(s *server) Result {
		if s.Zone == 0 {
			if n++; n%2 == 0 {
				return ConnectFailed
			}
		}
		return OK
	})
	if z := g.b.ZoneStatus(); z.Left != 0 {
		t.Errorf("a zone of which every second request is answered was left: %+v", z)
	}
}

// A zone that is most of the fleet needs more against it: what is left could not bear the load.
func TestLocality_largeZone(t *testing.T) {
	for _, c := range []struct{ own, other, need int }{{4, 12, 2}, {8, 8, 2}, {12, 4, 4}, {15, 1, 4}} {
		g := newZoneHarness(t, nil, c.own, c.other)
		met := map[ServerID]bool{}
		g.playRequests(c.need+2, 20, func(s *server) Result {
			if s.Zone == 0 {
				met[s.ID] = true
			}
			return failZone(0)(s)
		})
		if len(met) != c.need {
			t.Errorf("%d of %d servers: left after %d of them", c.own, c.own+c.other, len(met))
		}
	}
}

func TestLocality_zoneReturn(t *testing.T) {
	g := newZoneHarness(t, nil, 8, 8)
	g.playRequests(20, 20, failZone(0))
	z := g.b.locality.zones[0]
	if z.id != 0 || !z.left {
		t.Fatalf("%+v", z)
	}
	g.now = z.leftUntil + 1
	for _, s := range g.b.servers {
		s.ejectedUntil = 0
	}
	if id, _ := g.sendRequest(nonIdempotentClass); g.lastZone(id) != 1 {
		t.Error("an unsafe request tries a zone that was left")
	}
	var there []RequestID
	fill := func() (n int) {
		for range 20 {
			id, acts := g.sendRequest(idempotentClass)
			if !hasAction(acts, Send) {
				continue
			}
			if g.lastZone(id) != 0 {
				g.endAttempt(id, 0, OK, 50)
				continue
			}
			there = append(there, id)
			n++
		}
		return n
	}
	if n := fill(); n != 1 {
		t.Fatalf("%d requests try the zone at first", n)
	}
	for want := 1; want < 8 && z.left; want++ {
		g.now += 50
		g.endAttempt(there[0], 0, OK, 50)
		there = there[1:]
		fill()
		if z.left && int(z.trials) != want {
			t.Fatalf("after %d good answers %g requests are there", want, z.trials)
		}
	}
	if !z.left {
		t.Fatal("it was in full use before its answers were as many as its servers")
	}
	g.now += 50
	g.endAttempt(there[0], 0, OK, 50)
	if z.left {
		t.Errorf("it is not in full use after eight good answers: %+v", z)
	}
}

// A zone that fails on its return waits longer each time, and sidecars do not come back together.
func TestLocality_returnBackoff(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(5) {
		g := newZoneHarness(t, func(c *Config) { c.Seed = seed }, 8, 8)
		var pauses []float64
		var last float64
		for range 2000 {
			g.playRequests(1, 30, failZone(0))
			if z := g.b.locality.zones[0]; z.left && z.leftUntil != last {
				last = z.leftUntil
				pauses = append(pauses, z.leftUntil-g.now)
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
	const servers, sick, meetings = 64, 8, 100000
	g := newZoneHarness(t, nil, servers, servers)
	z, other := g.b.locality.zone(0), g.b.locality.zone(1)
	r := rand.New(rand.NewPCG(1, 2))
	left := 0
	for range meetings {
		g.b.now++
		g.b.locality.recordAnswer(other, false, 0.1)
		if s := g.b.byID[ServerID(1+r.IntN(servers))]; s.ID <= sick {
			g.b.locality.addEvidence(s, 1)
		} else {
			g.b.locality.recordAnswer(z, false, 0.1)
		}
		if z.left {
			left++
			z.left, z.evidence, z.clearedAt = false, 0, g.b.now
		}
	}
	const q = float64(sick) / servers
	if share := float64(left) / meetings; share > q*q || share < q*q/2 {
		t.Errorf("left in %.2f %% of meetings, not in about %.2f", 100*share, 100*q*q)
	}
}

func TestLocality_noNeedlessCrossing(t *testing.T) {
	g := newZoneHarness(t, nil, 8, 8)
	if first := g.playRequests(500, 20, alwaysOK); first[1] > 5 {
		t.Errorf("first sends by zone: %v", first)
	}
}

// What near servers cannot take crosses, in steps, and comes back.
func TestLocality_spillover(t *testing.T) {
	g := newZoneHarness(t, nil, 8, 8)
	slow := 220.0
	load := func(n int) (far int) {
		for range n {
			g.now += 20
			id, acts := g.sendRequest(idempotentClass)
			if !hasAction(acts, Send) {
				continue
			}
			took := 50.0
			if g.lastZone(id) == 0 {
				took = slow
			} else {
				far++
			}
			g.endAttempt(id, 0, OK, took)
		}
		return far
	}
	first, later := load(10), load(300)
	if first > 3 || later < 150 {
		t.Errorf("near answers are slow: %d of 10 crossed at first, %d of 300 later", first, later)
	}
	slow = 50
	load(400)
	if back := load(100); back > 10 {
		t.Errorf("near answers are quick again: %d of 100 cross", back)
	}
}

func TestLocality_regionOrder(t *testing.T) {
	g := newZoneHarness(t, func(c *Config) { c.Regions, c.RegionCost = []int{0, 0, 1}, 3 }, 4, 4, 4)
	if first := g.playRequests(200, 20, alwaysOK); first[0] < 195 {
		t.Errorf("calm: %v", first)
	}
	if first := g.playRequests(100, 20, failZone(0)); first[1] < 85 || first[2] > 5 {
		t.Errorf("the own zone is dead: %v", first)
	}
	g.playRequests(20, 20, func(s *server) Result {
		if s.Zone < 2 {
			return ConnectFailed
		}
		return OK
	})
	if first := g.playRequests(100, 20, func(s *server) Result {
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
	g := newZoneHarness(t, nil, 8, 8)
	g.playRequests(5, 20, failZone(0))
	z := g.b.locality.zones[0]
	g.now = z.leftUntil + 1
	for _, s := range g.b.servers {
		s.ejectedUntil = 0
	}
	for n := 1; n < 8; n++ {
		for i := 0; z.trials == 0 && i < 20; i++ {
			id, acts := g.sendRequest(idempotentClass)
			if hasAction(acts, Send) && g.lastZone(id) != 0 {
				g.endAttempt(id, 0, OK, 50)
			}
		}
		if z.trials != 1 {
			t.Fatalf("%g trials out after %d long answers have begun", z.trials, n-1)
		}
		g.handle(AnswerStarted{Request: g.lastID, Server: g.b.requests[g.lastID].attempts[0].server.ID, Elapsed: 50})
		if z.trials != 0 || z.admitLimit != float64(n) {
			t.Fatalf("%+v after %d answers have begun", z, n)
		}
	}
}
