package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	resolveTimeout = 2 * time.Second // timeout of the DNS lookup of a seed

	// The pause between two attempts grows from 1/firstJoinPauseFraction of an interval to maxJoinPauseIntervals.
	firstJoinPauseFraction = 10
	maxJoinPauseIntervals  = 15
	joinPauseFactor        = 1.3
	// aloneJoinPauseIntervals is the longest pause of a process that reaches no other process, as no member calls it.
	aloneJoinPauseIntervals = 2
	// A timer that fires more than 1/lateTimerFraction of an interval late indicates that the machine lacks CPU time.
	lateTimerFraction = 4
)

// joiner exchanges the full state (push/pull) with seeds and unreachable members, one at a time. The library never
// contacts a node that it has declared dead, so without the joiner a long partition would never heal. Reachable seeds
// are skipped.
type joiner struct {
	*shared
	pause   *backoff.ExponentialBackOff
	limiter *joinLimiter
	dueAt   time.Time // time at which the timer should fire
	round   []string  // addresses still to contact in this round
	seeds   []string  // the seeds' addresses as last resolved
	// requestedExchanges is the number of exchanges that the owner has requested.
	requestedExchanges int
}

func newJoiner(s *shared) *joiner {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = s.cfg.Interval / firstJoinPauseFraction
	pause.MaxInterval = maxJoinPauseIntervals * s.cfg.Interval
	pause.Multiplier = joinPauseFactor
	return &joiner{shared: s, pause: pause, limiter: newJoinLimiter(s.cfg.Interval)}
}

// run performs exchanges until this process leaves or the group is closed.
func (j *joiner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	j.dueAt = time.Now()
	for !j.hasLeft.Load() {
		select {
		case <-j.ctx.Done():
			return
		case r := <-j.exchanges:
			_ = j.exchange(j.exchangeTarget(r)) // exchange counts failures
		case <-j.joinWake:
			timer.Reset(j.restart())
		case <-timer.C:
			timer.Reset(j.attemptNext())
		}
	}
}

// exchangeTarget returns the address for a requested exchange. Every other time it is a reachable seed, if there is
// one, as joining processes contact the seeds first and these therefore have the most complete state.
func (j *joiner) exchangeTarget(r exchangeRequest) string {
	j.requestedExchanges++
	if j.requestedExchanges%2 == 1 && len(j.seeds) > 0 {
		if seed := j.seeds[rand.IntN(len(j.seeds))]; j.peers.Load().reachable[seed] {
			return seed
		}
	}
	return r.addr
}

// restart begins a new round and resets the backoff. It returns a random time to wait, so that the members do not all
// call at once.
func (j *joiner) restart() time.Duration {
	j.pause.Reset()
	j.round = nil
	return j.schedule(time.Duration(rand.Int64N(int64(j.cfg.Interval))))
}

// schedule records when the timer is due to fire, and returns wait.
func (j *joiner) schedule(wait time.Duration) time.Duration {
	j.dueAt = time.Now().Add(wait)
	return wait
}

// attemptNext performs an exchange with the next address of the round that is not reachable, and returns the time to
// wait before the next attempt.
func (j *joiner) attemptNext() time.Duration {
	if time.Since(j.dueAt) > j.cfg.Interval/lateTimerFraction {
		j.limiter.recordLateTimer()
	}
	if len(j.round) == 0 {
		j.round, j.seeds = j.candidates()
	}
	reachable := j.peers.Load().reachable
	for len(j.round) > 0 && reachable[j.round[0]] {
		j.round = j.round[1:]
	}
	limiterWait := time.Duration(0)
	if len(j.round) > 0 {
		if limiterWait = j.limiter.reserve(); limiterWait == 0 {
			err := j.exchange(j.round[0])
			if j.limiter.recordResult(err); err == nil {
				_ = j.runOnOwner(j.ctx, scanMembers{}) // lets the next attempt skip members that have become reachable
			}
			j.round = j.round[1:]
		}
	}
	pause := j.pause.NextBackOff()
	if len(reachable) == 0 {
		pause = min(pause, aloneJoinPauseIntervals*j.cfg.Interval)
	}
	return j.schedule(max(pause, limiterWait))
}

// exchange performs a push/pull with another process.
func (j *joiner) exchange(addr string) error {
	if j.hasLeft.Load() || j.ctx.Err() != nil {
		return nil
	}
	if _, err := j.current.Load().library.Join([]string{addr}); err != nil {
		j.counters.failedJoins.Add(1)
		j.log.Debug("members: join failed", "addr", addr, "err", err)
		return err
	}
	return nil
}

// candidates returns the addresses to contact: the unreachable seeds and members, or all known ones if none is
// reachable. They are in random order, so that the members do not all contact the same ones. It also returns the
// addresses of all seeds.
func (j *joiner) candidates() (all, seeds []string) {
	peers := j.peers.Load()
	add := func(addr string) {
		if addr != "" && addr != j.addr && !peers.reachable[addr] && !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	for _, seed := range j.cfg.Seeds {
		for _, addr := range j.resolve(seed) {
			add(addr)
			seeds = append(seeds, addr)
		}
	}
	for _, e := range peers.unreachable {
		add(e.Addr)
	}
	if len(peers.reachable) == 0 {
		for _, e := range peers.present {
			add(e.Addr)
		}
	}
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all, seeds
}

// resolve returns the addresses of a seed. The library's own lookup cannot be cancelled.
func (j *joiner) resolve(seed string) []string {
	if at, err := netip.ParseAddrPort(seed); err == nil {
		return []string{netip.AddrPortFrom(at.Addr().Unmap(), at.Port()).String()}
	}
	host, port, err := net.SplitHostPort(seed)
	if err != nil {
		return nil // unreachable, as Config checks the seeds
	}
	ctx, cancel := context.WithTimeout(j.ctx, resolveTimeout)
	defer cancel()
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		j.log.Debug("members: seed lookup failed", "seed", seed, "err", err)
	}
	var all []string
	for _, ip := range ips {
		all = append(all, net.JoinHostPort(ip.Unmap().String(), port))
	}
	slices.Sort(all)
	return all
}
