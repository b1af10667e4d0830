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
)

const beat = 50 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is what lies between processes: what it cuts passes neither packets nor streams.
type world struct {
	mu     sync.Mutex
	side   map[string]int  // by address; different sides do not reach each other
	frozen map[string]bool // connections come up there, and nothing is answered
}

func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// wire is one process's way into the world.
type wire struct {
	memberlist.NodeAwareTransport
	w    *world
	addr string
	sent func(bytes int)
	wrap func(net.Conn) net.Conn
}

func (w *world) wire(t testing.TB, bind string) *wire {
	tr, err := newTransport(transportConfig{Bind: bind})
	require.NoError(t, err)
	ip, port, err := tr.FinalAdvertiseAddr("", 0)
	require.NoError(t, err)
	return &wire{tr, w, netip.AddrPortFrom(netip.MustParseAddr(ip.String()), uint16(port)).String(), func(int) {},
		func(c net.Conn) net.Conn { return c }}
}

func (x *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	x.w.mu.Lock()
	lost := x.w.side[x.addr] != x.w.side[a.Addr] || x.w.frozen[x.addr] || x.w.frozen[a.Addr]
	x.w.mu.Unlock()
	x.sent(len(b))
	if lost {
		return time.Now(), nil
	}
	return x.NodeAwareTransport.WriteToAddress(b, a)
}

func (x *wire) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	x.w.mu.Lock()
	cut, mute := x.w.side[x.addr] != x.w.side[a.Addr] || x.w.frozen[x.addr], x.w.frozen[a.Addr]
	x.w.mu.Unlock()
	switch {
	case cut:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case mute:
		here, _ := net.Pipe()
		return here, here.SetDeadline(time.Now().Add(timeout))
	}
	conn, err := x.NodeAwareTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return x.wrap(conn), nil
}

// fleet is the processes of a test.
type fleet struct {
	*testing.T
	*world
	ip  string // its own, so that no other test takes an address of one that is gone
	all map[string]*Group
}

func newFleet(t *testing.T) *fleet {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	return &fleet{t, &world{side: map[string]int{}, frozen: map[string]bool{}}, ip, map[string]*Group{}}
}

func (f *fleet) open(name string, set func(*Config), seeds ...string) *Group {
	f.Helper()
	cfg := Config{Name: name, Fleet: "test", Zone: "z1", Role: "sidecar", Version: "1", Bind: f.ip + ":0", Seeds: seeds,
		Interval: beat, AdmitWithin: time.Minute, BelieveRefused: true}
	if set != nil {
		set(&cfg)
	}
	if cfg.Transport == nil {
		cfg.Transport = f.wire(f.T, cfg.Bind)
	}
	g, err := Open(cfg)
	require.NoError(f, err)
	f.all[name] = g
	f.Cleanup(func() { require.NoError(f, g.Close()) })
	return g
}

// grow opens so many that know each other; the first alone, so that it must be admitted by time.
func (f *fleet) grow(n int, set func(*Config)) []*Group {
	f.Helper()
	all := []*Group{f.open("p0", func(c *Config) {
		c.AdmitWithin = beat
		if set != nil {
			set(c)
		}
	})}
	for i := range n - 1 {
		all = append(all, f.open(fmt.Sprint("p", i+1), set, all[0].addr))
	}
	f.until("all know all", func() bool {
		return !slices.ContainsFunc(all, func(g *Group) bool {
			return g.View() != roster.View{Known: n, Reachable: n, Admitted: true}
		})
	})
	return all
}

func (f *fleet) until(what string, is func() bool) {
	f.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(beat / 5) {
		if time.Now().After(end) {
			for name, g := range f.all {
				f.Logf("%s: %+v", name, g.Report())
			}
			f.Fatal("not: " + what)
		}
	}
}

// sees gives how a process stands in another's report, as "alive" or "gone left"; the latest of the name.
func sees(g *Group, name string) string {
	out := ""
	for _, m := range g.Report().Members {
		if m.Name == name {
			out = strings.TrimSpace(string(m.State) + " " + m.Proof)
		}
	}
	return out
}

// taken is how much of what the fleet allows together these take, where each takes the part that its view gives it.
func taken(all ...*Group) float64 {
	sum := 0.
	for _, g := range all {
		if v := g.View(); v.Admitted {
			sum += 1 / float64(v.Known)
		}
	}
	return sum
}

func known(g *Group, n int) func() bool { return func() bool { return g.View().Known == n } }

