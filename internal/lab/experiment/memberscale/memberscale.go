// Package memberscale measures the cost of the membership of sidecars, and how fast and how reliably it detects faults,
// with fleets of several sizes. Real groups run in this process on a simulated network: idle, with crashed members,
// with lost packets, partitioned, and with too little CPU time. The package also measures idle sidecar processes with
// and without membership. The command is `marblelane lab members-scale`.
package memberscale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/gossip"
	"marblelane/internal/lab/harness"
)

// Experiment configures the measurement. The members are groups of package membership. They run in this process, on the
// real clock and a simulated network (package gossip).
type Experiment struct {
	Sizes             []int         // numbers of members, in ascending order
	Losses            []float64     // shares of lost packets to measure; none are lost while a fleet is idle
	Interval          time.Duration // time between two probes of a member
	IdleWindow        time.Duration // shortest time for which an idle fleet is measured
	LossWindow        time.Duration // time for which false detections are counted, beyond the time that a suspicion takes
	EventTimeout      time.Duration // longest wait for an event, plus a tenth of Interval for each member
	TotalTimeout      time.Duration // limit for all measurements; those not done by then are listed in Unmeasured
	MaxConcurrentSize int           // larger fleets are measured last, one at a time, as far as TotalTimeout allows
	BusyLoops         int           // goroutines that compete with the fleets for one processor while these are starved
	Seed              uint64        // seed of the simulated network
	Defect            string        // planted defect of all members; empty means none
	Progress          io.Writer     // receives progress messages; nil means none
}

// Result holds the measurements of all fleet sizes.
type Result struct {
	Sizes []SizeResult `json:"sizes"`
	// The cost of one member grows as the size of the fleet to the power of these exponents, from the smallest to the
	// largest fleet.
	BytesExponent float64 `json:"bytes_grow"`
	CPUExponent   float64 `json:"cpu_grow"`
	// LagP99MS is the lag of a timer of this process while fleets ran concurrently. TooBusy means that the lag was above
	// maxLagP99MS: the machine was too busy, so measurements from that time are not valid.
	LagP99MS       float64         `json:"lag_p99_ms"`
	TooBusy        bool            `json:"late"`
	Unmeasured     []string        `json:"unmeasured"` // measurements that failed or were not done, each with the reason
	Processes      []ProcessResult `json:"processes,omitempty"`
	ElapsedSeconds float64         `json:"took_s"`
}

// SizeResult holds the measurements of one fleet size. Times are in seconds, and -1 means that the event did not come
// within EventTimeout. A measurement that was not done is nil or absent.
type SizeResult struct {
	Members int           `json:"members"`
	Idle    *IdleCost     `json:"idle"`
	Crash   *CrashResult  `json:"crash"`
	Losses  []LossResult  `json:"losses"`
	Splits  []SplitResult `json:"splits"`
}

// IdleCost is the cost of a fleet without faults.
type IdleCost struct {
	JoinSeconds      float64 `json:"joined_s"`             // time from the first start until all agree and are admitted
	ForcedAdmissions int     `json:"forced"`               // members admitted only because admit_within had passed
	Bytes            float64 `json:"bytes_per_member_s"`   // bytes sent in packets and streams
	Packets          float64 `json:"packets_per_member_s"` // packets sent
	CPU              float64 `json:"cpu_us_per_member_s"`  // with the simulated network, without a kernel's
	Memory           float64 `json:"kb_per_member"`        // size of the heap and the stacks
	Quiet            bool    `json:"quiet"`                // false: members still gossiped about the join
	MemberMinutes    float64 `json:"member_minutes"`       // member-minutes over which the costs were measured
}

// CrashResult is the time that the remaining members take to detect that some members crashed at once. Quantiles are
// over all pairs of a crashed and a remaining member. Detected means that the failure detector has declared the crashed
// member unreachable. Removed means that it no longer counts as a member.
type CrashResult struct {
	Crashed    int     `json:"crashed"`
	DetectP50  float64 `json:"detect_p50_s"`
	DetectP99  float64 `json:"detect_p99_s"`
	DetectAll  float64 `json:"detect_all_s"` // maximum over all pairs
	RemovedP50 float64 `json:"gone_p50_s"`
	RemovedP99 float64 `json:"gone_p99_s"`
	RemovedAll float64 `json:"gone_all_s"`
}

// LossResult counts how often running members are detected as unreachable or removed while packets are lost or CPU time
// is short. An event counts once for each member that reports it.
type LossResult struct {
	Loss               float64 `json:"loss"`    // share of packets lost, 0 to 1
	Starved            bool    `json:"starved"` // true: measured with too little CPU time
	MemberHours        float64 `json:"member_hours"`
	UnreachablePerHour float64 `json:"deaths_per_member_hour"` // unreachable events, mean over all pairs of members
	RemovedPerHour     float64 `json:"gone_per_member_hour"`   // removed events, mean over all pairs of members
	UnreachableEvents  int     `json:"deaths_seen"`
	RemovedEvents      int     `json:"gone_seen"`
	MaxUnreachable     int     `json:"most_unheard"` // most unreachable members in one view
	AgreeSeconds       float64 `json:"agree_s"`      // time from the end of the fault until all agree
}

