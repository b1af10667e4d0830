// Package measure turns the records of a run into figures: what was served in aim, how long it took, what was
// wasted, and what each process used.
package measure

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// Figures are the sums of a run after its warm-up. Shares lie between 0 and 1, times are in milliseconds.
type Figures struct {
	Requests   int     `json:"requests"`     // asked for by clients, retries not counted
	InAim      float64 `json:"in_aim"`       // worth answered within the aim over the worth asked for
	WorstInAim float64 `json:"worst_in_aim"` // ... in the worst 5 s
	Refused    float64 `json:"refused"`      // share of tries
	Failed     float64 `json:"failed"`       // share of tries: errors, no answer in time, broken connections
	Tries      float64 `json:"tries_per_request"`
	Attempts   float64 `json:"attempts_per_try"` // of the tries that were sent on
	CrossZone  float64 `json:"cross_zone"`       // share of attempts that left their zone
	CrossLeast float64 `json:"cross_zone_least"` // ... that capacity alone makes leave it, without faults
	Waste      float64 `json:"waste"`            // share of servers' work that served no answer
	P50        float64 `json:"p50_ms"`           // of served answers, from the planned time of the request
	P90        float64 `json:"p90_ms"`
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p999_ms"`
	Max        float64 `json:"max_ms"`
}

