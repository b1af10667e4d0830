package membership

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"marblelane/internal/membership/roster"
)

// callsMost is how many silent processes are called within an interval at most: the others call them, too.
const callsMost = 10

// scheduledProbe is when a silent process is called next.
type scheduledProbe struct {
	at    time.Time
	pause *backoff.ExponentialBackOff
}

// probe is the prober's goroutine: it calls the addresses of silent processes, each after a random time, so that not all
// witnesses call at once, and again after longer and longer times. That a connection is refused proves a process gone: its
// host is there and nobody listens. Nothing else proves anything.
func (g *Group) probe() {
	if !g.cfg.BelieveRefused {
		return
	}
	trials := map[roster.ID]*scheduledProbe{}
	calls := rate.NewLimiter(rate.Every(g.cfg.Interval/callsMost), callsMost)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.probeWake:
		case <-timer.C:
		}
		if g.left.Load() {
			return
		}
		silent := map[roster.ID]roster.Entry{}
		for _, e := range g.peers.Load().silent {
			if g.provable(e.Addr) {
				silent[idOf(e)] = e
			}
		}
		for id := range trials {
			if _, is := silent[id]; !is {
				delete(trials, id)
			}
		}
		next := time.Now().Add(time.Minute)
		for id, e := range silent {
			t := trials[id]
			if t == nil {
				t = &scheduledProbe{at: time.Now().Add(time.Duration(rand.Int64N(2 * int64(g.cfg.Interval)))),
					pause: backoff.NewExponentialBackOff()}
				t.pause.InitialInterval, t.pause.MaxInterval = g.cfg.Interval, 30*time.Second
				trials[id] = t
			}
			if !time.Now().Before(t.at) && calls.Allow() { // else the next round
				if g.refused(e.Addr) {
					g.prove(e)
				}
				t.at = time.Now().Add(t.pause.NextBackOff())
			}
			if t.at.Before(next) {
				next = t.at
			}
		}
		timer.Reset(max(time.Until(next), g.cfg.Interval/callsMost))
	}
}

// provable reports whether that an address refuses connections says anything: not this process's own, and not one of this
// host alone where this process has another.
func (g *Group) provable(addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || addr == g.addr {
		return false
	}
	own, err := netip.ParseAddrPort(g.addr)
	return err == nil && (!at.Addr().IsLoopback() || own.Addr().IsLoopback())
}

// refused reports whether an address refuses connections.
func (g *Group) refused(addr string) bool {
	if g.ctx.Err() != nil {
		return false
	}
	conn, err := g.inner.DialAddressTimeout(memberlist.Address{Addr: addr}, max(g.cfg.Interval, 100*time.Millisecond))
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// prove tells the owner that a process is gone, if it is silent still.
func (g *Group) prove(e roster.Entry) {
	_ = g.do(g.ctx, func() { // not if it has ended
		now := g.now()
		g.listen(now)
		for _, s := range g.roster.Unreachable() {
			if idOf(s) == idOf(e) {
				g.merge(now, gone(idOf(e), roster.ProofRefused))
			}
		}
		g.turnNow()
	})
}
