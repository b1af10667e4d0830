package memberscale

// This file runs a fleet of members in this process, injects faults and measures the reaction.

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

// member is one member of a fleet and what its group reported.
type member struct {
	group *membership.Group
	port  *gossip.Port

	mu                sync.Mutex
	view              roster.View // last view that the member reported
	trace             []timedView // views that the member reported since traced was set
	traced            bool
	unreachableEvents int // number of times that another member became unreachable
	removedEvents     int // number of times that another member was removed
	maxUnreachable    int // largest number of known but unreachable members at one time
}

// timedView is a view and the time at which it was reported.
type timedView struct {
	at   time.Time
	view roster.View
}

// recordView stores a view that the group reported and counts the members that it lost.
func (s *member) recordView(v roster.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v == s.view {
		return
	}
	s.unreachableEvents += max(s.view.Reachable-v.Reachable, 0)
	s.removedEvents += max(s.view.Known-v.Known, 0)
	s.maxUnreachable = max(s.maxUnreachable, v.Known-v.Reachable)
	s.view = v
	if s.traced {
		s.trace = append(s.trace, timedView{time.Now(), v})
	}
}

// currentView returns the last view that was reported.
func (s *member) currentView() roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// firstSeen returns the time of the first traced view at or after from that matches, or zero if there is none.
func (s *member) firstSeen(from time.Time, matches func(roster.View) bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.trace {
		if !v.at.Before(from) && matches(v.view) {
			return v.at
		}
	}
	return time.Time{}
}

// fleet is a set of members on their own simulated network.
type fleet struct {
	experiment *Experiment
	network    *gossip.Network
	members    []*member
	joinTime   time.Duration // time from the start of the first member until all agreed and were admitted
}

// startsPerInterval is the number of members that start per probe interval. The start is spread as it is when a
// platform starts a fleet.
const startsPerInterval = 200

// openFleet starts a fleet of n members and waits until all members agree and are admitted.
func (m *Experiment) openFleet(ctx context.Context, n int, rules gossip.Rules) (*fleet, error) {
	f := &fleet{experiment: m, network: gossip.New(m.Seed, rules)}
	start := time.Now()
	for i := range n {
		due := start.Add(m.Interval * time.Duration(i) / startsPerInterval)
		if !harness.Sleep(ctx, time.Until(due)) {
			return nil, errors.Join(context.Cause(ctx), f.close())
		}
		port, err := f.network.Open(gossip.Addr(i))
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		s := &member{port: port, view: roster.View{Known: n, Reachable: 1}}
		cfg := membership.Config{Name: fmt.Sprintf("m%04d", i), Fleet: "scale", Zone: "here", Role: "sidecar", Peers: n,
			Interval: m.Interval, TrustRefused: true, Defect: m.Defect, Transport: port, ViewChanged: s.recordView}
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
	if err := f.awaitAgreement(ctx, true); err != nil {
		return nil, errors.Join(err, f.close())
	}
	f.joinTime = time.Since(start)
	return f, nil
}

// close ends all members. It cuts the network first, so that members don't gossip about the members that end.
func (f *fleet) close() error {
	f.network.SetDefault(gossip.Rules{Cut: true})
	for _, s := range f.members {
		_ = s.port.Shutdown() // always returns nil
	}
	ended := make(chan error, 1)
	go func() {
		ended <- harness.Parallel(len(f.members), 32, func(i int) error { return f.members[i].group.Close() })
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(closeTimeout):
		return fmt.Errorf("close %d members: not done after %v", len(f.members), closeTimeout)
	}
}

// await polls until a condition holds for all members. It fails after EventTimeout plus a tenth of Interval for each
// member. failure describes a member for which the condition doesn't hold.
func (f *fleet) await(ctx context.Context, failure string, holds func(*member) bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.experiment.EventTimeout+f.experiment.Interval*time.Duration(len(f.members))/10)
	defer cancel()
	for {
		i := slices.IndexFunc(f.members, func(s *member) bool { return !holds(s) })
		if i < 0 {
			return nil
		}
		if !harness.Sleep(ctx, max(f.experiment.Interval/50, time.Millisecond)) {
			return fmt.Errorf("member %d %s: %+v: %w", i, failure, f.members[i].currentView(), context.Cause(ctx))
		}
	}
}

// awaitAgreement waits until all members know and reach as many members as run, and if admitted is set, until all are
// admitted. It then compares the members' reports by name and start.
func (f *fleet) awaitAgreement(ctx context.Context, admitted bool) error {
	n := len(f.members)
	err := f.await(ctx, "does not agree", func(s *member) bool {
		v := s.currentView()
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
	return checkAgreement(reports, ids)
}

// checkAgreement returns an error for the first report that has an unreachable member, or whose members are not exactly
// the running ones.
func checkAgreement(reports []membership.Report, running []roster.ID) error {
	running = slices.Clone(running)
	byID := func(a, b roster.ID) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start)) }
	slices.SortFunc(running, byID)
	for _, r := range reports {
		var alive []roster.ID
		for _, m := range r.Members {
			switch m.State {
			case membership.Alive, membership.Suspected:
				alive = append(alive, roster.ID{Name: m.Name, Start: m.Start})
			case membership.Unreachable:
				return fmt.Errorf("member %s cannot reach %s@%d", r.Self.Name, m.Name, m.Start)
			}
		}
		slices.SortFunc(alive, byID)
		if !slices.Equal(alive, running) {
			return fmt.Errorf("member %s lists %d live members, which are not the %d running ones", r.Self.Name, len(alive), len(running))
		}
	}
	return nil
}