// Class is what one class got.
type Class struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	InAim    float64 `json:"in_aim"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Window is one step of the timeline.
type Window struct {
	From    float64 `json:"from_s"`
	Offered int     `json:"offered"`
	InAim   float64 `json:"in_aim"`
	Refused float64 `json:"refused"` // share of tries
	Failed  float64 `json:"failed"`
	P99     float64 `json:"p99_ms"`

	worth, served float64
}

// Party is what one process used.
type Party struct {
	Name        string  `json:"name"`
	CPU         float64 `json:"cpu_s"`
	PeakRSS     float64 `json:"peak_rss_mb"`
	LastRSS     float64 `json:"last_rss_mb"`
	Growth      float64 `json:"growth"` // of the RSS over the second half of the run, as a share
	Descriptors int     `json:"descriptors"`
	Requests    int     `json:"requests"`
}

// Span is a fault for the timeline.
type Span struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	Text string  `json:"text"`
}

// Result is all that is measured of a run.
type Result struct {
	Figures  Figures  `json:"figures"`
	Classes  []Class  `json:"classes"`
	Timeline []Window `json:"timeline"`
	Sidecars []Party  `json:"sidecars"`
	Lab      Party    `json:"lab"`
	Servers  []int    `json:"server_attempts"` // attempts at each server
	Faults   []Span   `json:"faults"`
	Steps    []Step   `json:"percentiles"`
	window   time.Duration
}

// Step is one point of the latency distribution.
type Step struct {
	Quantile float64 `json:"quantile"`
	MS       float64 `json:"ms"`
}

// worstSpan is the length of the span that WorstInAim is of.
const worstSpan = 5 * time.Second

// newHistogram counts microseconds up to a minute with three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// request is one arrival with what came of it.
type request struct {
	served time.Duration // after its planned time; 0: never
}

// Of measures a run from its records; worked is the work that all servers did.
func Of(p *scenario.Plan, events []record.Event, worked float64) *Result {
	s := p.Scenario
	step := max(s.Length.Duration()/60, 250*time.Millisecond).Round(50 * time.Millisecond)
	out := &Result{
		Servers: make([]int, len(p.Servers)), Sidecars: make([]Party, len(p.Sidecars)), window: step,
		Timeline: make([]Window, int(s.Length.Duration()/step)+1),
	}
	for i := range out.Sidecars {
		out.Sidecars[i].Name = p.Sidecars[i].Name
	}
	out.Lab.Name = "lab"
	for i := range out.Timeline {
		out.Timeline[i].From = (time.Duration(i) * step).Seconds()
	}
	warm := s.WarmUp.Duration()
	requests := make([]request, len(p.Arrivals))
	windows := make([]*hdrhistogram.Histogram, len(out.Timeline))
	tries := make([]int, len(out.Timeline))
	refused, failed := make([]int, len(out.Timeline)), make([]int, len(out.Timeline))
	at := func(t time.Duration) int { return min(int(t/step), len(out.Timeline)-1) }
	var sumTries, sumRefused, sumFailed, sumAttempts, sumSent, cross int
	sentOn := map[uint64]bool{}
	counted := map[uint64]bool{} // tries whose end is counted
	useful := 0.0
	end := func(e *record.Event, lost bool) {
		if e.T < warm || counted[e.Request] {
			return
		}
		counted[e.Request] = true
		w := at(e.T)
		if lost {
			failed[w]++
			sumFailed++
		} else {
			refused[w]++
			sumRefused++
		}
	}
	rss := make([][]sample, len(p.Sidecars))
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case record.Sent:
			if e.T >= warm {
				sumTries++
			}
			tries[at(e.T)]++
			out.Sidecars[e.Sidecar].Requests++
		case record.Answered:
			a := &p.Arrivals[e.N]
			switch {
			case e.Status == 200 && e.Sum == e.Want:
				if r := &requests[e.N]; r.served == 0 {
					r.served = max(e.T-a.At, 1)
					useful += a.Work
				}
			case e.Status == 429 || e.Status == 503:
				end(e, false)
			default:
				end(e, true)
			}
		case record.NotSent:
			if e.T >= warm {
				sumTries++
			}
			tries[at(e.T)]++
			end(e, true)
		case record.Overdue, record.ConnectionLost:
			end(e, true)
		case record.LastByte:
			out.Servers[e.Server]++
			if e.T < warm {
				continue
			}
			sumAttempts++
			if !sentOn[e.Request] {
				sentOn[e.Request] = true
				sumSent++
			}
			if p.Servers[e.Server].Zone != p.Sidecars[e.Sidecar].Zone {
				cross++
			}
		case record.Sample:
			party := &out.Lab
			if e.Sidecar != record.None {
				party = &out.Sidecars[e.Sidecar]
				rss[e.Sidecar] = append(rss[e.Sidecar], sample{e.T, float64(e.N)})
			}
			party.CPU = max(party.CPU, e.Work)
			party.LastRSS = float64(e.N) / (1 << 20)
			party.PeakRSS = max(party.PeakRSS, party.LastRSS)
			party.Descriptors = max(party.Descriptors, int(e.Status))
		}
	}
	for i := range rss {
		out.Sidecars[i].Growth = growth(rss[i], s.Length.Duration()/2)
	}
	all := newHistogram()
	classes := make([]*hdrhistogram.Histogram, len(s.Classes))
	out.Classes = make([]Class, len(s.Classes))
	classWorth := make([]float64, len(s.Classes))
	var worth, inAim float64
	for i := range p.Arrivals {
		a, r := &p.Arrivals[i], requests[i]
		class := &s.Classes[a.Class]
		w := at(a.At)
		line := &out.Timeline[w]
		line.Offered++
		line.worth += class.Worth
		good := r.served > 0 && r.served <= s.Pace(class.Aim)
		if good {
			line.served += class.Worth
		}
		if r.served > 0 {
			if windows[w] == nil {
				windows[w] = newHistogram()
			}
			_ = windows[w].RecordValue(r.served.Microseconds()) // over a minute: not in this lab
		}
		if a.At < warm {
			continue
		}
		out.Figures.Requests++
		worth += class.Worth
		out.Classes[a.Class].Requests++
		if good {
			inAim += class.Worth
			classWorth[a.Class]++
		}
		if r.served > 0 {
			_ = all.RecordValue(r.served.Microseconds())
			if classes[a.Class] == nil {
				classes[a.Class] = newHistogram()
			}
			_ = classes[a.Class].RecordValue(r.served.Microseconds())
		}
	}
	for i := range out.Classes {
		c := &out.Classes[i]
		c.Name = s.Classes[i].Name
		c.InAim = share(classWorth[i], float64(c.Requests), 1)
		if classes[i] != nil {
			c.P50, c.P99 = ms(classes[i], 50), ms(classes[i], 99)
		}
	}
	for i := range out.Timeline {
		w := &out.Timeline[i]
		w.InAim = share(w.served, w.worth, 1)
		w.Refused = share(float64(refused[i]), float64(tries[i]), 0)
		w.Failed = share(float64(failed[i]), float64(tries[i]), 0)
		if windows[i] != nil {
			w.P99 = ms(windows[i], 99)
		}
	}
	if n := len(out.Timeline); n > 1 && out.Timeline[n-1].Offered == 0 {
		out.Timeline = out.Timeline[:n-1]
	}
	f := &out.Figures
	f.InAim = share(inAim, worth, 1)
	f.WorstInAim = out.worst(warm)
	f.Refused, f.Failed = share(float64(sumRefused), float64(sumTries), 0), share(float64(sumFailed), float64(sumTries), 0)
	f.Tries = share(float64(sumTries), float64(f.Requests), 0)
	f.Attempts = share(float64(sumAttempts), float64(sumSent), 0)
	f.CrossZone = share(float64(cross), float64(sumAttempts), 0)
	f.CrossLeast = p.NeededCrossings()
	f.Waste = math.Max(1-share(useful, worked, 1), 0)
	f.P50, f.P90, f.P99, f.P999, f.Max = ms(all, 50), ms(all, 90), ms(all, 99), ms(all, 99.9), float64(all.Max())/1000
	for _, q := range []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100} {
		out.Steps = append(out.Steps, Step{q, ms(all, q)})
	}
	for _, f := range p.Faults {
		out.Faults = append(out.Faults, Span{f.At.Seconds(), f.Until.Seconds(), f.Fault.Kind})
	}
	return out
}

type sample struct {
	at  time.Duration
	rss float64
}

// growth compares the median RSS of the last eighth with that right after the middle, so that one sample is no
// trend. Too few samples show none.
func growth(samples []sample, middle time.Duration) float64 {
	i := slices.IndexFunc(samples, func(s sample) bool { return s.at >= middle })
	if i < 0 || len(samples)-i < 8 {
		return 0
	}
	late := samples[i:]
	n := max(len(late)/4, 1)
	median := func(s []sample) float64 {
		v := make([]float64, len(s))
		for i := range s {
			v[i] = s[i].rss
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	return median(late[len(late)-n:])/median(late[:n]) - 1
}

// worst is the lowest share over any span of worstSpan, or over all if the run is shorter.
func (r *Result) worst(from time.Duration) float64 {
	lines := r.Timeline[min(int(from/r.window), len(r.Timeline)):]
	n := min(int(worstSpan/r.window), len(lines))
	worst := 1.0
	for i := 0; n > 0 && i+n <= len(lines); i++ {
		worth, served := 0.0, 0.0
		for _, l := range lines[i : i+n] {
			worth += l.worth
			served += l.served
		}
		worst = math.Min(worst, share(served, worth, 1))
	}
	return worst
}

func share(part, all, otherwise float64) float64 {
	if all <= 0 {
		return otherwise
	}
	return part / all
}
