package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/memberlist"
	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marblelane/internal/membership/roster"
)

func TestSection_Config(t *testing.T) {
	text := `{"fleet":"f","bind":":7946","networks":["10.1.2.3/8"],"seeds":["a:1"],"interval":"2s","believe_refused":false}`
	var fromJSON, fromTOML Section
	require.NoError(t, json.Unmarshal([]byte(text), &fromJSON))
	require.NoError(t, toml.Unmarshal([]byte("fleet='f'\nbind=':7946'\nnetworks=['10.1.2.3/8']\nseeds=['a:1']\n"+
		"interval='2s'\nbelieve_refused=false"), &fromTOML))
	require.Empty(t, cmp.Diff(fromJSON, fromTOML))
	c, err := fromJSON.Config()
	require.NoError(t, err)
	require.Equal(t, Config{Fleet: "f", Bind: ":7946", Seeds: []string{"a:1"}, Interval: 2 * time.Second,
		Networks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, c)
	for key, makeInvalid := range map[string]func(*Section){
		"fleet":        func(s *Section) { s.Fleet = "two words" },
		"bind":         func(s *Section) { s.Bind = "7946" },
		"advertise":    func(s *Section) { s.Advertise = "h:port" },
		"networks[0]":  func(s *Section) { s.Networks[0] = "10.0.0.0" },
		"seeds[0]":     func(s *Section) { s.Seeds[0] = "a:0" },
		"interval":     func(s *Section) { s.Interval = "2" },
		"admit_within": func(s *Section) { s.AdmitWithin = "-1s" },
		"defect":       func(s *Section) { s.Defect = "x" },
	} {
		s := Section{Fleet: "f", Bind: ":1", Networks: []string{"::/0"}, Seeds: []string{"a:1"}}
		_, err := s.Config()
		require.NoError(t, err)
		makeInvalid(&s)
		_, err = s.Config()
		require.ErrorContains(t, err, "members."+key+": ")
	}
	long := strings.Repeat("v", maxVersionBytes+1)
	for _, c := range []Config{{Name: "a@b c"}, {Name: "a", Version: long}, {Name: "a", Start: -1}} {
		c.Fleet, c.Bind = "f", "127.0.0.1:0"
		_, err := Open(c)
		require.ErrorContains(t, err, "members.")
	}
}

func TestParsePeer(t *testing.T) {
	letter := rapid.Rune().Filter(func(r rune) bool { return checkText(string(r), 1, 4) == nil })
	rapid.Check(t, func(t *rapid.T) {
		m := meta{Start: rapid.Int64Range(1, maxStart-1).Draw(t, "start")}
		for _, d := range []struct {
			target   *string
			maxBytes int
		}{{&m.Name, maxNameBytes}, {&m.Zone, maxZoneBytes}, {&m.Role, maxRoleBytes}, {&m.Version, maxVersionBytes}} {
			*d.target = rapid.StringOfN(letter, 1, -1, d.maxBytes).Draw(t, "text")
		}
		text, err := m.encode() // texts within the bounds fit into the metadata
		require.NoError(t, err)
		back, err := decodeMeta(text)
		require.NoError(t, err)
		require.Equal(t, m, back)
		id, err := parseNodeName(nodeName(roster.ID{Name: m.Name, Start: m.Start}))
		require.NoError(t, err)
		require.Equal(t, roster.ID{Name: m.Name, Start: m.Start}, id)
	})
	nets := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	node := func(name, meta, ip string) *memberlist.Node {
		return &memberlist.Node{Name: name, Meta: []byte(meta), Addr: net.ParseIP(ip), Port: 1}
	}
	for text, n := range map[string]*memberlist.Node{
		// Metadata with unknown and missing fields is valid.
		"": node("a@7", `{"n":"a","s":7,"newer":[1]}`, "10.0.0.1"),

		"not in the form NAME@START": node("a@07", `{"n":"a","s":7}`, "10.0.0.1"),
		"metadata names":             node("b@7", `{"n":"a","s":7}`, "10.0.0.1"),
		"outside the allowed":        node("a@7", `{"n":"a","s":7}`, "11.0.0.1"),
		"address or port is missing": node("a@7", `{"n":"a","s":7}`, "x"),
		"decode metadata: ":          node("a@7", `{"n":`, "10.0.0.1"),
		"exceeds the limit of 512":   node("a@7", `{"n":"a","s":7,"z":"`+strings.Repeat("z", 512)+`"}`, "10.0.0.1"),
		"not from 0":                 node("a@7", `{"n":"a","s":7,"z":"`+strings.Repeat("z", 65)+`"}`, "10.0.0.1"),
	} {
		_, err := parsePeer(n, nets)
		if text == "" {
			require.NoError(t, err)
		} else {
			require.ErrorContains(t, err, text)
		}
	}
}

func FuzzDecodeMessage(f *testing.F) {
	request := encodeEntries(kindAckRequest, roster.Entry{Name: "a", Start: 7, Addr: "127.0.0.1:1"})
	request.Sender, request.Digest = processID{"a", 7}, 1<<63
	f.Add(request.bytes())
	f.Add(message{Kind: kindAck, Sender: processID{"b", 1}, Acknowledged: processID{"a", 7}, Digest: 9}.bytes())
	f.Add(encodeEntries(kindEntries, goneEntry(roster.ID{Name: "a", Start: 7}, roster.ProofLeft)).bytes())
	f.Add([]byte(`{"v":1,"k":"later","x":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b, nil)
		if err != nil {
			return
		}
		again, err := decodeMessage(m.bytes(), nil)
		require.NoError(t, err)
		require.Equal(t, m.bytes(), again.bytes())
		r := roster.New(0, roster.Options{Self: roster.ID{Name: "self", Start: 1}})
		r.Merge(0, m.rosterEntries()...)
	})
}

func TestDecodeMessage_Invalid(t *testing.T) {
	for _, text := range []string{`{"v":1,"k":"ask","b":{"n":"a","s":1}}`, `{"v":1,"k":"ack","b":{"n":"a","s":1}}`,
		`{"v":1,"e":[{"n":"a","s":0}]}`, `{"v":1,"e":[{"n":"a","s":1,"g":1}]}`, `{"v":1,"e":[{"n":"a","s":1,"a":"h:1"}]}`,
		`{"v":1,"e":[{"n":"a","s":1,"a":"0.0.0.0:1"}]}`,
		`{"v":1,"e":[` + strings.Repeat(`{"n":"a","s":1},`, maxEntries) + `{"n":"a","s":1}]}`,
		strings.Repeat(" ", maxMessageBytes+1)} {
		_, err := decodeMessage([]byte(text), nil)
		require.Error(t, err, "%.60s", text)
	}
}

func TestMessageQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := messageQueue{maxWeight: rapid.IntRange(1, 20).Draw(t, "max weight")}
		var queued []message
		dropped := 0
		for n := range rapid.IntRange(1, 60).Draw(t, "messages") {
			m := message{Digest: uint64(n), Entries: make([]wireEntry, rapid.IntRange(0, 4).Draw(t, "entries"))}
			dropped += q.push(m)
			if queued = append(queued, m); rapid.IntRange(0, 9).Draw(t, "take") > 0 {
				continue
			}
			got := q.take()
			require.Equal(t, queued[dropped:], append([]message{}, got...), "the oldest are dropped, the newest is kept")
			queued, dropped = nil, 0
		}
	})
}

func TestMessageQueue_Overflow(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	g := f.openAll(2, func(c *Config) { c.TrustRefused = false })
	release, started := make(chan struct{}), make(chan struct{})
	go func() { _ = g[1].runOnOwner(t.Context(), blockOwner{started, release}) }()
	<-started
	const names = 2000
	var all []roster.Entry
	for i := range names {
		all = append(all, roster.Entry{Name: fmt.Sprint("x", i), Start: 1, Addr: "127.0.0.1:1"})
		g[1].current.Load().NotifyMsg(encodeEntries(kindEntries, all[i]).bytes())
	}
	for range maxQueueWeight / 2 {
		g[1].current.Load().NotifyMsg(encodeEntries(kindEntries, all[0]).bytes())
	}
	close(release)
	require.GreaterOrEqual(t, g[1].counters.dropsByReason()["ring"], uint64(names))
	g[0].current.Load().MergeRemoteState(encodeEntries(kindEntries, all...).bytes(), false)
	f.eventually("push/pull repeats the dropped entries", func() bool {
		return knownCountIs(g[0], names+2)() && knownCountIs(g[1], names+2)()
	})
}

func TestLibraryLog(t *testing.T) {
	var out bytes.Buffer
	var suspects, drops []string
	lines := newStandardLogger(newLibraryLog(slog.New(slog.NewTextHandler(&out, nil)),
		func(node string) { suspects = append(suspects, node) },
		func(reason string) { drops = append(drops, reason) }))
	lines.Print("[INFO] memberlist: Suspect a@7 has failed, no acks received")
	lines.Print(`[ERR] memberlist: discarding packet with unacceptable label "x": from`)
	lines.Print("[ERR] memberlist: failed to receive and remove the stream label header: EOF from")
	for range 1000 {
		lines.Print("[WARN] memberlist: flood")
	}
	require.Equal(t, []string{"a@7"}, suspects)
	require.Equal(t, []string{"label"}, drops)
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), 10)
	require.NotContains(t, out.String(), "Suspect")
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// BenchmarkIdle measures the cost of a member of an idle fleet per second: the payload of packets and streams, and CPU
// time. Each iteration takes a minute, in which each member starts at least one push/pull.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{10, 50} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := &testNetwork{partitions: map[string]int{}, frozen: map[string]bool{}}
			var sent atomic.Int64
			var all []*Group
			for i := range n {
				x := w.transport(b, "127.0.0.1:0")
				x.onSend = func(n int) { sent.Add(int64(n)) }
				x.wrapConn = func(c net.Conn) net.Conn { return countingConn{c, &sent} }
				cfg := Config{Name: fmt.Sprint("p", i), Fleet: "bench", Zone: "zone-a", Role: "sidecar", Version: "1.2.3",
					Transport: x, TrustRefused: true}
				if i > 0 {
					cfg.Seeds = []string{all[0].addr}
				}
				g, err := Open(cfg)
				require.NoError(b, err)
				defer g.Close()
				all = append(all, g)
			}
			for _, g := range all {
				for g.View() != (roster.View{Known: n, Reachable: n, Admitted: true}) {
					time.Sleep(testInterval)
				}
			}
			time.Sleep(95 * time.Second) // until broadcasts have ended and push/pulls have begun
			cpu, bytes := cpuTime(b), sent.Load()
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Minute)
			}
			memberSeconds := float64(n*b.N) * 60
			b.ReportMetric(float64(sent.Load()-bytes)/memberSeconds, "B/member-s")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/memberSeconds, "cpu-µs/member-s")
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// blockOwner is a command that keeps the owner busy until release is closed.
type blockOwner struct {
	started chan<- struct{}
	release <-chan struct{}
}

func (c blockOwner) execute(*owner) error {
	close(c.started)
	<-c.release
	return nil
}
