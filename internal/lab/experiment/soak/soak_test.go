package soak

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
)

// Each seed yields a valid scenario, the same one each time.
func TestDraw(t *testing.T) {
	for seed := range uint64(500) {
		for _, defect := range append(Defects, "") {
			drawn := Draw(seed, defect)
			_, err := scenario.Parse(fmt.Sprintf("seed-%d", seed), []byte(drawn.Text))
			require.NoError(t, err, drawn.Text)
			require.Equal(t, drawn, Draw(seed, defect))
		}
	}
}

// No invariant is violated on a few seeds. The command runs more.
func TestPlay(t *testing.T) {
	r, err := Play(t.Context(), Options{Program: programs.Sidecar, FirstSeed: 1, Seeds: 4, Concurrency: 2, Dir: t.TempDir()})
	require.NoError(t, err)
	assert.Len(t, r.Runs, 4)
	for _, run := range r.Broken() {
		t.Errorf("%v: %v", run, run.Breaches)
	}
	if len(r.Late()) < len(r.Runs) {
		assert.NotZero(t, r.Checked["one-answer"])
	}
}

// A planted defect is found within 20 seeds: otherwise a soak without a violation would show nothing.
func TestPlay_findsDefects(t *testing.T) {
	const maxSeeds = 20
	for _, defect := range Defects {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			r, err := Play(t.Context(), Options{Program: programs.Sidecar, FirstSeed: 1, Seeds: maxSeeds, Concurrency: 1,
				Defect: defect, StopAtFirst: true, Dir: t.TempDir()})
			require.NoError(t, err)
			require.NotEmpty(t, r.Broken(), "%v", r.Runs)
			assert.Contains(t, r.Broken()[0].Broken, "one-answer")
		})
	}
}

func TestResult_tooManyLate(t *testing.T) {
	runs := make([]Run, 10)
	for i := range runs {
		runs[i] = Run{Seed: uint64(i), Outcome: report.Pass}
	}
	runs[0].Outcome = report.Late
	assert.False(t, (&Result{Runs: runs}).TooManyLate())
	runs[1].Outcome = report.Late
	assert.True(t, (&Result{Runs: runs}).TooManyLate())
}

func TestPlay_invalid(t *testing.T) {
	_, err := Play(t.Context(), Options{Seeds: 0, Concurrency: 1})
	assert.ErrorContains(t, err, "0 seeds")
}
