package invariant

import (
	"maps"
	"math"
	"time"

	"marblelane/internal/lab/record"
)

// SlowStart limits what all sidecars together may send a server that has just started.
type SlowStart struct {
	InitialCapacity   float64       // fraction of its capacity that a server has right after its start
	Time              time.Duration // length of slow start
	Window            time.Duration // time over which calls are counted
	OverloadMultiple  float64       // multiple of its current capacity that a server may get; 0: calls are not checked
	CapacityPerSecond []float64     // requests of mean work per second after slow start, by server
}

// ServerStarted is the note of the ServerState event recorded when a server starts.
const ServerStarted = "boots"

// smallSample is the number of calls below which the margin for random deviation is wider.
const smallSample = 30

// maxCalls returns how many calls a server may get in a window that ends at this age of the server.
func (f *SlowStart) maxCalls(server int32, age time.Duration) float64 {
	capacityFraction := f.InitialCapacity + (1-f.InitialCapacity)*float64(age)/float64(f.Time)
	n := f.OverloadMultiple * f.CapacityPerSecond[server] * capacityFraction * f.Window.Seconds()
	if n < smallSample {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// startedServer is a server in slow start.
type startedServer struct {
	startedAt     time.Duration
	earlierStarts map[int64]bool // starts that sidecars had been notified of before this start
	informed      map[int32]bool // sidecars that were notified of this start
	calls         []record.Event // calls in the last window
	exceeded      bool           // a breach has been recorded
}

// checkSlowStart checks that no server crashes by overload, and limits the calls to servers in slow start.
func (c *checker) checkSlowStart() {
	for i := range c.events {
		switch e := &c.events[i]; {
		case e.Kind == record.OverloadCrash:
			c.breach(SlowStartLimit, e.T, e.Request, c.byID[e.Request], "server %d crashed by overload: %s", e.Server, e.Note)
		case e.Kind == record.ServerState && e.Note == ServerStarted:
			c.verdict.Checked[SlowStartLimit]++
		}
	}
	c.checkSlowStartCalls()
}

// checkSlowStartCalls checks the calls to servers in slow start. As with an overload crash, a window is a breach only if
// more than two thirds of its calls come from sidecars that were notified of the start.
func (c *checker) checkSlowStartCalls() {
	limits := c.facts.SlowStart
	if limits.OverloadMultiple == 0 {
		return
	}
	warming := map[int32]*startedServer{}
	starts := map[int32]map[int64]bool{} // starts that sidecars were notified of, by server
	for _, e := range c.events {
		server := warming[e.Server]
		switch {
		case e.Kind == record.ServerState && e.Note == ServerStarted:
			warming[e.Server] = &startedServer{startedAt: e.T, earlierStarts: maps.Clone(starts[e.Server]), informed: map[int32]bool{}}
		case e.Kind == record.Notified:
			if starts[e.Server] == nil {
				starts[e.Server] = map[int64]bool{}
			}
			starts[e.Server][e.N] = true
			if server != nil && e.N != 0 && !server.earlierStarts[e.N] { // a start may be smaller than an earlier one, because the wall clock is stepped
				server.informed[e.Sidecar] = true
			}
		case e.Kind == record.LastByte && server != nil && e.T < server.startedAt+limits.Time:
			c.checkWarmingCall(server, e)
		}
	}
}

// checkWarmingCall counts a call to a server in slow start, and records a breach if the window has too many.
func (c *checker) checkWarmingCall(server *startedServer, call record.Event) {
	limits := c.facts.SlowStart
	server.calls = append(server.calls, call)
	for server.calls[0].T < call.T-limits.Window {
		server.calls = server.calls[1:]
	}
	fromInformed := 0
	for _, e := range server.calls {
		if server.informed[e.Sidecar] {
			fromInformed++
		}
	}
	allowed := limits.maxCalls(call.Server, call.T-server.startedAt)
	if server.exceeded || float64(len(server.calls)) <= allowed || 3*fromInformed <= 2*len(server.calls) {
		return
	}
	server.exceeded = true
	c.breach(SlowStartLimit, call.T, call.Request, c.byID[call.Request], "server %d, started %.1f s before, got %d calls within %v, at most %.1f allowed; %d of them came from sidecars notified of the start",
		call.Server, (call.T - server.startedAt).Seconds(), len(server.calls), limits.Window, allowed, fromInformed)
}
