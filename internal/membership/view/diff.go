// Package view fetches the membership reports of several processes of a fleet and compares them.
package view

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// Unknown is the state of a member in the view of a process whose report does not list it.
const Unknown membership.MemberState = "unknown"

// Observation holds the reports of one process at two moments.
type Observation struct {
	Addr          string             // HOST:PORT of the process
	First, Second *membership.Report // nil if the request failed or was not sent
	Err           error              // the reason of the first failure
}

// Complete reports whether there are reports of both moments.
func (o *Observation) Complete() bool { return o.First != nil && o.Second != nil }

// MemberView is the state of a member in the report of one process.
type MemberView struct {
	Addr    string                 `json:"addr"` // HOST:PORT of the reporting process
	State   membership.MemberState `json:"state"`
	Proof   string                 `json:"proof,omitempty"`
	SinceMS int64                  `json:"since_ms"` // time since State changed, in ms; -1 if State is Unknown
}

// Stage classifies a difference by when it was observed. The texts are part of the JSON form.
type Stage string

// The stages of a difference.
const (
	Persistent Stage = "lasting" // the difference is present at the second moment, and no view changed since the first
	Emerging   Stage = "news"    // the difference is present at the second moment, and a view changed since the first
	Resolved   Stage = "settled" // the difference is present only at the first moment
)

// Difference describes a member whose state differs between processes.
type Difference struct {
	Member roster.ID `json:"member"`
	Stage  Stage     `json:"stage"`
	// ForMS is how long two processes have had the views that differ at the second moment, in milliseconds. 0 if
	// Resolved.
	ForMS int64        `json:"for_ms"`
	Views []MemberView `json:"sayings"` // views at the second moment, one per complete observation, ordered by address
}

// Diff returns the members whose state differs between processes at either moment, ordered by name and start. It
// ignores incomplete observations.
func Diff(observations []Observation) []Difference {
	var complete []Observation
	for _, o := range observations {
		if o.Complete() {
			complete = append(complete, o)
		}
	}
	slices.SortStableFunc(complete, func(a, b Observation) int { return cmp.Compare(a.Addr, b.Addr) })
	first := viewsByMember(complete, func(o *Observation) *membership.Report { return o.First })
	second := viewsByMember(complete, func(o *Observation) *membership.Report { return o.Second })
	members := maps.Clone(second)
	maps.Copy(members, first)
	var differences []Difference
	for _, id := range slices.SortedFunc(maps.Keys(members), compareIDs) {
		before, after := viewsOf(first, id, complete), viewsOf(second, id, complete)
		d := Difference{Member: id, Views: after}
		switch {
		case !allEqual(after) && slices.EqualFunc(before, after, sameState):
			d.Stage = Persistent
		case !allEqual(after):
			d.Stage = Emerging
		case !allEqual(before):
			d.Stage = Resolved
		default:
			continue
		}
		if d.Stage != Resolved {
			d.ForMS = differenceAge(after, complete)
		}
		differences = append(differences, d)
	}
	return differences
}

// viewsByMember returns the views of each member that at least one report lists, in the order of the observations.
func viewsByMember(observations []Observation, moment func(*Observation) *membership.Report) map[roster.ID][]MemberView {
	all := map[roster.ID][]MemberView{}
	for i := range observations {
		for _, m := range moment(&observations[i]).Members {
			id := roster.ID{Name: m.Name, Start: m.Start}
			if all[id] == nil {
				all[id] = allUnknown(observations)
			}
			all[id][i] = MemberView{Addr: observations[i].Addr, State: m.State, Proof: m.Proof, SinceMS: m.SinceMS}
		}
	}
	return all
}

// allUnknown returns the views of a member that no report lists.
func allUnknown(observations []Observation) []MemberView {
	views := make([]MemberView, len(observations))
	for i := range observations {
		views[i] = MemberView{Addr: observations[i].Addr, State: Unknown, SinceMS: -1}
	}
	return views
}

func viewsOf(all map[roster.ID][]MemberView, id roster.ID, observations []Observation) []MemberView {
	if views := all[id]; views != nil {
		return views
	}
	return allUnknown(observations)
}

func sameState(a, b MemberView) bool { return a.State == b.State }

func allEqual(views []MemberView) bool {
	return !slices.ContainsFunc(views, func(v MemberView) bool { return v.State != views[0].State })
}

// differenceAge returns how long two of the processes have had different views, in milliseconds. Two views differ for
// the shorter of their ages, so the result is the second largest among the ages of the oldest view of each state. The
// age of the state Unknown is taken to be the time for which the process has been running.
func differenceAge(views []MemberView, observations []Observation) int64 {
	oldest := map[membership.MemberState]int64{}
	for i, v := range views {
		age := v.SinceMS
		if v.State == Unknown {
			age = ownAge(observations[i].Second)
		}
		oldest[v.State] = max(oldest[v.State], age)
	}
	ages := slices.Sorted(maps.Values(oldest))
	return ages[len(ages)-2]
}

// ownAge returns how long the reporting process has listed itself in its current state, in milliseconds.
func ownAge(r *membership.Report) int64 {
	for _, m := range r.Members {
		if m.Name == r.Self.Name && m.Start == r.Self.Start {
			return m.SinceMS
		}
	}
	return 0
}

func compareIDs(a, b roster.ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
}

func idOf(m membership.Member) roster.ID { return roster.ID{Name: m.Name, Start: m.Start} }

// Digest returns a digest of the processes that a report lists and of which ones among them are gone. Other differences
// between states do not change it. Except for hash collisions, it differs between reports that differ in those two.
func Digest(r *membership.Report) uint64 {
	members := slices.SortedFunc(slices.Values(r.Members), func(a, b membership.Member) int {
		return compareIDs(idOf(a), idOf(b))
	})
	h := fnv.New64a()
	for _, m := range members {
		gone := byte(0)
		if m.State == membership.Gone {
			gone = 1
		}
		fmt.Fprintf(h, "%d:", len(m.Name)) // separates the name from the start
		_, _ = io.WriteString(h, m.Name)
		_, _ = h.Write(append(binary.BigEndian.AppendUint64(nil, uint64(m.Start)), gone))
	}
	return h.Sum64()
}

// Change is a change of a member's state between two reports of one process.
type Change struct {
	Member   membership.Member      // as listed in the later report, or in the earlier one if only that lists it
	From, To membership.MemberState // Unknown if the report does not list the member
}

// Changes returns the state changes from one report of a process to a later one, ordered by name and start.
func Changes(before, after []membership.Member) []Change {
	unmatched := map[roster.ID]membership.Member{}
	for _, m := range before {
		unmatched[idOf(m)] = m
	}
	var changes []Change
	for _, m := range after {
		from := Unknown
		if old, ok := unmatched[idOf(m)]; ok {
			from = old.State
		}
		delete(unmatched, idOf(m))
		if from != m.State {
			changes = append(changes, Change{Member: m, From: from, To: m.State})
		}
	}
	for _, m := range unmatched {
		changes = append(changes, Change{Member: m, From: m.State, To: Unknown})
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareIDs(idOf(a.Member), idOf(b.Member)) })
	return changes
}
