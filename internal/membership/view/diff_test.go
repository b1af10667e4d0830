package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

var states = []membership.MemberState{membership.Alive, membership.Suspected, membership.Unreachable, membership.Gone,
	Unknown}

// drawReport draws a report that lists a random selection of six members.
func drawReport(t *rapid.T, self int) *membership.Report {
	r := &membership.Report{Self: roster.ID{Name: fmt.Sprint("n", self), Start: 1}}
	for _, name := range []string{"n0", "n1", "n2"} {
		for start := int64(1); start <= 2; start++ {
			if s := rapid.SampledFrom(states).Draw(t, "state"); s != Unknown {
				r.Members = append(r.Members, membership.Member{Name: name, Start: start, State: s,
					SinceMS: rapid.Int64Range(0, 9).Draw(t, "since")})
			}
		}
	}
	return r
}

// drawObservations draws observations, including incomplete ones and ones without a change.
func drawObservations(t *rapid.T) []Observation {
	var all []Observation
	for i := range rapid.IntRange(0, 4).Draw(t, "processes") {
		a := Observation{Addr: fmt.Sprint("a", i), First: drawReport(t, i), Second: drawReport(t, i)}
		switch rapid.IntRange(0, 3).Draw(t, "how") {
		case 0:
			a.First = nil
		case 1, 2:
			a.First = a.Second
		}
		all = append(all, a)
	}
	return all
}

// stateAt returns the state of a member in a report.
func stateAt(r *membership.Report, id roster.ID) membership.MemberState {
	for _, m := range r.Members {
		if m.Name == id.Name && m.Start == id.Start {
			return m.State
		}
	}
	return Unknown
}

// checkDiff compares the views of each pair of processes for each member, and returns an error if diff omits a
// difference or describes it incorrectly.
func checkDiff(diff func([]Observation) []Difference, all []Observation) error {
	want, got := map[roster.ID]Stage{}, map[roster.ID]Stage{}
	for _, name := range []string{"n0", "n1", "n2"} {
		for start := int64(1); start <= 2; start++ {
			id := roster.ID{Name: name, Start: start}
			before, after, changed := false, false, false
			for i := range all {
				if !all[i].Complete() {
					continue
				}
				changed = changed || stateAt(all[i].First, id) != stateAt(all[i].Second, id)
				for j := range all[:i] {
					if all[j].Complete() {
						before = before || stateAt(all[i].First, id) != stateAt(all[j].First, id)
						after = after || stateAt(all[i].Second, id) != stateAt(all[j].Second, id)
					}
				}
			}
			switch {
			case after && !changed:
				want[id] = Persistent
			case after:
				want[id] = Emerging
			case before:
				want[id] = Resolved
			}
		}
	}
	for _, d := range diff(all) {
		got[d.Member] = d.Stage
		for _, v := range d.Views {
			i := slices.IndexFunc(all, func(a Observation) bool { return a.Addr == v.Addr })
			if v.State != stateAt(all[i].Second, d.Member) {
				return fmt.Errorf("%s: diff returns a wrong state of %v", v.Addr, d.Member)
			}
		}
	}
	if text := cmp.Diff(want, got); text != "" {
		return fmt.Errorf("stages by pairwise comparison (-) and by diff (+):\n%s", text)
	}
	return nil
}

func TestDiff_CompleteAndSymmetric(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawObservations(t)
		if err := checkDiff(Diff, all); err != nil {
			t.Fatal(err)
		}
		other := slices.Clone(all)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Shuffle(len(other), func(i, j int) {
			other[i], other[j] = other[j], other[i]
		})
		if text := cmp.Diff(Diff(all), Diff(other)); text != "" {
			t.Fatal("the result depends on the order of the processes:", text)
		}
	})
}

func TestDiff_EqualViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawReport(t, 0), drawReport(t, 0)
		var all []Observation
		for i := range 3 {
			other := *second // same states, different ages
			other.Members = slices.Clone(second.Members)
			for k := range other.Members {
				other.Members[k].SinceMS += int64(i)
			}
			all = append(all, Observation{Addr: fmt.Sprint("a", i), First: first, Second: &other})
		}
		if d := Diff(all); len(d) > 0 || Digest(all[0].Second) != Digest(all[2].Second) {
			t.Fatal(d)
		}
	})
}

// checkDiff detects planted defects: a diff that omits all differences, and one that reports an emerging difference as
// persistent.
func TestDiff_PlantedDefects(t *testing.T) {
	one := &membership.Report{Members: []membership.Member{{Name: "n0", Start: 1, State: membership.Alive, SinceMS: 5}}}
	none := &membership.Report{Members: []membership.Member{}}
	all := []Observation{{Addr: "a0", First: none, Second: none}, {Addr: "a1", First: none, Second: one}}
	assert.NoError(t, checkDiff(Diff, all))
	assert.Error(t, checkDiff(func(a []Observation) []Difference { return Diff(a)[:0] }, all))
	assert.Error(t, checkDiff(func(a []Observation) []Difference {
		d := Diff(a)
		d[0].Stage = Persistent
		return d
	}, all))
}

func TestDiff_AgeAndDigest(t *testing.T) {
	report := func(state membership.MemberState, since, age int64) *membership.Report {
		return &membership.Report{Self: roster.ID{Name: "me", Start: 1}, Members: []membership.Member{
			{Name: "me", Start: 1, State: membership.Alive, SinceMS: age}, {Name: "x", Start: 7, State: state, SinceMS: since}}}
	}
	alive, silent := report(membership.Alive, 90, 100), report(membership.Unreachable, 40, 100)
	young := &membership.Report{Self: alive.Self, Members: []membership.Member{{Name: "me", Start: 1,
		State: membership.Alive, SinceMS: 30}}}
	observe := func(reports ...*membership.Report) (all []Observation) {
		for i, r := range reports {
			all = append(all, Observation{Addr: fmt.Sprint("a", i), First: r, Second: r})
		}
		return all
	}
	assert.EqualValues(t, 40, Diff(observe(alive, silent))[0].ForMS, "since one of them reports the member as silent")
	assert.EqualValues(t, 30, Diff(observe(alive, young))[0].ForMS, "since the start of the one that does not list the member")
	assert.EqualValues(t, 40, Diff(observe(young, alive, silent))[0].ForMS)
	assert.Equal(t, Digest(alive), Digest(silent), "reachability does not matter")
	assert.NotEqual(t, Digest(alive), Digest(report(membership.Gone, 0, 0)))
	assert.NotEqual(t, Digest(alive), Digest(young))
}
