package lab

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// MembersResult is what members of a run knew of each other. Times are in milliseconds.
type MembersResult struct {
	Processes int     `json:"processes"` // that were asked
	Answers   int     `json:"answers"`
	MostTaken float64 `json:"most_taken"` // the greatest sum of parts; 1 is what the fleet allows
	TakenAt   float64 `json:"taken_at_s"`
	// Of deaths without a word, for each that lived on: until it took the dead for silent, and until it counted it out.
	Deaths     int   `json:"deaths"`
	Noticed    Times `json:"noticed"`
	CountedOut Times `json:"counted_out"`
	Left       Times `json:"left"` // of ends in order: from the signal until it was counted out
	// FalseSilent are processes that lived and were taken for silent; FalseDeaths are those of them that were neither
	// frozen nor cut off; FalseGone were said to be proved gone.
	FalseSilent int      `json:"false_silent"`
	FalseDeaths int      `json:"false_deaths"`
	FalseGone   int      `json:"false_gone"`
	FalseOnes   []string `json:"false_ones"` // the first of them without such a cause
	Changes     int      `json:"changes"`    // of what some process counts
	// AgreeMS is from the last thing that happened until all counted the same; -1: not within the run.
	AgreeMS   float64 `json:"agree_ms"`
	Newcomers int     `json:"newcomers"`
	Admitted  Times   `json:"admitted"` // of newcomers, from the moment they served
	Forced    int     `json:"forced"`   // processes that were let in although somebody did not know them
	Known     [2]int  `json:"known"`    // the least and the most that a process counted at the end
	Heard     [2]int  `json:"heard"`
}

// Times is how long something took, over all its cases.
type Times struct {
	Cases int     `json:"cases"`
	Never int     `json:"never"` // cases in which it had not come about when the run ended
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	all   []time.Duration
}

func (t *Times) add(d time.Duration, ok bool) {
	if t.Cases++; !ok {
		t.Never++
		return
	}
	t.all = append(t.all, d)
}

func (t *Times) sum() {
	slices.Sort(t.all)
	at := func(q float64) float64 {
		if len(t.all) == 0 {
			return 0
		}
		return float64(t.all[int(q*float64(len(t.all)-1)+0.5)]) / float64(time.Millisecond)
	}
	t.P50, t.P99, t.Max = at(0.5), at(0.99), at(1)
}

func (t Times) String() string {
	text := fmt.Sprintf("%d cases, p50 %.0f  p99 %.0f  max %.0f ms", t.Cases, t.P50, t.P99, t.Max)
	if t.Never > 0 {
		text += fmt.Sprintf(" (%d not within the run)", t.Never)
	}
	return text
}

// memberLife is one process as its records show it.
type memberLife struct {
	party                 int32
	served, leaves, ended time.Duration
	said                  []record.Event
	standings             map[memberKey][]standing
}

type standing struct {
	at    time.Duration
	state string
}

const notYet = time.Duration(1<<63 - 1)

// membersRead is what the records say of members.
type membersRead struct {
	facts *invariant.Members
	all   []*memberLife
	moved time.Duration // when the last thing happened to a process or link
	out   *MembersResult
}

// facts are what the rules hold the run against.
func (m *members) facts() *invariant.Members {
	p, s := m.r.plan, m.r.s
	f := &invariant.Members{Sidecars: len(p.Sidecars), Peers: s.PeerCount()}
	for i := range p.Sidecars {
		f.Names = append(f.Names, p.Sidecars[i].Name)
		if !s.InMembership(i) {
			f.WithoutMembership++
		}
	}
	if m.r.service != nil {
		for _, c := range m.r.service.rr.copies {
			f.Names = append(f.Names, c.name)
		}
	}
	for i := range p.Faults {
		if one := &p.Faults[i]; one.Fault.Kind == "members-refuse" {
			f.FalseRefusals = append(f.FalseRefusals, invariant.Span{From: one.At, To: one.Until + afterRefusal})
		}
	}
	return f
}

