package audit

// This file is what is known of the count of attempts under one revision, as facts that hold in any order.

import (
	"cmp"
	"slices"

	"marblelane/internal/route"
)

// series is what is known of the count under one revision: steps with n rising.
type series struct {
	rev    int64
	steps  []step
	final  int64 // the last count there will be; -1: not known
	seq, n int64 // of the highest Seq that listed it
	noted  bool  // its end was handed out as a transition
}

// step is two facts: the count is at least n from by on, and at most n up to until.
type step struct{ n, by, until int64 }

// none says that the counts of revision from and all later ones were 0 up to a moment. A process's are kept with both
// fields rising: one that says less than another is left out.
type none struct{ from, until int64 }

// skipped says that each revision between the two, ends left out, that has no series has a final count of 0.
type skipped struct{ above, below int64 }

// add takes in that the count was n at a moment from lo to hi, and tells whether that can be true beside what is known.
func (s *series) add(seq, n, lo, hi int64, final bool) bool {
	ok := !(seq > s.seq && n < s.n || seq < s.seq && n > s.n || s.final >= 0 && n > s.final)
	if seq > s.seq {
		s.seq, s.n = seq, n
	}
	if final && s.final < 0 {
		s.final = n
	}
	i, found := slices.BinarySearchFunc(s.steps, n, func(t step, n int64) int { return cmp.Compare(t.n, n) })
	if !found {
		s.steps = slices.Insert(s.steps, i, step{n: n, by: hi, until: lo})
	}
	s.steps[i].by, s.steps[i].until = min(s.steps[i].by, hi), max(s.steps[i].until, lo)
	return ok
}

// addNone keeps what says more than the others: for a revision, the latest moment up to which it had none.
func (p *process) addNone(n none, most int) {
	for _, old := range p.none {
		if old.from <= n.from && old.until >= n.until {
			return
		}
	}
	p.none = slices.DeleteFunc(p.none, func(old none) bool { return old.from >= n.from && old.until <= n.until })
	i, _ := slices.BinarySearchFunc(p.none, n.from, func(o none, from int64) int { return cmp.Compare(o.from, from) })
	p.none = slices.Insert(p.none, i, n)
	if len(p.none) > most {
		p.none = slices.Delete(p.none, 0, 1)
	}
}

// addSkipped joins a span of revisions to those that touch it.
func (p *process) addSkipped(s skipped, most int) {
	if s.above+1 >= s.below {
		return
	}
	p.skipped = slices.DeleteFunc(p.skipped, func(old skipped) bool {
		if old.above >= s.below || s.above >= old.below {
			return false
		}
		s.above, s.below = min(s.above, old.above), max(s.below, old.below)
		return true
	})
	i, _ := slices.BinarySearchFunc(p.skipped, s.above, func(o skipped, at int64) int { return cmp.Compare(o.above, at) })
	p.skipped = slices.Insert(p.skipped, i, s)
	if len(p.skipped) > most {
		p.skipped = slices.Delete(p.skipped, 0, 1)
	}
}

// skips tells whether the final count of a revision is 0 because the process passed it over.
func (p *process) skips(rev int64) bool {
	if p.find(rev) != nil {
		return false
	}
	return slices.ContainsFunc(p.skipped, func(s skipped) bool { return s.above < rev && rev < s.below })
}

// thin drops facts until there are at most so many steps. It takes every second inner step of the longest series, so
// that older times become coarser than newer ones, and where all are short, the series of the oldest revision.
func (p *process) thin(most int) {
	for {
		all, longest := 0, 0
		for i := range p.series {
			n := len(p.series[i].steps)
			all += n
			if n > len(p.series[longest].steps) {
				longest = i
			}
		}
		if all <= most {
			return
		}
		if s := &p.series[longest]; len(s.steps) > 2 {
			kept := s.steps[:0]
			for i, t := range s.steps {
				if i%2 == 0 || i == len(s.steps)-1 {
					kept = append(kept, t)
				}
			}
			s.steps = kept
			continue
		}
		oldest := 0
		if p.series[0].rev == 0 && len(p.series) > 1 {
			oldest = 1
		}
		p.drop(oldest)
	}
}

// drop forgets a series. Its revision is no longer one of those passed over for having none.
func (p *process) drop(i int) {
	rev := p.series[i].rev
	p.series = slices.Delete(p.series, i, i+1)
	p.dropped = max(p.dropped, rev)
	for i, s := range p.skipped {
		if s.above < rev && rev < s.below {
			p.skipped[i].above = rev
		}
	}
}

func (s *series) forget(cut int64) {
	old := 0
	for old < len(s.steps)-1 && s.steps[old+1].by < cut && max(s.steps[old].by, s.steps[old].until) < cut {
		old++
	}
	s.steps = slices.Delete(s.steps, 0, old)
}

func (p *process) index(rev int64) (int, bool) {
	return slices.BinarySearchFunc(p.series, rev, func(s series, rev int64) int { return cmp.Compare(s.rev, rev) })
}

func (p *process) find(rev int64) *series {
	if i, found := p.index(rev); found {
		return &p.series[i]
	}
	return nil
}

func (p *process) under(rev int64) *series {
	i, found := p.index(rev)
	if !found {
		p.series = slices.Insert(p.series, i, series{rev: rev, final: -1})
	}
	return &p.series[i]
}

// least is the highest count that is known under a revision.
func (p *process) least(rev int64) int64 {
	if s := p.find(rev); s != nil {
		return s.steps[len(s.steps)-1].n
	}
	return 0
}

// unlisted takes in what follows from the revisions that a report does not list: see the package's comment.
func (p *process) unlisted(r *route.Report, listed []sum, lo, hi int64, o TrackerOptions) {
	from, above, named := r.AcknowledgedRev, int64(0), 0
	for _, c := range listed {
		if c.rev >= from && c.n > 0 {
			from = c.rev + 1
		}
		if c.rev > 0 {
			if named == 0 {
				above = c.rev
			}
			named++
		}
	}
	whole := named < o.Lists && !r.CountsTruncated
	if lo > never {
		p.addNone(none{from: max(from, 1), until: lo}, o.Samples)
		if whole && (len(listed) == 0 || listed[0].rev != 0) {
			p.under(0).add(r.Seq, 0, lo, hi, false)
		}
	}
	switch {
	case whole:
		p.addSkipped(skipped{above: 0, below: r.AcknowledgedRev}, o.Samples)
	case named > 0:
		p.addSkipped(skipped{above: above, below: r.AcknowledgedRev}, o.Samples)
	}
}

type sum struct{ rev, n int64 }

// sums adds up a report's attempts by revision, over tenants and sides.
func sums(counts []route.Count) []sum {
	var out []sum
	for _, c := range counts {
		i, found := slices.BinarySearchFunc(out, c.Rev, func(s sum, rev int64) int { return cmp.Compare(s.rev, rev) })
		if !found {
			out = slices.Insert(out, i, sum{rev: c.Rev})
		}
		out[i].n += c.Started
	}
	return out
}
