package invariant

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/record"
)

// The rules of membership (docs/membership.md).
const (
	QuotaSum = "shares"   // the quotas that the running processes take add up to no more than the fleet's
	NotGone  = "not-gone" // no process that is alive is reported as proved gone
)

// Notes of MemberProcess events.
const (
	MemberServes = "serves"
	MemberLeaves = "is told to end"
	MemberEnded  = "has ended"
)

// MemberLeft is the note of a MembershipStatus event in which a process reports that it has left.
const MemberLeft = "left"

// States that are reported of a member; Absent is the lab's word for one that is no longer listed.
const (
	Alive  = "alive"
	Silent = "silent"
	Gone   = "gone"
	Absent = "absent"
)

// Members is what a run with membership is checked against.
type Members struct {
	Names             []string // of the parties: sidecars, and then list service replicas, which take no quota
	Sidecars          int
	WithoutMembership int // sidecars without membership, which take a quota of 1/Peers each
	Peers             int // processes that count before any other was observed
	// False are times in which addresses refuse connections although their processes are alive, and some time after.
	FalseRefusals []Span
}

// believable is by how much the sum may exceed its bound: estimates are written with few digits.
const quotaTolerance = 1e-6

// statusReport is what one process reported of itself and of the fleet.
type statusReport struct {
	requestedAt, receivedAt time.Duration // the report is of some moment between
	start                   int64
	quota                   float64
	forced, left            bool
}

// member is one process.
type member struct {
	party      int32
	reports    []statusReport
	servesFrom time.Duration
	termAt     time.Duration // SIGTERM
	endedAt    time.Duration
}

// quotaInterval is a time in which a process took at least a quota.
type quotaInterval struct {
	from, to time.Duration
	party    int32
	serial   uint64
	minQuota float64
	forced   bool
}

type members struct {
	*checker
	facts *Members
	all   map[uint64]*member // by the number of the process
}

// CheckMembers checks the events of a run, ordered by time, against the rules of membership, and adds its findings to a verdict.
func CheckMembers(events []record.Event, facts *Members, v *Verdict) {
	m := newMembers(&checker{events: events, verdict: v}, facts)
	for i := range all {
		if check := all[i].checkMembers; check != nil {
			check(m)
		}
	}
}

// checkQuotas checks the sum of the quotas, and that members that have left send nothing.
func (m *members) checkQuotas() {
	m.checkQuotaSum()
	m.checkLeft()
}

func newMembers(c *checker, facts *Members) *members {
	m := &members{checker: c, facts: facts, all: map[uint64]*member{}}
	memberOf := func(e *record.Event) *member {
		if m.all[e.Sum] == nil {
			m.all[e.Sum] = &member{party: e.Sidecar, servesFrom: e.T, termAt: forever, endedAt: forever}
		}
		return m.all[e.Sum]
	}
	for i := range c.events {
		switch e := &c.events[i]; e.Kind {
		case record.MembershipStatus:
			p := memberOf(e)
			p.reports = append(p.reports, statusReport{requestedAt: e.T - time.Duration(e.Want), receivedAt: e.T, start: e.N,
				quota: m.quotaOf(e), forced: e.Class == 1, left: e.Note == MemberLeft})
		case record.MemberProcess:
			switch p := memberOf(e); e.Note {
			case MemberLeaves:
				p.termAt = e.T
			case MemberEnded:
				p.endedAt = e.T
			}
		}
	}
	return m
}

// quotaOf is the quota of the fleet's total that a process takes, by its report.
func (m *members) quotaOf(e *record.Event) float64 {
	switch {
	case !e.Canary || int(e.Sidecar) >= m.facts.Sidecars || e.Note == MemberLeft: // see checkLeft
		return 0
	case e.Work > 0:
		return 1 / e.Work
	}
	return 1 / float64(m.facts.Peers) // it has no estimate yet
}

// quotaIntervals are the times between the reports of a process, and during each, with the least quota that it can have
// taken then.
func (m *members) quotaIntervals() []quotaInterval {
	var out []quotaInterval
	for serial, p := range m.all {
		for k, s := range p.reports {
			interval := quotaInterval{from: s.requestedAt, to: s.receivedAt, party: p.party, serial: serial, minQuota: s.quota, forced: s.forced}
			if k > 0 {
				before := p.reports[k-1]
				interval.minQuota = min(interval.minQuota, before.quota)
			}
			if k+1 < len(p.reports) {
				next := p.reports[k+1]
				interval.minQuota = min(interval.minQuota, next.quota)
				between := quotaInterval{from: s.receivedAt, to: next.requestedAt, party: p.party, serial: serial, minQuota: min(s.quota, next.quota),
					forced: s.forced || next.forced}
				out = append(out, between)
			}
			out = append(out, interval)
		}
	}
	return out
}

// QuotaMoment is the least that the running processes take together, from a time on.
type QuotaMoment struct {
	At           time.Duration
	Sum, Allowed float64
	Processes    int // processes that take a quota
}

// QuotaMoments follows the sum of the quotas through a run.
func QuotaMoments(events []record.Event, facts *Members) []QuotaMoment {
	return newMembers(&checker{events: events}, facts).quotaMoments()
}

