package sidecar

// This file adds up, from the constants and from the module's own pauses, the latest moment at which a change is known by
// each way to it and holds it under the moment at which the change counts as told. docs/list.md has the table. What an
// answer takes is not in it: the agent's takes milliseconds, and a call that waits in turn has 2 s beyond its wait.

import (
	"io"
	"net/http"
	"testing"
	"time"

	"marblelane/balance"
)

// rowOfFailures is more calls in a row than pauses grow over.
const rowOfFailures = 12

// worstPause gives the longest pause that the real module makes in a row of such failures, as the sidecar reports them.
func worstPause(t *testing.T, settings string, row int, err error) time.Duration {
	t.Helper()
	c := newConf("127.0.0.1:1").setting(`"ask_within_ms": 10000, `, settings)
	cfg, bad := c.load(t)
	if bad != nil {
		t.Fatal(bad)
	}
	worst := 0.0
	for seed := range uint64(50) { // pauses are jittered
		cfg.balance.Seed = seed
		bal, bad := balance.New(cfg.balance)
		if bad != nil {
			t.Fatal(bad)
		}
		now := 1000.0
		bal.Start(now)
		for range row {
			n := failed(listEvent{}, err)
			actions, bad := bal.Handle(now, balance.ServerList{Kind: n.kind, Busy: n.busy, RetryAfter: n.wait})
			if bad != nil || len(actions) != 1 || actions[0].Kind != balance.SetTimer {
				t.Fatalf("%+v, %v", actions, bad)
			}
			worst = max(worst, actions[0].At)
			now += actions[0].At
			if _, bad := bal.Handle(now, balance.Timer{Token: actions[0].Token}); bad != nil {
				t.Fatal(bad)
			}
		}
	}
	return millis(worst)
}

// Where lists are asked for, each way from the moment at which discovery could be reached to the next call is shorter
// than the time after which a change counts as told, whatever the settings say of pauses.
func TestAskedListsAreKnownInTime(t *testing.T) {
	away := &turnedAway{status: "503"}
	hold := &turnedAway{status: "429", wait: time.Hour.Seconds() * 1000}
	for name, settings := range map[string]string{
		"as on the sites":    `"ask_within_ms": 10000, `,
		"asked seldom":       `"ask_within_ms": 600000, `,
		"asked often":        `"ask_within_ms": 300, `,
		"no word on that":    ``,
		"asked never at all": `"ask_within_ms": 0, `,
	} {
		t.Run(name, func(t *testing.T) {
			pause := func(row int, err error) time.Duration { return worstPause(t, settings, row, err) }
			for way, sum := range map[string]time.Duration{
				"a watch is reset":                  pause(1, http.ErrServerClosed),
				"a watch falls silent":              silence + pause(1, errStopped),
				"connections are refused":           pause(rowOfFailures, http.ErrServerClosed),
				"connections never come up":         dialWait + pause(rowOfFailures, http.ErrServerClosed),
				"this machine cannot make a call":   longestRetryPause + dialWait,
				"calls are turned away":             dialWait + pause(rowOfFailures, away),
				"calls are turned away for an hour": dialWait + pause(rowOfFailures, hold),
				"calls end at once":                 dialWait + pause(rowOfFailures, io.ErrUnexpectedEOF),
			} {
				if sum >= toldWithin {
					t.Errorf("%s: the next call begins %v after discovery could be reached, and the change counts as told after %v", way, sum, toldWithin)
				}
			}
		})
	}
}

// A call that is accepted and never answered may have begun just before discovery's return, or at the new address just
// after SIGHUP. The next one begins in time, however many stayed silent before.
func TestCallsAreMadeAnewAfterSilentOnes(t *testing.T) {
	const (
		afterSignal = 4 * time.Second // TERMS
		afterWait   = 2 * time.Second // STANDING: beyond the wait of a call that may wait
	)
	for _, settings := range []string{`"ask_within_ms": 10000, `, `"ask_within_ms": 600000, `, ``} {
		again := callWait + worstPause(t, settings, rowOfFailures, errSilent)
		if again >= toldWithin {
			t.Errorf("%q: the next call begins %v after one that stayed silent, and a change counts as told after %v", settings, again, toldWithin)
		}
		if late := max(afterSignal, callWait+afterWait); again >= late {
			t.Errorf("%q: after SIGHUP it begins after %v, and what is there counts as told after %v", settings, again, late)
		}
		if late := silence + worstPause(t, settings, 1, errStopped) + again; late >= silence+silentPause+callWait+afterWait {
			t.Errorf("%q: what a silent watch missed is asked for twice in %v", settings, late)
		}
	}
}

// Where lists are pushed no bound leans on the drain grace but that of what the agent has, which counts as told at once.
// A pause takes one lag at most; beside a call that stays silent the next begins a lag later, and after one that does, too,
// a lag for its silence and one more for the one after it.
func TestPushedListsAreKnownInTime(t *testing.T) {
	const afterSignal = 4 * time.Second // TERMS
	for _, grace := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute} {
		lag := lagOf(float64(grace.Milliseconds()))
		pause, beside, anew := lag, lag, 2*lag
		for way, c := range map[string]struct{ sum, told time.Duration }{
			"reset":                                    {pause, grace + leastLag},
			"back, and the call of before is silent":   {max(pause+beside, lag+anew), grace + leastLag},
			"back, and connections were refused":       {pause, grace + leastLag},
			"silent watch":                             {silence + pause, toldWithin},
			"silent watch, and the next call too":      {silence + pause + beside, toldWithin},
			"silent watch, and the next two calls too": {silence + pause + beside + anew, toldWithin},
			"SIGHUP":            {0, afterSignal},
			"SIGHUP in a pause": {pause, afterSignal},
			"SIGHUP in a pause, and the next call is lost": {pause + beside + anew, afterSignal},
		} {
			if grace == 0 && c.told == leastLag { // the settings name no rule on drains
				continue
			}
			if c.sum >= c.told {
				t.Errorf("grace %v: %s: asked for %v after discovery could be reached, and told after %v", grace, way, c.sum, c.told)
			}
		}
	}
}
