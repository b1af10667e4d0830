package roster_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	. "marblelane/internal/membership/roster"
)

const admitWithin = 5 * time.Second

func newRoster(name string, peers int) *Roster {
	return New(0, Options{Self: ID{Name: name, Start: 1}, Addr: name + ":1", Peers: peers, AdmitWithin: admitWithin})
}

func goneEntry(name string, start int64, p Proof) Entry {
	return Entry{Name: name, Start: start, GoneStart: start, Proof: p}
}

// acknowledgeAll has each roster merge the entries of all rosters and handle their digests, twice.
func acknowledgeAll(now time.Duration, all ...*Roster) {
	for range 2 {
		for _, r := range all {
			for _, q := range all {
				r.Merge(now, q.Entries()...)
				r.HandleDigest(q.Self(), q.Digest())
			}
		}
	}
}

func drawEntries(t *rapid.T) []Entry {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
		return Entry{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
			Start:     rapid.Int64Range(1, 14).Draw(t, "start"),
			GoneStart: rapid.Int64Range(0, 14).Draw(t, "gone"),
			Proof:     Proof(rapid.IntRange(0, 4).Draw(t, "proof")),
			Addr:      rapid.SampledFrom([]string{"", "x:1", "y:1"}).Draw(t, "addr")}
	}), 0, 40).Draw(t, "entries")
}

func TestMerge_Join(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawEntries(t)
		one, other, follower := newRoster("self", 1), newRoster("self", 1), newRoster("self", 1)
		gone := map[ID]bool{}
		for _, e := range all {
			follower.Merge(0, one.Merge(0, e)...)
			for _, entry := range one.Entries() {
				id := ID{Name: entry.Name, Start: entry.Start}
				require.False(t, entry.Present() && gone[id], "%v is present after it was proved gone", id)
				gone[id] = !entry.Present()
			}
		}
		shuffled := rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "shuffled")
		cut := rapid.IntRange(0, len(shuffled)).Draw(t, "cut")
		third := newRoster("self", 1)
		third.Merge(0, shuffled[:cut]...)
		other.Merge(0, shuffled[cut:]...)
		other.Merge(0, third.Entries()...)
		require.Empty(t, cmp.Diff(one.Entries(), other.Entries()))
		require.Empty(t, cmp.Diff(one.Entries(), follower.Entries()), "the returned entries contain all changes")
		require.Empty(t, one.Merge(0, shuffled...), "merging the same entries again changes nothing")
		require.Equal(t, one.Digest(), other.Digest())
	})
}

func TestMerge_InvalidEntries(t *testing.T) {
	r := newRoster("a", 1)
	long := string(make([]byte, 65))
	assert.Empty(t, r.Merge(0, Entry{Start: 1}, Entry{Name: long, Start: 1}, Entry{Name: "b"}, Entry{Name: "b", Start: -1},
		Entry{Name: "b", Start: 1, GoneStart: -1}, Entry{Name: "b", Start: math.MaxInt64},
		Entry{Name: "a", Start: 1, GoneStart: math.MaxInt64}, Entry{Name: "b", Start: 1, Addr: string(make([]byte, 300))}))
	assert.Equal(t, View{Known: 1, Reachable: 1}, r.View(0))
}

func TestView_Counts(t *testing.T) {
	r := newRoster("a", 3)
	assert.Equal(t, View{Known: 3, Reachable: 1}, r.View(0))
	r.Merge(0, Entry{Name: "b", Start: 1}, Entry{Name: "c", Start: 1}, Entry{Name: "d", Start: 1})
	r.SetReachable(1, ID{Name: "c", Start: 1}, true)
	assert.Equal(t, View{Known: 4, Reachable: 2}, r.View(1))
	r.SetReachable(2, ID{Name: "c", Start: 1}, false)
	assert.Equal(t, View{Known: 4, Reachable: 1}, r.View(2), "an unreachable process still counts")
	assert.Equal(t, []Entry{{Name: "b", Start: 1}, {Name: "d", Start: 1}, {Name: "c", Start: 1}}, r.Unreachable())
	r.Merge(3, goneEntry("b", 1, ProofRefused), goneEntry("x", 7, ProofLeft))
	assert.Equal(t, View{Known: 3, Reachable: 1}, r.View(3))
}

