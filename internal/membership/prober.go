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
	// probesPerInterval bounds the rate of the prober's calls. It need not be high, as the other members probe as well.
	probesPerInterval = 10
	maxProbePause     = 30 * time.Second
	// probeIdleTime is the time that the prober waits if no probe is scheduled.
	probeIdleTime = time.Minute
	// minProbeTimeout is the shortest timeout of a call, which applies if the interval is shorter.
	minProbeTimeout = 100 * time.Millisecond
)

// prober opens connections to the addresses of unreachable members. A refused connection proves that a process has
// ended, as its host is up and no process listens. No other result is a proof.
type prober struct {
	*shared
	scheduled map[roster.ID]*scheduledProbe
	limiter   *rate.Limiter
}

// scheduledProbe is the next probe of one unreachable member.
type scheduledProbe struct {
	at    time.Time
	pause *backoff.ExponentialBackOff
}

func newProber(s *shared) *prober {
	limiter := rate.NewLimiter(rate.Every(s.cfg.Interval/probesPerInterval), probesPerInterval)
	return &prober{shared: s, scheduled: map[roster.ID]*scheduledProbe{}, limiter: limiter}
}

// run probes unreachable members until this process leaves or the group is closed.
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
		if p.hasLeft.Load() {
			return
		}
		next := p.probeDueMembers()
		timer.Reset(max(time.Until(next), p.cfg.Interval/probesPerInterval))
	}
}

// probeDueMembers probes the unreachable members whose probe is due, and returns the time of the next probe.
func (p *prober) probeDueMembers() time.Time {
	unreachable := p.probeTargets()
	for id := range p.scheduled {
		if _, stillUnreachable := unreachable[id]; !stillUnreachable {
			delete(p.scheduled, id)
		}
	}
	next := time.Now().Add(probeIdleTime)
	for id, e := range unreachable {
		probe := p.scheduled[id]
		if probe == nil {
			probe = p.newScheduledProbe()
			p.scheduled[id] = probe
		}
		if !time.Now().Before(probe.at) && p.limiter.Allow() { // otherwise a later round probes the member
			if p.connectionRefused(e.Addr) {
				_ = p.runOnOwner(p.ctx, recordConnectionRefused{id}) // fails only if the owner has ended
			}
			probe.at = time.Now().Add(probe.pause.NextBackOff())
		}
		if probe.at.Before(next) {
			next = probe.at
		}
	}
	return next
}

// newScheduledProbe schedules the first probe of a member at a random time, so that the members do not all probe it at
// once.
func (p *prober) newScheduledProbe() *scheduledProbe {
	wait := time.Duration(rand.Int64N(2 * int64(p.cfg.Interval)))
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = p.cfg.Interval, maxProbePause
	return &scheduledProbe{at: time.Now().Add(wait), pause: pause}
}

// probeTargets returns the unreachable members for which a refused connection is a proof.
func (p *prober) probeTargets() map[roster.ID]roster.Entry {
	targets := map[roster.ID]roster.Entry{}
	for _, e := range p.peers.Load().unreachable {
		if p.isProbeTarget(e.Addr) {
			targets[idOf(e)] = e
		}
	}
	return targets
}

// isProbeTarget reports whether a connection refused by an address is a proof. It is none for this process's own
// address, nor for a loopback address if this process's own is not one: the member is then on another host.
func (p *prober) isProbeTarget(addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || addr == p.addr {
		return false
	}
	own, err := netip.ParseAddrPort(p.addr)
	return err == nil && (!at.Addr().IsLoopback() || own.Addr().IsLoopback())
}

// connectionRefused dials an address and reports whether it refuses connections.
func (p *prober) connectionRefused(addr string) bool {
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