// suspicionTime returns the shortest time from the suspicion of a member until the member counts as unreachable. The
// gossip library scales it by the size of the fleet.
func (f *fleet) suspicionTime() time.Duration {
	return time.Duration(4 * max(1, math.Log10(float64(len(f.members)))) * float64(f.experiment.Interval))
}

// awaitQuiet waits until members send little besides their probes, and returns false if they don't within EventTimeout.
// Members gossip about a join for a time that increases with the size of the fleet.
func (f *fleet) awaitQuiet(ctx context.Context) bool {
	maxPackets := uint64(3 * len(f.members)) // per interval and member: a probe, its acknowledgement, one more packet
	for end := time.Now().Add(f.experiment.EventTimeout); ctx.Err() == nil && time.Now().Before(end); {
		_, before := f.sentTotals()
		if !harness.Sleep(ctx, f.experiment.Interval) {
			return false
		}
		if _, now := f.sentTotals(); now-before <= maxPackets {
			return true
		}
	}
	return false
}

// baselineUsage is the resource use of this process before a fleet was opened.
type baselineUsage struct {
	memory int64   // size of the heap and the stacks, in bytes
	cpu    float64 // mean number of processors in use
}

// measureIdle measures the cost of a quiet fleet beyond the baseline, and counts false detections without loss. It sets
// baseline to the present usage, for the next fleet.
func (f *fleet) measureIdle(ctx context.Context, baseline *baselineUsage) (*IdleCost, LossResult, error) {
	m, n := f.experiment, len(f.members)
	cost := &IdleCost{JoinSeconds: f.joinTime.Seconds()}
	for _, s := range f.members {
		if s.currentView().Forced {
			cost.ForcedAdmissions++
		}
	}
	cost.Quiet = f.awaitQuiet(ctx)
	memory := memoryInUse()
	cost.Memory = float64(memory-baseline.memory) / 1024 / float64(n)
	// Push-pull exchanges are rare, so small fleets are measured for longer.
	window := min(max(m.IdleWindow, 60*m.Interval/time.Duration(n)), 3*m.IdleWindow)
	sentBytes, sentPackets := f.sentTotals()
	cpu, start := cpuTime(), time.Now()
	noLoss, err := f.countEvents(ctx, LossResult{}, window)
	seconds := time.Since(start).Seconds()
	memberSeconds := float64(n) * seconds
	processors := (cpuTime() - cpu).Seconds() / seconds
	bytes, packets := f.sentTotals()
	cost.Bytes, cost.Packets = float64(bytes-sentBytes)/memberSeconds, float64(packets-sentPackets)/memberSeconds
	cost.CPU = 1e6 * (processors - baseline.cpu) / float64(n)
	cost.MemberMinutes = memberSeconds / 60
	*baseline = baselineUsage{memory: memory, cpu: processors}
	return cost, noLoss, err
}

// sentTotals returns the bytes and packets that all members have sent so far.
func (f *fleet) sentTotals() (bytes, packets uint64) {
	for _, s := range f.members {
		c := s.port.Counts()
		bytes += c.SentBytes
		packets += c.SentPackets
	}
	return bytes, packets
}

// memoryInUse returns the bytes of heap and stacks of this process, after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // Getrusage doesn't fail for the calling process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countEvents counts for the window how often running members are detected as unreachable or removed. It returns l with
// the counts.
func (f *fleet) countEvents(ctx context.Context, l LossResult, window time.Duration) (LossResult, error) {
	totals := func() (unreachable, removed, maxUnreachable int) {
		for _, s := range f.members {
			s.mu.Lock()
			unreachable, removed = unreachable+s.unreachableEvents, removed+s.removedEvents
			maxUnreachable = max(maxUnreachable, s.maxUnreachable)
			s.maxUnreachable = 0
			s.mu.Unlock()
		}
		return unreachable, removed, maxUnreachable
	}
	unreachableBefore, removedBefore, _ := totals()
	start := time.Now()
	harness.Sleep(ctx, window)
	hours := time.Since(start).Hours()
	silent, gone, maxUnreachable := totals()
	n := float64(len(f.members))
	l.MemberHours, l.UnreachableEvents, l.RemovedEvents, l.MaxUnreachable = n*hours, silent-unreachableBefore, gone-removedBefore, maxUnreachable
	l.UnreachablePerHour, l.RemovedPerHour = float64(l.UnreachableEvents)/(n-1)/l.MemberHours, float64(l.RemovedEvents)/(n-1)/l.MemberHours
	return l, context.Cause(ctx)
}

