package invariant

import (
	"slices"
	"testing"
	"time"

	"marblelane/internal/lab/record"
)

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func process(at int, note string) record.Event {
	return record.Event{T: millis(at), Kind: record.Process, Server: record.None, Class: record.None, Note: note}
}

func notified(at int, state string) record.Event {
	return record.Event{T: millis(at), Kind: record.Notified, Server: 3, Class: record.None, Note: state}
}

func send(at int) record.Event {
	return record.Event{T: millis(at), Kind: record.FirstByte, Request: 7, Server: 3}
}

// A server that drains gets no attempts after the grace, also if the sidecar is frozen, restarted or upgraded meanwhile.
func TestDrain(t *testing.T) {
	facts := Facts{NonIdempotent: []bool{false}, MaxAttempts: 3, DrainGrace: 2 * time.Second}
	up := []record.Event{process(0, Started), process(1, Serving)}
	for name, c := range map[string]struct {
		events []record.Event
		broken bool
	}{
		"within the grace":                     {[]record.Event{notified(100, "Terminating"), send(2100)}, false},
		"after the grace":                      {[]record.Event{notified(100, "Terminating"), send(2200)}, true},
		"notified twice":                       {[]record.Event{notified(100, "Terminating"), notified(1500, "Gone"), send(2200)}, true},
		"ready again":                          {[]record.Event{notified(100, "Terminating"), notified(1500, "Ready"), send(2200)}, false},
		"frozen meanwhile":                     {[]record.Event{process(50, Frozen), notified(100, "Terminating"), process(3000, Thawed), send(4900)}, false},
		"long after it was thawed":             {[]record.Event{process(50, Frozen), notified(100, "Terminating"), process(3000, Thawed), send(5200)}, true},
		"a restarted process was not notified": {[]record.Event{notified(100, "Terminating"), process(200, Killed), process(210, Ended), process(300, Started), process(400, Serving), send(9000)}, false},
		"notified while it starts":             {[]record.Event{process(200, Killed), process(210, Ended), process(300, Started), notified(350, "Terminating"), process(400, Serving), send(9000)}, true},
		"an upgrade restarts the grace":        {[]record.Event{notified(100, "Terminating"), process(1900, Started), process(2000, Serving), send(3900)}, false},
		"after the grace of an upgrade":        {[]record.Event{notified(100, "Terminating"), process(1900, Started), process(2000, Serving), process(2100, Ended), send(4200)}, true},
	} {
		got := slices.Contains(Check(append(slices.Clone(up), c.events...), facts).Broken(), Drain)
		if got != c.broken {
			t.Errorf("%s: broken %v, want %v", name, got, c.broken)
		}
	}
}

// The kernel enforces the limit of descriptors, so no scenario can exceed it. This test shows that the check can fail.
func TestResourceLimits(t *testing.T) {
	facts := Facts{MemoryMB: 64, Sockets: 100}
	for _, c := range []struct {
		rss    int64
		open   int32
		broken bool
	}{{63 << 20, 100, false}, {65 << 20, 10, true}, {10 << 20, 101, true}} {
		events := []record.Event{{Kind: record.Sample, Server: record.None, Class: record.None, N: c.rss, Status: c.open}}
		if got := len(Check(events, facts).Broken()) > 0; got != c.broken {
			t.Errorf("%d bytes and %d descriptors: broken %v", c.rss, c.open, got)
		}
	}
	if len(Check([]record.Event{process(5, Crashed)}, facts).Broken()) != 1 {
		t.Error("a process that ends without a signal breaks no rule")
	}
}

// A request without a response is a breach if its process ended by itself, or if the request arrived late before a
// SIGKILL.
func TestOneAnswer_processEnds(t *testing.T) {
	facts := Facts{NonIdempotent: []bool{false}, MaxAttempts: 3, ServiceAfterTerm: 700 * time.Millisecond}
	client := func(at int, kind record.Kind) record.Event {
		return record.Event{T: millis(at), Kind: kind, Request: 7, Server: record.None}
	}
	up := []record.Event{process(0, Started), process(1, Serving)}
	byItself := []record.Event{process(1000, Stopping), process(2000, Ended)}
	killed := []record.Event{process(1000, Stopping), process(4700, Killed), process(4701, Ended)}
	for name, c := range map[string]struct {
		end    []record.Event
		sent   int
		then   record.Kind
		after  int
		broken bool
	}{
		"in flight at the end":                   {byItself, 900, record.ConnectionLost, 1999, true},
		"arrived just before the end":            {byItself, 1990, record.ConnectionLost, 1995, true},
		"response before the end":                {byItself, 900, record.ResponseReceived, 1999, false},
		"its client had disconnected":            {byItself, 900, record.ClientDisconnected, 1500, false},
		"connection closed before the read":      {byItself, 1400, record.ConnectionLost, 1401, false},
		"killed, arrived before SIGTERM":         {killed, 900, record.ConnectionLost, 4701, false},
		"killed, arrived early enough":           {killed, 1700, record.ConnectionLost, 4701, false},
		"killed, arrived late":                   {killed, 1701, record.ConnectionLost, 4701, true},
		"arrived late, response before the kill": {killed, 1701, record.ResponseReceived, 4000, false},
		"overdue before the kill":                {killed, 900, record.NoResponse, 3000, true},
	} {
		events := append(append(slices.Clone(up), c.end...), client(c.sent, record.Sent), client(c.after, c.then))
		slices.SortStableFunc(events, func(a, b record.Event) int { return int(a.T - b.T) })
		if got := slices.Contains(Check(events, facts).Broken(), OneAnswer); got != c.broken {
			t.Errorf("%s: broken %v, want %v", name, got, c.broken)
		}
	}
}
