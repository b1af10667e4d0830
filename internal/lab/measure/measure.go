// Package measure computes the figures of a run from its recorded events: the fraction served within the latency
// objective, latency percentiles, wasted work, and the resource usage of each process.
package measure

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// Figures are the totals of a run after its warm-up. Fractions are between 0 and 1. A client attempt is one send of a
// request by its client, a server attempt one send by a sidecar.
type Figures struct {
	Requests         int     `json:"requests"`          // requests of clients, not counting retries
	InObjective      float64 `json:"in_aim"`            // fraction served within the latency objective, by priority weight
	WorstInObjective float64 `json:"worst_in_aim"`      // lowest InObjective of any span of worstSpanLength
	Rejected         float64 `json:"refused"`           // fraction of client attempts with status 429 or 503
	Failed           float64 `json:"failed"`            // fraction of client attempts with an error, a timeout or a lost connection
	ClientAttempts   float64 `json:"tries_per_request"` // client attempts per request
	ServerAttempts   float64 `json:"attempts_per_try"`  // server attempts per client attempt that reached a server
	CrossZone        float64 `json:"cross_zone"`        // fraction of server attempts to a zone other than the sidecar's
	MinCrossZone     float64 `json:"cross_zone_least"`  // CrossZone that the zones' capacities require without faults
	Waste            float64 `json:"waste"`             // fraction of the servers' work that led to no correct response
	P50              float64 `json:"p50_ms"`            // latency of correct responses from the planned time of the request
	P90              float64 `json:"p90_ms"`
	P99              float64 `json:"p99_ms"`
	P999             float64 `json:"p999_ms"`
	Max              float64 `json:"max_ms"`
}

