package requestcost

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func quickOptions(variants ...Variant) Options {
	for i := range variants {
		variants[i].Program = programs.Sidecar
	}
	return Options{Variants: variants, Rounds: 2, Length: 100 * time.Millisecond, IdleTime: 20 * time.Millisecond,
		Connections: 2, Servers: 4,
		Self: programs.Marblelane, warmUp: 100 * time.Millisecond}
}

// Two equal variants, one in a closed loop and at a rate: the measurement ends with a ratio and its interval.
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

// Requests follow a route from real copies of the list service. The second measurement has a sidecar without routes and
// fails.
func TestMeasure_routes(t *testing.T) {
	o := quickOptions(Variant{Name: "plain"}, Variant{Name: "routes", WithRoutes: true})
	r, err := Measure(t.Context(), o)
	require.NoError(t, err)
	assert.NotNil(t, r.Variants[1].Ratio)
	o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"routes":null}`)}
	o.settleTimeout = time.Nanosecond
	_, err = Measure(t.Context(), o)
	assert.ErrorContains(t, err, "routes: after 1ns 0.0 % of its requests go along the route")
}

// A sidecar is measured once it has joined its fleet. The second measurement has a sidecar of another fleet and fails.
func TestMeasure_fleet(t *testing.T) {
	o := quickOptions(Variant{Name: "plain"}, Variant{Name: "members", WithMembers: true})
	o.IdleMembers = 2
	_, err := Measure(t.Context(), o)
	require.NoError(t, err)
	o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"members":{"fleet":"another"}}`)}
	o.settleTimeout = 100 * time.Millisecond
	_, err = Measure(t.Context(), o)
	assert.ErrorContains(t, err, "members: it is not in the fleet of 3")
}

func TestMeasure_invalid(t *testing.T) {
	for name, c := range map[string]struct {
		modify  func(*Options)
		wantErr string
	}{
		"refused": {func(o *Options) {
			o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"settings":{"tenants":[{"name":"other","share":1}]}}`)}
		}, " requests failed, such as: 400"},
		"does not start": {func(o *Options) { o.Variants[1].ConfigPatches = []json.RawMessage{[]byte(`{"seed":"x"}`)} },
			"b: measured-b did not start"},
		"same name": {func(o *Options) { o.Variants[1].Name = "a" }, `variant "a"`},
		"no base":   {func(o *Options) { o.Baseline = "c" }, `no variant "c"`},
		"one round": {func(o *Options) { o.Rounds = 1 }, "1 rounds"},
		"no others": {func(o *Options) { o.Variants[1].WithMembers = true }, "variant b: a fleet"},
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

// The ratio is that of pairs in a round: it does not depend on what differs between rounds.
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
