package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Clients whose requests are shed are told when to return, where they listen; a request that failed at a
// server may return at once.
func TestAdmission_retryAfter(t *testing.T) {
	for _, test := range []struct {
		listen      bool
		most        float64
		least, want float64
	}{
		{true, 1000, 1, 300}, {true, 7, 7, 7}, {false, 1000, 0, 0},
	} {
		cfg := baseConfig()
		cfg.RetryAfter, cfg.MaxRetryAfter = test.listen, test.most
		g := newHarness(t, cfg, identicalServers(2)...)
		refused := 0
		var open []RequestID
		for range 500 { // answers take nearly all of the aim
			g.now += 5
			id, acts := g.sendRequest(idempotentClass)
			if _, sent := sentTo(acts); sent {
				open = append(open, id)
			}
			if len(open) > 55 {
				g.endAttempt(open[0], 0, OK, 275)
				open = open[1:]
			}
			for _, a := range acts {
				if a.Kind == Reject {
					refused++
					if a.At < test.least || a.At > test.want {
						t.Errorf("%+v: told to stay away for %v ms", test, a.At)
					}
				}
			}
		}
		if refused == 0 {
			t.Errorf("%+v: nothing was shed", test)
		}
	}
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	id, _ := g.sendRequest(idempotentClass)
	g.endAttempt(id, 0, Failed, 10)
	for _, a := range g.endAttempt(id, 1, Failed, 10) {
		if a.Kind == Reject && a.At != 0 {
			t.Errorf("a failed request is told to stay away for %v ms", a.At)
		}
	}
}

// In overload every queue filled and all answers came late. What cannot be answered in time is
// refused before it is sent, least worth first.
func TestAdmission_lowPriorityFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	refused := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		g.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, acts := g.sendRequest(class)
		if hasAction(acts, Reject) {
			refused[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			g.endAttempt(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if refused[idempotentClass] < 100 || refused[nonIdempotentClass] >= refused[idempotentClass] {
		t.Fatalf("refused %d of low worth and %d of high worth", refused[idempotentClass], refused[nonIdempotentClass])
	}
}

// After a crash a sidecar of two requests a second took eight seconds to shed, and what was left choked.
func TestAdmission_lowTrafficOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 6 {
		g.setOverload(g.b.admission.lastingShed, 0.8)
		g.now += 500
		g.b.admission.inFlightLoadAt = g.now
		g.sendRequest(idempotentClass)
	}
	if g.b.admission.lastingShed < 0.5 {
		t.Fatalf("%.2f is shed after three seconds of overload", g.b.admission.lastingShed)
	}
}

// crowd sets the lasting part to shed and fills the fleet so that answers take the given part of the
// aim longer than they may.
func (g *harness) setOverload(lasting, over float64) {
	full := g.b.admission.minMeanLatency + spareObjective*(1-g.b.admission.minMeanLatency)
	if g.b.admission.lastingShed = lasting; lasting > 0 {
		g.b.admission.lastingShed += shedTolerance
	}
	rate := g.b.admission.answerRate(priorAnswers)
	assumed := g.b.admission.minMeanLatency * (1 - g.b.admission.answerRate(0)/rate)
	g.b.admission.inFlightLoad, g.b.admission.inFlightLoadAt = (full+over-assumed)*rate, g.now
	g.b.admission.meanInFlightLoad = g.b.admission.inFlightLoad
}

// shedding brings 4000 requests, drawn from turns of (class, tenant), of which 0.4 of the work is to be shed,
// and returns the part refused of each class and of each tenant.
func rejectedFractions(t *testing.T, cfg Config, arrivals ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	g := newHarness(t, cfg, identicalServers(4)...)
	var arrived [2][5]float64
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		arrival := arrivals[draw.IntN(len(arrivals))]
		g.now++
		g.setOverload(0.4, 0)
		arrived[0][arrival[0]]++
		arrived[1][arrival[1]]++
		id := RequestID(i + 1)
		acts := g.handle(Request{ID: id, Class: arrival[0], Tenant: arrival[1], Remaining: cfg.Classes[arrival[0]].Deadline})
		if hasAction(acts, Reject) {
			byClass[arrival[0]]++
			byTenant[arrival[1]]++
		} else {
			g.endAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, arrived[0][i])
		byTenant[i] /= max(1, arrived[1][i])
	}
	return byClass, byTenant
}

