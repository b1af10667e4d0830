package balance

// This file decides what is believed of a server list, and which list service is asked. The list is the one
// thing that all sidecars share: a wrong one empties a fleet faster than any crash.
//
// Promise. What a list service tells of a server by name is obeyed, always: Gone and Terminating end new
// sends at once. What a whole list leaves out is gone, too, unless Config.DoubtShare is set: then a list that
// leaves out more than that share of the servers in use is doubted, and those stay in use for as long as
// their own outcomes are good. With several list services (Config.Lists) the list never goes back in
// revision: a copy that lags is left for the next.
//
// The way not taken: to ask several services and believe the majority. A half-loaded list is half-loaded
// everywhere, and the calls would multiply with the fleet.

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

const (
	epochBits    = 28    // of a revision count within an epoch, as the list service numbers them; see EpochOf
	minSuspected = 2     // servers that a list may leave out without being doubted
	suspectLimit = 6e5   // ms for which a server that no list names is used; an empty list is never meant
	historyTime  = 3e4   // ms of nothing but older lists after which they are another history, and taken
	checkTime    = 15000 // ms between two looks at another list service, jittered by half
	stuckTime    = 2000  // ms that a watch may take to tell what another service has told
	backChecks   = 2     // good looks in a row before a watch returns to a nearer service
	futureSlack  = 1000  // ms that a server's start may lie ahead of this sidecar's clock
)

// EpochOf is the history that a revision belongs to: revisions of one epoch can be compared.
func EpochOf(rev int64) int64 { return rev >> epochBits }

// startList begins to ask: the nearest service is watched, and now and then another one is looked at.
func (b *Balancer) startList() {
	b.list.lastContact = b.now
	if b.cfg.Subscribe {
		b.watchList()
	}
	b.scheduleCheck()
}

func (b *Balancer) scheduleCheck() {
	if b.cfg.ListServices <= 1 || b.list.checkScheduled {
		return
	}
	b.list.checkScheduled = true
	b.emit(Action{Kind: SetTimer, Token: checkTimer, At: checkTime * (0.5 + b.random())})
}

// check looks at another service: a watch that is alive but whose changes have stopped shows in nothing else,
// and a nearer service that is back is found out before the watch returns to it.
func (b *Balancer) check() {
	if b.list.checkScheduled = false; b.cfg.ListServices <= 1 {
		return
	}
	other := 0
	if b.list.source == 0 {
		other = 1 + int(b.random()*float64(b.cfg.ListServices-1))
	}
	b.emit(Action{Kind: Fetch, Source: other, After: -1})
	b.scheduleCheck()
}

// onStuckTimer: a look has found more than the watch had told, and it has had the time to tell it.
func (b *Balancer) onStuckTimer() {
	if b.list.aheadRev > b.list.watchRev {
		b.switchWatch(b.list.aheadSource, "its changes have stopped")
	}
}

func (b *Balancer) switchWatch(source int, why string) {
	b.log(fmt.Sprintf("list: watches service %d in place of %d: %s", source, b.list.source, why))
	b.list.source, b.list.goodChecks, b.list.aheadRev, b.list.confirmedAt = source, 0, 0, math.Inf(-1)
	b.watchList()
}

// onList takes in what a list service says.
func (b *Balancer) onList(ev ServerList) {
	if ev.Kind == ListFailed {
		if !ev.FromFetch { // a look that failed tells nothing
			b.pollAgain(&ev)
		}
		return
	}
	if ev.Kind != ListCached {
		b.list.lastContact = b.now
	}
	b.updateStaleness()
	if ev.Kind == ListAlive {
		if !ev.FromFetch { // calls are answered again
			b.list.failedPolls, b.list.confirmedAt = 0, b.now
		}
		return
	}
	entries := b.normalizeEntries(ev.Servers)
	later := ev.Rev > b.list.rev && EpochOf(ev.Rev) == EpochOf(b.list.rev)
	if !b.acceptsList(&ev) {
		b.applyRemovals(entries)
		b.dropGone()
		return
	}
	if ev.Kind != ListDelta {
		b.markUnlisted(entries, ev.Kind == ListFull)
	}
	b.takeIn(entries, later, ev.Kind == ListDelta)
	if ev.Kind != ListCached {
		b.list.confirmedAt = b.now
	}
}