// timeToAgree returns the seconds until all members agree, or -1 if they don't in time.
func (f *fleet) timeToAgree(ctx context.Context) float64 {
	start := time.Now()
	if f.awaitAgreement(ctx, false) != nil {
		return -1
	}
	return time.Since(start).Seconds()
}

// lossWindow returns a time that is long enough for suspected members to be declared unreachable.
func (f *fleet) lossWindow() time.Duration { return f.experiment.LossWindow + f.suspicionTime()*3/2 }

// measureLoss counts false detections while the given share of packets is lost.
func (f *fleet) measureLoss(ctx context.Context, loss float64) (LossResult, error) {
	f.network.SetDefault(gossip.Rules{Loss: loss, Delay: networkDelay})
	l, err := f.countEvents(ctx, LossResult{Loss: loss}, f.lossWindow())
	f.network.SetDefault(gossip.Rules{Delay: networkDelay})
	if err != nil {
		return l, err
	}
	l.AgreeSeconds = f.timeToAgree(ctx)
	return l, context.Cause(ctx)
}

// measureSplit partitions a fleet into its first members and the rest, waits until each part of half the fleet or more
// has noticed, and heals the network. It doesn't wait for a smaller part, which notices last: in the gossip library, a
// member that reaches no other members sends probes at ever longer intervals.
func (f *fleet) measureSplit(ctx context.Context, name string, first int) (*SplitResult, error) {
	n := len(f.members)
	result := &SplitResult{Parts: name, NoticeSeconds: -1, AgreeSeconds: -1}
	part, partSize := map[netip.AddrPort]int{}, map[*member]int{}
	for i, s := range f.members {
		if partSize[s] = n - first; i < first {
			partSize[s], part[s.port.Addr()] = first, 1
		}
	}
	f.network.Partition(part)
	start := time.Now()
	err := f.await(ctx, "still reaches the other part", func(s *member) bool {
		return 2*partSize[s] < n || s.currentView().Reachable == partSize[s]
	})
	if err == nil {
		result.NoticeSeconds = time.Since(start).Seconds()
	}
	for _, s := range f.members {
		result.MaxRemoved = max(result.MaxRemoved, n-s.currentView().Known)
		if partSize[s] == min(first, n-first) {
			result.StillReachable = max(result.StillReachable, s.currentView().Reachable)
		}
	}
	f.network.Heal()
	result.AgreeSeconds = f.timeToAgree(ctx)
	return result, context.Cause(ctx)
}

// measureCrash ends some members at once, without a leave message, and measures how long the others take to detect it.
// The hosts of the ended members keep running.
func (f *fleet) measureCrash(ctx context.Context) (*CrashResult, error) {
	n := len(f.members)
	crashed := min(max(1, n/20), 10)
	for _, s := range f.members {
		s.mu.Lock()
		s.traced = true
		s.mu.Unlock()
	}
	crashedMembers := f.members[n-crashed:]
	f.members = f.members[:n-crashed]
	start := time.Now()
	if err := harness.Parallel(crashed, crashed, func(i int) error { return crashedMembers[i].group.Close() }); err != nil {
		return nil, err
	}
	// The error is ignored: the result has -1 for events that did not come in time.
	_ = f.await(ctx, "has not removed the crashed members", func(s *member) bool { return s.currentView().Known == n-crashed })
	result := &CrashResult{Crashed: crashed}
	detected := f.crashTimes(start, n, crashed, func(v roster.View) int { return v.Reachable })
	result.DetectP50, result.DetectP99, result.DetectAll = quantileSeconds(detected, 0.5), quantileSeconds(detected, 0.99), quantileSeconds(detected, 1)
	removed := f.crashTimes(start, n, crashed, func(v roster.View) int { return v.Known })
	result.RemovedP50, result.RemovedP99, result.RemovedAll = quantileSeconds(removed, 0.5), quantileSeconds(removed, 0.99), quantileSeconds(removed, 1)
	return result, context.Cause(ctx)
}

// crashTimes returns, for each pair of a remaining and a crashed member, the seconds until a count of the remaining
// member's view no longer included the crashed member. The times are in ascending order. A time is infinite if the
// count kept the crashed member.
func (f *fleet) crashTimes(start time.Time, n, crashed int, count func(roster.View) int) []float64 {
	var times []float64
	for _, s := range f.members {
		for missing := 1; missing <= crashed; missing++ {
			seconds := math.Inf(1)
			at := s.firstSeen(start, func(v roster.View) bool { return count(v) <= n-missing })
			if !at.IsZero() {
				seconds = at.Sub(start).Seconds()
			}
			times = append(times, seconds)
		}
	}
	slices.Sort(times)
	return times
}

// quantileSeconds returns a quantile of sorted times, rounded up to the next element, or -1 if it is infinite.
func quantileSeconds(sorted []float64, q float64) float64 {
	seconds := harness.UpperQuantile(sorted, q)
	if math.IsInf(seconds, 1) {
		return -1
	}
	return seconds
}
