package upstream

import (
	"testing"
	"time"
)

// recordRun records requests at an idle time, 5 ms apart. Every nth of them is lost, or none if nth is 0.
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
		min, max time.Duration // range of the bound
	}{
		"nothing":                   {nil, idle, idle},
		"no losses":                 {[]run{{0, 50, 0}, {50 * time.Millisecond, 50, 0}, {time.Second, 50, 0}}, idle, idle},
		"at any idle time":          {[]run{{0, 200, 10}, {5 * time.Millisecond, 400, 12}, {200 * time.Millisecond, 100, 9}, {time.Second, 40, 8}}, idle, idle},
		"most with new connections": {[]run{{0, 200, 3}, {50 * time.Millisecond, 200, 20}, {time.Second, 100, 20}}, idle, idle},
		"all from 150 ms": {
			[]run{{0, 50, 0}, {20 * time.Millisecond, 200, 0}, {100 * time.Millisecond, 50, 0}, {200 * time.Millisecond, 6, 1}},
			100 * time.Millisecond, 200 * time.Millisecond,
		},
		"half from 150 ms, some at any idle time": {
			[]run{
				{0, 100, 12}, {10 * time.Millisecond, 300, 13}, {50 * time.Millisecond, 100, 14}, {125 * time.Millisecond, 30, 15},
				{180 * time.Millisecond, 20, 2}, {400 * time.Millisecond, 8, 2},
			},
			90 * time.Millisecond, 180 * time.Millisecond,
		},
		"one old connection": {[]run{{0, 50, 0}, {20 * time.Millisecond, 50, 0}, {3 * time.Second, 1, 1}}, idle, idle},
	} {
		t.Run(name, func(t *testing.T) {
			var a idleAges
			now := time.Unix(1e9, 0)
			for _, r := range test.runs {
				recordRun(&a, &now, r.idle, r.uses, r.nth)
			}
			if got := a.bound(idle); got < test.min || got > test.max {
				t.Errorf("bound %v, want %v to %v", got, test.min, test.max)
			}
		})
	}
}

// The learned bound decays: connections are reused after longer idle times once the network has changed.
func TestIdleAges_boundDecays(t *testing.T) {
	var a idleAges
	now := time.Unix(1e9, 0)
	recordRun(&a, &now, 20*time.Millisecond, 200, 0)
	recordRun(&a, &now, time.Second, 10, 1)
	if got := a.bound(4 * time.Second); got > time.Second {
		t.Fatalf("bound %v, want at most the 1 s after which connections are lost", got)
	}
	now = now.Add(10 * ageDecayTime)
	recordRun(&a, &now, 20*time.Millisecond, 1, 0)
	if got := a.bound(4 * time.Second); got != 4*time.Second {
		t.Errorf("bound %v, want none after the decay", got)
	}
}

// Every idle time has a bucket, also a negative one after a clock was set back.
func TestAgeBucket(t *testing.T) {
	for _, test := range []struct {
		idle time.Duration
		want int
	}{
		{-time.Hour, 0}, {-1, 0}, {0, 0}, {1, 0}, {time.Millisecond, 1}, {2 * time.Millisecond, 3}, {1000 * time.Hour, ageBuckets - 1},
	} {
		if got := ageBucket(test.idle); got != test.want {
			t.Errorf("idle for %v: bucket %d, want %d", test.idle, got, test.want)
		}
	}
}
