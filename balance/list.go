package balance

// This file decides which lists and entries of a list service are accepted. All sidecars share the list, so a
// wrong list can remove the servers of a whole fleet faster than any crash.
//
// An entry that names a server as draining or removed always counts: the server gets no new attempts. A
// server that a full list omits is removed, too, unless Config.SuspectFraction is set. Then a list that omits
// more than that fraction of the servers in use is suspect: the omitted servers are marked as suspected and
// stay in use as long as their own outcomes are good. With several list services (Config.ListServices), the
// revision of the list never decreases: a service with an older list is skipped.
//
// Rejected alternative: to fetch the list from several services and accept the majority. A half-loaded
// list is the same at all services, and the number of calls would multiply with the size of the fleet.

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

const (
	epochBits    = 28 // low bits of a revision, which count within an epoch; see EpochOf
	minSuspected = 2  // number of omitted servers from which a list can be suspect
)

const (
	maxSuspectTime milliseconds = 600_000 // time for which a server that no list names stays in use
	newHistoryTime milliseconds = 30_000  // an older list is accepted after this time without a newer one
	maxFutureStart milliseconds = 1000    // limit for start times ahead of this sidecar's clock
)

// EpochOf returns the epoch of a revision, which identifies a history of the list. Only revisions of the same
// epoch can be compared.
func EpochOf(rev int64) int64 { return rev >> epochBits }

// endpointList decides which lists are accepted, and which list service is watched.
type endpointList struct {
	*shared
	locality  *locality
	slowStart *slowStart
	clock     *wallClock

	rev               int64        // revision of the current list
	lastContact       milliseconds // time of the last event from a service
	confirmedAt       milliseconds // time of the last confirmation by the watched service; -Inf: none yet
	rejectedSince     milliseconds // start of a period with only older lists; 0: the last list was accepted
	lastListEmpty     bool         // the last complete list was empty
	stale             bool         // no event from a service for Config.StaleAfter
	hasRemovedServers bool         // suspected servers were removed and must still be deleted

	source              int   // index of the watched service, in order of preference
	watchRev            int64 // newest revision from the watched service
	failedPolls         int   // consecutive failed calls
	checkScheduled      bool  // the timer of the next check of another service is set
	newestFetchedRev    int64 // newest revision found in checks of other services
	newestFetchedSource int   // the service that returned it
	upToDateChecks      int   // consecutive checks in which a preferred service was up to date
}