// acceptsList tells whether a list is newer than the one held. With one service it is at its word: its agent
// knows best.
func (b *Balancer) acceptsList(ev *ServerList) bool {
	l := &b.list
	if !ev.FromFetch { // from a list that is known at the start the watch begins, too
		l.watchRev = max(l.watchRev, ev.Rev)
	}
	if ev.FromFetch {
		if ev.Rev > l.aheadRev {
			l.aheadRev, l.aheadSource = ev.Rev, ev.Source
		}
		if l.aheadRev > l.watchRev {
			b.emit(Action{Kind: SetTimer, Token: stuckTimer, At: stuckTime})
		}
		if l.goodChecks++; ev.Rev < l.rev || ev.Source >= l.source { // it may be watched by now
			l.goodChecks = 0
		}
		if l.goodChecks >= backChecks {
			b.switchWatch(ev.Source, "the nearer one has all")
		}
	}
	later := ev.Rev > l.rev && (ev.Kind == ListFull || EpochOf(ev.Rev) == EpochOf(l.rev))
	if b.cfg.ListServices <= 1 || ev.Kind == ListCached || later {
		return b.takeList(ev)
	}
	switch {
	case ev.Rev == l.rev && ev.Kind == ListFull: // the same, told again; it may end a doubt
		return b.takeList(ev)
	case ev.FromFetch || ev.Rev == l.rev:
	case ev.Rev > l.rev: // changes of a history that this sidecar has not seen the beginning of
		l.rev = 0
		b.watchList()
	case ev.Kind == ListFull && l.rejectedSince > 0 && b.now-l.rejectedSince > historyTime:
		b.log(fmt.Sprintf("list: revision %d after %d, as nobody has a newer one", ev.Rev, l.rev))
		l.watchRev, l.aheadRev = ev.Rev, ev.Rev
		return b.takeList(ev)
	case ev.Kind == ListFull:
		if l.rejectedSince == 0 {
			l.rejectedSince = b.now
			b.log(fmt.Sprintf("list: service %d has an older one, %d before %d", ev.Source, ev.Rev, l.rev))
		}
		b.pollAgain(ev)
	}
	return false
}

// pollAgain calls the next service after a growing, jittered pause; of several each is tried before it grows.
// One that turns calls away has too many callers: pauses grow to three of the four times AskWithin that the
// rules allow then. Config.LongestPause bounds all: on sockets a change soon counts as told, whatever failed.
func (b *Balancer) pollAgain(ev *ServerList) {
	lists := max(b.cfg.ListServices, 1)
	round := b.list.failedPolls / lists
	pause, maxPause := pollBackoff*float64(int(1)<<min(round, 4)), b.cfg.PollInterval/3
	if ev.Busy {
		pause, maxPause = pollBackoff*float64(int(1)<<min(2*round, 6)), 3*b.cfg.PollInterval
	}
	if ev.RetryAfter > 0 { // it says itself when
		pause = 2 * ev.RetryAfter
	}
	for _, bound := range []float64{maxPause, b.cfg.MaxPollBackoff} {
		if bound > 0 {
			pause = math.Min(pause, bound)
		}
	}
	b.list.failedPolls++
	b.list.source = (b.list.source + 1) % lists
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: pause * (0.5 + b.random()/2)})
}

