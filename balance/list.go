package balance

// This file decides which lists and entries of a list service are accepted. All sidecars share the list, so a
// wrong one can empty a fleet faster than any crash.
//
// What a list service says of a server by name always counts: Gone and Draining end new attempts at once.
// What a full list leaves out is gone, too, unless Config.SuspectFraction is set. Then a list that leaves out
// more than that fraction of the servers in use is suspect, and those servers stay in use for as long as
// their own outcomes are good. With several list services (Config.ListServices) the list never goes back in
// revision: a service that lags is left for the next.
//
// Rejected alternative: to request the list of several services and accept the majority. A list
// that is half loaded is half loaded everywhere, and the calls would multiply with the size of the fleet.

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

const (
	epochBits    = 28 // of a revision that count within an epoch; see EpochOf
	minSuspected = 2  // servers that a list must leave out to be suspect
)

const (
	maxSuspectTime milliseconds = 600_000 // for which a server that no list names is used
	newHistoryTime milliseconds = 30_000  // of nothing but older lists after which they count as a new history
	maxFutureStart milliseconds = 1000    // by which a server's start may lie ahead of this sidecar's clock
)

// EpochOf is the history that a revision belongs to: revisions of one epoch can be compared.
func EpochOf(rev int64) int64 { return rev >> epochBits }

// endpointList decides which lists are accepted, and which list service is watched.
type endpointList struct {
	*shared
	locality  *locality
	slowStart *slowStart
	clock     *wallClock

	rev               int64        // of the list held
	lastContact       milliseconds // when a service last said anything
	confirmedAt       milliseconds // when the service watched last said that it is the newest; -Inf: not yet
	rejectedSince     milliseconds // since when only older lists have come; 0: they have not
	lastListEmpty     bool         // the last complete list named no server
	stale             bool         // no service has said anything for Config.StaleAfter
	hasRemovedServers bool         // servers are gone that must still be dropped, though no list said so

	source              int   // the service watched, by preference
	watchRev            int64 // the newest revision from the service watched
	failedPolls         int   // in a row
	checkScheduled      bool  // the timer of the next check of another service runs
	newestFetchedRev    int64 // the newest revision found at a check of another service ...
	newestFetchedSource int   // ... and which service it was
	upToDateChecks      int   // in a row, at which a nearer service was not behind
}

// listing is a server's state in the endpoint list.
type listing struct {
	rank           float64      // position in this sidecar's own order
	localStart     milliseconds // its start on the balancer's clock
	suspectedSince milliseconds // since when no list has named it; 0: one does
}

// onServerList applies a list event and reports whether servers may have changed.
func (l *endpointList) onServerList(ev ServerList) (changed bool) {
	if ev.Kind == ListFailed {
		if !ev.FromFetch {
			l.scheduleRetry(&ev)
		}
		return false
	}
	if ev.Kind != ListCached {
		l.lastContact = l.now
	}
	l.updateStaleness()
	if ev.Kind == ListUnchanged {
		if !ev.FromFetch {
			l.failedPolls, l.confirmedAt = 0, l.now
		}
		return false
	}
	entries := l.normalizeEntries(ev.Servers)
	sameHistory := ev.Rev > l.rev && EpochOf(ev.Rev) == EpochOf(l.rev)
	if !l.accepts(&ev) {
		l.applyRemovals(entries)
		l.dropRemoved()
		return true
	}
	l.recordAccepted(&ev)
	if ev.Kind == ListDelta {
		l.applyChanges(entries, sameHistory)
	} else {
		l.replaceEntries(entries, ev.Kind == ListFull, sameHistory)
	}
	if ev.Kind != ListCached {
		l.confirmedAt = l.now
	}
	return true
}

// accepts reports whether a list replaces or changes the one held. With one list service all do.
func (l *endpointList) accepts(ev *ServerList) bool {
	l.compareServices(ev)
	newer := ev.Rev > l.rev && (ev.Kind == ListFull || EpochOf(ev.Rev) == EpochOf(l.rev))
	if l.cfg.ListServices <= 1 || ev.Kind == ListCached || newer {
		return true
	}
	switch {
	case ev.Rev == l.rev && ev.Kind == ListFull: // the same list again: it may end a suspicion
		return true
	case ev.FromFetch || ev.Rev == l.rev:
	case ev.Rev > l.rev: // changes of a history whose beginning this sidecar does not hold
		l.rev = 0
		l.watch()
	case ev.Kind == ListFull:
		return l.acceptsOlder(ev)
	}
	return false
}

// acceptsOlder reports whether an older list is accepted. It is once no service has had a newer one for
// historyTime: then the services have started a new history.
func (l *endpointList) acceptsOlder(ev *ServerList) bool {
	if l.rejectedSince > 0 && l.now-l.rejectedSince > newHistoryTime {
		l.log(fmt.Sprintf("list: revision %d accepted after %d: no service has a newer one", ev.Rev, l.rev))
		l.watchRev, l.newestFetchedRev = ev.Rev, ev.Rev
		return true
	}
	if l.rejectedSince == 0 {
		l.rejectedSince = l.now
		l.log(fmt.Sprintf("list: revision %d of service %d rejected, %d is held", ev.Rev, ev.Source, l.rev))
	}
	l.scheduleRetry(ev)
	return false
}

// recordAccepted notes that a list was accepted.
func (l *endpointList) recordAccepted(ev *ServerList) {
	l.rev, l.rejectedSince = ev.Rev, 0
	if !ev.FromFetch && ev.Kind != ListCached {
		l.failedPolls = 0
	}
}

