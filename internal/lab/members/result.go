package members

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/report"
)

// processHistory is one process as its records show it.
type processHistory struct {
	party                 int32
	served, leaves, ended time.Duration
	responses               []record.Event
	statuses              map[memberID][]status
}

type status struct {
	at    time.Duration
	state string
}

const never = time.Duration(1<<63 - 1)

// resultReader gathers the result from the records.
type resultReader struct {
	facts      *invariant.Members
	processes  []*processHistory
	lastChange time.Duration // when the last thing happened to a process or link
	out        *report.MembersResult
}

// Facts are what the invariants hold the run against.
func (m *Network) Facts() *invariant.Members {
	p, s := m.run.Plan, m.run.Scenario
	facts := &invariant.Members{Sidecars: len(p.Sidecars), Peers: s.PeerCount()}
	for i := range p.Sidecars {
		facts.Names = append(facts.Names, p.Sidecars[i].Name)
		if !s.InMembership(i) {
			facts.WithoutMembership++
		}
	}
	if m.registry != nil {
		for _, c := range m.registry.Replicas {
			facts.Names = append(facts.Names, c.Name)
		}
	}
	for i := range p.Faults {
		if one := &p.Faults[i]; one.Fault.Kind == "members-refuse" {
			facts.FalseRefusals = append(facts.FalseRefusals, invariant.Span{From: one.At, To: one.Until + falseProofRecovery})
		}
	}
	return facts
}

// falseProofRecovery is how long after a false refusal a process that was counted out may take to be counted again.
const falseProofRecovery = 15 * time.Second

// Result reads what the members knew of each other from the events of a run, by time.
func Result(events []record.Event, facts *invariant.Members) *report.MembersResult {
	r := &resultReader{facts: facts, out: &report.MembersResult{AgreeMS: -1}}
	r.readEvents(events)
	for _, one := range invariant.QuotaMoments(events, facts) {
		if one.Sum > r.out.MaxQuotaSum {
			r.out.MaxQuotaSum, r.out.MaxQuotaSumAt = one.Sum, one.At.Seconds()
		}
	}
	for _, p := range r.processes {
		r.measureEnd(p)
		r.countFalseSuspicions(p, events)
		r.measureJoining(p)
	}
	r.findAgreement()
	for _, t := range []*report.Times{&r.out.Noticed, &r.out.CountedOut, &r.out.Left, &r.out.Admitted} {
		t.Summarize()
	}
	return r.out
}

func (r *resultReader) readEvents(events []record.Event) {
	bySerial := map[uint64]*processHistory{}
	for i := range events {
		e := &events[i]
		p := bySerial[e.Sum]
		switch e.Kind {
		case record.MemberProcess:
			r.lastChange = max(r.lastChange, e.T)
			switch {
			case e.Note == invariant.MemberServes:
				p = &processHistory{party: e.Sidecar, served: e.T, leaves: never, ended: never, statuses: map[memberID][]status{}}
				bySerial[e.Sum], r.processes = p, append(r.processes, p)
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
			if n := len(p.responses); n > 0 {
				if was := p.responses[n-1]; was.Status != e.Status || was.Attempt != e.Attempt || was.Canary != e.Canary {
					r.out.Changes++
				}
			}
			p.responses = append(p.responses, *e)
			r.out.Answers++
		case record.MemberStatus:
			if p == nil {
				continue
			}
			state, name, _ := invariant.ParseMemberNote(e.Note)
			key := memberID{name, e.N}
			p.statuses[key] = append(p.statuses[key], status{e.T, state})
		case record.Fault:
			if isMembershipFault(e.Note) {
				r.lastChange = max(r.lastChange, e.T)
			}
		}
	}
	r.out.Processes = len(r.processes)
}

// isMembershipFault tells whether a fault is one of members or of their links.
func isMembershipFault(note string) bool {
	return strings.HasPrefix(note, "members-") || strings.HasPrefix(note, "sidecar") || strings.HasPrefix(note, "copy-")
}

func (r *resultReader) name(p *processHistory) string { return r.facts.Names[p.party] }

// lastID is the last that a process called itself.
func (r *resultReader) lastID(p *processHistory) (memberID, bool) {
	if len(p.responses) == 0 {
		return memberID{}, false
	}
	return memberID{r.name(p), p.responses[len(p.responses)-1].N}, true
}

// timeToState is how long after a time a process first said one of some standings of a member.
func (p *processHistory) timeToState(id memberID, from time.Duration, states ...string) (time.Duration, bool) {
	for i, s := range p.statuses[id] {
		later := never // until then it stands so
		if i+1 < len(p.statuses[id]) {
			later = p.statuses[id][i+1].at
		}
		if later > from && slices.Contains(states, s.state) {
			return max(s.at-from, 0), true
		}
	}
	return 0, false
}

// death measures how the end of a process became known to the others.
func (r *resultReader) measureEnd(p *processHistory) {
	id, ok := r.lastID(p)
	if !ok || p.ended == never {
		return
	}
	killed := p.leaves == never
	if killed {
		r.out.Deaths++
	}
	for _, q := range r.processes {
		if q == p || q.served >= min(p.leaves, p.ended) || q.statuses[id] == nil {
			continue
		}
		add := func(t *report.Times, from time.Duration, states ...string) {
			d, ok := q.timeToState(id, from, states...)
			if !ok && (q.ended != never || q.leaves != never) {
				return // it did not live to see it
			}
			t.Add(d, ok)
		}
		if !killed {
			add(&r.out.Left, p.leaves, invariant.Gone, invariant.Absent)
			continue
		}
		add(&r.out.Noticed, p.ended, invariant.Silent, invariant.Gone, invariant.Absent)
		add(&r.out.CountedOut, p.ended, invariant.Gone, invariant.Absent)
	}
}

// causeWindow is how long ago a fault may have ended that explains why a living process is taken for silent.
const causeWindow = 15 * time.Second

// countFalseSuspicions counts how often others took a living process for silent or gone.
func (r *resultReader) countFalseSuspicions(p *processHistory, events []record.Event) {
	for _, q := range r.processes {
		if q == p {
			continue
		}
		for id, all := range q.statuses { // a member that was only named by others is silent until its first message
			if id.name != r.name(p) {
				continue
			}
			i := slices.IndexFunc(p.responses, func(e record.Event) bool { return e.N == id.start })
			if i < 0 {
				continue // of another process of its name
			}
			last := p.responses[i].T
			for _, e := range p.responses[i:] {
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
					if r.out.FalseSilent++; !r.explainedByFault(events, p, q, s.at) {
						r.out.FalseDeaths++
						r.out.FalseOnes = append(r.out.FalseOnes, fmt.Sprintf("%s of %s at %.1f s", r.name(q), id.name, s.at.Seconds()))
					}
				}
			}
		}
	}
}

