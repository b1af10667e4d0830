package invariant

import (
	"slices"
	"testing"
	"time"

	"marblelane/internal/lab/record"
)

// A server in slow start may get N + 2√N + 2 calls in a window from sidecars that were notified of its start, or
// N + 3√N + 3 if N is below 30.
func TestSlowStartLimit(t *testing.T) {
	// After 3 s, at the end of the window, the server has the fraction 0.25 + 0.75 x 3/15 = 0.4 of its 10 requests/s.
	facts := func(multiple float64) Facts {
		return Facts{NonIdempotent: []bool{false}, MaxAttempts: 3, SlowStart: SlowStart{
			InitialCapacity: 0.25, Time: 15 * time.Second, Window: 3 * time.Second, OverloadMultiple: multiple, CapacityPerSecond: []float64{0, 0, 0, 10}}}
	}
	for name, c := range map[string]struct {
		multiple   float64
		calls      int
		uninformed int // calls from a sidecar that was not notified
		broken     bool
		before     int64 // start that was notified before; the checked start is 5
	}{
		"few":                          {2, 41, 0, false, 0}, // N = 24: 24 + 14.7 + 3
		"a few too many":               {2, 42, 0, true, 0},
		"many":                         {4, 63, 0, false, 0}, // N = 48: 48 + 13.9 + 2
		"many too many":                {4, 64, 0, true, 0},
		"mostly informed sidecars":     {4, 64, 21, true, 0},
		"a third uninformed":           {4, 66, 22, false, 0},
		"few, clock stepped back":      {2, 41, 0, false, 9},
		"too many, clock stepped back": {2, 42, 0, true, 9},
		"an outdated list":             {2, 42, 0, false, 5},
	} {
		events := []record.Event{process(0, Started), process(1, Serving), notified(2, "Ready"),
			{T: millis(5), Kind: record.Notified, Server: 3, N: c.before, Note: "Ready"},
			{T: millis(10), Kind: record.ServerState, Server: 3, Note: ServerStarted},
			{T: millis(20), Kind: record.Notified, Server: 3, N: 5, Note: "Ready"},
		}
		for i := range c.calls {
			e := record.Event{T: millis(3010) - time.Duration(c.calls-1-i)*time.Microsecond, Kind: record.LastByte, Server: 3, Request: uint64(i + 1)}
			if i < c.uninformed {
				e.Sidecar = 1
			}
			events = append(events, e)
		}
		got := Check(events, facts(c.multiple)).Broken()
		if slices.Contains(got, SlowStartLimit) != c.broken {
			t.Errorf("%s: broken rules %v, want %s broken %v", name, got, SlowStartLimit, c.broken)
		}
	}
}
