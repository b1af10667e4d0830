package membership

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"marblelane/internal/membership/roster"
	"marblelane/internal/membership/transport"
)

const testInterval = 50 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNetwork connects the processes of a test. Packets and streams between different partitions are dropped.
type testNetwork struct {
	mu         sync.Mutex
	partitions map[string]int  // by address
	frozen     map[string]bool // by address; a frozen process accepts connections and sends nothing
}

// update runs f with the network locked.
func (w *testNetwork) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// testTransport is the transport of one process in a testNetwork.
type testTransport struct {
	memberlist.NodeAwareTransport
	network  *testNetwork
	addr     string
	onSend   func(bytes int)
	wrapConn func(net.Conn) net.Conn
}

// transport returns the transport of a process that binds the given address.
func (w *testNetwork) transport(t testing.TB, bind string) *testTransport {
	tr, err := transport.Open(transport.Config{Bind: bind})
	require.NoError(t, err)
	ip, port, err := tr.FinalAdvertiseAddr("", 0)
	require.NoError(t, err)
	return &testTransport{tr, w, netip.AddrPortFrom(netip.MustParseAddr(ip.String()), uint16(port)).String(), func(int) {},
		func(c net.Conn) net.Conn { return c }}
}

func (x *testTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	x.network.mu.Lock()
	lost := x.network.partitions[x.addr] != x.network.partitions[a.Addr] || x.network.frozen[x.addr] ||
		x.network.frozen[a.Addr]
	x.network.mu.Unlock()
	x.onSend(len(b))
	if lost {
		return time.Now(), nil
	}
	return x.NodeAwareTransport.WriteToAddress(b, a)
}

func (x *testTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	x.network.mu.Lock()
	partitioned, frozenTarget := x.network.partitions[x.addr] != x.network.partitions[a.Addr] || x.network.frozen[x.addr],
		x.network.frozen[a.Addr]
	x.network.mu.Unlock()
	switch {
	case partitioned:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case frozenTarget:
		here, _ := net.Pipe()
		return here, here.SetDeadline(time.Now().Add(timeout))
	}
	conn, err := x.NodeAwareTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return x.wrapConn(conn), nil
}

// testFleet holds the processes of a test.
type testFleet struct {
	*testing.T
	*testNetwork
	ip     string // loopback address of this fleet alone, so that no other test reuses the address of an ended process
	groups map[string]*Group
}

func newTestFleet(t *testing.T) *testFleet {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	return &testFleet{t, &testNetwork{partitions: map[string]int{}, frozen: map[string]bool{}}, ip, map[string]*Group{}}
}

// open opens a group that is closed at the end of the test. configure may be nil.
func (f *testFleet) open(name string, configure func(*Config), seeds ...string) *Group {
	f.Helper()
	cfg := Config{Name: name, Fleet: "test", Zone: "z1", Role: "sidecar", Version: "1", Bind: f.ip + ":0", Seeds: seeds,
		Interval: testInterval, AdmitWithin: time.Minute, TrustRefused: true}
	if configure != nil {
		configure(&cfg)
	}
	if cfg.Transport == nil {
		cfg.Transport = f.transport(f.T, cfg.Bind)
	}
	g, err := Open(cfg)
	require.NoError(f, err)
	f.groups[name] = g
	f.Cleanup(func() { require.NoError(f, g.Close()) })
	return g
}

// openAll opens n groups and waits until all know each other. The first one starts alone and is admitted by timeout.
func (f *testFleet) openAll(n int, configure func(*Config)) []*Group {
	f.Helper()
	all := []*Group{f.open("p0", func(c *Config) {
		c.AdmitWithin = testInterval
		if configure != nil {
			configure(c)
		}
	})}
	for i := range n - 1 {
		all = append(all, f.open(fmt.Sprint("p", i+1), configure, all[0].addr))
	}
	f.eventually("all know each other", func() bool {
		return !slices.ContainsFunc(all, func(g *Group) bool {
			return g.View() != roster.View{Known: n, Reachable: n, Admitted: true}
		})
	})
	return all
}

