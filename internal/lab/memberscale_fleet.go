package lab

// This file is a fleet of members in one process, whose size and faults are measured.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/lab/gossip"
	"marblelane/internal/lab/harness"
	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

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
	s.silentMembers += max(s.view.Reachable-v.Reachable, 0)
	s.out += max(s.view.Known-v.Known, 0)
	s.most = max(s.most, v.Known-v.Reachable)
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
		if !harness.Sleep(ctx, time.Until(began.Add(m.Interval*time.Duration(i)/200))) {
			return nil, errors.Join(context.Cause(ctx), f.close())
		}
		port, err := f.net.Open(gossip.Addr(i))
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		s := &scaleMember{port: port, view: roster.View{Known: n, Reachable: 1}}
		cfg := membership.Config{Name: fmt.Sprintf("m%04d", i), Fleet: "scale", Zone: "here", Role: "sidecar", Peers: n,
			Interval: m.Interval, TrustRefused: true, Defect: m.Defect, Transport: port, ViewChanged: s.changed}
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
		ended <- harness.Parallel(len(f.members), 32, func(i int) error { return f.members[i].group.Close() })
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(closeMost):
		return fmt.Errorf("%d members have not ended after %v", len(f.members), closeMost)
	}
}

// await looks until something is so, for Wait at most.
func (f *scaleFleet) await(ctx context.Context, what string, is func(*scaleMember) bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.m.Wait+f.m.Interval*time.Duration(len(f.members))/10)
	defer cancel()
	for {
		i := slices.IndexFunc(f.members, func(s *scaleMember) bool { return !is(s) })
		if i < 0 {
			return nil
		}
		if !harness.Sleep(ctx, max(f.m.Interval/50, time.Millisecond)) {
			return fmt.Errorf("member %d %s: %+v: %w", i, what, f.members[i].last(), context.Cause(ctx))
		}
	}
}

// agree waits until every member hears every one that runs, and none else, by number and then by name.
func (f *scaleFleet) agree(ctx context.Context, admitted bool) error {
	n := len(f.members)
	err := f.await(ctx, "does not agree", func(s *scaleMember) bool {
		v := s.last()
		return v.Known == n && v.Reachable == n && (v.Admitted || !admitted)
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
		if !harness.Sleep(ctx, f.m.Interval) {
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
	harness.Sleep(ctx, window)
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
		return 2*side[s] < n || s.last().Reachable == side[s]
	})
	if err == nil {
		out.Noticed = time.Since(began).Seconds()
	}
	for _, s := range f.members {
		out.Out = max(out.Out, n-s.last().Known)
		if side[s] == min(first, n-first) {
			out.Hears = max(out.Hears, s.last().Reachable)
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
	if err := harness.Parallel(k, k, func(i int) error { return ended[i].group.Close() }); err != nil {
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
	out.DetectP50, out.DetectP99, out.DetectAll = times(func(v roster.View) int { return v.Reachable })
	out.GoneP50, out.GoneP99, out.GoneAll = times(func(v roster.View) int { return v.Known })
	return out, context.Cause(ctx)
}
