package rollout_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
)

// TestEvidence_martingale checks that the factors of all possible outcomes have mean 1 under the null hypothesis.
func TestEvidence_martingale(t *testing.T) {
	choose := func(n, k int64) float64 {
		a, _ := math.Lgamma(float64(n + 1))
		b, _ := math.Lgamma(float64(k + 1))
		c, _ := math.Lgamma(float64(n - k + 1))
		return a - b - c
	}
	rapid.Check(t, func(t *rapid.T) {
		nc, nb := rapid.Int64Range(1, 400).Draw(t, "canary"), rapid.Int64Range(1, 4000).Draw(t, "base")
		f := rapid.Int64Range(0, nc+nb).Draw(t, "failed")
		mean := 0.0
		for k := max(0, f-nb); k <= min(f, nc); k++ {
			p := choose(nc, k) + choose(nb, f-k) - choose(nc+nb, f)
			mean += math.Exp(p + LogWindowEvidence(nc, nb, k, f-k, 3))
		}
		require.InDelta(t, 1, mean, 1e-6)
	})
	require.Positive(t, LogWindowEvidence(1e6, 1e6, 3000, 1000, 3), "the evidence of a large window must not overflow")
}

// simulateRollout simulates four sidecars that report each second, with the failure rates canary and base. It returns the
// number of canary attempts, and whether the controller rolled back within the given seconds.
func simulateRollout(
	t require.TestingT, rng *rand.Rand, o Options, canary, base float64, seconds int,
) (attempts int64, found bool) {
	f := newTestFleet(t, 4, o, newSpec(MaxBudget))
	counts := make([][2]route.Count, len(f.sidecars))
	for i := range counts {
		rev := f.state.Rev()
		counts[i] = [2]route.Count{{Rev: rev, Tenant: tenantName, Canary: true}, {Rev: rev, Tenant: tenantName}}
	}
	for sec := range seconds {
		for i := range f.sidecars {
			for range 40 {
				side, rate := &counts[i][1], base
				if rng.Float64() < 0.25 {
					side, rate = &counts[i][0], canary
					attempts++
				}
				side.Ended++
				if rng.Float64() < rate {
					side.Failed++
				}
			}
			f.report(int64(sec)*1000, i, true, counts[i][:]...)
		}
		commands, _ := f.controller.Tick(int64(sec)*1000, f.state, oneServerReady)
		if slices.ContainsFunc(commands, func(c Command) bool { return c.Op == OpRollBack }) {
			return attempts, true
		}
	}
	return attempts, false
}

func TestEvidence_falseAlarmsAndPower(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	o := Defaults()
	o.Alpha = 0.02
	rates := []float64{0.001, 0.01, 0.05, 0.3}
	alarms, trials := 0, 300
	for i := range trials {
		rate := rates[i%len(rates)]
		if _, found := simulateRollout(t, rng, o, rate, rate, 40); found {
			alarms++
		}
	}
	t.Logf("%d false alarms of %d, alpha %v", alarms, trials, o.Alpha)
	mean := o.Alpha * float64(trials)
	require.LessOrEqual(t, float64(alarms), mean+4*math.Sqrt(mean))
	var took []int64
	for range 30 {
		n, found := simulateRollout(t, rng, Defaults(), 0.05, 0.005, 120)
		require.True(t, found, "a canary with 5 %% failures against 0.5 %% of the base was not rolled back")
		took = append(took, n)
	}
	slices.Sort(took)
	t.Logf("5 %% against 0.5 %%, alpha 0.001: canary attempts until the rollback: median %d, maximum %d", took[15], took[29])
}