// applyRemovals takes from a list that is not taken what it says of servers that go, unless they have started
// again since: a start that is over never comes back, so this is true however old the list is.
func (b *Balancer) applyRemovals(entries []Server) {
	for i := range entries {
		e := &entries[i]
		if s := b.byID[e.ID]; s != nil && e.State > s.State && e.StartedAt >= s.StartedAt {
			s.State = e.State
		}
	}
}

// normalizeEntries leaves one entry of each server, and of each place but one that is ready: one bad entry
// never costs the list. Of two with one name the one that wants less counts (Gone, Draining, Ready), else the
// later start. Of two names in one place the one that started later is there; the other is used no more until
// it has a place of its own. What has no place cannot be called: it is as good as draining.
func (b *Balancer) normalizeEntries(servers []Server) []Server {
	out := make([]Server, 0, len(servers))
	at := make(map[ServerID]int, len(servers))
	for _, s := range servers {
		if s.AddressKey == NoAddress && s.State == Ready {
			s.State = Draining
		}
		if !(s.Rating > 0) || math.IsInf(s.Rating, 0) {
			s.Rating = 1
		}
		i, twice := at[s.ID]
		switch {
		case !twice:
			at[s.ID] = len(out)
			out = append(out, s)
		case s.State > out[i].State || s.State == out[i].State && b.startOf(&s) > b.startOf(&out[i]):
			out[i] = s
		}
	}
	holder := make(map[uint64]int, len(out))
	for i := range out {
		s := &out[i]
		if s.State != Ready || s.AddressKey == 0 {
			continue
		}
		j, taken := holder[s.AddressKey]
		switch other := &out[max(j, 0)]; {
		case !taken:
			holder[s.AddressKey] = i
		case b.startOf(s) > b.startOf(other) || b.startOf(s) == b.startOf(other) && s.ID < other.ID:
			other.State, holder[s.AddressKey] = Draining, i
		default:
			s.State = Draining
		}
	}
	return out
}

// markUnlisted: what a whole list does not name is gone, or doubted.
func (b *Balancer) markUnlisted(entries []Server, maySuspect bool) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	left, used := 0, 0
	for _, s := range b.servers {
		if s.State == Ready {
			if used++; !listed[s.ID] {
				left++
			}
		}
	}
	b.list.namedNone = len(entries) == 0
	limit := b.cfg.SuspectFraction * float64(used)
	maySuspect = maySuspect && limit > 0 && left >= minSuspected && float64(left) > limit
	if maySuspect {
		b.log(fmt.Sprintf("list: %d of %d servers are left out; they stay while they answer", left, used))
		b.emit(Action{Kind: SetTimer, Token: suspectTimer, At: suspectLimit})
	}
	for _, s := range b.servers {
		switch {
		case listed[s.ID]:
		case !maySuspect || s.State != Ready:
			s.State = Gone
		case s.suspectedSince == 0:
			s.suspectedSince = b.now
		}
	}
}

// endDoubt drops a doubted server: the list was right about it.
func (b *Balancer) endSuspicion(s *server) {
	s.State = Gone
	b.list.removalPending = true
	b.emit(Action{Kind: Forget, Server: s.ID})
}

// onDoubtTimer drops what no list has named for long, unless the list names nobody at all.
func (b *Balancer) onSuspectTimer() {
	for _, s := range b.servers {
		if s.suspectedSince > 0 && b.now-s.suspectedSince >= suspectLimit && !b.list.namedNone {
			b.endSuspicion(s)
		}
	}
}

// freshen follows whether the list is stale.
func (b *Balancer) updateStaleness() {
	stale := b.cfg.StaleAfter > 0 && b.now-b.list.lastContact > b.cfg.StaleAfter
	if stale != b.list.stale {
		b.list.stale = stale
		b.log(fmt.Sprintf("list: stale %v, nothing heard for %.1f s", stale, (b.now-b.list.lastContact)/1000))
	}
}

