package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// A request that is rejected by load shedding carries a retry pause if the settings allow it. A request that failed
// at servers carries none.
func TestAdmission_retryAfter(t *testing.T) {
	for _, test := range []struct {
		enabled            bool
		maxRetryAfter      float64
		minPause, maxPause float64
	}{
		{true, 1000, 1, 300}, {true, 7, 7, 7}, {false, 1000, 0, 0},
	} {
		cfg := baseConfig()
		cfg.RetryAfter, cfg.MaxRetryAfter = test.enabled, test.maxRetryAfter
		h := newHarness(t, cfg, identicalServers(2)...)
		rejected := 0
		var inFlight []RequestID
		for range 500 { // responses take nearly the whole latency objective
			h.now += 5
			id, actions := h.sendRequest(idempotentClass)
			if _, sent := sentTo(actions); sent {
				inFlight = append(inFlight, id)
			}
			if len(inFlight) > 55 {
				h.endAttempt(inFlight[0], 0, OK, 275)
				inFlight = inFlight[1:]
			}
			for _, a := range actions {
				if a.Kind == Reject {
					rejected++
					if a.At < test.minPause || a.At > test.maxPause {
						t.Errorf("%+v: the retry pause is %v ms", test, a.At)
					}
				}
			}
		}
		if rejected == 0 {
			t.Errorf("%+v: no request was rejected", test)
		}
	}
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	id, _ := h.sendRequest(idempotentClass)
	h.endAttempt(id, 0, Failed, 10)
	for _, a := range h.endAttempt(id, 1, Failed, 10) {
		if a.Kind == Reject && a.At != 0 {
			t.Errorf("the retry pause after a failure is %v ms, want none", a.At)
		}
	}
}

// In overload, requests that cannot be answered in time are rejected before they are sent, starting with those of
// low priority weight.
func TestAdmission_lowPriorityFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	rejected := map[int]int{}
	var inFlight []RequestID
	for i := range 2000 {
		h.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, actions := h.sendRequest(class)
		if hasAction(actions, Reject) {
			rejected[class]++
			continue
		}
		inFlight = append(inFlight, id)
		if len(inFlight) > 150 { // responses take 300 ms and more
			h.endAttempt(inFlight[0], 0, OK, 300)
			inFlight = inFlight[1:]
		}
	}
	if rejected[idempotentClass] < 100 || rejected[nonIdempotentClass] >= rejected[idempotentClass] {
		t.Fatalf("rejected %d of low priority weight and %d of high weight", rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// A sidecar with two requests per second sheds at least half of the excess after three seconds of overload.
func TestAdmission_lowTrafficOverload(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 6 {
		h.setOverload(h.b.admission.sustainedShed, 0.8)
		h.now += 500
		h.b.admission.inFlightLoadAt = h.now
		h.sendRequest(idempotentClass)
	}
	if h.b.admission.sustainedShed < 0.5 {
		t.Fatalf("%.2f is shed after three seconds of overload", h.b.admission.sustainedShed)
	}
}

// setOverload sets the sustained fraction of the load to shed, and a load in flight for which the estimated latency
// exceeds the target by excess, a fraction of the latency objective.
func (h *harness) setOverload(sustained, excess float64) {
	target := h.b.admission.minMeanLatency + spareObjective*(1-h.b.admission.minMeanLatency)
	if h.b.admission.sustainedShed = sustained; sustained > 0 {
		h.b.admission.sustainedShed += shedTolerance
	}
	rate := h.b.admission.responseRate(priorResponses)
	assumed := h.b.admission.minMeanLatency * (1 - h.b.admission.responseRate(0)/rate)
	h.b.admission.inFlightLoad, h.b.admission.inFlightLoadAt = (target+excess-assumed)*rate, h.now
	h.b.admission.meanInFlightLoad = h.b.admission.inFlightLoad
}

// rejectedFractions sends 4000 requests, chosen at random from the (class, tenant) pairs in arrivals, while 0.4 of
// the work is to be shed. It returns the rejected fraction of each class and of each tenant.
func rejectedFractions(t *testing.T, cfg Config, arrivals ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	h := newHarness(t, cfg, identicalServers(4)...)
	var arrived [2][5]float64
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		arrival := arrivals[rng.IntN(len(arrivals))]
		h.now++
		h.setOverload(0.4, 0)
		arrived[0][arrival[0]]++
		arrived[1][arrival[1]]++
		id := RequestID(i + 1)
		actions := h.handle(Request{ID: id, Class: arrival[0], Tenant: arrival[1], Remaining: cfg.Classes[arrival[0]].Deadline})
		if hasAction(actions, Reject) {
			byClass[arrival[0]]++
			byTenant[arrival[1]]++
		} else {
			h.endAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, arrived[0][i])
		byTenant[i] /= max(1, arrived[1][i])
	}
	return byClass, byTenant
}

// The rejected fraction follows the present load, from 0 to twice the sustained fraction. Without a sustained
// fraction, nearly nothing is rejected, because a short peak is not an overload.
func TestAdmission_shedFollowsLoad(t *testing.T) {
	for _, c := range []struct {
		sustained, excess        float64 // excess: latency above the target, as a fraction of the objective
		minRejected, maxRejected float64 // fractions of the requests
	}{{0, 0.5, 0, 0.05}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		h := newHarness(t, baseConfig(), identicalServers(4)...)
		for range 100 {
			id, _ := h.sendRequest(idempotentClass)
			h.now += 5
			h.endAttempt(id, 0, OK, 50)
		}
		rejected := 0.0
		for range 200 {
			h.setOverload(c.sustained, c.excess)
			if _, actions := h.sendRequest(idempotentClass); hasAction(actions, Reject) {
				rejected++
			}
		}
		if rejected /= 200; rejected < c.minRejected || rejected > c.maxRejected {
			t.Errorf("%+v: %.2f were rejected", c, rejected)
		}
	}
}

// Of two tenants with equal quotas, the one with three times the traffic loses the part above its quota. With equal
// traffic both lose the same fraction.
func TestAdmission_tenantOverQuota(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}}
	_, rejected := rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if rejected[0] < 0.4 || rejected[1] > 0.1 {
		t.Fatalf("rejected %.2f of the tenant over its quota, %.2f of the other", rejected[0], rejected[1])
	}
	_, rejected = rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
}

