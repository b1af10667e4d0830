package lab

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

// MemberScale says which fleets of members to measure. Their groups are the real ones; they run in this process on a
// simulated network (package gossip), in the process's own time.
type MemberScale struct {
	Sizes    []int
	Losses   []float64     // shares of packets lost; none are lost while a fleet is idle
	Interval time.Duration // between a member's probes
	Cost     time.Duration // how long an idle fleet is measured, at least
	Watch    time.Duration // how long false deaths are counted, beyond the time that a suspicion takes
	Wait     time.Duration // for one thing to happen, at most, and a tenth of Interval more for each member
	Total    time.Duration // of it all; what is not begun or not ended by then is named in Unmeasured
	Alone    int           // larger fleets come last, each alone, and go through what there is time for
	Burners  int           // goroutines that compute without end beside starved fleets, on one processor
	Seed     uint64
	Defect   string    // planted in all members; empty: none
	Progress io.Writer // nil: no progress
}

// MemberScaleResult is what was measured.
type MemberScaleResult struct {
	Sizes []MemberSize `json:"sizes"`
	// The powers of the fleet's size that the cost of one member grows with, from the smallest to the largest.
	BytesGrow float64 `json:"bytes_grow"`
	CPUGrow   float64 `json:"cpu_grow"`
	// LagP99MS is of a timer of this process while fleets ran side by side. Late: it was above 50 ms, and what was
	// measured then is the machine's as much as the members'.
	LagP99MS   float64           `json:"lag_p99_ms"`
	Late       bool              `json:"late"`
	Unmeasured []string          `json:"unmeasured"` // what, and why
	Processes  []MemberProcesses `json:"processes,omitempty"`
	TookS      float64           `json:"took_s"`
}

// MemberSize is what one size of fleet showed. Times are in seconds; -1: it did not come within Wait.
type MemberSize struct {
	Members int           `json:"members"`
	Idle    *MemberIdle   `json:"idle"` // nil: not measured, as for the others
	Crash   *MemberCrash  `json:"crash"`
	Losses  []MemberLoss  `json:"losses"`
	Splits  []MemberSplit `json:"splits"`
}

// MemberIdle is what a fleet costs when nothing happens.
type MemberIdle struct {
	Joined  float64 `json:"joined_s"`             // from the first start until all agree and are admitted
	Forced  int     `json:"forced"`               // of them only because admit_within was over
	Bytes   float64 `json:"bytes_per_member_s"`   // sent, of packets and streams
	Packets float64 `json:"packets_per_member_s"` // sent
	CPU     float64 `json:"cpu_us_per_member_s"`  // the simulated network's included, the kernel's not
	Memory  float64 `json:"kb_per_member"`        // heap and stacks
	Quiet   bool    `json:"quiet"`                // false: what the joining set off was still told on
	Minutes float64 `json:"member_minutes"`       // over which it was measured
}

// MemberCrash is how the end of some members at once is seen, over each that ended and each that is left.
type MemberCrash struct {
	Crashed   int     `json:"crashed"`
	DetectP50 float64 `json:"detect_p50_s"` // taken for dead
	DetectP99 float64 `json:"detect_p99_s"`
	DetectAll float64 `json:"detect_all_s"` // everywhere
	GoneP50   float64 `json:"gone_p50_s"`   // proved gone and counted out
	GoneP99   float64 `json:"gone_p99_s"`
	GoneAll   float64 `json:"gone_all_s"`
}

// MemberLoss is what a fleet of living members takes for dead while packets are lost or the processor is short.
type MemberLoss struct {
	Loss       float64 `json:"loss"`
	Starved    bool    `json:"starved"`
	Hours      float64 `json:"member_hours"`
	Deaths     float64 `json:"deaths_per_member_hour"` // taken for dead, as a member sees it of another, mean of all pairs
	Gone       float64 `json:"gone_per_member_hour"`   // ... and counted out
	DeathsSeen int     `json:"deaths_seen"`            // in all, each by each who saw it
	SeenOut    int     `json:"gone_seen"`
	Unheard    int     `json:"most_unheard"` // by one member at one time
	Agree      float64 `json:"agree_s"`      // after the loss or the shortage was over
}