func (f *fleet) dead() string {
	l, err := net.Listen("tcp", f.ip+":0")
	require.NoError(f, err)
	defer l.Close()
	return l.Addr().String()
}

func TestJoinWhereSeedsAreDead(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a := f.open("a", func(c *Config) { c.AdmitWithin = beat }, f.dead())
	f.until("alone, it is admitted by time", func() bool {
		return a.View() == roster.View{Known: 1, Reachable: 1, Admitted: true, Forced: true}
	})
	var sent atomic.Int64
	b := f.open("b", func(c *Config) {
		x := f.wire(t, c.Bind)
		x.sent = func(int) { sent.Add(1) }
		c.Transport = x
	}, f.dead(), a.addr, f.dead(), "127.0.0.1:1")
	f.until("both admitted", func() bool {
		want := roster.View{Known: 2, Reachable: 2, Admitted: true}
		return a.View() == want && b.View() == want
	})
	require.Equal(t, "alive", sees(a, "b"))
	for _, m := range a.Report().Members {
		require.Equal(t, []string{"z1", "sidecar", "1"}, []string{m.Zone, m.Role, m.Version})
	}
	require.NoError(t, b.Leave(t.Context()))
	said := sent.Load()
	f.until("b left", func() bool { return sees(a, "b") == "gone left" && a.View().Known == 1 })
	require.False(t, b.View().Admitted)
	require.Equal(t, "gone left", sees(b, "b"))
	end := time.Now().Add(4 * beat) // several of its turns
	f.until("who has left says nothing any more", func() bool { return time.Now().After(end) && said == sent.Load() })
}

func TestNewcomerIsNotAdmittedBeforeItIsKnown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, nil)
	a := f.open("a", nil, f.dead())
	defect := f.open("d", func(c *Config) { c.Defect = DefectNoAdmission }, f.dead())
	f.until("the defect shows", func() bool { return taken(g[0], g[1], defect) > 1 })
	require.False(t, a.View().Admitted)
	require.LessOrEqual(t, taken(g[0], g[1], a), 1.)
}

func TestCrashIsProvedAndFreezeIsNot(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(4, nil)
	f.change(func() { f.frozen[g[3].addr] = true })
	require.NoError(t, g[2].Close())
	f.until("the crash is proved to all", func() bool {
		return sees(g[0], "p2") == "gone refused" && sees(g[1], "p2") == "gone refused"
	})
	f.until("the frozen one is silent, and counts", func() bool {
		return sees(g[0], "p3") == "silent" && g[0].View() == roster.View{Known: 3, Reachable: 2, Admitted: true}
	})
	calls := func() uint64 { return g[0].figures.failedJoins.Load() }
	for n := calls(); calls() < n+2; time.Sleep(beat) { // it is called again and again, and proves nothing
		require.Equal(t, 3, g[0].View().Known)
	}
	f.change(func() { clear(f.frozen) })
	f.until("it is back", func() bool { return sees(g[0], "p3") == "alive" && g[3].View().Reachable == 3 })
}

func TestDefectTrustsTheDetector(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, func(c *Config) { c.Defect, c.BelieveRefused = DefectTrustDetector, false })
	f.change(func() { f.side[g[1].addr] = 1 })
	f.until("each side takes all", func() bool { return taken(g...) > 1 })
}

func TestRefusedIsNoProofWhereItIsNotBelieved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, func(c *Config) { c.BelieveRefused = false })
	require.NoError(t, g[1].Close())
	f.until("silent", func() bool { return sees(g[0], "p1") == "silent" })
	require.Equal(t, 2, g[0].View().Known)
	require.ErrorIs(t, g[0].Told(roster.ID{Name: "p1", Start: 1}), ErrUnknown)
	require.NoError(t, g[0].Told(g[1].Report().Self))
	require.Equal(t, "gone told", sees(g[0], "p1"))
	require.Equal(t, 1, g[0].View().Known)
}

func TestSuspicionIsRefuted(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, func(c *Config) { c.Interval = 5 * beat }) // suspicion lasts for four intervals
	f.change(func() { f.frozen[g[1].addr] = true })
	f.until("suspected", func() bool { return sees(g[0], "p1") == "suspected" })
	require.Equal(t, roster.View{Known: 2, Reachable: 2, Admitted: true}, g[0].View())
	f.change(func() { clear(f.frozen) })
	f.until("refuted", func() bool { return sees(g[0], "p1") == "alive" })
}

