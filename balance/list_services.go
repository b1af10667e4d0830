package balance

// This file decides which list service is watched, and when a service is called again. The services are
// ordered by preference, and the first one is watched. From time to time the list of another service is
// fetched as a check. Only a check reveals that a watch has stalled, and the watch returns to a preferred
// service only after checks that found it up to date.

import (
	"fmt"
	"math"
)

const (
	checkInterval    milliseconds = 15_000 // mean time between two checks of another list service
	stalledWatchTime milliseconds = 2000   // time for a watch to deliver a revision found in a check
	minPollBackoff   milliseconds = 500    // before the first retry of a failed list call
)

const (
	maxBackoffDoublings     = 4 // limit for the doubling of minPollBackoff
	maxBusyBackoffDoublings = 6 // the same for a service that rejects calls
	checksToSwitchBack      = 2 // consecutive up-to-date checks of a preferred service before the switch
)

// start starts to watch the first service.
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
	l.log(fmt.Sprintf("list: watch switched from service %d to %d: %s", l.source, source, reason))
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

// checkService fetches the list of another service: of the first one, or of a random one if the first is
// watched.
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

// compareServices compares the revision of the watched service with the revisions found in checks.
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
		l.switchWatch(ev.Source, "the preferred service is up to date")
	}
}

// onStalledWatchTimer ends a watch that has still not delivered the revision found in a check of another
// service, and watches that service.
func (l *endpointList) onStalledWatchTimer() {
	if l.newestFetchedRev > l.watchRev {
		l.switchWatch(l.newestFetchedSource, "the watch delivered no changes")
	}
}

// scheduleRetry schedules a call of the next service, after a backoff with jitter that grows each time all
// services have failed. A service that rejects calls has too many callers: then the backoff grows faster, up
// to three times PollInterval. Config.MaxPollBackoff limits all backoffs.
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
		backoff = 2 * ev.RetryAfter // the jitter at most halves it, which leaves RetryAfter
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