// MemberSplit is how a fleet that was in parts comes together.
type MemberSplit struct {
	Parts   string  `json:"parts"`
	Noticed float64 `json:"noticed_s"`   // until a part of half the fleet or more takes all others for dead
	Hears   int     `json:"still_hears"` // of all, a member of the smallest part when it was healed, at most
	Agree   float64 `json:"agree_s"`     // after it was
	Out     int     `json:"counted_out"` // by one member, at most
}

// MemberScaleOf gives the measurement in full, or a short one that shows no more than that it works. In full it
// takes some three minutes and six processors. A fleet of 1,000 is no part of it: to come together it needs some 9
// GB and more than 700 s of processor time.
func MemberScaleOf(quick bool) MemberScale {
	if quick {
		return MemberScale{Sizes: []int{3, 6}, Losses: []float64{0.3}, Interval: 40 * time.Millisecond,
			Cost: 200 * time.Millisecond, Watch: 100 * time.Millisecond, Wait: 20 * time.Second, Total: time.Minute, Alone: 4,
			Burners: 2, Seed: 1}
	}
	return MemberScale{Sizes: []int{10, 50, 100, 300}, Losses: []float64{0.1, 0.2, 0.3}, Interval: time.Second,
		Cost: 3 * time.Second, Watch: 3 * time.Second, Wait: 40 * time.Second, Total: 4 * time.Minute, Alone: 500,
		Burners: 4, Seed: 1}
}

// closeMost is how long the end of a fleet is waited for. One that this machine cannot carry needs longer.
const closeMost = 20 * time.Second

// scaleDelay is the way between two members.
const scaleDelay = time.Millisecond

// starve leaves this process one processor, and others to share it with, until after is called.
func (m *MemberScale) starve() (after func()) {
	was := runtime.GOMAXPROCS(1)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range m.Burners {
		wg.Go(func() {
			for n := uint64(1); !stop.Load(); n++ {
				n *= 6364136223846793005
			}
		})
	}
	return func() {
		stop.Store(true)
		wg.Wait()
		runtime.GOMAXPROCS(was)
	}
}

// scaleRun is one measurement on its way.
type scaleRun struct {
	*MemberScale
	ctx   context.Context
	began time.Time

	mu sync.Mutex
	r  *MemberScaleResult
}

// Run measures. What a fleet costs is measured while no other does anything, the rest side by side: of each size that
// fleet loses packets, and another loses members and is split. The fleets that lost packets are starved in the end,
// together.
func (m *MemberScale) Run(ctx context.Context) (*MemberScaleResult, error) {
	limited, cancel := context.WithTimeoutCause(ctx, m.Total, errors.New("the time is over"))
	defer cancel()
	r := &scaleRun{MemberScale: m, ctx: limited, began: time.Now(),
		r: &MemberScaleResult{Sizes: make([]MemberSize, len(m.Sizes))}}
	var side, alone []*MemberSize
	for i, n := range m.Sizes {
		size := &r.r.Sizes[i]
		if size.Members = n; n > m.Alone {
			alone = append(alone, size)
		} else {
			side = append(side, size)
		}
	}
	losing := make([]*scaleFleet, len(side))
	there := usage{memory: memoryInUse()}
	for i, size := range side {
		f, err := m.open(limited, size.Members, gossip.Rules{})
		if err != nil {
			r.note(size, "come together", err)
			continue
		}
		losing[i] = f
		r.cost(size, f, &there)
	}
	beating, still := context.WithCancel(limited)
	var lag []time.Duration
	var beat, split, lost sync.WaitGroup
	beat.Go(func() { lag, _ = harness.MeasureTimerLag(beating) })
	for i, size := range side {
		split.Go(func() {
			r.fleet(size, func(f *scaleFleet) { r.split(size, f) })
		})
		if f := losing[i]; f != nil {
			lost.Go(func() { r.lose(size, f) })
		}
	}
	split.Wait()
	lost.Wait()
	still()
	beat.Wait()
	r.starved(side, losing)
	for _, size := range alone {
		there = usage{memory: memoryInUse()}
		r.fleet(size, func(f *scaleFleet) {
			r.cost(size, f, &there)
			r.split(size, f)
			r.lose(size, f)
		})
	}
	m.finish(r.r, lag)
	r.r.TookS = time.Since(r.began).Seconds()
	return r.r, context.Cause(ctx) // that its own time was over is in Unmeasured
}

