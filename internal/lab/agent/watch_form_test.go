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

// startAgent starts the agent of one sidecar with a ready server (4) and a draining server (5).
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

// notified reports whether a server's state is recorded as notified.
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
		t.Errorf("read watch: got %q, %v, want a clean end", line, err)
	}
	if !notified(log, 4, Terminating) {
		t.Error("change is not recorded as notified")
	}
}

// fetchFirstList requests a path and returns the first list of the response.
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

// With CompleteFirst, the first list omits draining servers, and they are recorded as Gone.
func TestFirstResponse_completeListOmitsDraining(t *testing.T) {
	for _, path := range []string{"/registry/instances", "/registry/instances?watch=1&after=1"} {
		a, log := startAgent(t, WatchForm{CompleteFirst: true})
		if l := fetchFirstList(t, a, path); !l.All || len(l.Targets) != 1 || l.Targets[0].UID != "s-4" {
			t.Errorf("%s: got %+v, want a complete list of s-4 only", path, l)
		}
		assert.Eventually(t, func() bool { return notified(log, 5, Gone) }, 10*time.Second, time.Millisecond)
		if notified(log, 5, Terminating) || !notified(log, 4, Ready) {
			t.Errorf("%s: recorded events: %v, want server 4 Ready, server 5 Gone but not Terminating", path, log.Events())
		}
	}
}

// A list that is written in pieces arrives completely.
func TestWatch_listInPieces(t *testing.T) {
	for _, path := range []string{"/registry/instances", "/registry/instances?watch=1&after=-1"} {
		a, _ := startAgent(t, WatchForm{PieceBytes: 3})
		if l := fetchFirstList(t, a, path); len(l.Targets) != 2 {
			t.Errorf("%s: got %+v, want 2 targets", path, l)
		}
	}
}
