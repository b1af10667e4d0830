package stock

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runJobs puts jobs into a model and runs the clock until all are done; it returns when each was complete.
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

// All work is done, none twice, and no faster than the cores allow.
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
			t.Fatalf("%v of work done, %v requested", m.workDone, sum)
		}
		fastest := sum / (float64(spec.Cores) * spec.Speed)
		if ms := float64(last) / float64(time.Millisecond); ms < fastest-0.01 {
			t.Fatalf("all done after %v ms, %v at best", ms, fastest)
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
			t.Errorf("two servers that share half of their capacity end after %v", at)
		}
	}
}

func TestModel_overload(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1, InitialCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadMultiple: 4, OverloadTime: 3 * time.Second}
	// At the start it can do 0.4 a millisecond; four times that for 3 s are 4,800, and some are tolerated.
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
			t.Errorf("%v of work at once: crashed is %v", c.total, crashed)
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
	// Overloaded from the start; 1 s later it is half as fast, so the five end after 9 s; idle for 1 s, it is free.
	for s, want := range map[int]bool{0: false, 2: true, 8: true, 12: false} {
		if jammed[s] != want {
			t.Errorf("after %d s jammed is %v: %v", s+1, jammed[s], jammed)
		}
	}
}

// Requests in slots share the cores evenly: with two on one core both take twice as long, and the third waits.
func TestModel_slots(t *testing.T) {
	m := newModel(Spec{Cores: 1, Slots: 2, Speed: 1, Queue: 1})
	ends := runJobs(&group{limit: 1, models: []*model{m}}, m, []float64{100, 100, 100}, 0)
	for i, want := range []time.Duration{200, 200, 300} {
		if got := ends[i].Round(time.Millisecond); got != want*time.Millisecond {
			t.Errorf("request %d ends after %v, want %v", i, got, want*time.Millisecond)
		}
	}
	m.queue, m.running = []*job{{}}, []*job{{}, {}}
	if !m.isFull() {
		t.Error("one more is taken than slots and queue hold")
	}
}

// A pause prolongs a running request; how long pauses are in all follows from how often they come, how long one is
// and how busy the server is.
func TestModel_pauses(t *testing.T) {
	pausedFraction := func(loadFactor float64) float64 {
		m := newModel(Spec{Cores: 1, Speed: 1, Pause: Pause{MeanInterval: time.Second, MaxIdleLength: 200 * time.Millisecond, LoadFactor: loadFactor, Seed: 7}})
		g := &group{limit: 1, models: []*model{m}}
		ends := runJobs(g, m, []float64{1e6}, 0)
		return float64(ends[0])/1e9/1000 - 1
	}
	// A second of work and then a tenth of a second on average, twice that when all slots are in use.
	for grow, want := range map[float64]float64{0: 0.1, 1: 0.2} {
		if got := pausedFraction(grow); math.Abs(got-want) > 0.02 {
			t.Errorf("grow %g: %.3f of the work's time are pauses, want %.2f", grow, got, want)
		}
	}
	if pausedFraction(0) != pausedFraction(0) {
		t.Error("the same seed gave two runs")
	}
}
