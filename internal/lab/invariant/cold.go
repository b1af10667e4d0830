package invariant

import (
	"maps"
	"math"
	"time"

	"marblelane/internal/lab/record"
)

// ColdStart is what a server may be sent while it is cold, all sidecars together.
type ColdStart struct {
	From     float64 // share of its capacity right after its start
	Time     time.Duration
	Window   time.Duration
	Multiple float64
	PerS     []float64 // requests of mean work that each server can do in a second when it is warm
}

// Booted is the note of a ServerState event of a server that starts.
const Booted = "boots"

// fewCalls is the number of calls under which chance is allowed more.
const fewCalls = 30

// most is how many calls a server may get in a window that ends at this age of it.
func (f *ColdStart) most(server int32, age time.Duration) float64 {
	warmth := f.From + (1-f.From)*float64(age)/float64(f.Time)
	n := f.Multiple * f.PerS[server] * warmth * f.Window.Seconds()
	if n < fewCalls {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// starting is a server that is cold.
type starting struct {
	at      time.Duration
	earlier map[int64]bool // starts that were told before this one
	told    map[int32]bool // sidecars that know of this start
	calls   []record.Event // in the last window
	over    bool           // it was sent too much once
}

// cold checks what cold servers are sent. As with a fall, over two thirds have to come from sidecars that know of the start.
func (c *checker) cold() {
	f := c.facts.Cold
	if f.Multiple == 0 {
		return
	}
	cold := map[int32]*starting{}
	starts := map[int32]map[int64]bool{} // those of each server that were told
	for _, e := range c.events {
		s := cold[e.Server]
		switch {
		case e.Kind == record.ServerState && e.Note == Booted:
			cold[e.Server] = &starting{at: e.T, earlier: maps.Clone(starts[e.Server]), told: map[int32]bool{}}
		case e.Kind == record.Notified:
			if starts[e.Server] == nil {
				starts[e.Server] = map[int64]bool{}
			}
			starts[e.Server][e.N] = true
			if s != nil && e.N != 0 && !s.earlier[e.N] { // it may be smaller: the wall clock is stepped
				s.told[e.Sidecar] = true
			}
		case e.Kind == record.LastByte && s != nil && e.T < s.at+f.Time:
			c.coldCall(s, e)
		}
	}
}

// coldCall counts a call to a server that is cold.
func (c *checker) coldCall(s *starting, call record.Event) {
	f := c.facts.Cold
	s.calls = append(s.calls, call)
	for s.calls[0].T < call.T-f.Window {
		s.calls = s.calls[1:]
	}
	known := 0
	for _, e := range s.calls {
		if s.told[e.Sidecar] {
			known++
		}
	}
	most := f.most(call.Server, call.T-s.at)
	if s.over || float64(len(s.calls)) <= most || 3*known <= 2*len(s.calls) {
		return
	}
	s.over = true
	c.breach(Cold, call.T, call.Request, c.byID[call.Request], "server %d, started %.1f s before, got %d calls within %v, %.1f are allowed; %d of them from sidecars that knew of the start",
		call.Server, (call.T - s.at).Seconds(), len(s.calls), f.Window, most, known)
}
