package upstream

import (
	"testing"
	"time"
)

// recordRun records requests at an idle time, 5 ms apart, of which every nth is lost; 0 for none.
func recordRun(a *idleAges, now *time.Time, idle time.Duration, uses, nth int) {
	for i := 1; i <= uses; i++ {
		*now = now.Add(5 * time.Millisecond)
		a.record(*now, idle, nth > 0 && i%nth == 0)
	}
}

func TestIdleAges_learnsBound(t *testing.T) {
	const idle = 4 * time.Second
	type run struct {
		idle      time.Duration
		uses, nth int
	}
	for name, test := range map[string]struct {
		runs     []run
		min, max time.Duration // of the bound
	}{
		"nothing":        {nil, idle, idle},
		"no losses":      {[]run{{0, 50, 0}, {50 * time.Millisecond, 50, 0}, {time.Second, 50, 0}}, idle, idle},
		"at any age":     {[]run{{0, 200, 10}, {5 * time.Millisecond, 400, 12}, {200 * time.Millisecond, 100, 9}, {time.Second, 40, 8}}, idle, idle},
		"new ones worst": {[]run{{0, 200, 3}, {50 * time.Millisecond, 200, 20}, {time.Second, 100, 20}}, idle, idle},
		"all from 150 ms": {
			[]run{{0, 50, 0}, {20 * time.Millisecond, 200, 0}, {100 * time.Millisecond, 50, 0}, {200 * time.Millisecond, 6, 1}},
			100 * time.Millisecond, 200 * time.Millisecond,
		},
		"half from 150 ms, among others": {
			[]run{
				{0, 100, 12}, {10 * time.Millisecond, 300, 13}, {50 * time.Millisecond, 100, 14}, {125 * time.Millisecond, 30, 15},
				{180 * time.Millisecond, 20, 2}, {400 * time.Millisecond, 8, 2},
			},
			90 * time.Millisecond, 180 * time.Millisecond,
		},
		"one old one": {[]run{{0, 50, 0}, {20 * time.Millisecond, 50, 0}, {3 * time.Second, 1, 1}}, idle, idle},
	} {
		t.Run(name, func(t *testing.T) {
			var a idleAges
			now := time.Unix(1e9, 0)
			for _, r := range test.runs {
				recordRun(&a, &now, r.idle, r.uses, r.nth)
			}
			if got := a.bound(idle); got < test.min || got > test.max {
				t.Errorf("%v, want %v to %v", got, test.min, test.max)
			}
		})
	}
}

// The learned bound decays: connections are reused for longer once the network has changed.
func TestIdleAges_boundDecays(t *testing.T) {
	var a idleAges
	now := time.Unix(1e9, 0)
	recordRun(&a, &now, 20*time.Millisecond, 200, 0)
	recordRun(&a, &now, time.Second, 10, 1)
	if got := a.bound(4 * time.Second); got > time.Second {
		t.Fatalf("%v: nothing learned", got)
	}
	now = now.Add(10 * ageDecayTime)
	recordRun(&a, &now, 20*time.Millisecond, 1, 0)
	if got := a.bound(4 * time.Second); got != 4*time.Second {
		t.Errorf("%v: not forgotten", got)
	}
}

// Each idle time has a bucket, also a negative one after a clock went back.
func TestAgeBucket(t *testing.T) {
	for _, test := range []struct {
		idle time.Duration
		want int
	}{
		{-time.Hour, 0}, {-1, 0}, {0, 0}, {1, 0}, {time.Millisecond, 1}, {2 * time.Millisecond, 3}, {1000 * time.Hour, ageBuckets - 1},
	} {
		if got := ageBucket(test.idle); got != test.want {
			t.Errorf("%v: step %d, want %d", test.idle, got, test.want)
		}
	}
}
