package discovery

import (
	"time"

	"marblelane/internal/sidecar/clock"
)

const (
	// WatchTimeout limits the time between two lines of a watch. A list service sends an empty line every 2 s. A watch
	// without a line for twice as long counts as ended even if its connection is open, as a machine that is cut off from
	// the network closes no connections.
	WatchTimeout = 4 * time.Second
	// CallTimeout limits the wait for the first object. It detects a list service that is cut off from the network. One
	// that is reachable rejects calls that wait too long in its queue.
	CallTimeout = 5 * time.Second
	// DialTimeout limits the time to establish a connection.
	DialTimeout = time.Second
	// MaxNotificationDelay is the longest time until a sidecar must know of a change. It runs from the moment at which the
	// list service has the change and can be reached, whatever failed before.
	MaxNotificationDelay = 6 * time.Second
	// MaxPollBackoff is the longest pause between polls. It leaves time within MaxNotificationDelay for the next call,
	// whose first attempt to connect may time out.
	MaxPollBackoff = MaxNotificationDelay - DialTimeout - 500*time.Millisecond
	// SilentCallPause is the pause after a call that ended with ErrCallTimeout. It is short, as the call may have begun
	// just before the list service recovered and has then used up most of MaxNotificationDelay.
	SilentCallPause = 500 * time.Millisecond
)

// If an agent pushes the lists, a change must be known at once. A call without a response is therefore ended after a
// part of the drain grace.
const (
	// pushedDelayParts is the number of pushed delays in a drain grace. Up to three delays pass between the recovery of
	// the agent and the next call.
	pushedDelayParts = 5
	// minPushedDelay is the precision of socket deadlines.
	minPushedDelay = 50 * time.Millisecond
	// maxPushedDelay keeps the timeout of a watch plus its next two calls, which take 4 delays, below
	// MaxNotificationDelay, however long the drain grace is.
	maxPushedDelay = (MaxNotificationDelay - WatchTimeout) / 5
	// initialDrainGraceMS is the drain grace that is assumed until SetTimeouts sets a pushed delay.
	initialDrainGraceMS = 500
)

// Timeouts are the limits of how long a list service may send nothing. 0 stands for the default.
type Timeouts struct {
	Call        time.Duration // time until the first object of a response is complete
	Watch       time.Duration // time between two objects or empty lines of a watch
	PushedDelay time.Duration // if an agent pushes lists: pause between two calls, and timeout of an eager call
}

// PushedDelay returns how long an agent that pushes lists may take to respond to an eager call, given the drain grace.
func PushedDelay(drainGraceMS float64) time.Duration {
	return min(max(clock.Duration(drainGraceMS)/pushedDelayParts, minPushedDelay), maxPushedDelay)
}
