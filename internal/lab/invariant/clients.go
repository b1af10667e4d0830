package invariant

import (
	"slices"
	"time"

	"marblelane/internal/lab/record"
)

// leaveGrace is how long after its client has left a request may still be sent to a server.
const leaveGrace = 100 * time.Millisecond

// Held is a time in which links hold back what is sent on them: what a server hears then may have been sent long before.
type Held struct {
	From, To time.Duration
	Sidecars []int
	Servers  []int
}

// held tells whether what a server heard at this time may have been held back by its link.
func (c *checker) held(e record.Event) bool {
	return slices.ContainsFunc(c.facts.Held, func(h Held) bool {
		return e.T >= h.From && e.T <= h.To+slack &&
			slices.Contains(h.Sidecars, int(e.Sidecar)) && slices.Contains(h.Servers, int(e.Server))
	})
}

// clients checks what a request's attempts owe its client: none begins after it has left.
func (c *checker) clients(id uint64, path []int) {
	left := forever
	for _, i := range path {
		e := c.events[i]
		switch e.Kind {
		case record.GaveUp:
			left = min(left, e.T)
			c.out.Checked[ClientGone]++
		case record.Unheard:
			if e.Note != record.RunEnded {
				left = min(left, e.T)
			}
		case record.FirstByte:
			c.afterLeave(id, path, e, left)
		}
	}
}

// afterLeave checks an attempt of a request whose client left at this time.
func (c *checker) afterLeave(id uint64, path []int, attempt record.Event, left time.Duration) {
	if left >= attempt.T || c.held(attempt) {
		return
	}
	// A frozen copy learns of it when it wakes.
	noticed := left
	for _, s := range c.paused[attempt.Sidecar] {
		if s.meets(left, attempt.T) {
			noticed = max(noticed, s.to)
		}
	}
	if attempt.T > noticed+leaveGrace+slack+c.facts.Latency {
		c.breach(ClientGone, attempt.T, id, path, "sidecar %d began an attempt at server %d %.0f ms after its client had left",
			attempt.Sidecar, attempt.Server, ms(attempt.T-left))
	}
}
