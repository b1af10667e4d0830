package routeclient

// This file counts the attempts of each revision, for the reports to the list service.

import (
	"cmp"
	"slices"

	"marblelane/internal/route"
)

// side names a count within one revision.
type side struct {
	tenant string
	canary bool
}

// revision is what was counted under one.
type revision struct {
	counts map[side]*route.Count
	told   bool // its last count of attempts begun was received
}

// count gives the count of one side under a revision; s.mu is held.
func (s *Client) count(rev int64, of side) *route.Count {
	r := s.revs[rev]
	if r == nil {
		r = &revision{counts: map[side]*route.Count{}}
		s.revs[rev] = r
		if rev > 0 {
			s.order = append(s.order, rev) // what is acted on only grows
		}
	}
	c := r.counts[of]
	if c == nil {
		c = &route.Count{Rev: rev, Tenant: of.tenant, Canary: of.canary}
		r.counts[of] = c
	}
	return c
}

// drain takes the samples in; s.mu is held. What ended under a revision that is kept no more is left out.
func (s *Client) drain() {
	for {
		sample, more := s.ring.take()
		if !more {
			return
		}
		s.newest = sample
		s.short = s.short || sample.Short
		for _, c := range sample.Counts {
			if r := s.revs[c.Rev]; r != nil && r.counts[side{c.Tenant, c.Canary}] != nil {
				have := r.counts[side{c.Tenant, c.Canary}]
				have.Ended, have.Failed, have.Late = c.Ended, c.Failed, c.Late
			}
		}
	}
}

// sample is a report of this moment: what is acted on, what is permitted and what was counted belong together.
func (s *Client) sample(seq int64, echo route.Moment) route.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain()
	r := route.Report{
		Process: route.Process{Name: s.cfg.Name, Start: s.start}, Seq: seq, Echo: echo,
		Version: s.cfg.Version, Config: s.cfg.Digest, Schemas: s.cfg.Schemas,
		ListRev: s.newest.List, AcknowledgedRev: s.actingRevision, UnreadableRev: s.unread, NoLease: !s.cfg.Now().Before(s.until), LostSamples: s.ring.lost,
	}
	r.CountsTruncated = s.cut
	for i := len(s.order) - 1; i >= 0; i-- {
		of := s.revs[s.order[i]]
		if s.order[i] < s.actingRevision && len(r.Counts)+len(of.counts) > mostCounts {
			r.CountsTruncated = true
			break
		}
		of.list(&r)
	}
	s.revs[0].list(&r)
	slices.SortFunc(r.Counts, func(a, b route.Count) int {
		return cmp.Or(cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Tenant, b.Tenant), order(a.Canary, b.Canary))
	})
	return r
}

// list adds what was counted to a report.
func (v *revision) list(r *route.Report) {
	if v != nil {
		for _, c := range v.counts {
			r.Counts = append(r.Counts, *c)
		}
	}
}

// order puts false before true.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// received drops counts that are over and were received: those of the oldest revisions, beyond the last 16. Under a
// revision before that of the report nothing has begun since, so its count was the last one. What a report had no room
// for goes, too: else there would never be room.
func (s *Client) received(r *route.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range r.Counts {
		if of := s.revs[c.Rev]; of != nil && c.Rev < r.AcknowledgedRev {
			of.told = true
		}
	}
	drop := 0
	for len(s.order)-drop > keepRevs && (s.revs[s.order[drop]].told || r.CountsTruncated) && s.order[drop] < r.AcknowledgedRev {
		s.cut = s.cut || !s.revs[s.order[drop]].told
		delete(s.revs, s.order[drop])
		drop++
	}
	s.order = slices.Delete(s.order, 0, drop)
}

// ring keeps the latest samples.
type ring struct {
	items       [ringSize]Sample
	first, used int
	lost        int64
}

func (r *ring) put(s Sample) {
	if r.used == ringSize {
		s.Short = s.Short || r.items[r.first].Short // a want is no total
		r.take()
		r.lost++
	}
	r.items[(r.first+r.used)%ringSize] = s
	r.used++
}

func (r *ring) take() (Sample, bool) {
	if r.used == 0 {
		return Sample{}, false
	}
	s := r.items[r.first]
	r.items[r.first] = Sample{}
	r.first = (r.first + 1) % ringSize
	r.used--
	return s, true
}
