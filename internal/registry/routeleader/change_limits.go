package routeleader

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblelane/internal/registry/operators"
)

// changeLimits are the rate limits of tenants' changes.
type changeLimits struct {
	mu       sync.Mutex
	byTenant map[string]*rate.Limiter
}

// take takes a token of the tenant's rate limit and returns 0, or returns how long to wait.
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
	got := lim.ReserveN(now, 1)
	wait := got.DelayFrom(now)
	if wait > 0 {
		got.CancelAt(now)
	}
	return wait
}