// note keeps what could not be measured.
func (r *scaleRun) note(size *MemberSize, what string, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	said := "done"
	if err != nil {
		said = err.Error()
		r.r.Unmeasured = append(r.r.Unmeasured, fmt.Sprintf("%d members, %s: %s", size.Members, what, said))
	}
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, "%4.0f s: %d members, %s: %s\n", time.Since(r.began).Seconds(), size.Members, what, said)
	}
	return err == nil
}

// fleet has something done with a fleet of its own.
func (r *scaleRun) fleet(size *MemberSize, do func(*scaleFleet)) {
	f, err := r.open(r.ctx, size.Members, gossip.Rules{Delay: scaleDelay})
	if err == nil {
		do(f)
		err = f.close()
	}
	if err != nil {
		r.note(size, "come together", err)
	}
}

func (r *scaleRun) cost(size *MemberSize, f *scaleFleet, there *usage) {
	idle, none, err := f.idle(r.ctx, there)
	if r.note(size, "idle", err) {
		size.Idle = idle
		size.Losses = append(size.Losses, none)
	}
}

// split splits a fleet and ends some of it.
func (r *scaleRun) split(size *MemberSize, f *scaleFleet) {
	crash, err := f.crash(r.ctx)
	if r.note(size, "crash", err) {
		size.Crash = crash
	}
	for _, p := range []struct {
		name  string
		first int
	}{{"half and half", len(f.members) / 2}, {"one and the rest", 1}} {
		one, err := f.split(r.ctx, p.name, p.first)
		if r.note(size, "split: "+p.name, err) {
			size.Splits = append(size.Splits, *one)
		}
	}
}

func (r *scaleRun) lose(size *MemberSize, f *scaleFleet) {
	for _, loss := range r.Losses {
		l, err := f.lose(r.ctx, loss)
		if r.note(size, fmt.Sprintf("loss of %.0f%%", 100*loss), err) {
			size.Losses = append(size.Losses, l)
		}
	}
}

// starved counts false deaths with too little processor, of all sizes at once: they share it. It closes the fleets.
func (r *scaleRun) starved(sizes []*MemberSize, fleets []*scaleFleet) {
	var counting, ended sync.WaitGroup
	fed := make(chan struct{})
	after := r.starve()
	for i, f := range fleets {
		if f == nil {
			continue
		}
		counting.Add(1)
		ended.Go(func() {
			l, err := f.count(r.ctx, MemberLoss{Starved: true}, f.watching())
			counting.Done()
			<-fed
			if err == nil {
				l.Agree = f.again(r.ctx)
				err = context.Cause(r.ctx)
			}
			if r.note(sizes[i], "starved of processor", errors.Join(err, f.close())) {
				sizes[i].Losses = append(sizes[i].Losses, l)
			}
		})
	}
	counting.Wait()
	after()
	close(fed)
	ended.Wait()
}

func (m *MemberScale) finish(r *MemberScaleResult, lag []time.Duration) {
	if slices.Sort(lag); len(lag) > 0 {
		r.LagP99MS = float64(lag[int(math.Ceil(0.99*float64(len(lag)-1)))]) / float64(time.Millisecond)
		r.Late = r.LagP99MS > 50
	}
	var idle []MemberSize
	for _, s := range r.Sizes {
		if s.Idle != nil {
			idle = append(idle, s)
		}
	}
	if len(idle) < 2 {
		return
	}
	a, b := idle[0], idle[len(idle)-1]
	power := func(x, y float64) float64 { return math.Log(y/x) / math.Log(float64(b.Members)/float64(a.Members)) }
	r.BytesGrow, r.CPUGrow = power(a.Idle.Bytes, b.Idle.Bytes), power(a.Idle.CPU, b.Idle.CPU)
}
