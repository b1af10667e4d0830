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

const (
	// probesPerInterval bounds the calls of the prober. The other members call, too.
	probesPerInterval = 10
	maxProbePause     = 30 * time.Second
	// probeIdleTime is how long the prober waits if no probe is scheduled and nothing wakes it.
	probeIdleTime = time.Minute
	// minProbeTimeout bounds a call from below where the interval is short.
	minProbeTimeout = 100 * time.Millisecond
)

// prober calls the addresses of unreachable members. A refused connection proves a process gone: its host is up and
// no process listens. Nothing else proves anything.
type prober struct {
	*shared
	scheduled map[roster.ID]*scheduledProbe
	limiter   *rate.Limiter
}

// scheduledProbe is the next call of one unreachable member.
type scheduledProbe struct {
	at    time.Time
	pause *backoff.ExponentialBackOff
}

func newProber(s *shared) *prober {
	limiter := rate.NewLimiter(rate.Every(s.cfg.Interval/probesPerInterval), probesPerInterval)
	return &prober{shared: s, scheduled: map[roster.ID]*scheduledProbe{}, limiter: limiter}
}

// run is the prober's goroutine.
func (p *prober) run() {
	if !p.cfg.TrustRefused {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.probeWake:
		case <-timer.C:
		}
		if p.left.Load() {
			return
		}
		next := p.probeDue()
		timer.Reset(max(time.Until(next), p.cfg.Interval/probesPerInterval))
	}
}

// probeDue calls the unreachable members whose time has come, and returns the time of the next call.
func (p *prober) probeDue() time.Time {
	unreachable := p.provableMembers()
	for id := range p.scheduled {
		if _, still := unreachable[id]; !still {
			delete(p.scheduled, id)
		}
	}
	next := time.Now().Add(probeIdleTime)
	for id, e := range unreachable {
		s := p.scheduled[id]
		if s == nil {
			s = p.firstProbe()
			p.scheduled[id] = s
		}
		if !time.Now().Before(s.at) && p.limiter.Allow() { // else it is called in the next round
			if p.refuses(e.Addr) {
				_ = p.do(p.ctx, proveConnectionRefused{id}) // fails only if the owner has ended
			}
			s.at = time.Now().Add(s.pause.NextBackOff())
		}
		if s.at.Before(next) {
			next = s.at
		}
	}
	return next
}

// firstProbe schedules the first call of a member at a random time, so that not all members call it at once.
func (p *prober) firstProbe() *scheduledProbe {
	wait := time.Duration(rand.Int64N(2 * int64(p.cfg.Interval)))
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = p.cfg.Interval, maxProbePause
	return &scheduledProbe{at: time.Now().Add(wait), pause: pause}
}

// provableMembers returns the unreachable members whose address proves something if it refuses connections.
func (p *prober) provableMembers() map[roster.ID]roster.Entry {
	provable := map[roster.ID]roster.Entry{}
	for _, e := range p.peers.Load().unreachable {
		if p.isProvable(e.Addr) {
			provable[idOf(e)] = e
		}
	}
	return provable
}

// isProvable is false for this process's own address, and for a loopback address if this process has another: that one
// is of another host.
func (p *prober) isProvable(addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || addr == p.addr {
		return false
	}
	own, err := netip.ParseAddrPort(p.addr)
	return err == nil && (!at.Addr().IsLoopback() || own.Addr().IsLoopback())
}

// refuses reports whether an address refuses connections.
func (p *prober) refuses(addr string) bool {
	if p.ctx.Err() != nil {
		return false
	}
	timeout := max(p.cfg.Interval, minProbeTimeout)
	conn, err := p.transport.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