// listing is the state of a server that the endpoint list maintains.
type listing struct {
	rank           float64      // sort key of this sidecar's own order of servers
	localStart     milliseconds // start of the server on the balancer's clock
	suspectedSince milliseconds // since when lists omit the server; 0: it is listed
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

// accepts reports whether a list is applied to the current one. With one list service every list is.
func (l *endpointList) accepts(ev *ServerList) bool {
	l.compareServices(ev)
	newer := ev.Rev > l.rev && (ev.Kind == ListFull || EpochOf(ev.Rev) == EpochOf(l.rev))
	if l.cfg.ListServices <= 1 || ev.Kind == ListCached || newer {
		return true
	}
	switch {
	case ev.Rev == l.rev && ev.Kind == ListFull: // the same list again may clear a suspicion
		return true
	case ev.FromFetch || ev.Rev == l.rev:
	case ev.Rev > l.rev: // changes of another history: watch again from a full list
		l.rev = 0
		l.watch()
	case ev.Kind == ListFull:
		return l.acceptsOlder(ev)
	}
	return false
}

// acceptsOlder reports whether an older list is accepted. That is the case once only older lists have come
// for newHistoryTime: then the services have started a new history.
func (l *endpointList) acceptsOlder(ev *ServerList) bool {
	if l.rejectedSince > 0 && l.now-l.rejectedSince > newHistoryTime {
		l.log(fmt.Sprintf("list: accepted revision %d after %d: no service has a newer one", ev.Rev, l.rev))
		l.watchRev, l.newestFetchedRev = ev.Rev, ev.Rev
		return true
	}
	if l.rejectedSince == 0 {
		l.rejectedSince = l.now
		l.log(fmt.Sprintf("list: rejected revision %d of service %d: %d is newer", ev.Rev, ev.Source, l.rev))
	}
	l.scheduleRetry(ev)
	return false
}

// recordAccepted updates the state of the list and its service after a list was accepted.
func (l *endpointList) recordAccepted(ev *ServerList) {
	l.rev, l.rejectedSince = ev.Rev, 0
	if !ev.FromFetch && ev.Kind != ListCached {
		l.failedPolls = 0
	}
}

// replaceEntries replaces all entries by those of a complete list.
func (l *endpointList) replaceEntries(entries []Server, maySuspect, sameHistory bool) {
	l.markUnlisted(entries, maySuspect)
	for i := range entries {
		l.applyEntry(&entries[i], sameHistory)
	}
	l.dropRemoved()
}

// applyChanges applies changed entries. The result is the same as that of dropRemoved, but only the named
// servers are visited, as a fleet has thousands.
func (l *endpointList) applyChanges(entries []Server, sameHistory bool) {
	for i := range entries {
		l.applyChange(&entries[i], sameHistory)
	}
}

// applyChange applies one changed entry and updates the position of its server.
func (l *endpointList) applyChange(entry *Server, sameHistory bool) {
	s, at := l.byID[entry.ID], len(l.servers)
	listed, oldRank := s != nil, 0.0
	if listed {
		at, oldRank = l.indexOf(s), s.rank
		if s.State == Ready {
			s.zone.ready--
		}
	}
	l.applyEntry(entry, sameHistory)
	if s = l.byID[entry.ID]; s == nil { // removed before it was ever listed
		return
	}
	if s.State == Ready {
		s.zone.ready++
	}
	if listed && s.State != Removed && s.rank == oldRank {
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

// applyEntry applies one entry. A restart of the server resets its failure record, and so does a new address.
func (l *endpointList) applyEntry(entry *Server, sameHistory bool) {
	s := l.byID[entry.ID]
	if s == nil {
		if entry.State == Removed {
			return
		}
		s = l.addServer(entry.ID)
	}
	if since, restarted := l.clock.restarted(s, entry, l.confirmedAt, sameHistory); restarted {
		s.reset()
		s.currentWeight = 0
		l.slowStart.begin(s, since)
	} else if entry.AddressKey != s.AddressKey {
		s.reset()
	}
	s.Server, s.suspectedSince, s.zone = *entry, 0, l.locality.zone(entry.Zone)
	s.rank = l.rankOf(s)
}

// addServer adds a server. Its initial current weight is random, so that sidecars that start together don't
// pick the same servers in the same order.
func (l *endpointList) addServer(id ServerID) *server {
	s := &server{evidenceAt: math.Inf(-1)}
	s.currentWeight = maxInitialWeight * l.random()
	s.slowStartAt = math.Inf(-1)
	l.byID[id] = s
	l.servers = append(l.servers, s)
	return s
}

// dropRemoved deletes removed servers, sorts the others by rank and counts the ready servers of each zone.
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

// indexOf returns the index of a listed server.
func (l *endpointList) indexOf(s *server) int {
	at := sort.Search(len(l.servers), func(i int) bool { return l.servers[i].rank >= s.rank })
	for l.servers[at] != s { // another server with the same rank
		at++
	}
	return at
}

// markUnlisted marks the servers that a complete list omits as removed or as suspected.
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
		l.log(fmt.Sprintf("list: %d of %d servers in use omitted, kept until they fail", unlisted, inUse))
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

// removeSuspected removes a suspected server, after the list has proved right about it.
func (l *endpointList) removeSuspected(s *server) {
	s.State = Removed
	l.hasRemovedServers = true
	l.emit(Action{Kind: RemoveServer, Server: s.ID})
}

// onSuspectTimer removes the servers that no list has named for maxSuspectTime. It keeps them if the last
// list was empty, as an empty list is never intended.
func (l *endpointList) onSuspectTimer() {
	for _, s := range l.servers {
		if s.suspectedSince > 0 && l.now-s.suspectedSince >= maxSuspectTime && !l.lastListEmpty {
			l.removeSuspected(s)
		}
	}
}

// updateStaleness recomputes whether the list is stale, and logs each change.
func (l *endpointList) updateStaleness() {
	stale := l.cfg.StaleAfter > 0 && l.now-l.lastContact > l.cfg.StaleAfter
	if stale != l.stale {
		l.stale = stale
		l.log(fmt.Sprintf("list: stale %v, last contact %.1f s ago", stale, (l.now-l.lastContact)/1000))
	}
}
