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

// failuresInARow is more failures than the pauses between calls grow for.
const failuresInARow = 12

// worstPause returns the longest pause that the balancer makes before a call, over several seeds, when so many calls in
// a row fail with err and the sidecar reports them.
func worstPause(t *testing.T, settings string, failures int, err error) time.Duration {
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
		for range failures {
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

// If lists are polled, the next call must begin within MaxNotificationDelay after the list service can be reached
// again, whatever failed before and whatever interval the settings have.
func TestPolledLists_KnownInTime(t *testing.T) {
	away := &discovery.RejectedError{Status: "503"}
	hold := &discovery.RejectedError{Status: "429", RetryAfter: time.Hour.Seconds() * 1000}
	for name, settings := range map[string]string{
		"as on the sites":     `"ask_within_ms": 10000, `,
		"polled rarely":       `"ask_within_ms": 600000, `,
		"polled often":        `"ask_within_ms": 300, `,
		"no polling interval": ``,
		"never polled":        `"ask_within_ms": 0, `,
	} {
		t.Run(name, func(t *testing.T) {
			pause := func(failures int, err error) time.Duration { return worstPause(t, settings, failures, err) }
			for failure, sum := range map[string]time.Duration{
				"a watch is reset":                pause(1, http.ErrServerClosed),
				"a watch falls silent":            discovery.WatchTimeout + pause(1, discovery.ErrWatchTimeout),
				"connections are refused":         pause(failuresInARow, http.ErrServerClosed),
				"connections never come up":       discovery.DialTimeout + pause(failuresInARow, http.ErrServerClosed),
				"this machine cannot make a call": netcall.MaxRetryPause + discovery.DialTimeout,
				"calls are rejected":              discovery.DialTimeout + pause(failuresInARow, away),
				"calls are rejected for an hour":  discovery.DialTimeout + pause(failuresInARow, hold),
				"calls end at once":               discovery.DialTimeout + pause(failuresInARow, io.ErrUnexpectedEOF),
			} {
				if sum >= discovery.MaxNotificationDelay {
					t.Errorf("%s: the next call begins %v after the list service can be reached, want less than %v", failure, sum, discovery.MaxNotificationDelay)
				}
			}
		})
	}
}

// A call that is accepted but gets no response may have begun just before the list service recovered, or at the new
// address just after SIGHUP. The next call must begin in time, however many calls got no response before.
func TestWatchSums_silentCalls(t *testing.T) {
	const (
		afterSignal = 4 * time.Second // from SIGHUP until the lists at the new address count as notified
		afterWait   = 2 * time.Second // allowed in addition to the longest wait of a call
	)
	for _, settings := range []string{`"ask_within_ms": 10000, `, `"ask_within_ms": 600000, `, ``} {
		again := discovery.CallTimeout + worstPause(t, settings, failuresInARow, discovery.ErrCallTimeout)
		if again >= discovery.MaxNotificationDelay {
			t.Errorf("%q: the next call begins %v after one without a response, want less than %v", settings, again, discovery.MaxNotificationDelay)
		}
		if limit := max(afterSignal, discovery.CallTimeout+afterWait); again >= limit {
			t.Errorf("%q: the next call begins %v after SIGHUP, want less than %v", settings, again, limit)
		}
		if late := discovery.WatchTimeout + worstPause(t, settings, 1, discovery.ErrWatchTimeout) + again; late >= discovery.WatchTimeout+discovery.SilentCallPause+discovery.CallTimeout+afterWait {
			t.Errorf("%q: two calls after a silent watch take %v", settings, late)
		}
	}
}
