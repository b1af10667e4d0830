package invariant

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/record"
)

// The names of the invariants of membership (docs/membership.md).
const (
	QuotaSum = "shares"   // the quotas of the running processes add up to at most the fleet's total
	NotGone  = "not-gone" // no running process is reported as proved gone
)

// Notes of MemberProcess events: a process serves, was sent SIGTERM, or has ended.
const (
	MemberServes = "serves"
	MemberLeaves = "is told to end"
	MemberEnded  = "has ended"
)

// MemberLeft is the note of a MembershipStatus event in which a process reports that it has left.
const MemberLeft = "left"

// The states that processes report of a member. Absent is recorded by the lab for a member that is no longer listed.
const (
	Alive  = "alive"
	Silent = "silent"
	Gone   = "gone"
	Absent = "absent"
)

// Members are the settings and faults that a run with membership is checked against.
type Members struct {
	Names             []string // names of the sidecars, then of the list service replicas, which take no quota
	Sidecars          int
	WithoutMembership int // number of sidecars without membership, each of which takes a quota of 1/Peers
	Peers             int // number of processes that a process assumes before it has observed another
	// FalseRefusals are periods in which addresses refuse connections although their processes run, and some time after.
	FalseRefusals []Span
}

// quotaTolerance is by how much the sum of the quotas may exceed its limit: estimates are reported with few digits.
const quotaTolerance = 1e-6

// statusReport is the status that a process reported of itself.
type statusReport struct {
	requestedAt, receivedAt time.Duration // the process took its status between these times
	start                   int64         // start of the process, as it identifies itself
	quota                   float64       // fraction of the fleet's total
	forced, left            bool          // forced: admitted by timeout; left: the process reported that it left
}

// member is one process of a sidecar or a list service replica.
type member struct {
	party      int32          // index of the sidecar or replica in Members.Names
	reports    []statusReport // ordered by time
	servesFrom time.Duration
	termAt     time.Duration // time of SIGTERM
	endedAt    time.Duration
}

// quotaInterval is a period in which a process took at least a certain quota.
type quotaInterval struct {
	from, to time.Duration
	party    int32  // index of the sidecar or replica in Members.Names
	serial   uint64 // number of the process
	minQuota float64
	forced   bool
}

// members checks all rules of membership.
type members struct {
	*checker
	facts *Members
	all   map[uint64]*member // by number of the process
}

// CheckMembers checks the events of a run, ordered by time, against the rules of membership, and adds the breaches to v.
func CheckMembers(events []record.Event, facts *Members, v *Verdict) {
	m := newMembers(&checker{events: events, verdict: v}, facts)
	for i := range all {
		if check := all[i].checkMembers; check != nil {
			check(m)
		}
	}
}

// checkQuotas checks the sum of the quotas, and that members that left send nothing to servers.
func (m *members) checkQuotas() {
	m.checkQuotaSum()
	m.checkLeft()
}

// newMembers collects the status reports and the lifetime of each process.
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

// quotaOf returns the quota that a process takes according to its report, as a fraction of the fleet's total.
func (m *members) quotaOf(e *record.Event) float64 {
	switch {
	case !e.Canary || int(e.Sidecar) >= m.facts.Sidecars || e.Note == MemberLeft: // checkLeft checks those that left
		return 0
	case e.Work > 0:
		return 1 / e.Work
	}
	return 1 / float64(m.facts.Peers) // the process has no estimate yet
}

// quotaIntervals returns the periods during and between the status reports of each process, with the least quota that
// the process can have taken in each.
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

// QuotaMoment is the least sum of the running processes' quotas from a time on.
type QuotaMoment struct {
	At           time.Duration
	Sum, Allowed float64 // fractions of the fleet's total
	Processes    int     // number of processes that take a quota; processes of one sidecar count once
}

// QuotaMoments returns the sum of the quotas at each of its changes in a run, ordered by time.
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

// quotaMomentAt adds up the quotas of the active intervals. In an upgrade, a sidecar's two processes share its quota.
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
	// The quotas of all other processes add up to at most 1. A process that was admitted by timeout may add a quota for the
	// number of processes in its settings if it has observed none, or else for the number that it has observed.
	for _, quota := range forced {
		moment.Allowed += min(quota, max(1/float64(m.facts.Peers), 1/float64(moment.Processes)))
	}
	return moment
}

// duringFalseRefusal reports whether addresses of running processes refuse connections at this time.
func (m *members) duringFalseRefusal(at time.Duration) bool {
	return slices.ContainsFunc(m.facts.FalseRefusals, func(s Span) bool { return s.From <= at && at <= s.To })
}

// checkQuotaSum checks the sum of the quotas against its limit. Each rise of the sum above the limit is one breach.
func (m *members) checkQuotaSum() {
	over := false
	for _, moment := range m.quotaMoments() {
		if moment.Processes < 2 || m.duringFalseRefusal(moment.At) {
			continue
		}
		m.verdict.Checked[QuotaSum]++
		wasOver := over
		if over = moment.Sum > moment.Allowed+quotaTolerance; over && !wasOver {
			m.breach(QuotaSum, moment.At, 0, nil, "the quotas of %d processes add up to %.3f of the fleet's total, at most %.3f allowed",
				moment.Processes, moment.Sum, moment.Allowed)
		}
	}
}

// checkLeft checks that a process sends nothing to servers after it reported that it left. Requests of a sidecar with
// two processes are not checked, as it is unknown which process sent them.
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
			m.breach(QuotaSum, e.T, e.Request, []int{i}, "%s sent an attempt to a server %.0f ms after it reported that it left", m.name(e.Sidecar),
				ms(e.T-only.reports[k].receivedAt))
		}
	}
}

// memberID identifies a process as other processes do.
type memberID struct {
	name  string
	start int64
}

// lastAliveReports returns for each process the request time of its last status report, when it was certainly alive.
// receivedAt holds the time of its SIGTERM.
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

// name returns the name of a sidecar or replica, or an empty string if it has none.
func (m *members) name(party int32) string {
	if int(party) < len(m.facts.Names) {
		return m.facts.Names[party]
	}
	return ""
}

// checkNotGone checks that no process was reported as proved gone while it was alive and had no SIGTERM.
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
			m.breach(NotGone, e.T, 0, []int{i}, "%s reported %s, started at %d, as proved gone (%s), but it was alive %.1f s later",
				m.name(e.Sidecar), name, e.N, proof, (alive.requestedAt - e.T).Seconds())
		}
	}
}

// ParseMemberNote splits the note of a MemberStatus event. Parts that are missing are empty.
func ParseMemberNote(note string) (state, name, proof string) {
	parts := strings.SplitN(note, " ", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return parts[0], parts[1], parts[2]
}