// afterRefusal is how long after a false proof a process that was counted out by it may take to be counted again.
const afterRefusal = 15 * time.Second

// membersResult reads what members knew from a run's events, by time.
func membersResult(events []record.Event, facts *invariant.Members, s *scenario.Scenario) *MembersResult {
	r := &membersRead{facts: facts, out: &MembersResult{AgreeMS: -1}}
	r.read(events)
	for _, one := range invariant.QuotaMoments(events, facts) {
		if one.Sum > r.out.MostTaken {
			r.out.MostTaken, r.out.TakenAt = one.Sum, one.At.Seconds()
		}
	}
	for _, p := range r.all {
		r.death(p)
		r.falsely(p, events)
		r.newcomer(p)
	}
	r.agreement()
	for _, t := range []*Times{&r.out.Noticed, &r.out.CountedOut, &r.out.Left, &r.out.Admitted} {
		t.sum()
	}
	return r.out
}

func (r *membersRead) read(events []record.Event) {
	by := map[uint64]*memberLife{}
	for i := range events {
		e := &events[i]
		p := by[e.Sum]
		switch e.Kind {
		case record.MemberProcess:
			r.moved = max(r.moved, e.T)
			switch {
			case e.Note == invariant.MemberServes:
				p = &memberLife{party: e.Sidecar, served: e.T, leaves: notYet, ended: notYet, standings: map[memberKey][]standing{}}
				by[e.Sum], r.all = p, append(r.all, p)
			case p == nil:
			case e.Note == invariant.MemberLeaves:
				p.leaves = e.T
			default:
				p.ended = e.T
			}
		case record.MembershipStatus:
			if p == nil {
				continue
			}
			if n := len(p.said); n > 0 {
				if was := p.said[n-1]; was.Status != e.Status || was.Attempt != e.Attempt || was.Canary != e.Canary {
					r.out.Changes++
				}
			}
			p.said = append(p.said, *e)
			r.out.Answers++
		case record.MemberStatus:
			if p == nil {
				continue
			}
			state, name, _ := invariant.ParseMemberNote(e.Note)
			key := memberKey{name, e.N}
			p.standings[key] = append(p.standings[key], standing{e.T, state})
		case record.Fault:
			if between(e.Note) {
				r.moved = max(r.moved, e.T)
			}
		}
	}
	r.out.Processes = len(r.all)
}

// between tells whether a fault is one of members or of their links.
func between(note string) bool {
	return strings.HasPrefix(note, "members-") || strings.HasPrefix(note, "sidecar") || strings.HasPrefix(note, "copy-")
}

func (r *membersRead) name(p *memberLife) string { return r.facts.Names[p.party] }

// id is the last that a process called itself.
func (r *membersRead) id(p *memberLife) (memberKey, bool) {
	if len(p.said) == 0 {
		return memberKey{}, false
	}
	return memberKey{r.name(p), p.said[len(p.said)-1].N}, true
}

// until is how long after a time a process first said one of some standings of a member.
func (p *memberLife) until(id memberKey, from time.Duration, states ...string) (time.Duration, bool) {
	for i, s := range p.standings[id] {
		later := notYet // until then it stands so
		if i+1 < len(p.standings[id]) {
			later = p.standings[id][i+1].at
		}
		if later > from && slices.Contains(states, s.state) {
			return max(s.at-from, 0), true
		}
	}
	return 0, false
}

// death measures how the end of a process became known to the others.
func (r *membersRead) death(p *memberLife) {
	id, ok := r.id(p)
	if !ok || p.ended == notYet {
		return
	}
	killed := p.leaves == notYet
	if killed {
		r.out.Deaths++
	}
	for _, q := range r.all {
		if q == p || q.served >= min(p.leaves, p.ended) || q.standings[id] == nil {
			continue
		}
		add := func(t *Times, from time.Duration, states ...string) {
			d, ok := q.until(id, from, states...)
			if !ok && (q.ended != notYet || q.leaves != notYet) {
				return // it did not live to see it
			}
			t.add(d, ok)
		}
		if !killed {
			add(&r.out.Left, p.leaves, invariant.Gone, invariant.Absent)
			continue
		}
		add(&r.out.Noticed, p.ended, invariant.Silent, invariant.Gone, invariant.Absent)
		add(&r.out.CountedOut, p.ended, invariant.Gone, invariant.Absent)
	}
}

