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

// processHistory is the recorded history of one process.
type processHistory struct {
	party                 int32
	served, leaves, ended time.Duration
	responses             []record.Event
	statuses              map[memberID][]status
}

// status is a state of a member as another process reported it.
type status struct {
	at    time.Duration
	state string
}

// never is the time of an event that did not happen.
const never = time.Duration(1<<63 - 1)

// resultReader computes the result from the records.
type resultReader struct {
	facts      *invariant.Members
	processes  []*processHistory
	lastChange time.Duration // last start or end of a process or a membership fault
	result     *report.MembersResult
}

// Facts returns the properties of the run that the invariants are checked with.
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

// falseProofRecovery is the time after a false refusal within which a process that others counted as gone must be
// counted as a member again.
const falseProofRecovery = 15 * time.Second

// Result computes what the members knew of each other from the events of a run, which are ordered by time.
func Result(events []record.Event, facts *invariant.Members) *report.MembersResult {
	r := &resultReader{facts: facts, result: &report.MembersResult{AgreeMS: -1}}
	r.readEvents(events)
	for _, one := range invariant.QuotaMoments(events, facts) {
		if one.Sum > r.result.MaxQuotaSum {
			r.result.MaxQuotaSum, r.result.MaxQuotaSumAt = one.Sum, one.At.Seconds()
		}
	}
	for _, p := range r.processes {
		r.measureEnd(p)
		r.countFalseSuspicions(p, events)
		r.measureJoining(p)
	}
	r.findAgreement()
	for _, t := range []*report.Times{&r.result.Noticed, &r.result.CountedOut, &r.result.Left, &r.result.Admitted} {
		t.Summarize()
	}
	return r.result
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
				if previous := p.responses[n-1]; previous.Status != e.Status || previous.Attempt != e.Attempt || previous.Canary != e.Canary {
					r.result.Changes++
				}
			}
			p.responses = append(p.responses, *e)
			r.result.Answers++
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
	r.result.Processes = len(r.processes)
}

// isMembershipFault reports whether a fault concerns members or the links between them.
func isMembershipFault(note string) bool {
	return strings.HasPrefix(note, "members-") || strings.HasPrefix(note, "sidecar") || strings.HasPrefix(note, "copy-")
}

// name returns the member name of a process.
func (r *resultReader) name(p *processHistory) string { return r.facts.Names[p.party] }

// lastID returns the identity in the last response of a process; false if it never responded.
func (r *resultReader) lastID(p *processHistory) (memberID, bool) {
	if len(p.responses) == 0 {
		return memberID{}, false
	}
	return memberID{r.name(p), p.responses[len(p.responses)-1].N}, true
}

// timeToState returns the time after from until the process first reported a member in one of the states; false if
// never.
func (p *processHistory) timeToState(id memberID, from time.Duration, states ...string) (time.Duration, bool) {
	for i, s := range p.statuses[id] {
		later := never // end of this status
		if i+1 < len(p.statuses[id]) {
			later = p.statuses[id][i+1].at
		}
		if later > from && slices.Contains(states, s.state) {
			return max(s.at-from, 0), true
		}
	}
	return 0, false
}

// measureEnd measures how long the other processes took to notice the end of a process.
func (r *resultReader) measureEnd(p *processHistory) {
	id, ok := r.lastID(p)
	if !ok || p.ended == never {
		return
	}
	killed := p.leaves == never
	if killed {
		r.result.Deaths++
	}
	for _, q := range r.processes {
		if q == p || q.served >= min(p.leaves, p.ended) || q.statuses[id] == nil {
			continue
		}
		add := func(t *report.Times, from time.Duration, states ...string) {
			d, ok := q.timeToState(id, from, states...)
			if !ok && (q.ended != never || q.leaves != never) {
				return // the observer ended or left first
			}
			t.Add(d, ok)
		}
		if !killed {
			add(&r.result.Left, p.leaves, invariant.Gone, invariant.Absent)
			continue
		}
		add(&r.result.Noticed, p.ended, invariant.Silent, invariant.Gone, invariant.Absent)
		add(&r.result.CountedOut, p.ended, invariant.Gone, invariant.Absent)
	}
}

// causeWindow is the time after a fault's end during which the fault still explains that a live process is reported
// silent.
const causeWindow = 15 * time.Second

// countFalseSuspicions counts how often other processes reported a live process as silent or gone.
func (r *resultReader) countFalseSuspicions(p *processHistory, events []record.Event) {
	for _, q := range r.processes {
		if q == p {
			continue
		}
		for id, all := range q.statuses { // a member known only from others is silent until its first message
			if id.name != r.name(p) {
				continue
			}
			i := slices.IndexFunc(p.responses, func(e record.Event) bool { return e.N == id.start })
			if i < 0 {
				continue // another process of the same name
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
					r.result.FalseGone++
				case s.state == invariant.Silent:
					if r.result.FalseSilent++; !r.explainedByFault(events, p, q, s.at) {
						r.result.UnexplainedSilent++
						r.result.FalseExamples = append(r.result.FalseExamples, fmt.Sprintf("%s of %s at %.1f s", r.name(q), id.name, s.at.Seconds()))
					}
				}
			}
		}
	}
}

// blocksMessages reports whether a fault keeps messages of some members from others.
func blocksMessages(note string) bool {
	return slices.ContainsFunc([]string{"members-cut", "members-refuse", "copy-freeze"}, func(kind string) bool {
		return strings.HasPrefix(note, kind)
	})
}

// explainedByFault reports whether a fault explains that one process got no message of the other: either was frozen, or
// links were cut.
func (r *resultReader) explainedByFault(events []record.Event, p, q *processHistory, at time.Duration) bool {
	faultEnds := map[string]time.Duration{} // end of each fault so far; never: still active
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
			} else if faultEnds[key] == never { // the process was resumed or killed
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

// measureJoining measures how long a process that started during the run waited for its admission.
func (r *resultReader) measureJoining(p *processHistory) {
	if slices.ContainsFunc(p.responses, func(e record.Event) bool { return e.Class == 1 }) {
		r.result.Forced++
	}
	if p.served <= pollInterval || int(p.party) >= r.facts.Sidecars {
		return
	}
	r.result.JoiningMembers++
	i := slices.IndexFunc(p.responses, func(e record.Event) bool { return e.Canary })
	switch {
	case i >= 0:
		r.result.Admitted.Add(max(p.responses[i].T-p.served, 0), true)
	case p.ended == never:
		r.result.Admitted.Add(0, false)
	}
}

// findAgreement finds when all live processes first counted the same members after the last change, and their counts at
// the end of the run.
func (r *resultReader) findAgreement() {
	var living []*processHistory
	sidecars := 0 // live sidecars; registry replicas are members, but the counts leave them out
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
			r.result.Known, r.result.Reachable = [2]int{known, known}, [2]int{reachable, reachable}
		}
		r.result.Known = [2]int{min(r.result.Known[0], known), max(r.result.Known[1], known)}
		r.result.Reachable = [2]int{min(r.result.Reachable[0], reachable), max(r.result.Reachable[1], reachable)}
	}
	type observation struct {
		of int
		e  *record.Event
	}
	var settled []observation
	for i, p := range living {
		for k := range p.responses {
			if e := &p.responses[k]; e.T-time.Duration(e.Want) >= r.lastChange {
				settled = append(settled, observation{i, e})
			}
		}
	}
	slices.SortFunc(settled, func(a, b observation) int { return cmp.Compare(a.e.T, b.e.T) })
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
			r.result.AgreeMS = float64(a.e.T-r.lastChange) / float64(time.Millisecond)
			return
		}
	}
}
