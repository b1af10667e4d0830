package membership

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"marblelane/internal/membership/roster"
)

// A dead process's address is taken by one of another name whose clock is behind: the dead one is counted out, and the
// newcomer takes no other start for it.
func TestAnotherNameAtTheAddressOfTheDead(t *testing.T) {
	f := newFleet(t)
	g := f.grow(2, nil)
	a := f.open("a", func(c *Config) { c.Start = time.Now().Add(time.Hour).UnixMilli() }, g[0].addr)
	f.until("a in", func() bool { return a.View().Admitted && g[0].View().Known == 3 })
	require.NoError(t, a.Close())
	b := f.open("b", func(c *Config) { c.Bind = a.addr }, g[0].addr)
	f.until("a out, b in", func() bool { return b.View().Admitted && b.View().Known == 3 && g[0].View().Known == 3 })
	require.Zero(t, b.Figures().BegunAgain)
}

// A start that cannot be raised any more leaves a process without its library. It can still leave, and say so.
func TestLeaveWithoutALibrary(t *testing.T) {
	f := newFleet(t)
	g := f.grow(2, nil)
	self := g[0].Report().Self
	evil := encodeEntries(kindEntries,
		roster.Entry{Name: self.Name, Start: maxStart - 1, Gone: maxStart - 1, Proof: roster.ProofOperator},
		roster.Entry{Name: self.Name, Start: self.Start, Gone: self.Start, Proof: roster.ProofOperator}).bytes()
	require.NoError(t, g[1].current.Load().list.SendToAddress(memberlist.Address{Addr: g[0].addr}, evil))
	f.until("it cannot begin again", func() bool { return g[0].current.Load().lease.over.Load() })
	require.NoError(t, g[0].Leave(t.Context()))
}
