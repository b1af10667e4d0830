package agent

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// watch opens a watch and reads its first line. The returned function returns the next line that is not a heartbeat.
func watch(t *testing.T, a *Agents) func(wait time.Duration) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp4", a.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "GET /registry/instances?watch=1&after=-1 HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(c)
	next := func(wait time.Duration) (string, error) {
		_ = c.SetReadDeadline(time.Now().Add(wait))
		for {
			line, err := in.ReadString('\n')
			if err != nil || strings.HasPrefix(line, "{") {
				return line, err
			}
		}
	}
	if line, err := next(10 * time.Second); err != nil {
		t.Fatalf("first line of the watch: %q, %v", line, err)
	}
	return next
}

// A silenced watch delivers nothing more, and a change that it misses is recorded as notified after the timeout. A new
// watch delivers all changes.
func TestSilenceWatches_missedChangeRecorded(t *testing.T) {
	log := record.New()
	a, err := New(log, 1, []Entry{{Number: 4, State: Ready}}, func(int, int) string { return "127.0.0.1:1" },
		func(int) *relay.Link { return relay.NewLink(relay.Rules{}, 1) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	a.lostWatchDelay = 50 * time.Millisecond
	notified := func(state string) bool {
		return slices.ContainsFunc(log.Events(), func(e record.Event) bool { return e.Kind == record.Notified && e.Note == state })
	}
	old := watch(t, a)
	a.SilenceWatches(0)
	a.Publish(Entry{Number: 4, State: Terminating}, 0, 0)
	if line, err := old(300 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read silenced watch: got %q, %v, want no line", line, err)
	}
	for end := time.Now().Add(10 * time.Second); !notified(Terminating); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("change that the silenced watch missed was not recorded as notified")
		}
	}
	next := watch(t, a)
	a.Publish(Entry{Number: 4, State: Gone}, 0, 0)
	if line, err := next(10 * time.Second); err != nil || !strings.Contains(line, Gone) {
		t.Errorf("read new watch: got %q, %v, want the change to Gone", line, err)
	}
}

// A watch delivers each change, also one that is applied after a change that was published later.
func TestPublish_laterChangeFirst(t *testing.T) {
	log := record.New()
	a, err := New(log, 1, []Entry{{Number: 3, State: Ready}, {Number: 4, State: Ready}},
		func(int, int) string { return "127.0.0.1:1" }, func(int) *relay.Link { return relay.NewLink(relay.Rules{}, 1) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	next := watch(t, a)
	a.Publish(Entry{Number: 3, UID: "s-3", State: Gone}, 200*time.Millisecond, 0)
	a.Publish(Entry{Number: 4, UID: "s-4", State: Gone}, 0, 0)
	for _, want := range []string{"s-4", "s-3"} {
		if line, err := next(10 * time.Second); err != nil || !strings.Contains(line, want) {
			t.Errorf("read watch: got %q, %v, want the change of %s", line, err, want)
		}
	}
}

// Changes of one entry take effect in the order in which they were published, also if the later one is applied first.
func TestPublish_sameEntry(t *testing.T) {
	a, err := New(record.New(), 2, []Entry{{Number: 4, State: Ready}}, func(int, int) string { return "127.0.0.1:1" },
		func(int) *relay.Link { return relay.NewLink(relay.Rules{}, 1) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	next := watch(t, a)
	a.Publish(Entry{Number: 4, State: Terminating}, 100*time.Millisecond, 0)
	a.Publish(Entry{Number: 4, State: Gone}, 0, 50*time.Millisecond)
	if line, err := next(10 * time.Second); err != nil || !strings.Contains(line, Gone) {
		t.Errorf("read watch: got %q, %v, want the change to Gone", line, err)
	}
	if line, err := next(300 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read watch: got %q, %v, want no further change", line, err)
	}
	if l := a.ListFor(1); len(l.Targets) != 0 {
		t.Errorf("the list of the last agent is %v, want none", l.Targets)
	}
}