// blocksMessages tells whether a fault keeps some from hearing others.
func blocksMessages(note string) bool {
	return slices.ContainsFunc([]string{"members-cut", "members-refuse", "copy-freeze"}, func(kind string) bool {
		return strings.HasPrefix(note, kind)
	})
}

// explainedByFault tells whether a fault explains that one process got no message of another: one was frozen, or links were cut.
func (r *resultReader) explainedByFault(events []record.Event, p, q *processHistory, at time.Duration) bool {
	faultEnds := map[string]time.Duration{} // what is there, and when it ended
	for i := range events {
		e := &events[i]
		if e.T > at {
			break
		}
		switch {
		case e.Kind == record.Process && (e.Sidecar == p.party || e.Sidecar == q.party):
			key := fmt.Sprint("frozen ", e.Sidecar)
			if e.Note == invariant.Frozen {
				faultEnds[key] = never
			} else if faultEnds[key] == never { // it goes on, or it is killed
				faultEnds[key] = e.T
			}
		case e.Kind == record.Fault && blocksMessages(e.Note):
			key, ends := strings.CutSuffix(e.Note, " ends")
			if faultEnds[key] = never; ends {
				faultEnds[key] = e.T
			}
		}
	}
	for _, over := range faultEnds {
		if over == never || over > at-causeWindow {
			return true
		}
	}
	return false
}

// measureJoining measures how long a process that came during the run waited until it was admitted.
func (r *resultReader) measureJoining(p *processHistory) {
	if slices.ContainsFunc(p.responses, func(e record.Event) bool { return e.Class == 1 }) {
		r.out.Forced++
	}
	if p.served <= pollInterval || int(p.party) >= r.facts.Sidecars {
		return
	}
	r.out.JoiningMembers++
	i := slices.IndexFunc(p.responses, func(e record.Event) bool { return e.Canary })
	switch {
	case i >= 0:
		r.out.Admitted.Add(max(p.responses[i].T-p.served, 0), true)
	case p.ended == never:
		r.out.Admitted.Add(0, false)
	}
}

// findAgreement finds when all counted the same after the last thing that happened, and what they counted at the end.
func (r *resultReader) findAgreement() {
	var living []*processHistory
	sidecars := 0 // that live; the replicas of the registry are members that are not counted
	for _, p := range r.processes {
		if p.ended == never && p.leaves == never && len(p.responses) > 0 {
			living = append(living, p)
			if int(p.party) < r.facts.Sidecars {
				sidecars++
			}
		}
	}
	for i, p := range living {
		last := p.responses[len(p.responses)-1]
		known, reachable := int(last.Status), int(last.Attempt)
		if i == 0 {
			r.out.Known, r.out.Reachable = [2]int{known, known}, [2]int{reachable, reachable}
		}
		r.out.Known = [2]int{min(r.out.Known[0], known), max(r.out.Known[1], known)}
		r.out.Reachable = [2]int{min(r.out.Reachable[0], reachable), max(r.out.Reachable[1], reachable)}
	}
	type answer struct {
		of int
		e  *record.Event
	}
	var settled []answer
	for i, p := range living {
		for k := range p.responses {
			if e := &p.responses[k]; e.T-time.Duration(e.Want) >= r.lastChange {
				settled = append(settled, answer{i, e})
			}
		}
	}
	slices.SortFunc(settled, func(a, b answer) int { return cmp.Compare(a.e.T, b.e.T) })
	newest := map[int]*record.Event{}
	for _, a := range settled {
		newest[a.of] = a.e
		if len(newest) < len(living) {
			continue
		}
		agree := true
		for _, e := range newest {
			agree = agree && e.Status == a.e.Status && int(e.Attempt) == sidecars
		}
		if agree {
			r.out.AgreeMS = float64(a.e.T-r.lastChange) / float64(time.Millisecond)
			return
		}
	}
}
