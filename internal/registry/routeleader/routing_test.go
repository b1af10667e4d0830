package routeleader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/route"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A table must be encoded only once for sets of schemas that are the same after reduction to the supported schemas.
func TestTables_encodedOnce(t *testing.T) {
	all := newTables("")
	all.set(route.Table{Rev: 1}, 1, time.Now())
	one, err := all.newest().text([]int{2})
	require.NoError(t, err)
	two, err := all.newest().text([]int{2, 2, 7})
	require.NoError(t, err)
	assert.Same(t, &one.text[0], &two.text[0], "the table is encoded twice")
}

func TestDefect_ignorable(t *testing.T) {
	table := ignorable.tableAsRead(&route.Table{Rev: 1, Routes: []route.Route{{Classes: []string{"x"}, Share: 1, Rollout: "r"}}}, []int{1})
	encoded, err := encodeTable(table, []int{1})
	require.NoError(t, err)
	assert.Equal(t, route.SameReading, encoded.verdict, "the injected defect has no effect on the verdict")
}

// The defect countLate counts spent budget as returned, so that it can be granted again.
func TestDefect_countLate(t *testing.T) {
	a := &route.BudgetRequest{Budgets: []route.BudgetState{{Granted: 5, Spent: 3, Returned: 1}}}
	Defect("").modifyBudgets(a)
	assert.Equal(t, int64(3), a.Budgets[0].Spent)
	countLate.modifyBudgets(a)
	assert.Equal(t, route.BudgetState{Granted: 5, Returned: 4}, a.Budgets[0])
}

// leadingReplica leads in one term and applies commands to a state at once.
type leadingReplica struct {
	*listserver.Hub
	term uint64
}

func (r *leadingReplica) Apply(c *state.Command, _ time.Duration) (rev int64, err error) {
	r.Read(func(s *state.State) { rev, err = s.Apply(c) })
	return rev, err
}

func (r *leadingReplica) Confirm() error                   { return nil }
func (r *leadingReplica) Leader() (bool, string)           { return true, "" }
func (r *leadingReplica) Staleness() time.Duration         { return 0 }
func (r *leadingReplica) Term() uint64                     { return r.term }
func (r *leadingReplica) LastDiskWriteTime() time.Duration { return 0 }
func (r *leadingReplica) DiskWrites() int64                { return 0 }

// A lease of an earlier leader with a longer term may still be valid. A new leader must make no decision before that
// lease has expired on every clock.
func TestLeader_shorterLeaseTerm(t *testing.T) {
	t.Parallel()
	replicated := &leadingReplica{listserver.NewHub(10), 1}
	server := listserver.New(replicated.Hub, replicated, listserver.Options{Operators: &operators.Operators{}})
	r := New(server, replicated.Hub, replicated, Config{Name: "one", Wall: time.Now})
	_, err := replicated.Apply(&state.Command{Op: state.OpMaxLeaseTerm, TermMS: 3_600_000}, listserver.ApplyTimeout)
	require.NoError(t, err)
	_, err = r.ensureLeadership()
	require.NoError(t, err)
	l := r.current()
	require.NotNil(t, l)
	assert.Equal(t, withClockMargin(3_600_000, 0.02), l.decisionsFrom.Sub(l.startedAt))
	r.decide(l)
	replicated.Read(func(s *state.State) { assert.EqualValues(t, 3_600_000, s.MaxLeaseTermMS, "decided too early") })
}
