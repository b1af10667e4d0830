package membership

import (
	"maps"
	"sync"
	"sync/atomic"
)

// counters count since Open.
type counters struct {
	startsRaised atomic.Uint64 // starts raised after this process was proved gone
	failedJoins  atomic.Uint64

	mu    sync.Mutex
	drops map[string]uint64 // by reason
}

// countDrop counts a packet, stream, message or node that was dropped. It may be called under the library's locks.
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

// Stats are counts since Open, beside those of Report.
type Stats struct {
	StartsRaised uint64            // starts raised after this process was proved gone
	FailedJoins  uint64            // failed exchanges with a seed or an unreachable member
	Dropped      map[string]uint64 // dropped packets, streams, messages and nodes, by reason
}

// Stats returns the counts.
func (g *Group) Stats() Stats {
	return Stats{StartsRaised: g.counters.startsRaised.Load(), FailedJoins: g.counters.failedJoins.Load(),
		Dropped: g.counters.dropsByReason()}
}
