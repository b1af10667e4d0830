package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marblelane/internal/audit"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

func entry(uid string, boot int64) *Entry {
	return &Entry{UID: uid, Endpoint: "127.0.0.1:1", Zone: "a", State: Ready, Capacity: 1, BootMS: boot}
}

func newStartedState(keep int) *State {
	s := NewState(keep)
	if _, err := s.Apply(&Command{Op: OpBeginEpoch, Epoch: 5}); err != nil {
		panic(err)
	}
	return s
}

// After any writes and any lag of a reader, the changes that it receives result in the current list, and no revision
// stands for two different lists.
func TestState_readerCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStartedState(rapid.IntRange(1, 10).Draw(t, "keep"))
		type reader struct {
			rev  int64
			list map[string]Entry
		}
		readers := []*reader{{list: map[string]Entry{}}, {list: map[string]Entry{}}, {list: map[string]Entry{}}}
		catchUp := func(r *reader) {
			l := s.ChangesSince(r.rev)
			if l.All {
				clear(r.list)
			}
			for _, e := range l.Targets {
				if e.State == Gone {
					delete(r.list, e.UID)
				} else {
					r.list[e.UID] = e
				}
			}
			r.rev = l.Rev
		}
		lists := map[int64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			uid := fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "uid"))
			before := s.Rev()
			c := &Command{UID: uid, Op: rapid.SampledFrom([]Op{OpPut, OpPut, OpDrain, OpRemove, OpExpire, OpBeginEpoch}).Draw(t, "op")}
			switch c.Op {
			case OpPut:
				c.Entry = entry(uid, rapid.Int64Range(0, 3).Draw(t, "boot"))
			case OpExpire:
				_, changed, _, _ := s.Get(uid)
				c.Expired = map[string]int64{uid: changed}
			case OpBeginEpoch:
				c.Epoch = EpochOf(s.Rev()) + 1
			}
			_, _ = s.Apply(c) // a rejected command is valid input, too
			if s.Rev() < before {
				t.Fatalf("the revision went back from %d to %d", before, s.Rev())
			}
			if now := fmt.Sprint(s.All().Targets); s.Rev() == before {
				if old, ok := lists[before]; ok && old != now {
					t.Fatalf("the list at revision %d changed from %s to %s", before, old, now)
				}
			} else {
				lists[s.Rev()] = now
			}
			for _, r := range readers {
				if rapid.Bool().Draw(t, "reads") {
					catchUp(r)
				}
			}
		}
		want := map[string]Entry{}
		for _, e := range s.All().Targets {
			want[e.UID] = e
		}
		for _, r := range readers {
			catchUp(r)
			if diff := cmp.Diff(want, r.list); diff != "" {
				t.Fatalf("the list of a reader differs from the state:\n%s", diff)
			}
		}
	})
}

func TestState_unknownRevisionGetsFullList(t *testing.T) {
	s := newStartedState(4)
	for i := range 20 {
		if _, err := s.Apply(&Command{Op: OpPut, Entry: entry("s", int64(i))}); err != nil {
			t.Fatal(err)
		}
	}
	for name, after := range map[string]int64{
		"none": 0, "older than the history": 5<<CountBits + 2, "ahead": s.Rev() + 1,
		"of an older history": 4<<CountBits + 19, "of a newer history": 6<<CountBits + 1, "nonsense": -7,
	} {
		if l := s.ChangesSince(after); !l.All || len(l.Targets) != 1 {
			t.Errorf("%s: %+v", name, l)
		}
	}
	if l := s.ChangesSince(s.Rev() - 1); l.All || len(l.Targets) != 1 {
		t.Errorf("changes since the revision before the last: %+v", l)
	}
	if l := s.ChangesSince(s.Rev()); l.All || len(l.Targets) != 0 {
		t.Errorf("changes since the newest revision: %+v", l)
	}
}

