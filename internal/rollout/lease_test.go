package rollout_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	. "marblelane/internal/rollout"
)

// TestLease_clockRates checks that no sidecar uses the canary under a closed revision, with clocks that are slow by up to
// the margin.
func TestLease_clockRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Defaults()
		f := newTestFleet(t, 3, o, newSpec(3))
		rates := make([]float64, len(f.sidecars))
		for i := range rates {
			rates[i] = rapid.Float64Range(1/(1+o.ClockMargin), 1).Draw(t, "rate")
		}
		for now := int64(0); now < 30_000; now += 97 {
			for i := range f.sidecars {
				own := int64(float64(now) * rates[i])
				if c := &f.sidecars[i]; c.MayUseCanary(own) {
					require.Greater(t, c.TableRev, f.state.ClosedRev())
				}
				if rapid.IntRange(0, 9).Draw(t, "reports") == 0 {
					f.report(now, i, rapid.IntRange(0, 3).Draw(t, "follows") == 0)
					f.sidecars[i].LeaseUntil = min(f.sidecars[i].LeaseUntil, own+o.LeaseTerm)
				}
			}
			if now == 97*100 {
				mustApply(t, f.state, Command{Op: OpForward, Tenant: tenantName, Name: rolloutName})
			}
			f.tick(t, now, 1)
		}
	})
}
