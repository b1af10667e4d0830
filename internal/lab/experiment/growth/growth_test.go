package growth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A figure 1% inside its bound passes, and one 1% beyond it fails. The bounds are those of the acceptance page for
// 2,000 servers.
func TestBounds_atTheLimit(t *testing.T) {
	usual := Usage{CPU: 0.5, PeakMemory: 20, Descriptors: 30, Connections: 100, ListBytes: 100e3, Served: 0.9}
	bounds := map[string]float64{
		"CPU seconds":      1.4*0.5 + 0.02 + 2*0.03,
		"peak memory, MB":  1.5*20 + 8 + 2*4,
		"descriptors":      2*30 + 40,
		"connections made": 2.5*100 + 40,
		"bytes of lists":   2*100e3 + 64e3 + 2*500e3,
		"share served":     0.85 * 0.9,
	}
	require.Len(t, boundTable, len(bounds))
	for i := range boundTable {
		b := &boundTable[i]
		t.Run(b.name, func(t *testing.T) {
			bound, known := bounds[b.name]
			require.True(t, known)
			for part, met := range map[float64]bool{0.99: !b.isLowerLimit, 1.01: b.isLowerLimit} {
				v := part * bound
				pair := Pair{Usual: usual,
					Large: Usage{CPU: v, PeakMemory: v, Descriptors: v, Connections: v, ListBytes: v, Served: v}}
				row := b.row("", pair, 2000)
				assert.InDelta(t, bound, row.Bound, 1e-6)
				assert.Equal(t, met, row.WithinBound, "%v of the bound", part)
			}
		})
	}
}

// The medians over the rounds are compared with the bounds. Figures that a simulated day doesn't have are compared for
// the real process alone.
func TestRows_medians(t *testing.T) {
	usual := Usage{CPU: 1, PeakMemory: 1, Descriptors: 1, Connections: 1, ListBytes: 1, Served: 1}
	exceeding := Usage{CPU: 100, PeakMemory: 1000, Descriptors: 1000, Connections: 1000, ListBytes: 1e9, Served: 0}
	for name, c := range map[string]struct {
		large  []Usage
		broken int
	}{
		"one day of three is off": {[]Usage{usual, exceeding, usual}, 0},
		"two days of three are":   {[]Usage{exceeding, usual, exceeding}, len(boundTable)},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Result{Large: Size{Servers: 1000}, Days: []Day{{Pair: Pair{
				Usual: Usage{Connections: 1, Served: 1}, Large: Usage{Connections: 1, Served: 1}}}}}
			for _, large := range c.large {
				g.Rounds = append(g.Rounds, Pair{Usual: usual, Large: large})
			}
			g.Rows = compareWithBounds(g)
			assert.Len(t, g.Rows, len(boundTable)+3)
			assert.Len(t, g.Exceeded(), c.broken)
		})
	}
}

func TestOptions_invalid(t *testing.T) {
	for want, invalidate := range map[string]func(*Options){
		"1 servers":                          func(o *Options) { o.Large.Servers = 1 },
		"0 sidecars":                         func(o *Options) { o.Usual.Sidecars = 0 },
		"0 rounds":                           func(o *Options) { o.Rounds = 0 },
		"request rate is not above 0":        func(o *Options) { o.Rate = 0 },
		"0 connections":                      func(o *Options) { o.Connections = 0 },
		"0 steps":                            func(o *Options) { o.Steps = 0 },
		"1.5 is not between":                 func(o *Options) { o.ReplacedFraction = 1.5 },
		"length of a day or request rate is": func(o *Options) { o.DayLength = 0 },
	} {
		t.Run(want, func(t *testing.T) {
			o := quickOptions()
			invalidate(&o)
			_, err := Measure(t.Context(), o)
			assert.ErrorContains(t, err, want)
		})
	}
}

// quickOptions returns options for a measurement that takes seconds: the real sidecar at full size, and small simulated
// fleets of the same proportions.
func quickOptions() Options {
	return Options{Program: programs.Sidecar, Usual: UsualSize, Large: LargestSize,
		Simulated: Sizes{Usual: Size{Sidecars: 15, Servers: 10},
			Large: Size{Sidecars: 45, Servers: 160}},
		Length: 2 * time.Second, DayLength: 8 * time.Second, Rate: 20, Connections: 4, ReplacedFraction: 0.6,
		Steps: 10, Rounds: 1}
}

// A sidecar in front of 3,200 servers stays within the growth table of the acceptance page.
func TestMeasure_withinBounds(t *testing.T) {
	g, err := Measure(t.Context(), quickOptions())
	require.NoError(t, err)
	for _, r := range g.Rows {
		assert.True(t, r.Usual > 0 || r.Figure == "rules broken", r.Figure)
		assert.True(t, r.WithinBound, "%+v", r)
	}
}

// A day that cannot be run is an error that names the number of servers.
func TestMeasure_sidecarDoesNotStart(t *testing.T) {
	o := quickOptions()
	o.Program = "/nonexistent"
	_, err := Measure(t.Context(), o)
	assert.ErrorContains(t, err, "200 servers: sidecar")
}
