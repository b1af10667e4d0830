package balance

// This file decides which list service is watched, and when a service is called again. The nearest service is
// watched. Another one is checked now and then: that the changes of a watch have stopped shows in nothing
// else, and the watch returns to a nearer service only once that is found not to be behind.

import (
	"fmt"
	"math"
)

const (
	checkInterval    milliseconds = 15_000 // between two checks of another list service, with jitter
	stalledWatchTime milliseconds = 2000   // within which a watch must bring what a check has found
	minPollBackoff   milliseconds = 500    // before a failed list call is made again
)

const (
	maxBackoffDoublings     = 4 // of minPollBackoff
	maxBusyBackoffDoublings = 6 // ... if the service rejects calls
	checksToSwitchBack      = 2 // in a row before the watch returns to a nearer service
)

// start begins to watch the nearest service.
func (l *endpointList) start() {
	l.lastContact = l.now
	if l.cfg.Subscribe {
		l.watch()
	}
	l.scheduleCheck()
}

func (l *endpointList) watch() {
	l.watchRev = l.rev
	l.emit(Action{Kind: Watch, Source: l.source, After: l.rev})
}

func (l *endpointList) switchWatch(source int, reason string) {
	l.log(fmt.Sprintf("list: watch moved from service %d to %d: %s", l.source, source, reason))
	l.source, l.upToDateChecks, l.newestFetchedRev, l.confirmedAt = source, 0, 0, math.Inf(-1)
	l.watch()
}

// onListServices applies a new number of list services.
func (l *endpointList) onListServices(ev ListServices) {
	l.cfg.ListServices = ev.Count
	l.source = min(l.source, max(ev.Count-1, 0))
	l.scheduleCheck()
}

func (l *endpointList) scheduleCheck() {
	if l.cfg.ListServices <= 1 || l.checkScheduled {
		return
	}
	l.checkScheduled = true
	l.emit(Action{Kind: SetTimer, Token: serviceCheckTimer, At: checkInterval * (0.5 + l.random())})
}

// checkService fetches the list of another service: of the nearest one, or if that is watched, of a random
// one.
func (l *endpointList) checkService() {
	l.checkScheduled = false
	if l.cfg.ListServices <= 1 {
		return
	}
	other := 0
	if l.source == 0 {
		other = 1 + int(l.random()*float64(l.cfg.ListServices-1))
	}
	l.emit(Action{Kind: Fetch, Source: other, After: -1})
	l.scheduleCheck()
}

// compareServices compares the list of the service watched with those found at checks.
func (l *endpointList) compareServices(ev *ServerList) {
	if !ev.FromFetch {
		l.watchRev = max(l.watchRev, ev.Rev)
		return
	}
	if ev.Rev > l.newestFetchedRev {
		l.newestFetchedRev, l.newestFetchedSource = ev.Rev, ev.Source
	}
	if l.newestFetchedRev > l.watchRev {
		l.emit(Action{Kind: SetTimer, Token: stalledWatchTimer, At: stalledWatchTime})
	}
	l.upToDateChecks++
	if ev.Rev < l.rev || ev.Source >= l.source {
		l.upToDateChecks = 0
	}
	if l.upToDateChecks >= checksToSwitchBack {
		l.switchWatch(ev.Source, "the nearer service is not behind")
	}
}

// onStalledWatchTimer leaves a watch that has still not brought what a check of another service found.
func (l *endpointList) onStalledWatchTimer() {
	if l.newestFetchedRev > l.watchRev {
		l.switchWatch(l.newestFetchedSource, "no changes came from it")
	}
}

// scheduleRetry calls the next service after a backoff with jitter, which grows once each service was called. A
// service that rejects calls has too many callers: the backoff grows faster then, up to three times
// PollInterval. Config.MaxPollBackoff bounds all backoffs.
func (l *endpointList) scheduleRetry(ev *ServerList) {
	services := max(l.cfg.ListServices, 1)
	round := l.failedPolls / services
	backoff := minPollBackoff * float64(int(1)<<min(round, maxBackoffDoublings))
	maxBackoff := l.cfg.PollInterval / 3
	if ev.Busy {
		backoff = minPollBackoff * float64(int(1)<<min(2*round, maxBusyBackoffDoublings))
		maxBackoff = 3 * l.cfg.PollInterval
	}
	if ev.RetryAfter > 0 {
		backoff = 2 * ev.RetryAfter // with jitter at least RetryAfter
	}
	for _, limit := range []milliseconds{maxBackoff, l.cfg.MaxPollBackoff} {
		if limit > 0 {
			backoff = math.Min(backoff, limit)
		}
	}
	l.failedPolls++
	l.source = (l.source + 1) % services
	l.emit(Action{Kind: SetTimer, Token: listRetryTimer, At: backoff * (0.5 + l.random()/2)})
}
