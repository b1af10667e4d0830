// Package view asks processes what they see of their fleet, and says where they see it differently.
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

// Unknown is how a member stands with a process that says nothing of it.
const Unknown membership.MemberState = "unknown"

// Asked is what a process said of its fleet at two moments.
type Asked struct {
	Addr          string
	First, Second *membership.Report // nil where it could not be asked
	Err           error              // why it could not be asked
}

// Answered reports whether it could be asked at both moments.
func (a *Asked) Answered() bool { return a.First != nil && a.Second != nil }

// Saying is what one process says of a member.
type Saying struct {
	Addr    string                 `json:"addr"` // of the process
	State   membership.MemberState `json:"state"`
	Proof   string                 `json:"proof,omitempty"`
	SinceMS int64                  `json:"since_ms"` // for so long; -1: Unknown
}

// Stage tells a difference that stays from one that is about to go.
type Stage string

// The stages of a difference.
const (
	Lasting Stage = "lasting" // all said the same at both moments
	News    Stage = "news"    // there at the second moment, and not, or another one, at the first: on its way
	Settled Stage = "settled" // it was there at the first moment alone
)

// Difference is a member of whom processes say different things.
type Difference struct {
	Member roster.ID `json:"member"`
	Stage  Stage     `json:"stage"`
	// ForMS is for how long some two of them have differed as they do at the second moment; 0 where it is settled.
	ForMS   int64    `json:"for_ms"`
	Sayings []Saying `json:"sayings"` // of all that were asked at both moments, by address, at the second one
}

// Diff gives the members on whose standing the processes differ at either moment, by name and start. Those that
// were not asked at both moments say nothing.
func Diff(reports []Asked) []Difference {
	var asked []Asked
	for _, a := range reports {
		if a.Answered() {
			asked = append(asked, a)
		}
	}
	slices.SortStableFunc(asked, func(a, b Asked) int { return cmp.Compare(a.Addr, b.Addr) })
	first := sayings(asked, func(a *Asked) *membership.Report { return a.First })
	second := sayings(asked, func(a *Asked) *membership.Report { return a.Second })
	ids := maps.Clone(second)
	maps.Copy(ids, first)
	var out []Difference
	for _, id := range slices.SortedFunc(maps.Keys(ids), compareIDs) {
		before, after := said(first, id, asked), said(second, id, asked)
		d := Difference{Member: id, Sayings: after}
		switch {
		case !agree(after) && slices.EqualFunc(before, after, sameState):
			d.Stage = Lasting
		case !agree(after):
			d.Stage = News
		case !agree(before):
			d.Stage = Settled
		default:
			continue
		}
		if d.Stage != Settled {
			d.ForMS = lasts(after, asked)
		}
		out = append(out, d)
	}
	return out
}

// sayings gives, for each member that some process names, what each process says of it.
func sayings(asked []Asked, moment func(*Asked) *membership.Report) map[roster.ID][]Saying {
	all := map[roster.ID][]Saying{}
	for i := range asked {
		for _, m := range moment(&asked[i]).Members {
			id := roster.ID{Name: m.Name, Start: m.Start}
			if all[id] == nil {
				all[id] = nobody(asked)
			}
			all[id][i] = Saying{Addr: asked[i].Addr, State: m.State, Proof: m.Proof, SinceMS: m.SinceMS}
		}
	}
	return all
}

// nobody is that no process knows of a member.
func nobody(asked []Asked) []Saying {
	row := make([]Saying, len(asked))
	for i := range asked {
		row[i] = Saying{Addr: asked[i].Addr, State: Unknown, SinceMS: -1}
	}
	return row
}

func said(all map[roster.ID][]Saying, id roster.ID, asked []Asked) []Saying {
	if row := all[id]; row != nil {
		return row
	}
	return nobody(asked)
}

func sameState(a, b Saying) bool { return a.State == b.State }

func agree(row []Saying) bool {
	return !slices.ContainsFunc(row, func(s Saying) bool { return s.State != row[0].State })
}

// lasts gives for how long some two processes have said the different things that they say now. Two that differ
// have done so for the shorter of both times, so it is the second longest of the times for which each state was
// said by anybody. A process that does not know the member has not known it for as long as it is there itself.
func lasts(row []Saying, asked []Asked) int64 {
	longest := map[membership.MemberState]int64{}
	for i, s := range row {
		since := s.SinceMS
		if s.State == Unknown {
			since = ownAge(asked[i].Second)
		}
		longest[s.State] = max(longest[s.State], since)
	}
	times := slices.Sorted(maps.Values(longest))
	return times[len(times)-2]
}

// ownAge is for how long a process has counted itself as it does, in milliseconds.
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

// Digest is the same for two reports exactly if they name the same processes and the same ones of them as gone,
// but for collisions. How they hear them does not enter.
func Digest(r *membership.Report) uint64 {
	members := slices.SortedFunc(slices.Values(r.Members), func(a, b membership.Member) int {
		return compareIDs(roster.ID{Name: a.Name, Start: a.Start}, roster.ID{Name: b.Name, Start: b.Start})
	})
	h := fnv.New64a()
	for _, m := range members {
		gone := byte(0)
		if m.State == membership.Gone {
			gone = 1
		}
		fmt.Fprintf(h, "%d:", len(m.Name)) // so that no name can pass for another and a start
		_, _ = io.WriteString(h, m.Name)
		_, _ = h.Write(append(binary.BigEndian.AppendUint64(nil, uint64(m.Start)), gone))
	}
	return h.Sum64()
}

// Change is that a member stands otherwise with a process than it did.
type Change struct {
	Member   membership.Member      // as it is now; as it was, where it is not named any more
	From, To membership.MemberState // Unknown: it is not named
}

// Changes gives what has changed from one report of a process to a later one, by name and start.
func Changes(before, after []membership.Member) []Change {
	was := map[roster.ID]membership.Member{}
	for _, m := range before {
		was[roster.ID{Name: m.Name, Start: m.Start}] = m
	}
	var out []Change
	for _, m := range after {
		id, from := roster.ID{Name: m.Name, Start: m.Start}, Unknown
		if old, ok := was[id]; ok {
			from = old.State
		}
		delete(was, id)
		if from != m.State {
			out = append(out, Change{Member: m, From: from, To: m.State})
		}
	}
	for _, m := range was {
		out = append(out, Change{Member: m, From: m.State, To: Unknown})
	}
	slices.SortFunc(out, func(a, b Change) int {
		return compareIDs(roster.ID{Name: a.Member.Name, Start: a.Member.Start}, roster.ID{Name: b.Member.Name,
			Start: b.Member.Start})
	})
	return out
}
