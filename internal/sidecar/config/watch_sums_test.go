package config_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/netcall"
)

// rowOfFailures is more calls in a row than pauses grow over.
const rowOfFailures = 12

// worstPause gives the longest pause that the real balancer makes in a row of such failures, as the sidecar reports them.
func worstPause(t *testing.T, settings string, row int, err error) time.Duration {
	t.Helper()
	c := configtest.NewConf("127.0.0.1:1").ReplaceSetting(`"ask_within_ms": 10000, `, settings)
	cfg, bad := c.Load(t)
	if bad != nil {
		t.Fatal(bad)
	}
	worst := 0.0
	for seed := range uint64(50) { // pauses are jittered
		cfg.Balance.Seed = seed
		bal, bad := balance.New(cfg.Balance)
		if bad != nil {
			t.Fatal(bad)
		}
		now := 1000.0
		bal.Start(now)
		for range row {
			n := discovery.FailedEvent(discovery.ListEvent{}, err)
			actions, bad := bal.Handle(now, balance.ServerList{Kind: n.Kind, Busy: n.Busy, RetryAfter: n.RetryAfter})
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
	return clock.Duration(worst)
}

// Where lists are polled, each way from the moment at which discovery could be reached to the next call is shorter
// than the time after which a change counts as notified, whatever the settings say of pauses.
func TestPolledLists_KnownInTime(t *testing.T) {
	away := &discovery.RejectedError{Status: "503"}
	hold := &discovery.RejectedError{Status: "429", RetryAfter: time.Hour.Seconds() * 1000}
	for name, settings := range map[string]string{
		"as on the sites": `"ask_within_ms": 10000, `,
		"polled seldom":   `"ask_within_ms": 600000, `,
		"polled often":    `"ask_within_ms": 300, `,
		"no word on that": ``,
		"never polled":    `"ask_within_ms": 0, `,
	} {
		t.Run(name, func(t *testing.T) {
			pause := func(row int, err error) time.Duration { return worstPause(t, settings, row, err) }
			for way, sum := range map[string]time.Duration{
				"a watch is reset":                  pause(1, http.ErrServerClosed),
				"a watch falls silent":              discovery.WatchTimeout + pause(1, discovery.ErrWatchTimeout),
				"connections are refused":           pause(rowOfFailures, http.ErrServerClosed),
				"connections never come up":         discovery.DialTimeout + pause(rowOfFailures, http.ErrServerClosed),
				"this machine cannot make a call":   netcall.MaxRetryPause + discovery.DialTimeout,
				"calls are turned away":             discovery.DialTimeout + pause(rowOfFailures, away),
				"calls are turned away for an hour": discovery.DialTimeout + pause(rowOfFailures, hold),
				"calls end at once":                 discovery.DialTimeout + pause(rowOfFailures, io.ErrUnexpectedEOF),
			} {
				if sum >= discovery.MaxNotificationDelay {
					t.Errorf("%s: the next call begins %v after discovery could be reached, and the change counts as notified after %v", way, sum, discovery.MaxNotificationDelay)
				}
			}
		})
	}
}

// A call that is accepted and never answered may have begun just before discovery's return, or at the new address just
// after SIGHUP. The next one begins in time, however many stayed silent before.
func TestWatchSums_silentCalls(t *testing.T) {
	const (
		afterSignal = 4 * time.Second // TERMS
		afterWait   = 2 * time.Second // STANDING: beyond the wait of a call that may wait
	)
	for _, settings := range []string{`"ask_within_ms": 10000, `, `"ask_within_ms": 600000, `, ``} {
		again := discovery.CallTimeout + worstPause(t, settings, rowOfFailures, discovery.ErrCallTimeout)
		if again >= discovery.MaxNotificationDelay {
			t.Errorf("%q: the next call begins %v after one that stayed silent, and a change counts as notified after %v", settings, again, discovery.MaxNotificationDelay)
		}
		if late := max(afterSignal, discovery.CallTimeout+afterWait); again >= late {
			t.Errorf("%q: after SIGHUP it begins after %v, and what is there counts as notified after %v", settings, again, late)
		}
		if late := discovery.WatchTimeout + worstPause(t, settings, 1, discovery.ErrWatchTimeout) + again; late >= discovery.WatchTimeout+discovery.SilentCallPause+discovery.CallTimeout+afterWait {
			t.Errorf("%q: what a silent watch missed is requested twice in %v", settings, late)
		}
	}
}
