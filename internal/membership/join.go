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

const resolveWithin = 2 * time.Second

// join is the joiner's goroutine: it exchanges all that is known with a seed, or with a process that is silent, one at a
// time. The library itself never calls again whom it took for dead, so after a long split nobody else would. Seeds that are
// heard of are left alone.
func (g *Group) join() {
	pause, pace := g.joinPause(), newJoinLimiter(g.cfg.Interval)
	due := time.Now()
	var round []string // to try before any is tried again
	var seeds []string // as they were resolved last
	turn := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !g.left.Load() {
		select {
		case <-g.ctx.Done():
			return
		case addr := <-g.exchanges:
			// Every other time it is a seed: newcomers go there first, so it knows most.
			if turn++; turn%2 == 1 && len(seeds) > 0 {
				if seed := seeds[rand.IntN(len(seeds))]; g.peers.Load().heard[seed] {
					addr = seed
				}
			}
			_ = g.exchange(addr) // counted
		case <-g.joinWake:
			pause.Reset()
			round = nil
			wait := time.Duration(rand.Int64N(int64(g.cfg.Interval))) // not all at once
			due = time.Now().Add(wait)
			timer.Reset(wait)
		case <-timer.C:
			if time.Since(due) > g.cfg.Interval/4 {
				pace.slower() // this machine is short of processors
			}
			if len(round) == 0 {
				round, seeds = g.candidates()
			}
			heard := g.peers.Load().heard
			for len(round) > 0 && heard[round[0]] {
				round = round[1:]
			}
			wait := time.Duration(0)
			if len(round) > 0 {
				if wait = pace.wait(); wait == 0 {
					err := g.exchange(round[0])
					if pace.said(err); err == nil {
						_ = g.do(g.ctx, g.turnNow) // who is heard now is not called; that it has ended is seen below
					}
					round = round[1:]
				}
			}
			next := pause.NextBackOff()
			if len(heard) == 0 {
				next = min(next, 2*g.cfg.Interval) // alone, it has nobody who would call in its stead
			}
			next = max(next, wait)
			due = time.Now().Add(next)
			timer.Reset(next)
		}
	}
}

func (g *Group) joinPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.Multiplier = g.cfg.Interval/10, 15*g.cfg.Interval, 1.3
	return pause
}

// exchange tells another process all that is known, and takes in what it knows.
func (g *Group) exchange(addr string) error {
	if g.left.Load() || g.ctx.Err() != nil {
		return nil
	}
	if _, err := g.current.Load().list.Join([]string{addr}); err != nil {
		g.figures.failedJoins.Add(1)
		g.log.Debug("members: join", "addr", addr, "error", err)
		return err
	}
	return nil
}

// candidates are the addresses to try, in a random order, so that several processes do not try the same ones: the seeds
// that are not heard, the silent, and where nobody is heard all that are known. With them come all seeds.
func (g *Group) candidates() (all, seeds []string) {
	s := g.peers.Load()
	add := func(addr string) {
		if addr != "" && addr != g.addr && !s.heard[addr] && !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	for _, seed := range g.cfg.Seeds {
		for _, addr := range g.resolve(seed) {
			add(addr)
			seeds = append(seeds, addr)
		}
	}
	for _, e := range s.silent {
		add(e.Addr)
	}
	if len(s.heard) == 0 {
		for _, e := range s.living {
			add(e.Addr)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all, seeds
}

// resolve gives the addresses of a seed. The library would look names up by its own means, which cannot be cut short.
func (g *Group) resolve(seed string) []string {
	if at, err := netip.ParseAddrPort(seed); err == nil {
		return []string{netip.AddrPortFrom(at.Addr().Unmap(), at.Port()).String()}
	}
	host, port, err := net.SplitHostPort(seed)
	if err != nil {
		return nil // checked when it was opened
	}
	ctx, cancel := context.WithTimeout(g.ctx, resolveWithin)
	defer cancel()
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		g.log.Debug("members: look up a seed", "seed", seed, "error", err)
	}
	var all []string
	for _, ip := range ips {
		all = append(all, net.JoinHostPort(ip.Unmap().String(), port))
	}
	slices.Sort(all)
	return all
}
