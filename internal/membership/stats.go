package membership

import (
	"maps"
	"sync"
	"sync/atomic"
)

// counters holds the counters behind Stats.
type counters struct {
	startsRaised atomic.Uint64 // new incarnations after this process was reported gone while running
	failedJoins  atomic.Uint64 // failed exchanges with a seed or an unreachable member

	mu    sync.Mutex
	drops map[string]uint64 // number of drops by reason
}

// countDrop counts a dropped packet, stream, message or node. It may be called under the library's locks.
func (c *counters) countDrop(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drops == nil {
		c.drops = map[string]uint64{}
	}
	c.drops[reason]++
}

func (c *counters) dropsByReason() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.drops)
}

func (c *counters) totalDrops() uint64 {
	total := uint64(0)
	for _, n := range c.dropsByReason() {
		total += n
	}
	return total
}

// Stats holds counts since Open in addition to those of Report.
type Stats struct {
	StartsRaised uint64            // new incarnations after this process was reported gone while running
	FailedJoins  uint64            // failed exchanges with a seed or an unreachable member
	Dropped      map[string]uint64 // dropped packets, streams, messages and nodes, by reason
}

// Stats returns the counts.
func (g *Group) Stats() Stats {
	return Stats{StartsRaised: g.counters.startsRaised.Load(), FailedJoins: g.counters.failedJoins.Load(),
		Dropped: g.counters.dropsByReason()}
}