// eventually waits up to 20 s for a condition and fails the test with the reports of all groups otherwise.
func (f *testFleet) eventually(what string, condition func() bool) {
	f.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(testInterval / 5) {
		if time.Now().After(end) {
			for name, g := range f.groups {
				f.Logf("%s: %+v", name, g.Report())
			}
			f.Fatal("timeout: " + what)
		}
	}
}

// stateOf returns the state and proof of the latest process of a name in g's report, such as "alive" or "gone left".
func stateOf(g *Group, name string) string {
	out := ""
	for _, m := range g.Report().Members {
		if m.Name == name {
			out = strings.TrimSpace(string(m.State) + " " + m.Proof)
		}
	}
	return out
}

// quotaSum returns the sum of the quotas that the groups derive from their views.
func quotaSum(all ...*Group) float64 {
	sum := 0.
	for _, g := range all {
		if v := g.View(); v.Admitted {
			sum += 1 / float64(v.Known)
		}
	}
	return sum
}

// knownCountIs returns a condition on the number of known members.
func knownCountIs(g *Group, n int) func() bool { return func() bool { return g.View().Known == n } }

// unusedAddr returns an address that refuses connections.
func (f *testFleet) unusedAddr() string {
	l, err := net.Listen("tcp", f.ip+":0")
	require.NoError(f, err)
	defer l.Close()
	return l.Addr().String()
}

func TestGroup_JoinDeadSeeds(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	a := f.open("a", func(c *Config) { c.AdmitWithin = testInterval }, f.unusedAddr())
	f.eventually("a lone process is admitted by timeout", func() bool {
		return a.View() == roster.View{Known: 1, Reachable: 1, Admitted: true, Forced: true}
	})
	var sent atomic.Int64
	b := f.open("b", func(c *Config) {
		x := f.transport(t, c.Bind)
		x.onSend = func(int) { sent.Add(1) }
		c.Transport = x
	}, f.unusedAddr(), a.addr, f.unusedAddr(), "127.0.0.1:1")
	f.eventually("both admitted", func() bool {
		want := roster.View{Known: 2, Reachable: 2, Admitted: true}
		return a.View() == want && b.View() == want
	})
	require.Equal(t, "alive", stateOf(a, "b"))
	for _, m := range a.Report().Members {
		require.Equal(t, []string{"z1", "sidecar", "1"}, []string{m.Zone, m.Role, m.Version})
	}
	require.NoError(t, b.Leave(t.Context()))
	sentBefore := sent.Load()
	f.eventually("b left", func() bool { return stateOf(a, "b") == "gone left" && a.View().Known == 1 })
	require.False(t, b.View().Admitted)
	require.Equal(t, "gone left", stateOf(b, "b"))
	end := time.Now().Add(4 * testInterval) // several gossip rounds
	f.eventually("a process that has left sends nothing", func() bool {
		return time.Now().After(end) && sentBefore == sent.Load()
	})
}

func TestGroup_AdmissionNeedsAcks(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, nil)
	a := f.open("a", nil, f.unusedAddr())
	defect := f.open("d", func(c *Config) { c.Defect = DefectNoAdmission }, f.unusedAddr())
	f.eventually("the defect breaks the invariant", func() bool { return quotaSum(g[0], g[1], defect) > 1 })
	require.False(t, a.View().Admitted)
	require.LessOrEqual(t, quotaSum(g[0], g[1], a), 1.)
}

func TestGroup_CrashAndFreeze(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(4, nil)
	f.update(func() { f.frozen[g[3].addr] = true })
	require.NoError(t, g[2].Close())
	f.eventually("all members have a proof of the crash", func() bool {
		return stateOf(g[0], "p2") == "gone refused" && stateOf(g[1], "p2") == "gone refused"
	})
	f.eventually("the frozen process is unreachable and still counted", func() bool {
		return stateOf(g[0], "p3") == "silent" && g[0].View() == roster.View{Known: 3, Reachable: 2, Admitted: true}
	})
	failedJoins := func() uint64 { return g[0].counters.failedJoins.Load() }
	for before := failedJoins(); failedJoins() < before+2; time.Sleep(testInterval) { // failed calls are no proof
		require.Equal(t, 3, g[0].View().Known)
	}
	f.update(func() { clear(f.frozen) })
	f.eventually("the frozen process is alive again", func() bool {
		return stateOf(g[0], "p3") == "alive" && g[3].View().Reachable == 3
	})
}

