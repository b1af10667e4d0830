package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/lab/gossip"
	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
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

// scaleMember is one member with what it was told.
type scaleMember struct {
	group *membership.Group
	port  *gossip.Port

	mu            sync.Mutex
	view          roster.View
	trace         []seenView // while it is traced
	traced        bool
	silentMembers int // falls of Heard and of Known, so far
	out           int
	most          int // of Known that were not heard at one time
}

type seenView struct {
	at   time.Time
	view roster.View
}

func (s *scaleMember) changed(v roster.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v == s.view {
		return
	}
	s.silentMembers += max(s.view.Heard-v.Heard, 0)
	s.out += max(s.view.Known-v.Known, 0)
	s.most = max(s.most, v.Known-v.Heard)
	s.view = v
	if s.traced {
		s.trace = append(s.trace, seenView{time.Now(), v})
	}
}

// last is what it was told last.
func (s *scaleMember) last() roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// first tells when a member first saw something; zero: it did not.
func (s *scaleMember) first(from time.Time, is func(roster.View) bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.trace {
		if !v.at.Before(from) && is(v.view) {
			return v.at
		}
	}
	return time.Time{}
}

// scaleFleet is one fleet on a network of its own.
type scaleFleet struct {
	m       *MemberScale
	net     *gossip.Network
	members []*scaleMember
	joined  time.Duration
}

// open starts a fleet and waits until all agree and are admitted.
func (m *MemberScale) open(ctx context.Context, n int, rules gossip.Rules) (*scaleFleet, error) {
	f := &scaleFleet{m: m, net: gossip.New(m.Seed, rules)}
	began := time.Now()
	for i := range n {
		// Two hundred in a time between probes, as a platform starts them.
		if !sleep(ctx, time.Until(began.Add(m.Interval*time.Duration(i)/200))) {
			return nil, errors.Join(context.Cause(ctx), f.close())
		}
		port, err := f.net.Open(gossip.Addr(i))
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		s := &scaleMember{port: port, view: roster.View{Known: n, Heard: 1}}
		cfg := membership.Config{Name: fmt.Sprintf("m%04d", i), Fleet: "scale", Zone: "here", Role: "sidecar", Peers: n,
			Interval: m.Interval, BelieveRefused: true, Defect: m.Defect, Transport: port, Changed: s.changed}
		for k := range min(3, n) {
			if k != i {
				cfg.Seeds = append(cfg.Seeds, gossip.Addr(k).String())
			}
		}
		if s.group, err = membership.Open(cfg); err != nil {
			return nil, errors.Join(err, port.Shutdown(), f.close())
		}
		f.members = append(f.members, s)
	}
	if err := f.agree(ctx, true); err != nil {
		return nil, errors.Join(err, f.close())
	}
	f.joined = time.Since(began)
	return f, nil
}

// close ends all members. Nobody hears of it: what the rest would make of each that ends is work for nothing.
func (f *scaleFleet) close() error {
	f.net.Set(gossip.Rules{Cut: true})
	for _, s := range f.members {
		_ = s.port.Shutdown() // gives nil only
	}
	ended := make(chan error, 1)
	go func() {
		ended <- parallel(len(f.members), 32, func(i int) error { return f.members[i].group.Close() })
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(closeMost):
		return fmt.Errorf("%d members have not ended after %v", len(f.members), closeMost)
	}
}

// closeMost is how long the end of a fleet is waited for. One that this machine cannot carry needs longer.
const closeMost = 20 * time.Second

// await looks until something is so, for Wait at most.
func (f *scaleFleet) await(ctx context.Context, what string, is func(*scaleMember) bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.m.Wait+f.m.Interval*time.Duration(len(f.members))/10)
	defer cancel()
	for {
		i := slices.IndexFunc(f.members, func(s *scaleMember) bool { return !is(s) })
		if i < 0 {
			return nil
		}
		if !sleep(ctx, max(f.m.Interval/50, time.Millisecond)) {
			return fmt.Errorf("member %d %s: %+v: %w", i, what, f.members[i].last(), context.Cause(ctx))
		}
	}
}