// update takes in one entry. A restart clears what was held against it, another place what was held against
// the old one. A start that lies in the future is of a clock that is off: the server counts as started now.
func (b *Balancer) update(entry *Server, later bool) {
	s := b.byID[entry.ID]
	if s == nil {
		if entry.State == Gone {
			return
		}
		// A random start keeps sidecars that begin together from choosing in step.
		s = &server{
			running: maxInitialRunning * b.random(), slowStartAt: math.Inf(-1), evidenceAt: math.Inf(-1),
		}
		b.byID[entry.ID] = s
		b.servers = append(b.servers, s)
	}
	if since, again := b.restarted(s, entry, later); again {
		s.pardon()
		s.running = 0
		b.beginSlowStart(s, since)
	} else if entry.AddressKey != s.AddressKey {
		s.pardon()
	}
	s.Server, s.suspectedSince, s.zone = *entry, 0, b.zone(entry.Zone)
	s.rank = b.rank(s)
}

const (
	pollBackoff = 500 // ms before a failed list call is made again; grows each time
)

// listState is what a balancer knows of its list services.
type listState struct {
	rev            int64   // of the list held
	lastContact    float64 // when a service said anything last
	confirmedAt    float64 // when the service watched last told that this list is the newest; -Inf: not yet
	source         int     // the service watched, by preference
	watchRev       int64   // the last revision that the watch told
	aheadRev       int64   // the newest revision that another service had at a look
	aheadSource    int     // ... and which one
	goodChecks     int     // looks in a row at which a nearer service had all
	rejectedSince  float64 // since when only older lists have come; 0: they have not
	namedNone      bool    // the last whole list named nobody
	stale          bool    // it has been said that the list is stale
	removalPending bool    // servers are gone that no list told of
	checkScheduled bool    // the timer of the next look at another service runs
	failedPolls    int     // failed list calls in a row
}

// takeIn takes in entries. Of changes it leaves servers and zones as dropGone would, without a look at those
// that are not named: with thousands of servers a walk over all of them at each change was most of what a
// sidecar did.
func (b *Balancer) takeIn(entries []Server, later, changes bool) {
	b.maxOtherRunning = math.Max(b.maxOtherRunning, maxInitialRunning)
	if !changes {
		for i := range entries {
			b.update(&entries[i], later)
		}
		b.dropGone()
		return
	}
	for i := range entries {
		b.change(&entries[i], later)
	}
	if b.routes != nil {
		b.regroup(b.routes)
	}
}

// change takes in one changed entry and moves its server alone.
func (b *Balancer) change(entry *Server, later bool) {
	s, at := b.byID[entry.ID], len(b.servers)
	known, rank := s != nil, 0.0
	if known {
		at, rank = b.indexOf(s), s.rank
		if s.State == Ready {
			s.zone.ready--
		}
	}
	b.update(entry, later)
	if s = b.byID[entry.ID]; s == nil { // gone before it was known
		return
	}
	if s.State == Ready {
		s.zone.ready++
	}
	if known && s.State != Gone && s.rank == rank {
		return
	}
	b.servers = slices.Delete(b.servers, at, at+1)
	if s.State == Gone {
		delete(b.byID, s.ID)
		return
	}
	at = sort.Search(len(b.servers), func(i int) bool { return b.servers[i].rank > s.rank })
	b.servers = slices.Insert(b.servers, at, s)
}

func (b *Balancer) takeList(ev *ServerList) bool {
	b.list.rev, b.list.rejectedSince = ev.Rev, 0
	if !ev.FromFetch && ev.Kind != ListCached {
		b.list.failedPolls = 0
	}
	return true
}

func (b *Balancer) watchList() {
	b.list.watchRev = b.list.rev
	b.emit(Action{Kind: Watch, Source: b.list.source, After: b.list.rev})
}

// setServiceCount takes in that there are more or fewer services.
func (b *Balancer) setServiceCount(lists int) {
	b.cfg.ListServices = lists
	b.list.source = min(b.list.source, max(lists-1, 0))
	b.scheduleCheck()
}
