package discovery

import (
	"time"

	"marblelane/internal/sidecar/clock"
)

const (
	// WatchTimeout bounds the silence of a watch. An empty line comes every 2 s; a watch that has got none for twice that
	// has ended, whatever its connection says: a machine that is cut off closes nothing.
	WatchTimeout = 4 * time.Second
	// CallTimeout bounds the wait for the first object. A list service ends calls that wait too long in its own queue; this
	// is for one that is cut off.
	CallTimeout = 5 * time.Second
	// DialTimeout bounds the wait for a connection.
	DialTimeout = time.Second
	// MaxNotificationDelay is how long after a list service got a change and could be reached the change counts as notified,
	// whatever failed before.
	MaxNotificationDelay = 6 * time.Second
	// MaxPollBackoff leaves time for the call after a pause, whose connection may not come up at first.
	MaxPollBackoff = MaxNotificationDelay - DialTimeout - 500*time.Millisecond
	// SilentCallPause follows a call that ended with ErrCallTimeout. Such a call takes most of MaxNotificationDelay, as it may have
	// started just before the list service's return.
	SilentCallPause = 500 * time.Millisecond
)

// Where lists are pushed, whatever the agent has counts as notified at once: a call that is not answered is given up within a
// part of the drain grace.
const (
	// pushedDelayParts is the number of pushed delays in a drain grace. From the agent's return to the next call three may
	// pass.
	pushedDelayParts = 5
	// minPushedDelay is the tolerance of deadlines on sockets.
	minPushedDelay = 50 * time.Millisecond
	// maxPushedDelay keeps a watch that falls silent and its next two calls, 4 delays, together below MaxNotificationDelay,
	// however long the grace.
	maxPushedDelay = (MaxNotificationDelay - WatchTimeout) / 5
	// initialDrainGraceMS holds until the settings' own is known.
	initialDrainGraceMS = 500
)

// Timeouts bound the silence of a list service. A value of zero stands for the default.
type Timeouts struct {
	Call        time.Duration // until the first object of an answer is complete
	Watch       time.Duration // between two objects or empty lines of a watch
	PushedDelay time.Duration // where lists are pushed: between two calls, and for an answer to the later ones
}

// PushedDelay returns how long an agent that pushes lists may leave a call unanswered, given the drain grace.
func PushedDelay(drainGraceMS float64) time.Duration {
	return min(max(clock.Duration(drainGraceMS)/pushedDelayParts, minPushedDelay), maxPushedDelay)
}
