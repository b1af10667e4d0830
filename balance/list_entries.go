package balance

import "math"

// normalizeEntries returns one entry for each server, and at most one ready server for each address, so that
// an invalid entry does not invalidate the list. A server without a valid address counts as draining.
func (l *endpointList) normalizeEntries(servers []Server) []Server {
	entries := make([]Server, 0, len(servers))
	index := make(map[ServerID]int, len(servers))
	for _, s := range servers {
		if s.AddressKey == NoAddress && s.State == Ready {
			s.State = Draining
		}
		if !(s.Rating > 0) || math.IsInf(s.Rating, 0) {
			s.Rating = 1
		}
		i, repeated := index[s.ID]
		switch {
		case !repeated:
			index[s.ID] = len(entries)
			entries = append(entries, s)
		case l.supersedes(&s, &entries[i]):
			entries[i] = s
		}
	}
	l.separateAddresses(entries)
	return entries
}

// supersedes reports whether an entry replaces another one with the same ID. It does if its state is further
// (Removed after Draining after Ready), or if the state is the same and it started later.
func (l *endpointList) supersedes(entry, other *Server) bool {
	return entry.State > other.State || entry.State == other.State && l.startTime(entry) > l.startTime(other)
}

// separateAddresses keeps one ready server for each address: the one that started last. The others count as
// draining until they have their own address.
func (l *endpointList) separateAddresses(entries []Server) {
	ready := make(map[uint64]int, len(entries))
	for i := range entries {
		s := &entries[i]
		if s.State != Ready || s.AddressKey == 0 {
			continue
		}
		j, taken := ready[s.AddressKey]
		switch other := &entries[max(j, 0)]; {
		case !taken:
			ready[s.AddressKey] = i
		case l.startTime(s) > l.startTime(other) || l.startTime(s) == l.startTime(other) && s.ID < other.ID:
			other.State, ready[s.AddressKey] = Draining, i
		default:
			s.State = Draining
		}
	}
}

// startTime returns the start time by which an entry is compared with others: as listed, or converted to the
// balancer's own clock once a step of the wall clock was reported.
func (l *endpointList) startTime(entry *Server) milliseconds {
	if !l.clock.hasOffsets() {
		return entry.StartedAt
	}
	if s := l.byID[entry.ID]; s != nil && s.StartedAt == entry.StartedAt {
		return s.localStart
	}
	return l.clock.latestStart(entry.StartedAt)
}

// applyRemovals applies the entries of a rejected list that name a server as draining or removed, unless the
// server has restarted since. A process that drains or has ended never becomes ready again, so such an entry
// is valid however old the list is.
func (l *endpointList) applyRemovals(entries []Server) {
	for i := range entries {
		e := &entries[i]
		if s := l.byID[e.ID]; s != nil && e.State > s.State && e.StartedAt >= s.StartedAt {
			s.State = e.State
		}
	}
}