// SplitResult is the reaction of a fleet to a partition and to its healing.
type SplitResult struct {
	Parts          string  `json:"parts"`
	NoticeSeconds  float64 `json:"noticed_s"`   // time until each part of at least half the fleet reaches no others
	StillReachable int     `json:"still_hears"` // most members that one of the smallest part reached at the healing
	AgreeSeconds   float64 `json:"agree_s"`     // time from the healing until all agree
	MaxRemoved     int     `json:"counted_out"` // largest number of members that one member had removed
}

// Default returns the full experiment, or a quick one that only shows that the procedure works. The full experiment
// takes about three minutes on six processors. It has no fleet of 1,000 members, which needs about 9 GB and more than
// 700 s of CPU time until all members agree.
func Default(quick bool) Experiment {
	if quick {
		return Experiment{Sizes: []int{3, 6}, Losses: []float64{0.3}, Interval: 40 * time.Millisecond,
			IdleWindow: 200 * time.Millisecond, LossWindow: 100 * time.Millisecond, EventTimeout: 20 * time.Second, TotalTimeout: time.Minute, MaxConcurrentSize: 4,
			BusyLoops: 2, Seed: 1}
	}
	return Experiment{Sizes: []int{10, 50, 100, 300}, Losses: []float64{0.1, 0.2, 0.3}, Interval: time.Second,
		IdleWindow: 3 * time.Second, LossWindow: 3 * time.Second, EventTimeout: 40 * time.Second, TotalTimeout: 4 * time.Minute, MaxConcurrentSize: 500,
		BusyLoops: 4, Seed: 1}
}

// closeTimeout is the longest wait for the members of a fleet to end.
const closeTimeout = 20 * time.Second

// networkDelay is the delay of a packet between two members.
const networkDelay = time.Millisecond

// maxLagP99MS is the timer lag in ms above which the machine is too busy for valid measurements.
const maxLagP99MS = 50

// limitProcessor limits this process to one processor and starts BusyLoops goroutines that compete for it, until
// restore is called.
func (m *Experiment) limitProcessor() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range m.BusyLoops {
		wg.Go(func() {
			for n := uint64(1); !stop.Load(); n++ {
				n *= 6364136223846793005
			}
		})
	}
	return func() {
		stop.Store(true)
		wg.Wait()
		runtime.GOMAXPROCS(before)
	}
}

// measurement is a run of an experiment.
type measurement struct {
	*Experiment
	ctx   context.Context
	start time.Time

	mu     sync.Mutex
	result *Result
}

// Run measures all sizes. One fleet of each size is measured idle while no other fleet is under test. Then these fleets
// lose packets, while a second fleet of each size loses members and is partitioned. Then the first fleets share too
// little CPU time. Fleets larger than MaxConcurrentSize follow, one at a time. Run returns an error only if ctx ends.
func (m *Experiment) Run(ctx context.Context) (*Result, error) {
	limited, cancel := context.WithTimeoutCause(ctx, m.TotalTimeout, errors.New("time limit of the experiment exceeded"))
	defer cancel()
	r := &measurement{Experiment: m, ctx: limited, start: time.Now(),
		result: &Result{Sizes: make([]SizeResult, len(m.Sizes))}}
	var concurrent, sequential []*SizeResult
	for i, n := range m.Sizes {
		size := &r.result.Sizes[i]
		if size.Members = n; n > m.MaxConcurrentSize {
			sequential = append(sequential, size)
		} else {
			concurrent = append(concurrent, size)
		}
	}
	fleets := r.openIdle(concurrent)
	lag := r.measureFaults(concurrent, fleets)
	r.measureStarved(concurrent, fleets)
	for _, size := range sequential {
		baseline := baselineUsage{memory: memoryInUse()}
		r.withFleet(size, func(f *fleet) {
			r.measureIdle(size, f, &baseline)
			r.measureCrashAndSplits(size, f)
			r.measureLosses(size, f)
		})
	}
	m.summarize(r.result, lag)
	r.result.ElapsedSeconds = time.Since(r.start).Seconds()
	return r.result, context.Cause(ctx) // TotalTimeout is not an error: Unmeasured lists what was not done
}

// openIdle opens a fleet of each size in turn and measures it while idle. The result is nil for a fleet that could not
// be opened.
func (r *measurement) openIdle(sizes []*SizeResult) []*fleet {
	fleets := make([]*fleet, len(sizes))
	baseline := baselineUsage{memory: memoryInUse()}
	for i, size := range sizes {
		f, err := r.openFleet(r.ctx, size.Members, gossip.Rules{})
		if err != nil {
			r.recordOutcome(size, "come together", err)
			continue
		}
		fleets[i] = f
		r.measureIdle(size, f, &baseline)
	}
	return fleets
}