func TestState_repeatedWrites(t *testing.T) {
	s := newStartedState(100)
	zero := int64(0)
	put := &Command{Op: OpPut, Entry: entry("s", 1), If: &zero, LeaseMS: 1000}
	first, err := s.Apply(put)
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.Apply(put)
	if err != nil || again != first || s.Rev() != first {
		t.Errorf("the second put returned %d, %v; the first returned %d", again, err, first)
	}
	if _, err := s.Apply(&Command{Op: OpPut, Entry: entry("s", 2), If: &zero}); !errors.Is(err, ErrConflict) {
		t.Errorf("put that requires a missing entry, on an existing one: %v", err)
	}
	for _, op := range []Op{OpDrain, OpRemove} {
		c := &Command{Op: op, UID: "s", If: ptr(s.Rev())}
		one, err := s.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		two, err := s.Apply(c)
		if err != nil || one != two {
			t.Errorf("repeated %s returned %d and %d, %v", op, one, two, err)
		}
	}
	if _, err := s.Apply(&Command{Op: OpDrain, UID: "s"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("drain of an unknown entry: %v", err)
	}
}

func ptr[T any](v T) *T { return &v }

func TestState_drainedUntilRestart(t *testing.T) {
	s := newStartedState(100)
	for _, c := range []*Command{{Op: OpPut, Entry: entry("s", 10)}, {Op: OpDrain, UID: "s"}} {
		if _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Apply(&Command{Op: OpPut, Entry: entry("s", 10)}); !errors.Is(err, ErrDrained) {
		t.Errorf("registration of the drained start: %v", err)
	}
	if _, err := s.Apply(&Command{Op: OpPut, Entry: entry("s", 11)}); err != nil {
		t.Errorf("registration of a later start: %v", err)
	}
	if l := s.All(); len(l.Targets) != 1 || l.Targets[0].State != Ready || l.Targets[0].BootMS != 11 {
		t.Errorf("the list is %+v", l)
	}
}

// An expiry that was decided before the entry changed does not remove the changed entry.
func TestState_expiryOfObservedRevision(t *testing.T) {
	s := newStartedState(100)
	rev, _ := s.Apply(&Command{Op: OpPut, Entry: entry("s", 1), LeaseMS: 10})
	if _, err := s.Apply(&Command{Op: OpPut, Entry: entry("s", 2), LeaseMS: 10}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(&Command{Op: OpExpire, Expired: map[string]int64{"s": rev}}); err != nil || s.Len() != 1 {
		t.Errorf("%d entries after the expiry, %v", s.Len(), err)
	}
}

func TestEpochs(t *testing.T) {
	now := EpochZero.Add(1000 * time.Minute)
	if e := NextEpoch(now, 0); e != 1000 {
		t.Errorf("epoch of a new history: %d", e)
	}
	if e := NextEpoch(now, 1000); e != 1001 {
		t.Errorf("second epoch within the same minute: %d", e)
	}
	if e := NextEpoch(EpochZero.Add(-time.Hour), 7); e != 8 {
		t.Errorf("epoch after the clock was set back: %d", e)
	}
	if rev := int64(MaxEpoch)<<CountBits + 1<<CountBits - 1; rev != 1<<53-1 {
		t.Errorf("the highest revision is %d", rev)
	}
}

func TestSnapshot_list(t *testing.T) {
	s := newStartedState(100)
	for i := range 5 {
		if _, err := s.Apply(&Command{Op: OpPut, Entry: entry(fmt.Sprint("s", i), 1), LeaseMS: 50}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Apply(&Command{Op: OpReplicaAddress, UID: "r1", Address: "127.0.0.1:9"}); err != nil {
		t.Fatal(err)
	}
	back := NewState(100)
	stored, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if stored.Form != SnapshotFormWithoutRoutes {
		t.Errorf("a snapshot without routes has format %d, which earlier versions cannot read", stored.Form)
	}
	if err := back.Restore(stored); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(back.All().Targets, s.All().Targets) || back.Rev() != s.Rev() || back.ReplicaAddresses()["r1"] != "127.0.0.1:9" {
		t.Errorf("%+v, want %+v", back.All(), s.All())
	}
	if l := back.ChangesSince(s.Rev() - 1); !l.All {
		t.Error("a restored state returned changes instead of the full list")
	}
	if err := back.Restore(&Snapshot{Form: SnapshotForm + 1}); err == nil {
		t.Error("a snapshot of a newer format was restored")
	}
}

// saveState takes the snapshot of a state.
func saveState(t *testing.T, s *State) *Snapshot {
	t.Helper()
	out, err := s.Snapshot()
	require.NoError(t, err)
	return out
}

func encodeJSON(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	require.NoError(t, err)
	return string(text)
}

// A snapshot contains the routes. A snapshot of format 1, without routes, can be restored, and is written while there
// are no routes.
func TestSnapshot_routes(t *testing.T) {
	s := newStartedState(10)
	base := rollout.Command{Op: rollout.OpBase, Tenant: "a", Base: route.Subset{Model: []string{"m"}}}
	for _, c := range []*Command{{Op: OpMaxLeaseTerm, TermMS: 5}, {Op: OpRoutes, Routes: &base},
		{Op: OpAudit, Audit: []audit.Transition{{Process: route.Process{Name: "p", Start: 1}, Kind: audit.FirstReport, Rev: 1}},
			Seen: []SchemaSupport{{Process: route.Process{Name: "p", Start: 1}, Schemas: []int{1}}}}} {
		before := s.Rev()
		_, err := s.Apply(c)
		require.NoError(t, err)
		assert.Equal(t, before, s.Rev(), "the revision of the list changed")
	}
	stored := saveState(t, s)
	assert.Equal(t, SnapshotForm, stored.Form)
	back := NewState(10)
	require.NoError(t, back.Restore(stored))
	assert.Equal(t, encodeJSON(t, stored), encodeJSON(t, saveState(t, back)))
	assert.Equal(t, s.Routes.Table(), back.Routes.Table())
	assert.Equal(t, 1, back.AuditLog.Len())

	require.NoError(t, back.Restore(&Snapshot{Form: SnapshotFormWithoutRoutes, Rev: 7<<CountBits + 3}))
	assert.Equal(t, int64(7<<CountBits), back.Routes.Rev())
	assert.Equal(t, SnapshotFormWithoutRoutes, saveState(t, back).Form)
	assert.Error(t, back.Restore(&Snapshot{Form: SnapshotForm, Routes: []byte("{"), Audit: []byte("{}")}))
	assert.Less(t, back.Routes.Rev(), int64(math.MaxInt64))
}