// Busy sidecars let queues grow for seconds before enough was shed, and crowded servers
// stayed slow. What is shed follows the load at once, between nothing and twice the lasting part; a
// sidecar that has not shed lately refuses nothing, as its few requests may crowd by chance.
func TestAdmission_shedFollowsLoad(t *testing.T) {
	for _, c := range []struct {
		lasting, over float64 // over: of the aim, beyond what answers may take
		least, most   float64 // part refused
	}{{0, 0.5, 0, 0.05}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		g := newHarness(t, baseConfig(), identicalServers(4)...)
		for range 100 {
			id, _ := g.sendRequest(idempotentClass)
			g.now += 5
			g.endAttempt(id, 0, OK, 50)
		}
		refused := 0.0
		for range 200 {
			g.setOverload(c.lasting, c.over)
			if _, acts := g.sendRequest(idempotentClass); hasAction(acts, Reject) {
				refused++
			}
		}
		if refused /= 200; refused < c.least || refused > c.most {
			t.Errorf("%+v: %.2f were refused", c, refused)
		}
	}
}

// Of two tenants with equal shares the one that asks three times as much loses what is beyond its
// share; when both ask for the same they lose the same.
func TestAdmission_tenantOverQuota(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}}
	_, refused := rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if refused[0] < 0.4 || refused[1] > 0.1 {
		t.Fatalf("refused %.2f of the tenant with much traffic, %.2f of the other", refused[0], refused[1])
	}
	_, refused = rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// The class of least worth was refused wholly although the worst-served class weighs much
// in the goal. Then the classes come near each other; without such a weight the least goes first.
func TestAdmission_worstClassGoal(t *testing.T) {
	cfg := baseConfig()
	turns := [][2]int{{idempotentClass, 0}, {nonIdempotentClass, 0}}
	cfg.Goal = Goal{Overall: 1}
	if refused, _ := rejectedFractions(t, cfg, turns...); refused[idempotentClass] < 0.7 || refused[nonIdempotentClass] > 0.1 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[idempotentClass], refused[nonIdempotentClass])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstClass: 0.7}
	if refused, _ := rejectedFractions(t, cfg, turns...); refused[idempotentClass] > 0.5 || refused[nonIdempotentClass] < 0.3 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[idempotentClass], refused[nonIdempotentClass])
	}
}

// A tenant beyond its share is not starved where the worst-served tenant weighs in the goal.
func TestAdmission_worstTenantGoal(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.8}, {Quota: 0.2}}
	turns := [][2]int{{0, 0}, {0, 1}}
	cfg.Goal = Goal{Overall: 1}
	if _, refused := rejectedFractions(t, cfg, turns...); refused[0] > 0.1 || refused[1] < 0.7 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstTenant: 0.7}
	if _, refused := rejectedFractions(t, cfg, turns...); math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// In full queues everything served was late. While load is shed an unsafe request is given up at its aim,
// which is no error of the server's; others are not, as their clients would try again.
func TestAdmission_nonIdempotentTimeout(t *testing.T) {
	for class, cuts := range map[int]bool{nonIdempotentClass: true, idempotentClass: false, cellKeyClass: false} {
		for _, lasting := range []float64{0, 0.2} {
			g := newHarness(t, baseConfig(), identicalServers(4)...)
			g.b.admission.lastingShed = lasting
			if lasting > 0 {
				g.b.admission.lastingShed += shedTolerance
			}
			id, acts := g.sendRequest(class)
			s, ok := sentTo(acts)
			for n := 0; !ok && n < 50; n++ {
				id, acts = g.sendRequest(class)
				s, ok = sentTo(acts)
			}
			want := 0.0
			if cuts && lasting > 0 {
				want = g.now + g.b.cfg.Classes[class].LatencyObjective
			}
			for _, a := range acts {
				if a.Kind == Send && a.At != want {
					t.Errorf("class %d, %v shed: given up at %v, want %v", class, lasting, a.At, want)
				}
			}
			if want > 0 {
				g.now += 200
				if g.endAttempt(id, 0, TimedOut, 200); g.b.byID[s].consecutiveErrors != 0 {
					t.Error("an attempt that was cut is held against its server")
				}
			}
		}
	}
}
