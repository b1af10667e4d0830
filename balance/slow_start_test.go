package balance

import (
	"math"
	"math/rand"
	"testing"
)

// A route that all sidecars follow to one cold server at once pushes it over no more than the ordinary way does.
func TestSlowStart_routedFleet(t *testing.T) {
	const sidecars, servers, gap = 120, 30, 250.0
	cfg := tenantConfig()
	all := identicalServers(servers)
	all[0].StartedAt = 1000
	var rigs []*harness
	for i := range sidecars {
		cfg.Seed, cfg.Number = uint64(i), i
		g := newHarness(t, cfg, all[1:]...)
		for _, s := range g.b.servers {
			s.rank = g.b.rankOf(s)
		}
		g.handle(CanaryLease{Until: math.Inf(1)})
		g.handle(Routes{Rev: 1, List: []Route{canaryRoute(1, 1)}})
		rigs = append(rigs, g)
	}
	sent := make([]int, 20) // a second each
	for now := 1000.0; now < 21000; now += gap {
		for i, g := range rigs {
			g.now = now + gap*float64(i)/sidecars
			if now == 1000 {
				g.handle(ServerList{Kind: ListFull, Servers: all})
			}
			id, a := g.sendForTenant(idempotentClass)
			if a.Server == 1 {
				sent[int((now-1000)/1000)]++
			}
			g.endAttempt(id, 0, OK, 20)
		}
	}
	for at, n := range sent {
		warmth := cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*float64(at+1)*1000/cfg.SlowStartTime
		if fair := sidecars * 1000 / gap / servers * warmth; float64(n) > cfg.OverloadMultiple*fair {
			t.Errorf("second %d: %d requests, its part is %.1f", at, n, fair)
		}
	}
	t.Logf("sent in each second: %v", sent)
}

// A cold server was pushed over when the budget followed what clients asked, repeats included.
func TestSlowStart_restartUnderLoad(t *testing.T) {
	const sidecars, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	toCold := 0
	for n := range sidecars {
		cfg.Seed, cfg.Number = uint64(n+1), n
		servers := identicalServers(5)
		g := newHarness(t, cfg, servers...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // half-way one server restarts
				servers[0].StartedAt = g.now
				g.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
			}
			id, acts := g.sendRequest(idempotentClass)
			s, ok := sentTo(acts)
			if !ok {
				t.Fatal("nothing sent")
			}
			if s == 1 && i >= perSecond*3 && i < perSecond*4 {
				toCold++
			}
			g.endAttempt(id, 0, OK, 10)
			g.now += 1000 / perSecond
		}
	}
	// A warm server gets a fifth of the traffic; the cold one can do ColdFrom of that and a little
	// more as it warms, and falls at FallMultiple times what it can do.
	limit := float64(sidecars*perSecond) / 5 * cfg.OverloadMultiple * (cfg.SlowStartCapacity + 0.05)
	if toCold == 0 || float64(toCold) > limit {
		t.Fatalf("%d sends to a cold server in its first second, want 1 to %.0f", toCold, limit)
	}
}

// A server that could not be reached and then answers has restarted, whatever the list says.
func TestSlowStart_unreachableThenBack(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	id, acts := g.sendRequest(idempotentClass)
	s, _ := sentTo(acts)
	g.endAttempt(id, 0, ConnectFailed, 150)
	g.now += 60000
	for range 8 {
		id, acts = g.sendRequest(idempotentClass)
		if again, _ := sentTo(acts); again == s {
			g.endAttempt(id, 0, OK, 10)
			break
		}
		g.endAttempt(id, 0, OK, 10)
	}
	if !g.b.slowStart.warmingUp(g.b.byID[s]) {
		t.Fatal("the server is held to be warm")
	}
}

// A sidecar that prefers others still uses a server that restarted: its budget follows what servers can do,
// not how little this sidecar used that one before. With nothing sent nothing is learned either.
func TestSlowStart_smallServer(t *testing.T) {
	cfg := baseConfig()
	list := identicalServers(4)
	g := newHarness(t, cfg, list...)
	g.b.byID[1].size = -maxSize
	var open []RequestID
	serve := func(ms int) int { // 200 requests a second, 8 in flight, as full servers have
		toCold := 0
		for range ms / 5 {
			g.now += 5
			id, acts := g.sendRequest(idempotentClass)
			if s, sent := sentTo(acts); sent {
				open = append(open, id)
				if s == 1 {
					toCold++
				}
			}
			if len(open) > 8 {
				g.endAttempt(open[0], 0, OK, 40)
				open = open[1:]
			}
		}
		return toCold
	}
	serve(2000)
	list[0].StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: list[:1]})
	serve(4000)
	sent := serve(4000)
	// In these 4 s it can do 0.36 to 0.52 of its quarter of 800, and falls at FallMultiple times that.
	if sent < 30 || float64(sent) > cfg.OverloadMultiple*0.36*200 {
		t.Errorf("%d of 800 requests to a server at two fifths of its capacity", sent)
	}
}