func TestAdmission_AllAcknowledged(t *testing.T) {
	a, b, c, d := newRoster("a", 3), newRoster("b", 3), newRoster("c", 3), newRoster("d", 3)
	acknowledgeAll(0, a, b)
	assert.False(t, a.View(0).Admitted, "the third of the expected peers was not observed")
	acknowledgeAll(0, a, b, c)
	for _, r := range []*Roster{a, b, c} {
		assert.Equal(t, View{Known: 3, Reachable: 1, Admitted: true}, r.View(0))
		assert.Empty(t, r.Unacknowledged(9))
	}
	d.Merge(0, a.Entries()...)
	assert.Equal(t, []string{"a", "b"}, names(d.Unacknowledged(2)))
	assert.Equal(t, []string{"c", "a"}, names(d.Unacknowledged(2)), "successive calls return processes in round-robin order")
	assert.False(t, d.HandleDigest(a.Self(), a.Digest()), "a does not know d")
	for _, r := range []*Roster{a, b} {
		r.Merge(0, d.Entries()...)
		assert.True(t, d.HandleDigest(r.Self(), r.Digest()))
	}
	assert.False(t, d.View(0).Admitted)
	assert.Equal(t, []string{"c"}, names(d.Unacknowledged(9)))
	c.Merge(0, d.Entries()...)
	assert.True(t, d.HandleDigest(c.Self(), c.Digest()))
	assert.True(t, d.View(0).Admitted)
}

func names(all []Entry) (out []string) {
	for _, e := range all {
		out = append(out, e.Name)
	}
	return out
}

func TestAdmission_Forced(t *testing.T) {
	a, b, c := newRoster("a", 2), newRoster("b", 2), newRoster("c", 2)
	acknowledgeAll(0, a, b)
	assert.False(t, c.View(admitWithin-1).Admitted, "before the deadline")
	assert.Equal(t, View{Known: 2, Reachable: 1, Admitted: true, Forced: true}, c.View(admitWithin))
	c.Merge(admitWithin, a.Entries()...)
	assert.Len(t, c.Unacknowledged(9), 2)
	acknowledgeAll(admitWithin, a, b, c)
	assert.Equal(t, View{Known: 3, Reachable: 1, Admitted: true}, c.View(admitWithin))
}

func TestAdmission_JoiningProcessesAlone(t *testing.T) {
	c, d := newRoster("c", 3), newRoster("d", 3)
	acknowledgeAll(0, c, d)
	assert.False(t, c.View(0).Admitted)
	c.View(admitWithin)
	acknowledgeAll(0, c, d)
	assert.Equal(t, View{Known: 3, Reachable: 1, Admitted: true, Forced: true}, d.View(0),
		"acknowledged only by a forced process")
	assert.True(t, c.View(0).Forced)
}

func TestMerge_SelfProvedGone(t *testing.T) {
	a, b := newRoster("a", 2), newRoster("b", 2)
	acknowledgeAll(0, a, b)
	b.Merge(0, goneEntry("a", 1, ProofRefused))
	assert.Equal(t, 1, b.View(0).Known)
	changed := a.Merge(0, b.Entries()...)
	assert.Greater(t, a.Self().Start, int64(1))
	assert.Contains(t, changed, Entry{Name: "a", Start: a.Self().Start, Addr: "a:1"})
	assert.Equal(t, View{Known: 2, Reachable: 1}, a.View(0), "joining")
	acknowledgeAll(0, a, b)
	assert.Equal(t, View{Known: 2, Reachable: 1, Admitted: true}, a.View(0))
	assert.Equal(t, 2, b.View(0).Known)

	self := a.Self()
	a.Merge(0, goneEntry("a", self.Start, ProofLeft))
	assert.Equal(t, self, a.Self(), "a process that left starts no new incarnation")
	assert.False(t, a.View(time.Hour).Admitted)
}

func TestNextIncarnation_DiffersByAddress(t *testing.T) {
	start := func(addr string) ID {
		r := New(0, Options{Self: ID{Name: "a", Start: 1}, Addr: addr})
		r.Merge(0, goneEntry("a", 1, ProofOperator))
		return r.Self()
	}
	assert.NotEqual(t, start("h:1"), start("h:2"))
}

func TestUpgrade_LaterProcessTakesOver(t *testing.T) {
	a, b := newRoster("a", 2), newRoster("b", 2)
	acknowledgeAll(0, a, b)
	next := New(0, Options{Self: ID{Name: "a", Start: 9}, Peers: 2, AdmitWithin: admitWithin})
	next.Merge(0, b.Entries()...)
	b.Merge(0, next.Entries()...)
	next.HandleDigest(b.Self(), b.Digest())
	assert.False(t, next.View(0).Admitted, "the earlier process has not acknowledged the later one")
	assert.True(t, a.View(0).Admitted)
	acknowledgeAll(0, a, b, next)
	assert.False(t, a.View(0).Admitted)
	assert.True(t, next.View(0).Admitted)
	assert.Equal(t, 2, b.View(0).Known, "an upgrade adds no name")
	b.SetReachable(0, a.Self(), true)
	assert.Equal(t, View{Known: 2, Reachable: 2, Admitted: true}, b.View(upgradeGracePeriod))
	assert.Equal(t, View{Known: 3, Reachable: 3, Admitted: true}, b.View(upgradeGracePeriod+1), "duplicates")

	b.Merge(0, goneEntry("a", 9, ProofRefused)) // the new process of the upgrade crashed
	assert.Equal(t, View{Known: 2, Reachable: 2, Admitted: true}, b.View(upgradeGracePeriod+1), "the earlier process counts again")
	a.Merge(0, b.Entries()...)
	assert.Equal(t, ID{Name: "a", Start: 1}, a.Self())
	assert.True(t, a.View(0).Admitted)
}