func TestRestart(t *testing.T) {
	t.Parallel()
	for _, same := range []bool{false, true} {
		for _, back := range []int64{0, 2_000, 31_000, 1_000_000, 3_600_000} {
			t.Run(fmt.Sprintf("same address %v, clock back %d", same, back), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				g := f.grow(3, nil)
				was := g[2].Report().Self
				require.NoError(t, g[2].Close())
				again := f.open("p2", func(c *Config) {
					c.Start = was.Start + 1000 - back
					if same {
						c.Bind = g[2].addr
					}
				}, g[0].addr, g[1].addr)
				f.until("it takes the place", func() bool {
					return again.View() == roster.View{Known: 3, Reachable: 3, Admitted: true} && g[0].View() == again.View()
				})
				require.Greater(t, again.Report().Self.Start, was.Start)
			})
		}
	}
}

func TestTwins(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, nil)
	twin := f.open("p1", func(c *Config) { c.Start = g[1].cfg.Start }, g[0].addr) // of the same start, even
	f.until("they part", func() bool { return twin.Report().Self != g[1].Report().Self })
	f.until("the later one is admitted, the earlier one follows", func() bool {
		n := 0
		for _, g := range []*Group{twin, g[1]} {
			if g.View().Admitted {
				n++
			}
		}
		return n == 1
	})
	f.until("said, and counted as two", func() bool {
		n := 0
		for _, m := range g[0].Report().Members {
			if m.Twin {
				n++
			}
		}
		return n == 2 && g[0].View().Known == 3
	})
}

func TestToldGoneComesBackAsNewcomer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(3, nil)
	was := g[2].Report().Self
	require.NoError(t, g[0].Told(was))
	f.until("it takes a greater start, and all know it", func() bool {
		return g[2].Report().Self.Start > was.Start && !slices.ContainsFunc(g, func(g *Group) bool {
			return g.View() != roster.View{Known: 3, Reachable: 3, Admitted: true}
		})
	})
	require.EqualValues(t, 1, g[2].figures.risen.Load())
}

func TestSplitLongerThanTheLibraryRemembers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(4, nil)
	f.change(func() { f.side[g[2].addr], f.side[g[3].addr] = 1, 1 })
	f.until("both sides see two of four", func() bool {
		require.LessOrEqual(t, taken(g...), 1.)
		return !slices.ContainsFunc(g, func(g *Group) bool { return g.View().Reachable != 2 })
	})
	end := time.Now().Add(libConfig(&g[0].cfg).GossipToTheDeadTime + 10*beat)
	f.until("the library has dropped the dead, and would never call them again", func() bool {
		require.LessOrEqual(t, taken(g...), 1.)
		return time.Now().After(end)
	})
	f.change(func() { clear(f.side) })
	f.until("one fleet again", func() bool {
		return !slices.ContainsFunc(g, func(g *Group) bool { return g.View().Reachable != 4 || g.View().Known != 4 })
	})
}

func TestStrangers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, func(c *Config) { c.Networks = []netip.Prefix{netip.MustParsePrefix(f.ip + "/32")} })
	other := f.open("o", func(c *Config) { c.Fleet = "other" }, g[0].addr)
	f.open("x", func(c *Config) { c.Bind = "127.0.0.2:0" }, g[0].addr)
	conn, err := net.Dial("udp", g[0].addr)
	require.NoError(t, err)
	defer conn.Close()
	for range 20 { // the library's own kinds among them
		junk := make([]byte, 1+rand.IntN(300))
		for i := range junk {
			junk[i] = byte(rand.Uint32())
		}
		_, _ = conn.Write(append([]byte{244, 4, 't', 'e', 's', 't'}, junk...))
	}
	for _, m := range []string{"", "{}", `{"v":2}`, `{"v":1,"k":"entries","e":[{"n":"y","s":1,"a":"127.0.0.9:1"}]}`} {
		require.NoError(t, g[1].current.Load().list.SendToAddress(memberlist.Address{Addr: g[0].addr}, []byte(m)))
	}
	f.until("refused and counted", func() bool {
		d := g[0].figures.dropped()
		return d["label"] > 0 && d["node"] > 0 && d["message"] >= 4
	})
	require.Equal(t, 2, g[0].View().Known)
	require.Equal(t, 1, other.View().Known)
	require.NotContains(t, fmt.Sprint(g[1].Report().Members), "127.0.0.2")
}

func TestCloseWhileJoining(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections, and says nothing
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
		t.Fatal("Close waits for the seed")
	}
	require.ErrorIs(t, g.Leave(context.Background()), net.ErrClosed)
}

func TestHandlerAndFigures(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	g := f.grow(2, func(c *Config) { c.Believed = func() float64 { return 1.5 } })
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