func TestGroup_DefectTrustDetector(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, func(c *Config) { c.Defect, c.TrustRefused = DefectTrustDetector, false })
	f.update(func() { f.partitions[g[1].addr] = 1 })
	f.eventually("each partition takes the whole budget", func() bool { return quotaSum(g...) > 1 })
}

func TestGroup_RefusalNotTrusted(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, func(c *Config) { c.TrustRefused = false })
	require.NoError(t, g[1].Close())
	f.eventually("p1 is unreachable", func() bool { return stateOf(g[0], "p1") == "silent" })
	require.Equal(t, 2, g[0].View().Known)
	require.ErrorIs(t, g[0].ConfirmGone(roster.ID{Name: "p1", Start: 1}), ErrUnknownMember)
	require.NoError(t, g[0].ConfirmGone(g[1].Report().Self))
	require.Equal(t, "gone told", stateOf(g[0], "p1"))
	require.Equal(t, 1, g[0].View().Known)
}

func TestGroup_SuspicionRefuted(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, func(c *Config) { c.Interval = 5 * testInterval }) // a suspicion lasts four intervals
	f.update(func() { f.frozen[g[1].addr] = true })
	f.eventually("p1 is suspected", func() bool { return stateOf(g[0], "p1") == "suspected" })
	require.Equal(t, roster.View{Known: 2, Reachable: 2, Admitted: true}, g[0].View())
	f.update(func() { clear(f.frozen) })
	f.eventually("p1 refutes the suspicion", func() bool { return stateOf(g[0], "p1") == "alive" })
}

func TestGroup_Restart(t *testing.T) {
	t.Parallel()
	for _, sameAddr := range []bool{false, true} {
		for _, back := range []int64{0, 2_000, 31_000, 1_000_000, 3_600_000} {
			t.Run(fmt.Sprintf("same address %v, clock back %d", sameAddr, back), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				g := f.openAll(3, nil)
				before := g[2].Report().Self
				require.NoError(t, g[2].Close())
				restarted := f.open("p2", func(c *Config) {
					c.Start = before.Start + 1000 - back
					if sameAddr {
						c.Bind = g[2].addr
					}
				}, g[0].addr, g[1].addr)
				f.eventually("the restarted process replaces the earlier one", func() bool {
					return restarted.View() == roster.View{Known: 3, Reachable: 3, Admitted: true} && g[0].View() == restarted.View()
				})
				require.Greater(t, restarted.Report().Self.Start, before.Start)
			})
		}
	}
}

func TestGroup_Duplicates(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, nil)
	duplicate := f.open("p1", func(c *Config) { c.Start = g[1].cfg.Start }, g[0].addr) // the starts are equal, too
	f.eventually("their starts differ", func() bool { return duplicate.Report().Self != g[1].Report().Self })
	f.eventually("only the later one is admitted", func() bool {
		n := 0
		for _, g := range []*Group{duplicate, g[1]} {
			if g.View().Admitted {
				n++
			}
		}
		return n == 1
	})
	f.eventually("both are reported as duplicates and counted", func() bool {
		n := 0
		for _, m := range g[0].Report().Members {
			if m.Duplicate {
				n++
			}
		}
		return n == 2 && g[0].View().Known == 3
	})
}

func TestGroup_ConfirmGoneRunningMember(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(3, nil)
	before := g[2].Report().Self
	require.NoError(t, g[0].ConfirmGone(before))
	f.eventually("the process reported gone takes a greater start, which all members know", func() bool {
		return g[2].Report().Self.Start > before.Start && !slices.ContainsFunc(g, func(g *Group) bool {
			return g.View() != roster.View{Known: 3, Reachable: 3, Admitted: true}
		})
	})
	require.EqualValues(t, 1, g[2].counters.startsRaised.Load())
}

