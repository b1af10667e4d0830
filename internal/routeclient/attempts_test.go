package routeclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
)

func TestStartAttempt_check(t *testing.T) {
	client := newLeasedClient(t, 5, time.Second)
	for _, c := range []struct {
		name   string
		passed time.Duration
		rev    int64
		canary bool
		under  int64
		ok     bool
	}{
		{"base", 0, 5, false, 5, true},
		{"canary", 0, 5, true, 5, true},
		{"base of an older revision", 0, 4, false, 0, false},
		{"canary of an older revision", 0, 4, true, 0, false},
		{"canary of a later revision", 0, 6, true, 0, false},
		{"just before the end", time.Second - 1, 5, true, 5, true},
		{"canary at the end", 1, 5, true, 0, false},
		{"base at the end", 0, 5, false, 0, true},
		{"base of an older revision, at the end", 0, 4, false, 0, false},
		{"decided on without a lease", 0, 0, false, 0, true},
		{"canary decided on without a lease", 0, 0, true, 0, false},
	} {
		client.clock.advance(c.passed)
		under, ok := client.StartAttempt(c.rev, "a", c.canary)
		require.Equal(t, []any{c.under, c.ok}, []any{under, ok}, c.name)
	}
	client.SetActingRev(4)
	require.EqualValues(t, 5, client.Status().ActingRev, "the acting revision decreased")
	require.Equal(t, []route.Count{
		{Tenant: "a", Started: 2}, {Rev: 5, Tenant: "a", Started: 1}, {Rev: 5, Tenant: "a", Canary: true, Started: 2},
	}, client.makeReport(1, route.LeaderTime{}).Counts)
}

// TestStartAttemptAs_headWritten verifies that an attempt does not start and is not counted if it would count under
// another revision than its head contains.
func TestStartAttemptAs_headWritten(t *testing.T) {
	client := newLeasedClient(t, 5, time.Second)
	require.True(t, client.StartAttemptAs(5, "a", false, 5))
	require.False(t, client.StartAttemptAs(4, "a", false, 5), "an older revision")
	client.clock.advance(time.Second)
	require.False(t, client.StartAttemptAs(5, "a", false, 5), "the lease has expired")
	require.False(t, client.StartAttemptAs(5, "a", true, 0), "canary without a lease")
	counted := []route.Count{{Rev: 5, Tenant: "a", Started: 1}}
	require.Equal(t, counted, client.makeReport(1, route.LeaderTime{}).Counts)
	require.True(t, client.StartAttemptAs(5, "a", false, 0), "the head was written after the end of the lease")
	client.setLease(client.clock.Now(), time.Second)
	require.False(t, client.StartAttemptAs(5, "a", false, 0), "a lease was granted after the head was written")
	counted = append([]route.Count{{Tenant: "a", Started: 1}}, counted...)
	require.Equal(t, counted, client.makeReport(2, route.LeaderTime{}).Counts)
}
