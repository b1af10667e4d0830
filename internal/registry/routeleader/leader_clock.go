package routeleader

import "time"

// leaderClock counts milliseconds from the start of a leadership.
type leaderClock struct {
	startedAt     time.Time // start of the leadership; has a monotonic reading
	startedWallMS int64     // Unix milliseconds of the wall clock at startedAt
}

// floor converts a time to the leader's clock, rounded down, also for times before startedAt. The start of a lease is
// rounded up and the time compared with its end is rounded down, so rounding never makes the leader assume that a lease
// ended too early.
func (c leaderClock) floor(at time.Time) int64 {
	since := at.Sub(c.startedAt)
	elapsed := since.Truncate(time.Millisecond)
	if elapsed > since {
		elapsed -= time.Millisecond
	}
	return 1 + elapsed.Milliseconds()
}

// ceil converts a time to the leader's clock, rounded up.
func (c leaderClock) ceil(at time.Time) int64 { return c.floor(at.Add(time.Millisecond - 1)) }

// wall converts a time to Unix milliseconds: the wall clock at startedAt plus the monotonic time since.
func (c leaderClock) wall(at time.Time) int64 {
	return c.startedWallMS + at.Sub(c.startedAt).Milliseconds()
}