// measureFaults makes the fleets lose packets. At the same time, it crashes members of a second fleet of each size and
// partitions it. It returns the lags of a timer of this process during that time.
func (r *measurement) measureFaults(sizes []*SizeResult, fleets []*fleet) []time.Duration {
	ctx, stop := context.WithCancel(r.ctx)
	var lag []time.Duration
	var timer, fleetsDone sync.WaitGroup
	timer.Go(func() { lag, _ = harness.MeasureTimerLag(ctx) })
	for i, size := range sizes {
		fleetsDone.Go(func() {
			r.withFleet(size, func(f *fleet) { r.measureCrashAndSplits(size, f) })
		})
		if f := fleets[i]; f != nil {
			fleetsDone.Go(func() { r.measureLosses(size, f) })
		}
	}
	fleetsDone.Wait()
	stop()
	timer.Wait()
	return lag
}

// recordOutcome writes the outcome of a step to Progress, adds a failed step to Unmeasured, and returns whether the
// step succeeded.
func (r *measurement) recordOutcome(size *SizeResult, step string, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := "done"
	if err != nil {
		outcome = err.Error()
		r.result.Unmeasured = append(r.result.Unmeasured, fmt.Sprintf("%d members, %s: %s", size.Members, step, outcome))
	}
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, "%4.0f s: %d members, %s: %s\n", time.Since(r.start).Seconds(), size.Members, step, outcome)
	}
	return err == nil
}

// withFleet opens a fleet, calls measure with it and closes it.
func (r *measurement) withFleet(size *SizeResult, measure func(*fleet)) {
	f, err := r.openFleet(r.ctx, size.Members, gossip.Rules{Delay: networkDelay})
	if err == nil {
		measure(f)
		err = f.close()
	}
	if err != nil {
		r.recordOutcome(size, "come together", err)
	}
}

// measureIdle measures the fleet without faults. baseline is the usage of this process before the fleet was opened.
func (r *measurement) measureIdle(size *SizeResult, f *fleet, baseline *baselineUsage) {
	idle, noLoss, err := f.measureIdle(r.ctx, baseline)
	if r.recordOutcome(size, "idle", err) {
		size.Idle = idle
		size.Losses = append(size.Losses, noLoss)
	}
}

// measureCrashAndSplits crashes some members of a fleet, and then partitions the rest twice.
func (r *measurement) measureCrashAndSplits(size *SizeResult, f *fleet) {
	crash, err := f.measureCrash(r.ctx)
	if r.recordOutcome(size, "crash", err) {
		size.Crash = crash
	}
	for _, p := range []struct {
		name  string
		first int
	}{{"half and half", len(f.members) / 2}, {"one and the rest", 1}} {
		split, err := f.measureSplit(r.ctx, p.name, p.first)
		if r.recordOutcome(size, "split: "+p.name, err) {
			size.Splits = append(size.Splits, *split)
		}
	}
}

// measureLosses makes a fleet lose packets, with one share of Losses after the other.
func (r *measurement) measureLosses(size *SizeResult, f *fleet) {
	for _, loss := range r.Losses {
		l, err := f.measureLoss(r.ctx, loss)
		if r.recordOutcome(size, fmt.Sprintf("loss of %.0f%%", 100*loss), err) {
			size.Losses = append(size.Losses, l)
		}
	}
}

// measureStarved counts false detections while all fleets share too little CPU time, and closes the fleets.
func (r *measurement) measureStarved(sizes []*SizeResult, fleets []*fleet) {
	var counting, ended sync.WaitGroup
	restored := make(chan struct{})
	restoreProcessors := r.limitProcessor()
	for i, f := range fleets {
		if f == nil {
			continue
		}
		counting.Add(1)
		ended.Go(func() {
			l, err := f.countEvents(r.ctx, LossResult{Starved: true}, f.lossWindow())
			counting.Done()
			<-restored
			if err == nil {
				l.AgreeSeconds = f.timeToAgree(r.ctx)
				err = context.Cause(r.ctx)
			}
			if r.recordOutcome(sizes[i], "starved of processor", errors.Join(err, f.close())) {
				sizes[i].Losses = append(sizes[i].Losses, l)
			}
		})
	}
	counting.Wait()
	restoreProcessors()
	close(restored)
	ended.Wait()
}

// summarize computes the timer lag and the exponents by which the costs grow from the smallest fleet to the largest.
func (m *Experiment) summarize(r *Result, lag []time.Duration) {
	if slices.Sort(lag); len(lag) > 0 {
		r.LagP99MS = harness.Milliseconds(harness.UpperQuantile(lag, 0.99))
		r.TooBusy = r.LagP99MS > maxLagP99MS
	}
	var idle []SizeResult
	for _, s := range r.Sizes {
		if s.Idle != nil {
			idle = append(idle, s)
		}
	}
	if len(idle) < 2 {
		return
	}
	smallest, largest := idle[0], idle[len(idle)-1]
	exponent := func(from, to float64) float64 {
		return math.Log(to/from) / math.Log(float64(largest.Members)/float64(smallest.Members))
	}
	r.BytesExponent = exponent(smallest.Idle.Bytes, largest.Idle.Bytes)
	r.CPUExponent = exponent(smallest.Idle.CPU, largest.Idle.CPU)
}