// Answers assumed for small sidecars counted in the budget of cold servers too, and together
// they pushed one over. A sidecar that has seen no answers may hardly send anything to a cold server.
func TestSlowStart_assumedAnswers(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	entry := g.b.servers[0].Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	g.now += 2000
	g.sendRequest(idempotentClass) // sets the weights
	s := g.b.servers[0]
	s.tokens, s.tokensAt = 0, g.now-2000
	if g.b.picker.withinBudget(s); s.tokens > 0.2 { // with ten assumed: 1
		t.Fatalf("%.2f sends in two seconds", s.tokens)
	}
	for range 400 { // of two hundred answers a second it may have its part
		g.b.admission.answers.add(g.now, rateSpanObjectives*g.b.maxObjective)
	}
	s.tokens, s.tokensAt = 0, g.now-2000
	if g.b.picker.withinBudget(s); s.tokens < 0.5 {
		t.Fatalf("%.2f sends in two seconds for a busy sidecar", s.tokens)
	}
}

// The two processes of a sidecar during an upgrade assume the few answers together.
func TestSlowStart_processCount(t *testing.T) {
	budget := func(parts int) float64 {
		g := newHarness(t, baseConfig(), identicalServers(4)...)
		g.handle(ProcessCount{Processes: parts})
		entry := g.b.servers[0].Server
		entry.StartedAt = g.now
		g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
		g.now += 2000
		g.sendRequest(idempotentClass) // sets the weights
		s := g.b.servers[0]
		s.tokens, s.tokensAt = 0, g.now-2000
		g.b.picker.withinBudget(s)
		return s.tokens
	}
	if one, two := budget(1), budget(2); two > 0.51*one || two == 0 {
		t.Errorf("%v sends for each of two processes, %v for one", two, one)
	}
}

// Many sidecars that know only themselves must not push a cold server over: in any window of the stated length
// all of them together send it less than the stated multiple of what it can do at that moment, with a little
// slack for chance. What it got while warm is taken to be its capacity: the least that this can be.
func TestSlowStart_manySidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, servers int }{{3, 6}, {200, 20}, {600, 60}} {
		cfg := baseConfig()
		rnd := rand.New(rand.NewSource(5))
		rigs := make([]*harness, c.sidecars)
		for i := range rigs {
			cfg.Number, cfg.Peers, cfg.Seed = i, c.sidecars, uint64(i)
			rigs[i] = newHarness(t, cfg, identicalServers(c.servers)...)
			for _, s := range rigs[i].b.servers {
				s.rank = rigs[i].b.rankOf(s)
			}
			rigs[i].b.dropGone()
		}
		const warm, end, perServer = 11000.0, 16000.0, 20.0 // perServer: requests a second
		gap := 1000 / perServer / float64(c.servers)
		var cold []float64
		before := 0.0
		restarted := identicalServers(1)[0]
		restarted.StartedAt = warm
		for now := 1000.0; now < end; now += gap {
			g := rigs[rnd.Intn(len(rigs))]
			g.now = now
			g.actions = g.actions[:0]
			if s := g.b.byID[1]; now >= warm && s.StartedAt != warm {
				g.handle(ServerList{Kind: ListDelta, Servers: []Server{restarted}})
			}
			id, acts := g.sendRequest(idempotentClass)
			to, ok := sentTo(acts)
			if !ok {
				continue
			}
			if to == 1 && now >= warm {
				cold = append(cold, now)
			} else if to == 1 {
				before += 1000 / (warm - 1000)
			}
			g.endAttempt(id, 0, OK, 5)
		}
		for i, from := range cold {
			n := 0
			for n < len(cold)-i && cold[i+n] < from+cfg.OverloadTime {
				n++
			}
			capacity := before * (cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*(from-warm)/cfg.SlowStartTime)
			if limit := cfg.OverloadMultiple * capacity * cfg.OverloadTime / 1000; float64(n) > limit+math.Sqrt(limit) {
				t.Fatalf("%d sidecars, %d servers: %d sends in a window, %.1f allowed", c.sidecars, c.servers, n, limit)
			}
		}
		if len(cold) == 0 {
			t.Errorf("%d sidecars, %d servers: the cold server gets nothing", c.sidecars, c.servers)
		}
	}
}