const upgradeGracePeriod = 10 * time.Second

func TestBounds_Entries(t *testing.T) {
	r := New(0, Options{Self: ID{Name: "self", Start: 1}, MaxEntries: 20, AdmitWithin: admitWithin})
	for i := range 50 {
		r.Merge(time.Duration(i), Entry{Name: fmt.Sprint("gone", i), Start: 1})
		r.Merge(time.Duration(i), goneEntry(fmt.Sprint("gone", i), 1, ProofLeft))
	}
	assert.Len(t, r.Entries(), 20)
	assert.Equal(t, 1, r.View(0).Known)
	assert.Equal(t, "gone31", r.Entries()[0].Name, "the oldest proofs are evicted")
	assert.Equal(t, newRoster("self", 1).Digest(), r.Digest(), "evicted proofs do not change the digest")
	assert.Empty(t, r.Merge(0, goneEntry("gone0", 1, ProofLeft)), "a proof that would be evicted at once is ignored")
	for i := range 50 {
		r.Merge(0, Entry{Name: fmt.Sprint("present", i), Start: 1})
	}
	assert.Len(t, r.Entries(), 51)
	assert.Equal(t, 51, r.View(0).Known)

	crashing := newRoster("self", 1)
	crashing.Merge(0, goneEntry("other", 1, ProofRefused))
	for i := range int64(200) {
		crashing.Merge(0, goneEntry("again", i+1, ProofRefused))
	}
	assert.Len(t, crashing.Entries(), 2+64, "a process that crashes repeatedly evicts only proofs of its own name")
	assert.Empty(t, crashing.Merge(0, Entry{Name: "other", Start: 1}), "it remains proved gone")
	assert.Empty(t, crashing.Merge(0, goneEntry("again", 3, ProofRefused)), "it would evict another proof")
	assert.NotEmpty(t, crashing.Merge(0, goneEntry("again", 500, ProofRefused)), "a proof of the latest incarnation is accepted")
	assert.Empty(t, crashing.Merge(0, Entry{Name: "again", Start: 500}))
	assert.Len(t, crashing.Entries(), 2+64)

	// A process that is proved gone again after its proof was evicted has the newest proof, which is evicted last.
	twice := New(0, Options{Self: ID{Name: "self", Start: 1}, MaxEntries: 100, AdmitWithin: admitWithin})
	for i := range int64(65) {
		twice.Merge(0, goneEntry("again", i+1, ProofRefused))
	}
	assert.NotEmpty(t, twice.Merge(0, Entry{Name: "again", Start: 1}))
	twice.Merge(0, goneEntry("again", 1, ProofRefused))
	for i := range 40 {
		twice.Merge(0, Entry{Name: fmt.Sprint("gone", i), Start: 1})
		twice.Merge(0, goneEntry(fmt.Sprint("gone", i), 1, ProofLeft))
	}
	assert.Len(t, twice.Entries(), 100)
	assert.Empty(t, twice.Merge(0, Entry{Name: "again", Start: 1}))
}

// Only proofs are evicted. A process that is reported as present counts unless its proof is kept.
func TestBounds_PresentProcessesStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, present := newRoster("self", 1), map[ID]bool{{Name: "self", Start: 1}: true}
		start := rapid.Int64Range(1, 200)
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			id := ID{Name: "a", Start: start.Draw(t, "start")}
			known := r.Entries()
			proved := slices.ContainsFunc(known, func(e Entry) bool { return e.Start == id.Start && e.Name == "a" && !e.Present() })
			if rapid.Bool().Draw(t, "gone") {
				delete(present, id)
				r.Merge(0, goneEntry(id.Name, id.Start, ProofRefused))
			} else {
				present[id] = !proved
				r.Merge(0, Entry{Name: id.Name, Start: id.Start})
			}
		}
		presentOnly, proofs := newRoster("self", 1), 0
		for _, e := range r.Entries() {
			id := ID{Name: e.Name, Start: e.Start}
			require.Equal(t, present[id], e.Present(), "%v", id)
			delete(present, id)
			if e.Present() {
				presentOnly.Merge(0, e)
			} else {
				proofs++
			}
		}
		for id, isPresent := range present {
			require.False(t, isPresent, "present process %v was evicted", id)
		}
		require.LessOrEqual(t, proofs, 64)
		require.Equal(t, presentOnly.Digest(), r.Digest())
	})
}

