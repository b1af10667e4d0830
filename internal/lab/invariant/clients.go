package invariant

import (
	"slices"
	"time"

	"marblelane/internal/lab/record"
)

// forwardedDeadlineSlack is by how much the deadline that an attempt forwards may exceed the rest of its client's wait.
const forwardedDeadlineSlack = 150 * time.Millisecond

// clientGoneGrace is how long after its client has disconnected a request may still be sent to a server.
const clientGoneGrace = 100 * time.Millisecond

// DelayedLink is a period in which links between sidecars and servers delay data: what a server receives in it may have
// left the sidecar long before.
type DelayedLink struct {
	From, To time.Duration
	Sidecars []int
	Servers  []int
}

// mayBeDelayed reports whether the link may have delayed what a server received in this event.
func (c *checker) mayBeDelayed(e record.Event) bool {
	return slices.ContainsFunc(c.facts.DelayedLinks, func(h DelayedLink) bool {
		return e.T >= h.From && e.T <= h.To+socketSlack &&
			slices.Contains(h.Sidecars, int(e.Sidecar)) && slices.Contains(h.Servers, int(e.Server))
	})
}

// checkClientGone checks that no attempt of a request starts after its client has disconnected.
func (c *checker) checkClientGone(r *requestEvents) {
	leftAt := forever
	for _, e := range r.events {
		switch {
		case e.Kind == record.ClientDisconnected:
			leftAt = min(leftAt, e.T)
			c.verdict.Checked[ClientGone]++
		case e.Kind == record.NoResponse && e.Note != record.RunEnded:
			leftAt = min(leftAt, e.T)
		case e.Kind == record.FirstByte:
			c.checkAttemptAfterLeave(r, e, leftAt)
		}
	}
}

// checkForwardedDeadline checks that no attempt forwards a deadline later than the end of its client's wait.
func (c *checker) checkForwardedDeadline(r *requestEvents) {
	var sent record.Event // the latest send by the client
	for _, e := range r.events {
		switch e.Kind {
		case record.Sent:
			sent = e
		case record.FirstByte:
			c.checkAttemptDeadline(r, e, sent)
		}
	}
}

// checkAttemptAfterLeave checks an attempt of a request whose client disconnected at leftAt.
func (c *checker) checkAttemptAfterLeave(r *requestEvents, attempt record.Event, leftAt time.Duration) {
	if leftAt >= attempt.T || c.mayBeDelayed(attempt) {
		return
	}
	noticed := c.observableAt(attempt.Sidecar, leftAt, attempt.T)
	if attempt.T > noticed+clientGoneGrace+socketSlack+c.facts.Latency+c.stallAllowance(leftAt, noticed, attempt.T) {
		c.breachOf(r, ClientGone, attempt.T, "sidecar %d started an attempt at server %d %.0f ms after its client had disconnected",
			attempt.Sidecar, attempt.Server, ms(attempt.T-leftAt))
	}
}

const (
	// longStall is the shortest stall of the lab around which other processes may have stalled for longer than the lab.
	longStall = 20 * time.Millisecond
	// maxProcessStall is longer than any stall of another process in a run in which the lab keeps its times.
	maxProcessStall = time.Second
)

// longStallBetween reports whether the lab had a long stall between two times. How long other processes stalled then is
// unknown, up to maxProcessStall.
func (c *checker) longStallBetween(from, to time.Duration) bool {
	return slices.ContainsFunc(c.facts.Stalls, func(s Span) bool { return s.To-s.From >= longStall && s.From <= to && from <= s.To })
}

// stallAllowance returns for how long a process may have stalled up to a time, if something happened at from that it could
// observe at observable.
func (c *checker) stallAllowance(from, observable, to time.Duration) time.Duration {
	stalled := c.stallTime(observable, to)
	if c.longStallBetween(from, to) {
		return max(stalled, maxProcessStall)
	}
	return stalled
}

// stallTime returns the total time between two times in which the lab got no processor time.
func (c *checker) stallTime(from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, s := range c.facts.Stalls {
		sum += max(min(s.To, to)-max(s.From, from), 0)
	}
	return sum
}

// observableAt returns when a process could first observe what arrived at from. A process that was frozen between from
// and to observes it when it is thawed.
func (c *checker) observableAt(sidecar int32, from, to time.Duration) time.Duration {
	observable := from
	for _, s := range c.frozen[sidecar] {
		if s.meets(from, to) {
			observable = max(observable, s.to)
		}
	}
	return observable
}

// checkAttemptDeadline checks the deadline that an attempt forwards against the rest of its client's wait.
func (c *checker) checkAttemptDeadline(r *requestEvents, attempt, sent record.Event) {
	if attempt.N == 0 || sent.Work == 0 || c.mayBeDelayed(attempt) {
		return
	}
	c.verdict.Checked[ForwardedDeadline]++
	timeout := time.Duration(sent.Work * float64(time.Millisecond))
	remaining := c.observableAt(attempt.Sidecar, sent.T, attempt.T) + timeout - attempt.T
	excess := time.Duration(attempt.N)*time.Millisecond - remaining
	allowed := forwardedDeadlineSlack + c.facts.Latency + c.stallAllowance(sent.T, sent.T, attempt.T)
	if excess <= allowed {
		return
	}
	c.breachOf(r, ForwardedDeadline, attempt.T, "sidecar %d forwarded to server %d a deadline of %d ms, %.0f ms more than its client still waits",
		attempt.Sidecar, attempt.Server, attempt.N, ms(excess))
}
