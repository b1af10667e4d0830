package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// startAgent starts the agent of one sidecar with a ready and a draining server.
func startAgent(t *testing.T, form WatchForm) (*Agents, *record.Log) {
	t.Helper()
	log := record.New()
	a, err := New(log, 1, []Entry{{Number: 4, UID: "s-4", State: Ready}, {Number: 5, UID: "s-5", State: Terminating}},
		func(int, int) string { return "127.0.0.1:1" }, func(int) *relay.Link { return relay.NewLink(relay.Rules{}, 1) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	a.SetBehaviour(0, func(b *Behaviour) { b.Form = form })
	return a, log
}

func notified(log *record.Log, server int32, state string) bool {
	return slices.ContainsFunc(log.Events(), func(e record.Event) bool {
		return e.Kind == record.Notified && e.Server == server && e.Note == state
	})
}

// A watch that ends instead of delivering a change ends cleanly, and the change is recorded as notified.
func TestWatch_endOnChange(t *testing.T) {
	a, log := startAgent(t, WatchForm{EndOnChange: true})
	next := watch(t, a)
	a.Publish(Entry{Number: 4, UID: "s-4", State: Terminating}, 0, 0)
	if line, err := next(10 * time.Second); !errors.Is(err, io.EOF) {
		t.Errorf("it said %q, %v", line, err)
	}
	if !notified(log, 4, Terminating) {
		t.Error("the change does not count as told")
	}
}

// fetchFirstList returns the fetchFirstList answer to a call.
func fetchFirstList(t *testing.T, a *Agents, path string) List {
	t.Helper()
	defer http.DefaultClient.CloseIdleConnections()
	resp, err := http.Get("http://" + a.Addr(0) + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l
}

// A complete first answer omits draining servers, and they are recorded as gone.
func TestFirstAnswer_completeListOmitsDraining(t *testing.T) {
	for _, path := range []string{"/registry/instances", "/registry/instances?watch=1&after=1"} {
		a, log := startAgent(t, WatchForm{CompleteFirst: true})
		if l := fetchFirstList(t, a, path); !l.All || len(l.Targets) != 1 || l.Targets[0].UID != "s-4" {
			t.Errorf("%s: got %+v", path, l)
		}
		assert.Eventually(t, func() bool { return notified(log, 5, Gone) }, 10*time.Second, time.Millisecond)
		if notified(log, 5, Terminating) || !notified(log, 4, Ready) {
			t.Errorf("%s: it told %v", path, log.Events())
		}
	}
}

// A list written in pieces arrives complete.
func TestWatch_listInPieces(t *testing.T) {
	for _, path := range []string{"/registry/instances", "/registry/instances?watch=1&after=-1"} {
		a, _ := startAgent(t, WatchForm{PieceBytes: 3})
		if l := fetchFirstList(t, a, path); len(l.Targets) != 2 {
			t.Errorf("%s: got %+v", path, l)
		}
	}
}