// replaceEntries puts the entries of a complete list in place of those held.
func (l *endpointList) replaceEntries(entries []Server, maySuspect, sameHistory bool) {
	l.markUnlisted(entries, maySuspect)
	for i := range entries {
		l.applyEntry(&entries[i], sameHistory)
	}
	l.dropRemoved()
}

// applyChanges applies changed entries. It leaves servers and zones as dropGone would, but walks over the
// named servers alone: a fleet has thousands.
func (l *endpointList) applyChanges(entries []Server, sameHistory bool) {
	for i := range entries {
		l.applyChange(&entries[i], sameHistory)
	}
}

// applyChange applies one changed entry and moves its server alone.
func (l *endpointList) applyChange(entry *Server, sameHistory bool) {
	s, at := l.byID[entry.ID], len(l.servers)
	known, oldRank := s != nil, 0.0
	if known {
		at, oldRank = l.indexOf(s), s.rank
		if s.State == Ready {
			s.zone.ready--
		}
	}
	l.applyEntry(entry, sameHistory)
	if s = l.byID[entry.ID]; s == nil { // gone before it was known
		return
	}
	if s.State == Ready {
		s.zone.ready++
	}
	if known && s.State != Removed && s.rank == oldRank {
		return
	}
	l.servers = slices.Delete(l.servers, at, at+1)
	if s.State == Removed {
		delete(l.byID, s.ID)
		return
	}
	at = sort.Search(len(l.servers), func(i int) bool { return l.servers[i].rank > s.rank })
	l.servers = slices.Insert(l.servers, at, s)
}

// applyEntry applies one entry. A restart clears what was held against the server, another address what was held
// against the old one.
func (l *endpointList) applyEntry(entry *Server, sameHistory bool) {
	s := l.byID[entry.ID]
	if s == nil {
		if entry.State == Removed {
			return
		}
		s = l.addServer(entry.ID)
	}
	if since, again := l.clock.restarted(s, entry, l.confirmedAt, sameHistory); again {
		s.reset()
		s.currentWeight = 0
		l.slowStart.begin(s, since)
	} else if entry.AddressKey != s.AddressKey {
		s.reset()
	}
	s.Server, s.suspectedSince, s.zone = *entry, 0, l.locality.zone(entry.Zone)
	s.rank = l.rankOf(s)
}

// addServer starts to keep a server. Its random running value keeps sidecars that start together from picking in
// step.
func (l *endpointList) addServer(id ServerID) *server {
	s := &server{evidenceAt: math.Inf(-1)}
	s.currentWeight = maxInitialWeight * l.random()
	s.slowStartAt = math.Inf(-1)
	l.byID[id] = s
	l.servers = append(l.servers, s)
	return s
}

// dropRemoved forgets servers that are gone, sorts the others by rank and counts the ready servers of each zone.
func (l *endpointList) dropRemoved() {
	for _, z := range l.locality.zones {
		z.ready = 0
	}
	remaining := l.servers[:0]
	for _, s := range l.servers {
		if s.State == Removed {
			delete(l.byID, s.ID)
			continue
		}
		remaining = append(remaining, s)
		if s.State == Ready {
			s.zone.ready++
		}
	}
	l.servers = remaining
	sort.Slice(remaining, func(i, j int) bool { return remaining[i].rank < remaining[j].rank })
}

// indexOf finds a server among those listed.
func (l *endpointList) indexOf(s *server) int {
	at := sort.Search(len(l.servers), func(i int) bool { return l.servers[i].rank >= s.rank })
	for l.servers[at] != s { // another one of the same rank
		at++
	}
	return at
}

// markUnlisted marks the servers that a complete list leaves out as gone or as suspected.
func (l *endpointList) markUnlisted(entries []Server, maySuspect bool) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	unlisted, inUse := 0, 0
	for _, s := range l.servers {
		if s.State == Ready {
			if inUse++; !listed[s.ID] {
				unlisted++
			}
		}
	}
	l.lastListEmpty = len(entries) == 0
	limit := l.cfg.SuspectFraction * float64(inUse)
	suspect := maySuspect && limit > 0 && unlisted >= minSuspected && float64(unlisted) > limit
	if suspect {
		l.log(fmt.Sprintf("list: %d of %d servers are left out, and stay while they answer", unlisted, inUse))
		l.emit(Action{Kind: SetTimer, Token: suspectTimer, At: maxSuspectTime})
	}
	for _, s := range l.servers {
		switch {
		case listed[s.ID]:
		case !suspect || s.State != Ready:
			s.State = Removed
		case s.suspectedSince == 0:
			s.suspectedSince = l.now
		}
	}
}

// removeSuspected drops a suspected server: the list was right about it.
func (l *endpointList) removeSuspected(s *server) {
	s.State = Removed
	l.hasRemovedServers = true
	l.emit(Action{Kind: RemoveServer, Server: s.ID})
}

// onSuspectTimer drops the servers that no list has named for suspectLimit, unless the list names none at
// all: an empty list is never meant.
func (l *endpointList) onSuspectTimer() {
	for _, s := range l.servers {
		if s.suspectedSince > 0 && l.now-s.suspectedSince >= maxSuspectTime && !l.lastListEmpty {
			l.removeSuspected(s)
		}
	}
}

// updateStaleness follows whether the list is stale.
func (l *endpointList) updateStaleness() {
	stale := l.cfg.StaleAfter > 0 && l.now-l.lastContact > l.cfg.StaleAfter
	if stale != l.stale {
		l.stale = stale
		l.log(fmt.Sprintf("list: stale %v, last contact %.1f s ago", stale, (l.now-l.lastContact)/1000))
	}
}