// Class has the figures of one request class.
type Class struct {
	Name        string  `json:"name"`
	Requests    int     `json:"requests"`
	InObjective float64 `json:"in_aim"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
}

// Window is one interval of the timeline.
type Window struct {
	From        float64 `json:"from_s"`
	Offered     int     `json:"offered"`
	InObjective float64 `json:"in_aim"`
	Rejected    float64 `json:"refused"` // fraction of client attempts with status 429 or 503
	Failed      float64 `json:"failed"`  // fraction of client attempts with an error, a timeout or a lost connection
	P99         float64 `json:"p99_ms"`

	offeredWeight, servedWeight float64
}

// Process is the resource usage of one process.
type Process struct {
	Name        string  `json:"name"`
	CPU         float64 `json:"cpu_s"`
	PeakRSS     float64 `json:"peak_rss_mb"`
	LastRSS     float64 `json:"last_rss_mb"`
	RSSGrowth   float64 `json:"growth"`      // growth of the RSS over the second half of the run, 0.1 for 10%
	Descriptors int     `json:"descriptors"` // highest number of open file descriptors
	Requests    int     `json:"requests"`    // client attempts sent to the process
}

// FaultSpan is the span of a fault on the timeline. Text is the kind of the fault.
type FaultSpan struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	Text string  `json:"text"`
}

// Result has all figures of a run.
type Result struct {
	Figures      Figures      `json:"figures"`
	Classes      []Class      `json:"classes"`
	Timeline     []Window     `json:"timeline"`
	Sidecars     []Process    `json:"sidecars"`
	Lab          Process      `json:"lab"`
	Servers      []int        `json:"server_attempts"` // by server, including the warm-up
	Faults       []FaultSpan  `json:"faults"`
	Percentiles  []Percentile `json:"percentiles"`
	windowLength time.Duration
}

// Percentile is one point of the latency distribution. Quantile is in percent.
type Percentile struct {
	Quantile float64 `json:"quantile"`
	MS       float64 `json:"ms"`
}

// worstSpanLength is the length of the span of WorstInObjective.
const worstSpanLength = 5 * time.Second

// The timeline has about timelineWindows windows, none shorter than minWindow.
const (
	timelineWindows = 60
	minWindow       = 250 * time.Millisecond
	windowRounding  = 50 * time.Millisecond
)

const (
	maxLatencyMicros = 60e6 // highest latency that a histogram records
	latencyDigits    = 3    // significant digits of a recorded latency
	microsPerMilli   = 1000
	bytesPerMiB      = 1 << 20
)

// newHistogram makes a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// recordLatency adds the latency of a served request to a histogram, which it makes if *h is nil. A latency of 0 stands
// for a request that was not served and is skipped.
func recordLatency(h **hdrhistogram.Histogram, served time.Duration) {
	if served <= 0 {
		return
	}
	if *h == nil {
		*h = newHistogram()
	}
	_ = (*h).RecordValue(served.Microseconds()) // fails only above maxLatencyMicros, which exceeds any deadline
}

// quantileMS returns a quantile, given in percent, of a histogram in milliseconds, or 0 if the histogram is empty.
func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / microsPerMilli
}

// requestOutcome is the outcome of one arrival.
type requestOutcome struct {
	served time.Duration // time from the planned time to the first correct response, 0 if there was none
}

// collector accumulates the events of a run. windowAttempts, usefulWork and the counts in result.Servers and
// result.Sidecars include the warm-up; the other counts exclude it.
type collector struct {
	plan   *scenario.Plan
	result *Result
	warmUp time.Duration

	outcomes                             []requestOutcome // outcomes by index of the arrival
	attempts, rejected, failed           int              // numbers of client attempts
	windowAttempts, windowRejected       []int            // numbers of client attempts by window
	windowFailed                         []int
	serverAttempts, forwarded, crossZone int
	forwardedIDs                         map[uint64]bool // client attempts that reached a server
	endedIDs                             map[uint64]bool // client attempts counted as rejected or failed
	usefulWork                           float64         // work of the requests that were served
	rss                                  [][]rssSample   // samples by sidecar
}

// Compute computes the figures of a run from its recorded events. The parameter workDone is the work that all servers
// did.
func Compute(p *scenario.Plan, events []record.Event, workDone float64) *Result {
	c := newCollector(p)
	for i := range events {
		c.add(&events[i])
	}
	for i := range c.rss {
		c.result.Sidecars[i].RSSGrowth = rssGrowth(c.rss[i], p.Scenario.Length.Duration()/2)
	}
	c.measureLatency()
	c.finishTimeline()
	c.finishFigures(workDone)
	for _, f := range p.Faults {
		c.result.Faults = append(c.result.Faults, FaultSpan{f.At.Seconds(), f.Until.Seconds(), f.Fault.Kind})
	}
	return c.result
}

func newCollector(p *scenario.Plan) *collector {
	length := p.Scenario.Length.Duration()
	window := max(length/timelineWindows, minWindow).Round(windowRounding)
	result := &Result{
		Servers: make([]int, len(p.Servers)), Sidecars: make([]Process, len(p.Sidecars)), windowLength: window,
		Timeline: make([]Window, int(length/window)+1),
	}
	for i := range result.Sidecars {
		result.Sidecars[i].Name = p.Sidecars[i].Name
	}
	result.Lab.Name = "lab"
	for i := range result.Timeline {
		result.Timeline[i].From = (time.Duration(i) * window).Seconds()
	}
	n := len(result.Timeline)
	return &collector{
		plan: p, result: result, warmUp: p.Scenario.WarmUp.Duration(), outcomes: make([]requestOutcome, len(p.Arrivals)),
		windowAttempts: make([]int, n), windowRejected: make([]int, n), windowFailed: make([]int, n),
		forwardedIDs: map[uint64]bool{}, endedIDs: map[uint64]bool{}, rss: make([][]rssSample, len(p.Sidecars)),
	}
}

// windowAt returns the index of the window that contains a time. All times after the timeline are in the last window.
func (c *collector) windowAt(t time.Duration) int {
	return min(int(t/c.result.windowLength), len(c.result.Timeline)-1)
}

func (c *collector) add(e *record.Event) {
	switch e.Kind {
	case record.Sent:
		c.addAttempt(e)
		c.result.Sidecars[e.Sidecar].Requests++
	case record.ResponseReceived:
		c.addResponse(e)
	case record.NotSent:
		c.addAttempt(e)
		c.addFailed(e)
	case record.Overdue, record.ConnectionLost:
		c.addFailed(e)
	case record.LastByte:
		c.addServerAttempt(e)
	case record.Sample:
		c.addSample(e)
	}
}

func (c *collector) addAttempt(e *record.Event) {
	if e.T >= c.warmUp {
		c.attempts++
	}
	c.windowAttempts[c.windowAt(e.T)]++
}

func (c *collector) addResponse(e *record.Event) {
	a := &c.plan.Arrivals[e.N]
	switch {
	case e.Status == http.StatusOK && e.Sum == e.Want:
		if o := &c.outcomes[e.N]; o.served == 0 {
			o.served = max(e.T-a.At, 1)
			c.usefulWork += a.Work
		}
	case e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable:
		if c.markUnsuccessful(e) {
			c.windowRejected[c.windowAt(e.T)]++
			c.rejected++
		}
	default:
		c.addFailed(e)
	}
}

func (c *collector) addFailed(e *record.Event) {
	if c.markUnsuccessful(e) {
		c.windowFailed[c.windowAt(e.T)]++
		c.failed++
	}
}

// markUnsuccessful marks the client attempt of an event as ended without success. It returns whether the attempt counts
// now: the event is after the warm-up, and the attempt had not been marked before.
func (c *collector) markUnsuccessful(e *record.Event) bool {
	if e.T < c.warmUp || c.endedIDs[e.Request] {
		return false
	}
	c.endedIDs[e.Request] = true
	return true
}

func (c *collector) addServerAttempt(e *record.Event) {
	c.result.Servers[e.Server]++
	if e.T < c.warmUp {
		return
	}
	c.serverAttempts++
	if !c.forwardedIDs[e.Request] {
		c.forwardedIDs[e.Request] = true
		c.forwarded++
	}
	if c.plan.Servers[e.Server].Zone != c.plan.Sidecars[e.Sidecar].Zone {
		c.crossZone++
	}
}

func (c *collector) addSample(e *record.Event) {
	process := &c.result.Lab
	if e.Sidecar != record.None {
		process = &c.result.Sidecars[e.Sidecar]
		c.rss[e.Sidecar] = append(c.rss[e.Sidecar], rssSample{e.T, float64(e.N)})
	}
	process.CPU = max(process.CPU, e.Work)
	process.LastRSS = float64(e.N) / bytesPerMiB
	process.PeakRSS = max(process.PeakRSS, process.LastRSS)
	process.Descriptors = max(process.Descriptors, int(e.Status))
}

// measureLatency sets the figures that depend on the outcomes of the arrivals: the latencies, and the fractions served
// within the objective.
func (c *collector) measureLatency() {
	s, out := c.plan.Scenario, c.result
	all := newHistogram()
	windows := make([]*hdrhistogram.Histogram, len(out.Timeline))
	classes := make([]*hdrhistogram.Histogram, len(s.Classes))
	out.Classes = make([]Class, len(s.Classes))
	classInObjective := make([]int, len(s.Classes))
	var offeredWeight, servedWeight float64
	for i := range c.plan.Arrivals {
		a, served := &c.plan.Arrivals[i], c.outcomes[i].served
		class := &s.Classes[a.Class]
		w := c.windowAt(a.At)
		window := &out.Timeline[w]
		window.Offered++
		window.offeredWeight += class.PriorityWeight
		inObjective := served > 0 && served <= s.Scaled(class.Objective)
		if inObjective {
			window.servedWeight += class.PriorityWeight
		}
		recordLatency(&windows[w], served)
		if a.At < c.warmUp {
			continue
		}
		out.Figures.Requests++
		offeredWeight += class.PriorityWeight
		out.Classes[a.Class].Requests++
		if inObjective {
			servedWeight += class.PriorityWeight
			classInObjective[a.Class]++
		}
		recordLatency(&all, served)
		recordLatency(&classes[a.Class], served)
	}
	for i := range out.Classes {
		class := &out.Classes[i]
		class.Name = s.Classes[i].Name
		class.InObjective = ratio(float64(classInObjective[i]), float64(class.Requests), 1)
		if classes[i] != nil {
			class.P50, class.P99 = quantileMS(classes[i], 50), quantileMS(classes[i], 99)
		}
	}
	for i := range out.Timeline {
		if windows[i] != nil {
			out.Timeline[i].P99 = quantileMS(windows[i], 99)
		}
	}
	f := &out.Figures
	f.InObjective = ratio(servedWeight, offeredWeight, 1)
	f.P50, f.P90, f.P99, f.P999 = quantileMS(all, 50), quantileMS(all, 90), quantileMS(all, 99), quantileMS(all, 99.9)
	f.Max = float64(all.Max()) / microsPerMilli
	for _, q := range []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100} {
		out.Percentiles = append(out.Percentiles, Percentile{q, quantileMS(all, q)})
	}
}

// finishTimeline sets the fractions of each window, and removes the last window if it is empty.
func (c *collector) finishTimeline() {
	out := c.result
	for i := range out.Timeline {
		w := &out.Timeline[i]
		w.InObjective = ratio(w.servedWeight, w.offeredWeight, 1)
		w.Rejected = ratio(float64(c.windowRejected[i]), float64(c.windowAttempts[i]), 0)
		w.Failed = ratio(float64(c.windowFailed[i]), float64(c.windowAttempts[i]), 0)
	}
	if n := len(out.Timeline); n > 1 && out.Timeline[n-1].Offered == 0 {
		out.Timeline = out.Timeline[:n-1]
	}
}

// finishFigures sets the ratios of the whole run. Call it after finishTimeline.
func (c *collector) finishFigures(workDone float64) {
	f, attempts := &c.result.Figures, float64(c.attempts)
	f.WorstInObjective = c.result.worstInObjective(c.warmUp)
	f.Rejected, f.Failed = ratio(float64(c.rejected), attempts, 0), ratio(float64(c.failed), attempts, 0)
	f.ClientAttempts = ratio(attempts, float64(f.Requests), 0)
	f.ServerAttempts = ratio(float64(c.serverAttempts), float64(c.forwarded), 0)
	f.CrossZone = ratio(float64(c.crossZone), float64(c.serverAttempts), 0)
	f.MinCrossZone = c.plan.MinCrossZone()
	f.Waste = math.Max(1-ratio(c.usefulWork, workDone, 1), 0)
}

// rssSample is the resident set size of a process in bytes at a time since the start of the run.
type rssSample struct {
	at  time.Duration
	rss float64
}

// rssGrowth returns the relative growth of the RSS from the first quarter of the samples after the middle to their last
// quarter. It compares medians, so that a single sample has no effect. It returns 0 for fewer than 8 such samples.
func rssGrowth(samples []rssSample, middle time.Duration) float64 {
	i := slices.IndexFunc(samples, func(s rssSample) bool { return s.at >= middle })
	if i < 0 || len(samples)-i < 8 {
		return 0
	}
	secondHalf := samples[i:]
	n := max(len(secondHalf)/4, 1)
	median := func(s []rssSample) float64 {
		v := make([]float64, len(s))
		for i := range s {
			v[i] = s[i].rss
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	return median(secondHalf[len(secondHalf)-n:])/median(secondHalf[:n]) - 1
}

// worstInObjective returns the lowest fraction served within the objective, by priority weight, over any span of
// worstSpanLength after a time, or over the whole rest if that is shorter.
func (r *Result) worstInObjective(from time.Duration) float64 {
	windows := r.Timeline[min(int(from/r.windowLength), len(r.Timeline)):]
	n := min(int(worstSpanLength/r.windowLength), len(windows))
	worst := 1.0
	for i := 0; n > 0 && i+n <= len(windows); i++ {
		offered, served := 0.0, 0.0
		for _, w := range windows[i : i+n] {
			offered += w.offeredWeight
			served += w.servedWeight
		}
		worst = math.Min(worst, ratio(served, offered, 1))
	}
	return worst
}

// ratio returns part/all, or ifEmpty if all is not positive.
func ratio(part, all, ifEmpty float64) float64 {
	if all <= 0 {
		return ifEmpty
	}
	return part / all
}
