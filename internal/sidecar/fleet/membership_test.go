package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/sidecartest"
)

// Leave returns after leaveTimeout even if the goroutine never ends.
func TestMembers_leaveTimeout(t *testing.T) {
	m := New(&config.Membership{}, nil) // run is not started, so ended is never closed
	startedAt := time.Now()
	m.Leave(startedAt.Add(time.Hour))
	require.GreaterOrEqual(t, time.Since(startedAt), leaveTimeout)
	require.Less(t, time.Since(startedAt), sidecartest.WaitTimeout)
	require.Equal(t, leaveTimeout*2/3, m.leaveTimeout)
	m.Leave(startedAt) // the time has passed already

	m.publishView(roster.View{Known: 2, Reachable: 2, Admitted: true})
	s, _ := m.Size()
	require.True(t, s.Admitted)
	m.LeftByOperator.Store(true) // an operator's request overrides the latest view
	s, _ = m.Size()
	require.False(t, s.Admitted)
}

// When Leave returns the member has left, even if the library uses all of its time.
func TestMembers_leaveWithinTimeout(t *testing.T) {
	open := func(name string, seeds ...string) *Membership {
		cfg := membership.Config{Name: name, Fleet: "f", Bind: sidecartest.Loopback, Seeds: seeds, Peers: 2}
		m := New(&config.Membership{Group: cfg}, func() bool { return false })
		go m.run()
		sidecartest.Until(t, "the group to list itself", func() bool { g := m.group.Load(); return g != nil && len(g.Report().Members) > 0 })
		return m
	}
	a := open("a")
	b := open("b", a.group.Load().Report().Members[0].Addr)
	sidecartest.Until(t, "both members to reach each other", func() bool { return a.group.Load().View().Reachable == 2 && b.group.Load().View().Reachable == 2 })
	for _, m := range []*Membership{a, b} {
		m.Leave(time.Now().Add(time.Hour))
		select {
		case <-m.ended:
		default:
			t.Error("Leave returned before run had ended")
		}
	}
}