// A partitioned process counts, regardless of how often later processes of its name crash meanwhile.
func TestBounds_CrashesOfOneName(t *testing.T) {
	a, o := newRoster("a", 1), newRoster("o", 1)
	a.View(admitWithin)
	acknowledgeAll(admitWithin, a, o)
	for i := range int64(200) {
		a.Merge(admitWithin, Entry{Name: "o", Start: i + 2})
		a.Merge(admitWithin, goneEntry("o", i+2, ProofRefused))
		assert.Equal(t, View{Known: 2, Reachable: 1, Admitted: true}, a.View(admitWithin))
		assert.Equal(t, View{Known: 2, Reachable: 1, Admitted: true}, o.View(admitWithin))
	}
	assert.Contains(t, a.Entries(), Entry{Name: "o", Start: 1, Addr: "o:1"})

	// A process whose proof was evicted counts if it is reported as present, until it is proved gone again.
	a.Merge(0, Entry{Name: "o", Start: 3})
	assert.Equal(t, []string{"o", "o"}, names(a.Unreachable()))
	assert.NotEmpty(t, a.Merge(0, goneEntry("o", 3, ProofRefused)))
	assert.Empty(t, a.Merge(0, Entry{Name: "o", Start: 3}), "the new proof is evicted last")
	assert.Equal(t, 2, a.View(0).Known)

	// A process that left remains so after its own proof is evicted.
	a.Merge(0, goneEntry("a", 1, ProofLeft))
	for i := range int64(200) {
		a.Merge(0, goneEntry("a", i+2, ProofRefused))
	}
	assert.Equal(t, ID{Name: "a", Start: 1}, a.Self())
}

// An observer has no quota, counts in no budget, and its acknowledgement is not needed. It is listed and proved gone
// like any other process.
func TestObserver_Quota(t *testing.T) {
	joining := New(0, Options{Self: ID{"a", 1}, Peers: 1, AdmitWithin: time.Second})
	observer := New(0, Options{Self: ID{"w", 1}, Observer: true, AdmitWithin: time.Second})
	joining.SetReachable(0, ID{"w", 1}, true) // it counts until the entry that marks it as an observer arrives
	assert.Equal(t, View{Known: 2, Reachable: 2}, joining.View(0))
	joining.Merge(0, observer.Entries()...)
	observer.Merge(0, joining.Entries()...)
	observer.SetReachable(0, ID{"a", 1}, true)
	assert.Equal(t, View{Known: 1, Reachable: 1}, joining.View(0))
	assert.Empty(t, joining.Unacknowledged(9))
	assert.Equal(t, View{Known: 1, Reachable: 1}, observer.View(time.Hour), "never admitted")
	joining.Merge(0, Entry{Name: "w", Start: 1, GoneStart: 1, Proof: ProofRefused})
	assert.Empty(t, joining.Unreachable())
	assert.Equal(t, View{Known: 1, Reachable: 1}, joining.View(0))
}

func TestObserver_NameOfMember(t *testing.T) {
	a, b := newRoster("a", 2), newRoster("b", 2)
	observer := New(0, Options{Self: ID{"a", 9}, Addr: "w:1", Peers: 2, Observer: true, AdmitWithin: admitWithin})
	acknowledgeAll(0, a, b, observer)
	for _, r := range []*Roster{a, b, observer} {
		for _, id := range []ID{{"a", 1}, {"b", 1}, {"a", 9}} {
			r.SetReachable(0, id, true)
		}
	}
	for _, now := range []time.Duration{0, upgradeGracePeriod + 1} {
		assert.Equal(t, View{Known: 2, Reachable: 2, Admitted: true}, a.View(now), "an observer takes over no quota")
		assert.Equal(t, View{Known: 2, Reachable: 2, Admitted: true}, b.View(now))
		assert.Equal(t, View{Known: 2, Reachable: 2}, observer.View(now))
	}
	// An observer does not make a sidecar of the same name a duplicate: the earlier sidecar is unreachable.
	b.Merge(0, Entry{Name: "a", Start: 5})
	b.SetReachable(0, ID{"a", 1}, false)
	b.SetReachable(0, ID{"a", 5}, true)
	assert.Equal(t, 2, b.View(2*upgradeGracePeriod).Known)
}
