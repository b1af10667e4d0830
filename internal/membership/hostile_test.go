package membership

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"marblelane/internal/membership/roster"
)

// A process of another name, whose clock is behind, reuses the address of a crashed process. The crashed process must
// be gone, and the other one must not raise its start.
func TestGroup_AddressReusedByOtherName(t *testing.T) {
	f := newTestFleet(t)
	g := f.openAll(2, nil)
	a := f.open("a", func(c *Config) { c.Start = time.Now().Add(time.Hour).UnixMilli() }, g[0].addr)
	f.eventually("a admitted", func() bool { return a.View().Admitted && g[0].View().Known == 3 })
	require.NoError(t, a.Close())
	b := f.open("b", func(c *Config) { c.Bind = a.addr }, g[0].addr)
	f.eventually("a gone, b admitted", func() bool {
		return b.View().Admitted && b.View().Known == 3 && g[0].View().Known == 3
	})
	require.Zero(t, b.Stats().StartsRaised)
}

// A process whose start is the largest possible one cannot rejoin after it was reported gone, and has no running
// library. It must still be able to leave.
func TestGroup_LeaveWithoutLibrary(t *testing.T) {
	f := newTestFleet(t)
	g := f.openAll(2, nil)
	self := g[0].Report().Self
	forged := encodeEntries(kindEntries,
		roster.Entry{Name: self.Name, Start: maxStart - 1, GoneStart: maxStart - 1, Proof: roster.ProofOperator},
		roster.Entry{Name: self.Name, Start: self.Start, GoneStart: self.Start, Proof: roster.ProofOperator}).bytes()
	require.NoError(t, g[1].current.Load().library.SendToAddress(memberlist.Address{Addr: g[0].addr}, forged))
	f.eventually("the gone process cannot rejoin", func() bool { return g[0].current.Load().transport.closed.Load() })
	require.NoError(t, g[0].Leave(t.Context()))
}