// causeOf is how long before it was said a fault may have begun by which a process that lives is taken for silent.
const causeOf = 15 * time.Second

// falsely counts what others said of a process while it lived.
func (r *membersRead) falsely(p *memberLife, events []record.Event) {
	for _, q := range r.all {
		if q == p {
			continue
		}
		for id, all := range q.standings { // a member that was only told of is silent until it is heard first
			if id.name != r.name(p) {
				continue
			}
			i := slices.IndexFunc(p.said, func(e record.Event) bool { return e.N == id.start })
			if i < 0 {
				continue // of another process of its name
			}
			last := p.said[i].T
			for _, e := range p.said[i:] {
				if e.N == id.start {
					last = e.T - time.Duration(e.Want)
				}
			}
			for k, s := range all {
				switch {
				case s.at > last || s.at > p.leaves || k == 0 || all[k-1].state == invariant.Absent:
				case s.state == invariant.Gone:
					r.out.FalseGone++
				case s.state == invariant.Silent:
					if r.out.FalseSilent++; !r.caused(events, p, q, s.at) {
						r.out.FalseDeaths++
						r.out.FalseOnes = append(r.out.FalseOnes, fmt.Sprintf("%s of %s at %.1f s", r.name(q), id.name, s.at.Seconds()))
					}
				}
			}
		}
	}
}

// silences tells whether a fault keeps some from hearing others.
func silences(note string) bool {
	return slices.ContainsFunc([]string{"members-cut", "members-refuse", "copy-freeze"}, func(kind string) bool {
		return strings.HasPrefix(note, kind)
	})
}

// caused tells whether a fault explains that one process did not hear another: one was frozen, or links were cut.
func (r *membersRead) caused(events []record.Event, p, q *memberLife, at time.Duration) bool {
	on := map[string]time.Duration{} // what is there, and when it ended
	for i := range events {
		e := &events[i]
		if e.T > at {
			break
		}
		switch {
		case e.Kind == record.Process && (e.Sidecar == p.party || e.Sidecar == q.party):
			key := fmt.Sprint("frozen ", e.Sidecar)
			if e.Note == invariant.Frozen {
				on[key] = notYet
			} else if on[key] == notYet { // it goes on, or it is killed
				on[key] = e.T
			}
		case e.Kind == record.Fault && silences(e.Note):
			key, ends := strings.CutSuffix(e.Note, " ends")
			if on[key] = notYet; ends {
				on[key] = e.T
			}
		}
	}
	for _, over := range on {
		if over == notYet || over > at-causeOf {
			return true
		}
	}
	return false
}

// newcomer measures how a process that came during the run was let in.
func (r *membersRead) newcomer(p *memberLife) {
	if slices.ContainsFunc(p.said, func(e record.Event) bool { return e.Class == 1 }) {
		r.out.Forced++
	}
	if p.served <= membersEvery || int(p.party) >= r.facts.Sidecars {
		return
	}
	r.out.Newcomers++
	i := slices.IndexFunc(p.said, func(e record.Event) bool { return e.Canary })
	switch {
	case i >= 0:
		r.out.Admitted.add(max(p.said[i].T-p.served, 0), true)
	case p.ended == notYet:
		r.out.Admitted.add(0, false)
	}
}