// A goal with a weight for the worst-served class makes the rejected fractions of the classes similar. Without that
// weight, the class of lowest priority weight is rejected first.
func TestAdmission_worstClassGoal(t *testing.T) {
	cfg := baseConfig()
	arrivals := [][2]int{{idempotentClass, 0}, {nonIdempotentClass, 0}}
	cfg.Goal = Goal{Overall: 1}
	if rejected, _ := rejectedFractions(t, cfg, arrivals...); rejected[idempotentClass] < 0.7 || rejected[nonIdempotentClass] > 0.1 {
		t.Fatalf("without the weight in the goal, %.2f and %.2f are rejected", rejected[idempotentClass], rejected[nonIdempotentClass])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstClass: 0.7}
	if rejected, _ := rejectedFractions(t, cfg, arrivals...); rejected[idempotentClass] > 0.5 || rejected[nonIdempotentClass] < 0.3 {
		t.Fatalf("with the weight in the goal, %.2f and %.2f are rejected", rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// With a weight for the worst-served tenant in the goal, a tenant above its quota is still served.
func TestAdmission_worstTenantGoal(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.8}, {Quota: 0.2}}
	arrivals := [][2]int{{0, 0}, {0, 1}}
	cfg.Goal = Goal{Overall: 1}
	if _, rejected := rejectedFractions(t, cfg, arrivals...); rejected[0] > 0.1 || rejected[1] < 0.7 {
		t.Fatalf("without the weight in the goal, %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstTenant: 0.7}
	if _, rejected := rejectedFractions(t, cfg, arrivals...); math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("with the weight in the goal, %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
}

// While load is shed, an attempt of a non-idempotent class ends at its latency objective, which does not count as
// an error of its server. Other classes get no such timeout, because their clients would retry.
func TestAdmission_nonIdempotentTimeout(t *testing.T) {
	for class, timesOut := range map[int]bool{nonIdempotentClass: true, idempotentClass: false, cellKeyClass: false} {
		for _, sustained := range []float64{0, 0.2} {
			h := newHarness(t, baseConfig(), identicalServers(4)...)
			h.b.admission.sustainedShed = sustained
			if sustained > 0 {
				h.b.admission.sustainedShed += shedTolerance
			}
			id, actions := h.sendRequest(class)
			s, ok := sentTo(actions)
			for n := 0; !ok && n < 50; n++ {
				id, actions = h.sendRequest(class)
				s, ok = sentTo(actions)
			}
			want := 0.0
			if timesOut && sustained > 0 {
				want = h.now + h.b.cfg.Classes[class].LatencyObjective
			}
			for _, a := range actions {
				if a.Kind == Send && a.At != want {
					t.Errorf("class %d, %v shed: the attempt ends at %v, want %v", class, sustained, a.At, want)
				}
			}
			if want > 0 {
				h.now += 200
				if h.endAttempt(id, 0, TimedOut, 200); h.b.byID[s].consecutiveErrors != 0 {
					t.Error("the timeout counts as an error of the server")
				}
			}
		}
	}
}
