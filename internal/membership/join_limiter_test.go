package membership

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership/roster"
)

func TestJoinLimiter(t *testing.T) {
	l := newJoinLimiter(time.Hour) // so long that no token is added during the test
	for range joinBurst {
		require.Zero(t, l.reserve())
	}
	first := l.reserve()
	require.InDelta(t, time.Hour/joinsPerInterval, first, float64(time.Minute))
	for range 20 {
		l.recordLateTimer()
		l.recordResult(errors.New("refused"))
	}
	require.InDelta(t, maxJoinSlowdown*time.Hour/joinsPerInterval, l.reserve(), float64(maxJoinSlowdown*time.Minute))
	for range 5 {
		l.recordResult(nil)
	}
	require.InDelta(t, first, l.reserve(), float64(time.Minute), "the rate recovers after successful calls")
}

func TestPushPull_UnreportedEntries(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(3, func(c *Config) { c.TrustRefused = false })
	require.Equal(t, `{"v":1,"k":"entries"}`, string(g[0].current.Load().LocalState(false)))
	require.NoError(t, g[2].Close())
	f.eventually("p2 is unreachable", func() bool { return stateOf(g[0], "p2") == "silent" })
	m, err := decodeMessage(g[0].current.Load().LocalState(false), nil)
	require.NoError(t, err)
	require.Equal(t, []roster.Entry{{Name: "p2", Start: g[2].cfg.Start, Addr: g[2].addr}}, m.rosterEntries())
	joining := f.open("p3", func(c *Config) { c.TrustRefused = false }, g[0].addr)
	f.eventually("a joining process learns of the unreachable one", func() bool { return joining.View().Known == 4 })
}