// agree waits until every member hears every one that runs, and none else, by number and then by name.
func (f *scaleFleet) agree(ctx context.Context, admitted bool) error {
	n := len(f.members)
	err := f.await(ctx, "does not agree", func(s *scaleMember) bool {
		v := s.last()
		return v.Known == n && v.Heard == n && (v.Admitted || !admitted)
	})
	if err != nil {
		return err
	}
	ids := make([]roster.ID, n)
	reports := make([]membership.Report, n)
	for i, s := range f.members {
		reports[i] = s.group.Report()
		ids[i] = reports[i].Self
	}
	return disagreement(reports, ids)
}

// disagreement tells the first member whose report does not have exactly those that run, alive.
func disagreement(reports []membership.Report, running []roster.ID) error {
	running = slices.Clone(running)
	byID := func(a, b roster.ID) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start)) }
	slices.SortFunc(running, byID)
	for _, r := range reports {
		var alive []roster.ID
		for _, m := range r.Members {
			switch m.State {
			case membership.Alive, membership.Suspected:
				alive = append(alive, roster.ID{Name: m.Name, Start: m.Start})
			case membership.Silent:
				return fmt.Errorf("%s does not hear %s@%d", r.Self.Name, m.Name, m.Start)
			}
		}
		slices.SortFunc(alive, byID)
		if !slices.Equal(alive, running) {
			return fmt.Errorf("%s sees %d alive that are not the %d that run", r.Self.Name, len(alive), len(running))
		}
	}
	return nil
}

// suspicion is the least time from a suspicion to a death, as the library scales it.
func (f *scaleFleet) suspicion() time.Duration {
	return time.Duration(4 * max(1, math.Log10(float64(len(f.members)))) * float64(f.m.Interval))
}

// quiet waits until members send little but their probes, for Wait at most: what a joining sets off is told on for a
// while, the longer the larger the fleet.
func (f *scaleFleet) quiet(ctx context.Context) bool {
	most := uint64(3 * len(f.members)) // in one interval: a probe, an answer, and some
	for end := time.Now().Add(f.m.Wait); ctx.Err() == nil && time.Now().Before(end); {
		_, before := f.sent()
		if !sleep(ctx, f.m.Interval) {
			return false
		}
		if _, now := f.sent(); now-before <= most {
			return true
		}
	}
	return false
}

// usage is what was measured of this process before a fleet was there.
type usage struct {
	memory int64
	cpu    float64 // of one processor
}

// idle measures what a quiet fleet costs beyond what was there before it, and what it takes for dead. What is there
// now is the next one's before.
func (f *scaleFleet) idle(ctx context.Context, there *usage) (*MemberIdle, MemberLoss, error) {
	m, n := f.m, len(f.members)
	out := &MemberIdle{Joined: f.joined.Seconds()}
	for _, s := range f.members {
		if s.last().Forced {
			out.Forced++
		}
	}
	out.Quiet = f.quiet(ctx)
	memory := memoryInUse()
	out.Memory = float64(memory-there.memory) / 1024 / float64(n)
	// Push/pulls are rare, so few members are measured for longer.
	window := min(max(m.Cost, 60*m.Interval/time.Duration(n)), 3*m.Cost)
	sentBytes, sentPackets := f.sent()
	cpu, began := cpuTime(), time.Now()
	none, err := f.count(ctx, MemberLoss{}, window)
	took := time.Since(began).Seconds()
	per := float64(n) * took
	share := (cpuTime() - cpu).Seconds() / took
	bytes, packets := f.sent()
	out.Bytes, out.Packets = float64(bytes-sentBytes)/per, float64(packets-sentPackets)/per
	out.CPU = 1e6 * (share - there.cpu) / float64(n)
	out.Minutes = per / 60
	*there = usage{memory: memory, cpu: share}
	return out, none, err
}

func (f *scaleFleet) sent() (bytes, packets uint64) {
	for _, s := range f.members {
		c := s.port.Counts()
		bytes += c.SentBytes
		packets += c.SentPackets
	}
	return bytes, packets
}

func memoryInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

// cpuTime is what this process took so far.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // it cannot fail on oneself
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// count counts who is taken for dead for some time.
func (f *scaleFleet) count(ctx context.Context, l MemberLoss, window time.Duration) (MemberLoss, error) {
	falls := func() (unheard, out, most int) {
		for _, s := range f.members {
			s.mu.Lock()
			unheard, out, most = unheard+s.silentMembers, out+s.out, max(most, s.most)
			s.most = 0
			s.mu.Unlock()
		}
		return unheard, out, most
	}
	unheard, out, _ := falls()
	began := time.Now()
	sleep(ctx, window)
	hours := time.Since(began).Hours()
	unheardNow, outNow, most := falls()
	n := float64(len(f.members))
	l.Hours, l.DeathsSeen, l.SeenOut, l.Unheard = n*hours, unheardNow-unheard, outNow-out, most
	l.Deaths, l.Gone = float64(l.DeathsSeen)/(n-1)/l.Hours, float64(l.SeenOut)/(n-1)/l.Hours
	return l, context.Cause(ctx)
}

