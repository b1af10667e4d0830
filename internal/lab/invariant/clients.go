package invariant

import (
	"slices"
	"time"

	"marblelane/internal/lab/record"
)

// forwardedDeadlineSlack is by how much the deadline that an attempt forwards may exceed the time that its client still waits.
const forwardedDeadlineSlack = 150 * time.Millisecond

// clientGoneGrace is how long after its client has left a request may still be sent to a server.
const clientGoneGrace = 100 * time.Millisecond

// HeldBack is a time in which links delay their data: what a server receives then may have left the sidecar long before.
type HeldBack struct {
	From, To time.Duration
	Sidecars []int
	Servers  []int
}

// mayBeHeldBack reports whether what a server received at this time may have been delayed by its link.
func (c *checker) mayBeHeldBack(e record.Event) bool {
	return slices.ContainsFunc(c.facts.HeldBack, func(h HeldBack) bool {
		return e.T >= h.From && e.T <= h.To+socketSlack &&
			slices.Contains(h.Sidecars, int(e.Sidecar)) && slices.Contains(h.Servers, int(e.Server))
	})
}

// checkClientGone checks that no attempt of a request begins after its client has left.
func (c *checker) checkClientGone(r *requestEvents) {
	leftAt := forever
	for _, e := range r.events {
		switch {
		case e.Kind == record.ClientDisconnected:
			leftAt = min(leftAt, e.T)
			c.out.Checked[ClientGone]++
		case e.Kind == record.NoResponse && e.Note != record.RunEnded:
			leftAt = min(leftAt, e.T)
		case e.Kind == record.FirstByte:
			c.checkAttemptAfterLeave(r, e, leftAt)
		}
	}
}

// checkForwardedDeadline checks that no attempt of a request forwards a longer deadline than its client still waits.
func (c *checker) checkForwardedDeadline(r *requestEvents) {
	var sent record.Event // the last time
	for _, e := range r.events {
		switch e.Kind {
		case record.Sent:
			sent = e
		case record.FirstByte:
			c.checkAttemptDeadline(r, e, sent)
		}
	}
}

// checkAttemptAfterLeave checks an attempt of a request whose client left at this time.
func (c *checker) checkAttemptAfterLeave(r *requestEvents, attempt record.Event, leftAt time.Duration) {
	if leftAt >= attempt.T || c.mayBeHeldBack(attempt) || c.longStallBetween(leftAt, attempt.T) {
		return
	}
	if noticed := c.observableAt(attempt.Sidecar, leftAt, attempt.T); attempt.T > noticed+clientGoneGrace+socketSlack+c.facts.Latency+c.stallTime(noticed, attempt.T) {
		c.breachOf(r, ClientGone, attempt.T, "sidecar %d began an attempt at server %d %.0f ms after its client had left",
			attempt.Sidecar, attempt.Server, ms(attempt.T-leftAt))
	}
}

// longStall is the shortest stall of the lab during which other processes may have stalled for longer.
const longStall = 20 * time.Millisecond

// longStallBetween reports whether the lab itself stalled for long between two times, so that it is unknown for how long
// other processes did.
func (c *checker) longStallBetween(from, to time.Duration) bool {
	return slices.ContainsFunc(c.facts.Stalls, func(s Span) bool { return s.To-s.From >= longStall && s.From <= to && from <= s.To })
}

// stallTime is the total time between two times in which the machine gave the lab no processor time.
func (c *checker) stallTime(from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, s := range c.facts.Stalls {
		sum += max(min(s.To, to)-max(s.From, from), 0)
	}
	return sum
}

// observableAt is when a process could observe what arrived at one time, before a later one: a frozen one observes it when
// it wakes.
func (c *checker) observableAt(sidecar int32, from, to time.Duration) time.Duration {
	observable := from
	for _, s := range c.frozen[sidecar] {
		if s.meets(from, to) {
			observable = max(observable, s.to)
		}
	}
	return observable
}

// checkAttemptDeadline checks the deadline that an attempt forwards against the time that its client still waits.
func (c *checker) checkAttemptDeadline(r *requestEvents, attempt, sent record.Event) {
	if attempt.N == 0 || sent.Work == 0 || c.mayBeHeldBack(attempt) || c.longStallBetween(sent.T, attempt.T) {
		return
	}
	c.out.Checked[ForwardedDeadline]++
	timeout := time.Duration(sent.Work * float64(time.Millisecond))
	remaining := c.observableAt(attempt.Sidecar, sent.T, attempt.T) + timeout - attempt.T
	excess := time.Duration(attempt.N)*time.Millisecond - remaining
	allowed := forwardedDeadlineSlack + c.facts.Latency + c.stallTime(sent.T, attempt.T)
	if excess <= allowed {
		return
	}
	c.breachOf(r, ForwardedDeadline, attempt.T, "sidecar %d told server %d that %d ms are left, %.0f ms more than its client had",
		attempt.Sidecar, attempt.Server, attempt.N, ms(excess))
}