// agreement finds when all counted the same after the last thing that happened, and what they counted at the end.
func (r *membersRead) agreement() {
	var living []*memberLife
	share := 0 // copies of the list service are there, and counted by nobody
	for _, p := range r.all {
		if p.ended == notYet && p.leaves == notYet && len(p.said) > 0 {
			living = append(living, p)
			if int(p.party) < r.facts.Sidecars {
				share++
			}
		}
	}
	for i, p := range living {
		last := p.said[len(p.said)-1]
		known, heard := int(last.Status), int(last.Attempt)
		if i == 0 {
			r.out.Known, r.out.Heard = [2]int{known, known}, [2]int{heard, heard}
		}
		r.out.Known = [2]int{min(r.out.Known[0], known), max(r.out.Known[1], known)}
		r.out.Heard = [2]int{min(r.out.Heard[0], heard), max(r.out.Heard[1], heard)}
	}
	type answer struct {
		of int
		e  *record.Event
	}
	var since []answer
	for i, p := range living {
		for k := range p.said {
			if e := &p.said[k]; e.T-time.Duration(e.Want) >= r.moved {
				since = append(since, answer{i, e})
			}
		}
	}
	slices.SortFunc(since, func(a, b answer) int { return cmp.Compare(a.e.T, b.e.T) })
	newest := map[int]*record.Event{}
	for _, a := range since {
		newest[a.of] = a.e
		if len(newest) < len(living) {
			continue
		}
		agree := true
		for _, e := range newest {
			agree = agree && e.Status == a.e.Status && int(e.Attempt) == share
		}
		if agree {
			r.out.AgreeMS = float64(a.e.T-r.moved) / float64(time.Millisecond)
			return
		}
	}
}

// missed compares what members knew with what was expected.
func (o *MembersResult) missed(e *scenario.Expect) []string {
	var out []string
	if o.Answers == 0 {
		out = append(out, "no process said what it knows of the fleet")
	}
	if e.Members != nil && (o.Known[0] != *e.Members || o.Known[1] != *e.Members) {
		out = append(out, fmt.Sprintf("members count %d to %d at the end, expected %d", o.Known[0], o.Known[1], *e.Members))
	}
	for _, one := range []struct {
		name string
		want *scenario.Duration
		t    *Times
	}{
		{"noticed", e.DetectWithin, &o.Noticed}, {"counted_out", e.RemoveWithin, &o.CountedOut}, {"admitted", e.AdmitWithin, &o.Admitted},
	} {
		if one.want != nil && (one.t.Cases == 0 || one.t.Never > 0 || one.t.Max > one.want.Milliseconds()) {
			out = append(out, fmt.Sprintf("%s: %v, expected at most %v", one.name, *one.t, one.want.Duration()))
		}
	}
	if e.ConvergeWithin != nil && (o.AgreeMS < 0 || o.AgreeMS > e.ConvergeWithin.Milliseconds()) {
		out = append(out, fmt.Sprintf("members agree after %.0f ms (-1: not within the run), expected at most %v",
			o.AgreeMS, e.ConvergeWithin.Duration()))
	}
	return out
}

func (o *MembersResult) print(w io.Writer) {
	fmt.Fprintf(w, "\nmembers       %d processes, %d answers; at the end they count %d to %d, and hear %d to %d\n",
		o.Processes, o.Answers, o.Known[0], o.Known[1], o.Heard[0], o.Heard[1])
	fmt.Fprintf(w, "parts         at most %.3f of what the fleet allows, at %.1f s; %d let in, though not known to all\n",
		o.MostTaken, o.TakenAt, o.Forced)
	fmt.Fprintf(w, "deaths        %d; noticed %v; counted out %v\n", o.Deaths, o.Noticed, o.CountedOut)
	if o.Left.Cases > 0 {
		fmt.Fprintf(w, "left          counted out %v\n", o.Left)
	}
	fmt.Fprintf(w, "the living    taken for silent %d times, %d of these without a cut or a freeze; said to be gone %d times\n",
		o.FalseSilent, o.FalseDeaths, o.FalseGone)
	if n := len(o.FalseOnes); n > 0 {
		fmt.Fprintf(w, "              %s\n", strings.Join(o.FalseOnes[:min(n, mostRows)], "; "))
	}
	fmt.Fprintf(w, "newcomers     %d; admitted %v\n", o.Newcomers, o.Admitted)
	fmt.Fprintf(w, "views         %d changes; all agree %.0f ms after the last thing that happened (-1: not within the run)\n",
		o.Changes, o.AgreeMS)
}