func TestGroup_LongPartition(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(4, nil)
	f.update(func() { f.partitions[g[2].addr], f.partitions[g[3].addr] = 1, 1 })
	f.eventually("both partitions reach two of four members", func() bool {
		require.LessOrEqual(t, quotaSum(g...), 1.)
		return !slices.ContainsFunc(g, func(g *Group) bool { return g.View().Reachable != 2 })
	})
	end := time.Now().Add(libraryConfig(&g[0].cfg).GossipToTheDeadTime + 10*testInterval)
	f.eventually("the library has forgotten the dead nodes", func() bool {
		require.LessOrEqual(t, quotaSum(g...), 1.)
		return time.Now().After(end)
	})
	f.update(func() { clear(f.partitions) })
	f.eventually("all members reach each other again", func() bool {
		return !slices.ContainsFunc(g, func(g *Group) bool { return g.View().Reachable != 4 || g.View().Known != 4 })
	})
}

func TestGroup_ForeignTraffic(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, func(c *Config) { c.Networks = []netip.Prefix{netip.MustParsePrefix(f.ip + "/32")} })
	other := f.open("o", func(c *Config) { c.Fleet = "other" }, g[0].addr)
	f.open("x", func(c *Config) { c.Bind = "127.0.0.2:0" }, g[0].addr)
	conn, err := net.Dial("udp", g[0].addr)
	require.NoError(t, err)
	defer conn.Close()
	for range 20 { // random bytes, some of which are message types of the library
		garbage := make([]byte, 1+rand.IntN(300))
		for i := range garbage {
			garbage[i] = byte(rand.Uint32())
		}
		_, _ = conn.Write(append([]byte{244, 4, 't', 'e', 's', 't'}, garbage...))
	}
	for _, m := range []string{"", "{}", `{"v":2}`, `{"v":1,"k":"entries","e":[{"n":"y","s":1,"a":"127.0.0.9:1"}]}`} {
		require.NoError(t, g[1].current.Load().library.SendToAddress(memberlist.Address{Addr: g[0].addr}, []byte(m)))
	}
	f.eventually("foreign packets are dropped and counted", func() bool {
		d := g[0].counters.dropsByReason()
		return d["label"] > 0 && d["node"] > 0 && d["message"] >= 4
	})
	require.Equal(t, 2, g[0].View().Known)
	require.Equal(t, 1, other.View().Known)
	require.NotContains(t, fmt.Sprint(g[1].Report().Members), "127.0.0.2")
}

func TestGroup_CloseWhileJoining(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	require.NoError(t, err)
	defer l.Close()
	g, err := Open(Config{Name: "a", Fleet: "test", Bind: "127.0.0.1:0", Seeds: []string{l.Addr().String()}})
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	defer conn.Close()
	done := make(chan error, 1)
	go func() { done <- g.Close() }()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(3 * time.Second):
		t.Fatal("Close blocks on the call to the seed")
	}
	require.ErrorIs(t, g.Leave(context.Background()), net.ErrClosed)
}

func TestGroup_Handler(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, func(c *Config) { c.EstimatedSize = func() float64 { return 1.5 } })
	srv := httptest.NewServer(g[0].Handler())
	defer srv.Close()
	post := func(path, body string) int {
		res, err := http.Post(srv.URL+path, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		defer res.Body.Close()
		return res.StatusCode
	}
	res, err := http.Get(srv.URL + "/members?watch=1")
	require.NoError(t, err)
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	require.True(t, lines.Scan())
	require.Contains(t, lines.Text(), `"believed":1.5`)
	require.Equal(t, http.StatusBadRequest, post("/members/gone", `{"name":"p1","start":0}`))
	require.Equal(t, http.StatusNotFound, post("/members/gone", `{"name":"p1","start":7}`))
	require.Equal(t, http.StatusNoContent, post("/members/gone", fmt.Sprintf(`{"name":"p1","start":%d}`, g[1].cfg.Start)))
	for !strings.Contains(lines.Text(), `"proof":"told"`) {
		require.True(t, lines.Scan())
	}
	require.Equal(t, http.StatusNoContent, post("/members/leave", ""))
	require.Equal(t, http.StatusConflict, post("/members/gone", fmt.Sprintf(`{"name":"p1","start":%d}`, g[1].cfg.Start)))
	http.DefaultClient.CloseIdleConnections()
}
