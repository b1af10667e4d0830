package requestcost

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// quickOptions returns the options of a short measurement of the real sidecar.
func quickOptions(variants ...Variant) Options {
	for i := range variants {
		variants[i].Program = programs.Sidecar
	}
	return Options{Variants: variants, Rounds: 2, Length: 100 * time.Millisecond, IdleTime: 20 * time.Millisecond,
		Connections: 2, Servers: 4,
		Self: programs.Marblelane, warmUp: 100 * time.Millisecond}
}

// Two variants of the same program, in a closed loop and at a rate: the result has a ratio with its interval.
func TestMeasure_equalVariants(t *testing.T) {
	for _, rate := range []float64{0, 200} {
		o := quickOptions(Variant{Name: "a"}, Variant{Name: "b",
			ConfigPatches: []json.RawMessage{[]byte(`{"list_doubt_share":0.5}`)}})
		o.Rate = rate
		r, err := Measure(t.Context(), o)
		require.NoError(t, err)
		require.Len(t, r.Variants, 2)
		assert.Nil(t, r.Variants[0].Ratio)
		b := r.Variants[1]
		assert.True(t, b.Ratio.Low <= b.Ratio.Mean && b.Ratio.Mean <= b.Ratio.High, b.Ratio)
		for _, one := range b.Rounds {
			assert.True(t, one.Requests > 0 && one.CPU > 0 && one.IdleRSS > 0 && one.Start > 0, one)
		}
	}
}

// Requests follow a route from real replicas of the list service. The second measurement fails, as its sidecar has no
// routes.
func TestMeasure_routes(t *testing.T) {
	o := quickOptions(Variant{Name: "plain"}, Variant{Name: "routes", WithRoutes: true})
	r, err := Measure(t.Context(), o)
	require.NoError(t, err)
	assert.NotNil(t, r.Variants[1].Ratio)
	o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"routes":null}`)}
	o.settleTimeout = time.Nanosecond
	_, err = Measure(t.Context(), o)
	assert.ErrorContains(t, err, "routes: after 1ns, 0.0 % of the requests follow the route")
}

// A sidecar is measured after it has joined its fleet. The second measurement fails, as its sidecar is of another
// fleet.
func TestMeasure_fleet(t *testing.T) {
	o := quickOptions(Variant{Name: "plain"}, Variant{Name: "members", WithMembers: true})
	o.IdleMembers = 2
	_, err := Measure(t.Context(), o)
	require.NoError(t, err)
	o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"members":{"fleet":"another"}}`)}
	o.settleTimeout = 100 * time.Millisecond
	_, err = Measure(t.Context(), o)
	assert.ErrorContains(t, err, "members: join the fleet of 3: ")
}

func TestMeasure_invalid(t *testing.T) {
	for name, c := range map[string]struct {
		modify  func(*Options)
		wantErr string
	}{
		"requests fail": {func(o *Options) {
			o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"settings":{"tenants":[{"name":"other","share":1}]}}`)}
		}, " requests failed, such as: 400"},
		"does not start": {func(o *Options) { o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"seed":"x"}`)} },
			"b: measured-b did not start"},
		"same name":       {func(o *Options) { o.Variants[1].Name = "a" }, `variant "a"`},
		"unknown base":    {func(o *Options) { o.Baseline = "c" }, `no variant "c"`},
		"one round":       {func(o *Options) { o.Rounds = 1 }, "1 rounds"},
		"no idle members": {func(o *Options) { o.Variants[1].WithMembers = true }, "variant b: a fleet"},
	} {
		t.Run(name, func(t *testing.T) {
			o := quickOptions(Variant{Name: "a"}, Variant{Name: "b"})
			o.Rate = 200
			c.modify(&o)
			_, err := Measure(t.Context(), o)
			assert.ErrorContains(t, err, c.wantErr)
		})
	}
}

// The ratio is computed from pairs in the same round, so that differences between rounds do not affect it.
func TestSummarize_ratioOfPairs(t *testing.T) {
	var a, b []Round
	for _, cpu := range []float64{10, 50, 20, 90} {
		a, b = append(a, Round{CPU: cpu}), append(b, Round{CPU: 1.1 * cpu})
	}
	o := quickOptions(Variant{Name: "a"}, Variant{Name: "b"})
	r := summarize(&o, 0, [][]Round{a, b})
	assert.InDelta(t, 35, r.Variants[0].CPU, 1e-9)
	assert.InDelta(t, 1.1, r.Variants[1].Ratio.Low, 1e-9)
	assert.InDelta(t, 1.1, r.Variants[1].Ratio.High, 1e-9)
	two := meanInterval([]float64{1, 3})
	assert.InDelta(t, 2-12.706, two.Low, 1e-9)
	for freedom, want := range map[int]float64{1: 12.706, 5: 2.5706, 15: 2.1314, 30: 2.0423, 1000: 1.9623} {
		assert.InDelta(t, want, studentQuantile(freedom), 0.003)
	}
	assert.False(t, math.IsNaN(meanInterval([]float64{1, 1}).Mean))
}
