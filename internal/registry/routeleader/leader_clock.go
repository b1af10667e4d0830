package routeleader

import "time"

// leaderClock counts milliseconds from the start of a leadership.
type leaderClock struct {
	startedAt     time.Time // monotonic
	startedWallMS int64     // wall clock at startedAt
}

// floor converts a time to the leader's clock, rounded down, also before startedAt; ceil rounds up. Starts of leases are
// rounded up and ends are compared rounded down, so that rounding never shortens what the leader assumes of a lease.
func (c leaderClock) floor(at time.Time) int64 {
	since := at.Sub(c.startedAt)
	elapsed := since.Truncate(time.Millisecond)
	if elapsed > since {
		elapsed -= time.Millisecond
	}
	return 1 + elapsed.Milliseconds()
}

func (c leaderClock) ceil(at time.Time) int64 { return c.floor(at.Add(time.Millisecond - 1)) }

// wall converts a time to Unix milliseconds: the wall clock at startedAt plus the monotonic time since.
func (c leaderClock) wall(at time.Time) int64 {
	return c.startedWallMS + at.Sub(c.startedAt).Milliseconds()
}