// again tells how long it takes until all agree; -1: they do not.
func (f *scaleFleet) again(ctx context.Context) float64 {
	began := time.Now()
	if f.agree(ctx, false) != nil {
		return -1
	}
	return time.Since(began).Seconds()
}

// watching is how long it takes to see a false death or two.
func (f *scaleFleet) watching() time.Duration { return f.m.Watch + f.suspicion()*3/2 }

// lose counts false deaths at one share of lost packets.
func (f *scaleFleet) lose(ctx context.Context, loss float64) (MemberLoss, error) {
	f.net.Set(gossip.Rules{Loss: loss, Delay: scaleDelay})
	l, err := f.count(ctx, MemberLoss{Loss: loss}, f.watching())
	f.net.Set(gossip.Rules{Delay: scaleDelay})
	if err != nil {
		return l, err
	}
	l.Agree = f.again(ctx)
	return l, context.Cause(ctx)
}

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

// split cuts a fleet into the first members and the rest, until the larger part has noticed, and heals it. A small
// part notices last: the library has a member that reaches nobody doubt itself, and look more and more seldom.
func (f *scaleFleet) split(ctx context.Context, name string, first int) (*MemberSplit, error) {
	n := len(f.members)
	out := &MemberSplit{Parts: name, Noticed: -1, Agree: -1}
	part, side := map[netip.AddrPort]int{}, map[*scaleMember]int{}
	for i, s := range f.members {
		if side[s] = n - first; i < first {
			side[s], part[s.port.Addr()] = first, 1
		}
	}
	f.net.Split(part)
	began := time.Now()
	err := f.await(ctx, "hears the other side", func(s *scaleMember) bool {
		return 2*side[s] < n || s.last().Heard == side[s]
	})
	if err == nil {
		out.Noticed = time.Since(began).Seconds()
	}
	for _, s := range f.members {
		out.Out = max(out.Out, n-s.last().Known)
		if side[s] == min(first, n-first) {
			out.Hears = max(out.Hears, s.last().Heard)
		}
	}
	f.net.Heal()
	out.Agree = f.again(ctx)
	return out, context.Cause(ctx)
}

// crash ends some members at once, without a word; their hosts stay.
func (f *scaleFleet) crash(ctx context.Context) (*MemberCrash, error) {
	n := len(f.members)
	k := min(max(1, n/20), 10)
	for _, s := range f.members {
		s.mu.Lock()
		s.traced = true
		s.mu.Unlock()
	}
	ended := f.members[n-k:]
	f.members = f.members[:n-k]
	began := time.Now()
	if err := parallel(k, k, func(i int) error { return ended[i].group.Close() }); err != nil {
		return nil, err
	}
	// What did not come in time is -1 below.
	_ = f.await(ctx, "has not counted out who ended", func(s *scaleMember) bool { return s.last().Known == n-k })
	out := &MemberCrash{Crashed: k}
	times := func(of func(roster.View) int) (p50, p99, all float64) {
		var took []float64
		for _, s := range f.members {
			for j := 1; j <= k; j++ {
				t := math.Inf(1)
				if at := s.first(began, func(v roster.View) bool { return of(v) <= n-j }); !at.IsZero() {
					t = at.Sub(began).Seconds()
				}
				took = append(took, t)
			}
		}
		slices.Sort(took)
		at := func(q float64) float64 {
			t := took[int(math.Ceil(q*float64(len(took)-1)))]
			if math.IsInf(t, 1) {
				return -1
			}
			return t
		}
		return at(0.5), at(0.99), at(1)
	}
	out.DetectP50, out.DetectP99, out.DetectAll = times(func(v roster.View) int { return v.Heard })
	out.GoneP50, out.GoneP99, out.GoneAll = times(func(v roster.View) int { return v.Known })
	return out, context.Cause(ctx)
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
	beat.Go(func() { lag, _ = heartbeat(beating) })
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