func (m *members) quotaMoments() []QuotaMoment {
	type change struct {
		at     time.Duration
		begins bool
		*quotaInterval
	}
	intervals := m.quotaIntervals()
	var changes []change
	for i := range intervals {
		if p := &intervals[i]; p.to > p.from {
			changes = append(changes, change{p.from, true, p}, change{p.to, false, p})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	active := map[int32]map[uint64]*quotaInterval{}
	var out []QuotaMoment
	for i, c := range changes {
		switch {
		case active[c.party] == nil:
			active[c.party] = map[uint64]*quotaInterval{c.serial: c.quotaInterval}
		case c.begins:
			active[c.party][c.serial] = c.quotaInterval
		case active[c.party][c.serial] == c.quotaInterval:
			delete(active[c.party], c.serial)
		}
		if i+1 < len(changes) && changes[i+1].at == c.at {
			continue
		}
		out = append(out, m.quotaMomentAt(c.at, active))
	}
	return out
}

// quotaMomentAt adds the quotas up. Two processes of one sidecar, in an upgrade, share its quota.
func (m *members) quotaMomentAt(at time.Duration, now map[int32]map[uint64]*quotaInterval) QuotaMoment {
	moment := QuotaMoment{At: at, Sum: float64(m.facts.WithoutMembership) / float64(m.facts.Peers), Allowed: 1, Processes: m.facts.WithoutMembership}
	var forced []float64
	for _, party := range now {
		sum, anyForced := 0.0, false
		for _, p := range party {
			sum += p.minQuota
			anyForced = anyForced || p.forced
		}
		if sum > 0 {
			quota := sum / float64(len(party))
			moment.Sum += quota
			moment.Processes++
			if anyForced {
				forced = append(forced, quota)
			}
		}
	}
	// What the others take is at most 1. A process that was admitted by timeout counts the processes of the settings if it
	// has observed none, or those that it has observed.
	for _, quota := range forced {
		moment.Allowed += min(quota, max(1/float64(m.facts.Peers), 1/float64(moment.Processes)))
	}
	return moment
}

func (m *members) duringFalseRefusal(at time.Duration) bool {
	return slices.ContainsFunc(m.facts.FalseRefusals, func(s Span) bool { return s.From <= at && at <= s.To })
}

// checkQuotaSum checks the sum against what the fleet may take.
func (m *members) checkQuotaSum() {
	over := false
	for _, moment := range m.quotaMoments() {
		if moment.Processes < 2 || m.duringFalseRefusal(moment.At) {
			continue
		}
		m.verdict.Checked[QuotaSum]++
		wasOver := over
		if over = moment.Sum > moment.Allowed+quotaTolerance; over && !wasOver {
			m.breach(QuotaSum, moment.At, 0, nil, "%d processes take %.3f of what the fleet allows together, at most %.3f may be",
				moment.Processes, moment.Sum, moment.Allowed)
		}
	}
}

// checkLeft checks that processes which reported that they left send nothing to servers any more. Where a sidecar has two
// processes it is unknown which one sent a request.
func (m *members) checkLeft() {
	byParty := map[int32][]*member{}
	for _, p := range m.all {
		byParty[p.party] = append(byParty[p.party], p)
	}
	for i := range m.events {
		e := &m.events[i]
		if e.Kind != record.FirstByte {
			continue
		}
		var only *member
		several := false
		for _, p := range byParty[e.Sidecar] {
			if p.servesFrom-socketSlack <= e.T && e.T-socketSlack <= p.endedAt {
				several = several || only != nil
				only = p
			}
		}
		if only == nil || several {
			continue
		}
		k := slices.IndexFunc(only.reports, func(s statusReport) bool { return s.left })
		if k >= 0 && e.T > only.reports[k].receivedAt+socketSlack {
			m.breach(QuotaSum, e.T, e.Request, []int{i}, "%s sends to servers %.0f ms after it has left", m.name(e.Sidecar),
				ms(e.T-only.reports[k].receivedAt))
		}
	}
}

type memberID struct {
	name  string
	start int64
}

// lastAliveReports gives the last moment at which each process is known to be alive, and its SIGTERM.
func (m *members) lastAliveReports() map[memberID]statusReport {
	out := map[memberID]statusReport{}
	for _, p := range m.all {
		for _, s := range p.reports {
			id := memberID{m.name(p.party), s.start}
			if latest, ok := out[id]; !ok || s.requestedAt > latest.requestedAt {
				out[id] = statusReport{requestedAt: s.requestedAt, receivedAt: p.termAt}
			}
		}
	}
	return out
}

func (m *members) name(party int32) string {
	if int(party) < len(m.facts.Names) {
		return m.facts.Names[party]
	}
	return ""
}

// checkNotGone looks for processes that were reported as proved gone and were alive.
func (m *members) checkNotGone() {
	lastAlive := m.lastAliveReports()
	for i := range m.events {
		e := &m.events[i]
		switch e.Kind {
		case record.MembershipStatus:
			m.verdict.Checked[NotGone] += int(e.Server)
		case record.MemberStatus:
			state, name, proof := ParseMemberNote(e.Note)
			alive, known := lastAlive[memberID{name, e.N}]
			if state != Gone || !known || alive.requestedAt < e.T || e.T >= alive.receivedAt || m.duringFalseRefusal(e.T) {
				continue
			}
			m.breach(NotGone, e.T, 0, []int{i}, "%s says that %s, started at %d, is proved gone (%s), and it lives %.1f s later",
				m.name(e.Sidecar), name, e.N, proof, (alive.requestedAt - e.T).Seconds())
		}
	}
}

// ParseMemberNote reads the note of a MemberStatus event.
func ParseMemberNote(note string) (state, name, proof string) {
	parts := strings.SplitN(note, " ", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return parts[0], parts[1], parts[2]
}
