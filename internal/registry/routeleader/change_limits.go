package routeleader

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblelane/internal/registry/operators"
)

// changeLimits limits the rate of changes that each tenant makes to its routes and rollouts.
type changeLimits struct {
	mu       sync.Mutex
	byTenant map[string]*rate.Limiter
}

// take takes a token from the tenant's rate limiter and returns 0. If no token is available, it takes none and returns
// the time until one is.
func (l *changeLimits) take(t *operators.Tenant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	per, burst := rate.Limit(t.ChangesPerMinute/60), max(1, int(t.ChangesPerMinute))
	lim := l.byTenant[t.Name]
	if lim == nil {
		lim = rate.NewLimiter(per, burst)
		l.byTenant[t.Name] = lim
	}
	now := time.Now()
	if lim.Limit() != per || lim.Burst() != burst {
		lim.SetLimitAt(now, per)
		lim.SetBurstAt(now, burst)
	}
	reservation := lim.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}
