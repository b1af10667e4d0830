package balance

import "math"

// normalizeEntries returns one entry for each server, and at most one ready server for each address, so that
// a bad entry never costs the list. A server without an address cannot be called and counts as draining.
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

// supersedes reports whether an entry counts in place of another one with the same ID: if it is further on its
// way out (Gone before Draining before Ready), or else started later.
func (l *endpointList) supersedes(entry, other *Server) bool {
	return entry.State > other.State || entry.State == other.State && l.startTime(entry) > l.startTime(other)
}

// separateAddresses leaves one ready server for each address: the one that started last. The others count as
// draining until they have an address of their own.
func (l *endpointList) separateAddresses(entries []Server) {
	holders := make(map[uint64]int, len(entries))
	for i := range entries {
		s := &entries[i]
		if s.State != Ready || s.AddressKey == 0 {
			continue
		}
		j, held := holders[s.AddressKey]
		switch other := &entries[max(j, 0)]; {
		case !held:
			holders[s.AddressKey] = i
		case l.startTime(s) > l.startTime(other) || l.startTime(s) == l.startTime(other) && s.ID < other.ID:
			other.State, holders[s.AddressKey] = Draining, i
		default:
			s.State = Draining
		}
	}
}

// startTime returns the start by which an entry is compared with others: as the list has it, or on the
// balancer's own clock once a step of the wall clock was noticed.
func (l *endpointList) startTime(entry *Server) milliseconds {
	if !l.clock.hasOffsets() {
		return entry.StartedAt
	}
	if s := l.byID[entry.ID]; s != nil && s.StartedAt == entry.StartedAt {
		return s.localStart
	}
	return l.clock.latestStart(entry.StartedAt)
}

// applyRemovals applies what a list that was not accepted says of servers that drain or are gone, unless they
// have started again since. A server never comes back from the end of a start, so this holds however old the
// list is.
func (l *endpointList) applyRemovals(entries []Server) {
	for i := range entries {
		e := &entries[i]
		if s := l.byID[e.ID]; s != nil && e.State > s.State && e.StartedAt >= s.StartedAt {
			s.State = e.State
		}
	}
}
