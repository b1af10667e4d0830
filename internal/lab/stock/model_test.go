package stock

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runJobs queues one job per gap at a model, advances the clock until all are done, and returns when each completed.
func runJobs(g *group, m *model, works []float64, gap time.Duration) []time.Duration {
	ends := make([]time.Duration, len(works))
	done := 0
	now := time.Duration(0)
	step := func(to time.Duration) {
		now = to
		complete, _ := g.advance(now)
		for _, j := range complete {
			j.onDone(true)
		}
	}
	for i, w := range works {
		for next := g.next(now); next < time.Duration(i)*gap; next = g.next(now) {
			step(next)
		}
		step(time.Duration(i) * gap)
		j := &job{work: w, remaining: w, state: queued}
		j.onDone = func(bool) { ends[i], done = now, done+1 }
		m.queue = append(m.queue, j)
		step(now)
	}
	for done < len(works) {
		step(g.next(now))
	}
	return ends
}

// All work is done exactly once, and no faster than the cores allow.
func TestModel_workConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.3, 2).Draw(t, "speed"),
			Slots: rapid.IntRange(0, 6).Draw(t, "slots"), InitialCapacity: 0.2, SlowStartTime: time.Second,
			Pause: Pause{MeanInterval: 300 * time.Millisecond, MaxIdleLength: 100 * time.Millisecond, LoadFactor: 1, Seed: rapid.Uint64().Draw(t, "seed")}}
		m := newModel(spec)
		g := &group{limit: rapid.Float64Range(0.3, 1).Draw(t, "limit"), models: []*model{m}}
		works := rapid.SliceOfN(rapid.Float64Range(1, 200), 1, 40).Draw(t, "works")
		gap := time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond
		sum, last := 0.0, time.Duration(0)
		for _, w := range works {
			sum += w
		}
		for _, e := range runJobs(g, m, works, gap) {
			last = max(last, e)
		}
		if math.Abs(m.workDone-sum) > 1e-3*float64(len(works)) {
			t.Fatalf("work done: got %v, want %v", m.workDone, sum)
		}
		fastest := sum / (float64(spec.Cores) * spec.Speed)
		if ms := float64(last) / float64(time.Millisecond); ms < fastest-0.01 {
			t.Fatalf("all work done after %v ms, the cores need at least %v", ms, fastest)
		}
	})
}

func TestPod_limit(t *testing.T) {
	a, b := newModel(Spec{Cores: 1, Speed: 1}), newModel(Spec{Cores: 1, Speed: 1})
	g := &group{limit: 0.5, models: []*model{a, b}}
	var at [2]time.Duration
	now := time.Duration(0)
	for i, m := range g.models {
		j := &job{work: 100, remaining: 100, state: queued}
		j.onDone = func(bool) { at[i] = now }
		m.queue = append(m.queue, j)
	}
	for now != never {
		complete, _ := g.advance(now)
		for _, j := range complete {
			j.onDone(true)
		}
		now = g.next(now)
	}
	for _, end := range at {
		if end.Round(time.Millisecond) != 200*time.Millisecond {
			t.Errorf("two servers with half of their capacity: jobs end after %v, want 200ms each", at)
		}
	}
}

func TestModel_overload(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1, InitialCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadMultiple: 4, OverloadTime: 3 * time.Second}
	// The capacity at the start is 0.4 per millisecond. Four times that for 3 s is 4,800, plus overloadTolerance.
	for _, c := range []struct {
		total   float64
		crashes bool
	}{{4700, false}, {5600, true}} {
		m := newModel(spec)
		m.startedAt = 0
		crashed := false
		for sent := 0.0; sent < c.total; sent += 100 {
			crashed = crashed || m.overloads(time.Millisecond, 100)
		}
		if crashed != c.crashes {
			t.Errorf("%v of work at once: crashed = %v", c.total, crashed)
		}
	}
	warm := newModel(spec)
	for range 1000 {
		if warm.overloads(time.Millisecond, 100) {
			t.Fatal("a server crashed after its slow start")
		}
	}
}

func TestModel_jam(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Jam: Jam{StartLoad: 3, StartAfter: time.Second, Slowdown: 2, IdleLoad: 0.5, EndAfterIdle: time.Second, MaxLength: time.Minute}}
	m := newModel(spec)
	g := &group{limit: 1, models: []*model{m}}
	for range 5 {
		m.queue = append(m.queue, &job{remaining: 1000, work: 1000, state: queued, onDone: func(bool) {}})
	}
	jammed := []bool{}
	for s := range 14 {
		for tick := range 20 {
			g.advance(time.Duration(s)*time.Second + time.Duration(tick)*50*time.Millisecond)
		}
		jammed = append(jammed, m.jammedAt >= 0)
	}
	// Overloaded from the start, the server is half as fast after 1 s, so the five jobs end after 9 s. After 1 s idle,
	// the jam ends.
	for s, want := range map[int]bool{0: false, 2: true, 8: true, 12: false} {
		if jammed[s] != want {
			t.Errorf("after %d s: jammed = %v, all seconds: %v", s+1, jammed[s], jammed)
		}
	}
}

// Requests in slots share the cores evenly: two on one core take twice as long, and the third waits.
func TestModel_slots(t *testing.T) {
	m := newModel(Spec{Cores: 1, Slots: 2, Speed: 1, Queue: 1})
	ends := runJobs(&group{limit: 1, models: []*model{m}}, m, []float64{100, 100, 100}, 0)
	for i, want := range []time.Duration{200, 200, 300} {
		if got := ends[i].Round(time.Millisecond); got != want*time.Millisecond {
			t.Errorf("request %d ended after %v, want %v", i, got, want*time.Millisecond)
		}
	}
	m.queue, m.running = []*job{{}}, []*job{{}, {}}
	if !m.isFull() {
		t.Error("isFull: got false with all slots and the queue in use")
	}
}

// Pauses prolong a running request. Their total time follows from the mean interval, the length and the load.
func TestModel_pauses(t *testing.T) {
	pausedFraction := func(loadFactor float64) float64 {
		m := newModel(Spec{Cores: 1, Speed: 1, Pause: Pause{MeanInterval: time.Second, MaxIdleLength: 200 * time.Millisecond, LoadFactor: loadFactor, Seed: 7}})
		g := &group{limit: 1, models: []*model{m}}
		ends := runJobs(g, m, []float64{1e6}, 0)
		return float64(ends[0])/1e9/1000 - 1
	}
	// A second of work is followed by a pause of 0.1 s on average, twice that with load factor 1 and all slots in use.
	for grow, want := range map[float64]float64{0: 0.1, 1: 0.2} {
		if got := pausedFraction(grow); math.Abs(got-want) > 0.02 {
			t.Errorf("load factor %g: pauses are %.3f of the work time, want %.2f", grow, got, want)
		}
	}
	if pausedFraction(0) != pausedFraction(0) {
		t.Error("two runs with the same seed differ")
	}
}
