package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

// copyOf is a replica under test that can be stopped and started again.
type copyOf struct {
	cfg   Config
	node  *Node
	stop  context.CancelFunc
	ended chan error
}

func (c *copyOf) start(t *testing.T) {
	t.Helper()
	n, err := Open(c.cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.node, c.stop, c.ended = n, stop, make(chan error, 1)
	c.cfg.Listen = n.Addr()
	go func(ended chan error) { ended <- n.Run(ctx) }(c.ended)
}

func (c *copyOf) end(t *testing.T) {
	t.Helper()
	if c.stop == nil {
		return
	}
	c.stop()
	if err := <-c.ended; err != nil {
		t.Errorf("%s ended with %v", c.cfg.Name, err)
	}
	c.stop = nil
}

// ports counts those that were handed out, so that tests which run side by side never get the same.
var ports = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(20_000))
	return &n
}()

// freePort is one that is free, and that no connection is given as its own end: those are higher.
func freePort(t *testing.T) string {
	t.Helper()
	for range 100 {
		if l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", 10_000+ports.Add(1)%20_000)); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

// cluster starts n replicas and waits for their leader and its first writes.
func cluster(t *testing.T, n int, change func(*Config)) []*copyOf {
	t.Helper()
	var peers []listserver.Peer
	for i := range n {
		peers = append(peers, listserver.Peer{Name: fmt.Sprint("r", i), Raft: freePort(t), Serve: freePort(t)})
	}
	var all []*copyOf
	for i, p := range peers {
		c := &copyOf{cfg: Config{Name: p.Name, Listen: p.Serve, Raft: p.Raft, Peers: peers, Beat: 50 * time.Millisecond,
			Dir: filepath.Join(t.TempDir(), fmt.Sprint(i)), Options: listserver.Options{BatchInterval: time.Millisecond}}}
		if change != nil {
			change(&c.cfg)
		}
		c.start(t)
		t.Cleanup(func() { c.end(t) })
		all = append(all, c)
	}
	leader(t, all)
	return all
}

// leader waits until one replica leads and all that run know it and the beginning of the history.
func leader(t *testing.T, all []*copyOf) *copyOf {
	t.Helper()
	var found *copyOf
	until(t, "a leader that all know", func() bool {
		found = nil
		for _, c := range all {
			if c.stop == nil {
				continue
			}
			st := c.node.Server().Status()
			if st.Leads {
				found = c
			}
			if st.Leader == "" || st.Rev == 0 {
				return false
			}
		}
		return found != nil
	})
	return found
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// call does one request without kept connections and follows redirects, as a writer does.
func call(t *testing.T, method, addr, path, body string) (int, string) {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func testEntry(uid string, boot int64) *state.Entry {
	return &state.Entry{UID: uid, Endpoint: "127.0.0.1:1", Zone: "a", State: state.Ready, Capacity: 1, BootMS: boot}
}

func put(t *testing.T, c *copyOf, uid string, boot, lease int64) {
	t.Helper()
	body := fmt.Sprintf(`{"endpoint":"127.0.0.1:1","az":"a","boot_ms":%d,"lease_ms":%d}`, boot, lease)
	if code, text := call(t, "POST", c.cfg.Listen, listserver.ListPath+"/"+uid, body); code != 200 {
		t.Fatalf("put %s: %d %s", uid, code, text)
	}
}

func uids(t *testing.T, c *copyOf) string {
	t.Helper()
	_, text := call(t, "GET", c.cfg.Listen, listserver.ListPath, "")
	var l state.List
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	var all []string
	for _, e := range l.Targets {
		all = append(all, e.UID+"="+e.State)
	}
	return strings.Join(all, " ")
}

// watcher follows one replica and checks the lines it receives.
type watcher struct {
	lines chan state.List
	stop  context.CancelFunc
	done  chan struct{}
}

func watch(t *testing.T, addr string, after int64) *watcher {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s%s?watch=1&after=%d", addr, listserver.ListPath, after), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	w := &watcher{lines: make(chan state.List, 1000), stop: stop, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		defer resp.Body.Close()
		in := bufio.NewReader(resp.Body)
		for {
			line, err := in.ReadBytes('\n')
			if err != nil {
				return
			}
			if line = bytes.TrimSpace(line); len(line) == 0 {
				continue
			}
			var l state.List
			if json.Unmarshal(line, &l) == nil {
				w.lines <- l
			}
		}
	}()
	t.Cleanup(func() {
		stop()
		<-w.done
	})
	return w
}

func (w *watcher) next(t *testing.T) state.List {
	t.Helper()
	select {
	case l := <-w.lines:
		return l
	case <-time.After(patience):
		t.Fatal("the watcher was told nothing")
		return state.List{}
	}
}

func TestRegistry_singleReplica(t *testing.T) {
	all := cluster(t, 1, func(c *Config) { c.Dir, c.Peers = "", nil })
	one := all[0]
	w := watch(t, one.cfg.Listen, 0)
	if l := w.next(t); !l.All || len(l.Targets) != 0 || state.EpochOf(l.Rev) == 0 {
		t.Errorf("at first %+v", l)
	}
	put(t, one, "s1", 5, 0)
	first := w.next(t)
	if first.All || len(first.Targets) != 1 || first.Targets[0].UID != "s1" || first.Targets[0].State != state.Ready {
		t.Errorf("a change: %+v", first)
	}
	if code, _ := call(t, "POST", one.cfg.Listen, listserver.ListPath+"/s1/drain", ""); code != 200 {
		t.Errorf("drain: %d", code)
	}
	if l := w.next(t); len(l.Targets) != 1 || l.Targets[0].State != state.Terminating || l.Rev <= first.Rev {
		t.Errorf("a drain: %+v", l)
	}
	if code, text := call(t, "POST", one.cfg.Listen, listserver.ListPath+"/s1", `{"endpoint":"127.0.0.1:1","az":"a","boot_ms":5}`); code != 409 {
		t.Errorf("a late registration: %d %s", code, text)
	}
	if code, _ := call(t, "DELETE", one.cfg.Listen, listserver.ListPath+"/s1?if=1", ""); code != 409 {
		t.Errorf("a conditional removal: %d", code)
	}
	if code, _ := call(t, "DELETE", one.cfg.Listen, listserver.ListPath+"/s1", ""); code != 200 {
		t.Errorf("removal: %d", code)
	}
	if l := w.next(t); len(l.Targets) != 1 || l.Targets[0].State != state.Gone {
		t.Errorf("a removal: %+v", l)
	}
	late := watch(t, one.cfg.Listen, first.Rev)
	if l := late.next(t); l.All || len(l.Targets) != 1 || l.Targets[0].State != state.Gone {
		t.Errorf("who comes back is told %+v", l)
	}
	for _, bad := range []struct{ method, path, body, text string }{
		{"POST", "/s2", "{", "no entry"}, {"POST", "/s2", `{"az":"a"}`, "endpoint"},
		{"POST", "/s2", `{"endpoint":"x:1","uid":"s3"}`, `"s3"`}, {"POST", "/s2", `{"endpoint":"x:1","lease_ms":-1}`, "lease_ms"},
		{"POST", "/s2", `{"endpoint":"x:1","state":"Gone"}`, "neither Ready nor"}, {"POST", "/s2?if=x", `{"endpoint":"x:1"}`, "if is no"},
		{"GET", "?watch=1&after=x", "", "after is no"},
	} {
		if code, text := call(t, bad.method, one.cfg.Listen, listserver.ListPath+bad.path, bad.body); code != 400 || !strings.Contains(text, bad.text) {
			t.Errorf("%s %s %s: %d %s", bad.method, bad.path, bad.body, code, text)
		}
	}
	if code, text := call(t, "GET", one.cfg.Listen, "/stats", ""); code != 200 || !strings.Contains(text, "registry_watches 2") {
		t.Errorf("stats: %d %s", code, text)
	}
}

// A burst becomes a few lines, and each revision is sent once.
func TestWatch_burstBatched(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers, c.BatchInterval = "", nil, 200*time.Millisecond })[0]
	w := watch(t, one.cfg.Listen, 0)
	last := w.next(t).Rev
	const writes = 30
	for i := range writes {
		put(t, one, fmt.Sprint("s", i), 1, 0)
	}
	lines, entries := 0, 0
	for entries < writes {
		l := w.next(t)
		if l.Rev <= last || l.All {
			t.Fatalf("after revision %d came %+v", last, l)
		}
		last, lines, entries = l.Rev, lines+1, entries+len(l.Targets)
	}
	if lines > writes/2 {
		t.Errorf("%d changes came in %d lines", writes, lines)
	}
}

func TestRegistry_threeReplicas(t *testing.T) {
	all := cluster(t, 3, nil)
	lead := leader(t, all)
	var follower *copyOf
	for _, c := range all {
		if c != lead {
			follower = c
		}
	}
	put(t, follower, "s1", 1, 0) // redirected
	for _, c := range all {
		until(t, "s1 at "+c.cfg.Name, func() bool { return uids(t, c) == "s1=Ready" })
	}

	// The leader goes; what was acknowledged stays, and writes go on.
	lead.end(t)
	next := leader(t, all)
	if next == lead {
		t.Fatal("the ended copy leads")
	}
	put(t, next, "s2", 1, 0)
	until(t, "both entries", func() bool { return uids(t, next) == "s1=Ready s2=Ready" })

	// It comes back from its disk and catches up.
	lead.start(t)
	until(t, "the copy that came back", func() bool { return uids(t, lead) == "s1=Ready s2=Ready" })

	for _, c := range all { // a follower may be behind, and could not catch up alone
		until(t, "both entries at "+c.cfg.Name, func() bool { return uids(t, c) == "s1=Ready s2=Ready" })
	}

	// Without a quorum writes are refused, at once once the leader knows; reads go on.
	var alone *copyOf
	for _, c := range all {
		if alone == nil {
			alone = c
			continue
		}
		c.end(t)
	}
	until(t, "the one that is left to lead no more", func() bool {
		me, leader := alone.node.Leader()
		return !me && leader == ""
	})
	startedAt := time.Now()
	code, text := call(t, "POST", alone.cfg.Listen, listserver.ListPath+"/s3", `{"endpoint":"127.0.0.1:1"}`)
	if code != 503 || !strings.Contains(text, "no majority") || time.Since(startedAt) > listserver.ApplyTimeout/2 {
		t.Errorf("a write without a majority: %d %s after %v", code, text, time.Since(startedAt))
	}
	if got := uids(t, alone); got != "s1=Ready s2=Ready" {
		t.Errorf("it reads %s", got)
	}
	if code, _ := call(t, "GET", alone.cfg.Listen, "/healthcheck", ""); code != 503 {
		t.Errorf("its health: %d", code)
	}
}

func TestMembership_addRemove(t *testing.T) {
	one := cluster(t, 1, nil)[0]
	put(t, one, "s1", 1, 0)
	two := &copyOf{cfg: Config{Name: "r9", Listen: freePort(t), Raft: freePort(t), Join: true, Beat: 50 * time.Millisecond,
		Dir: t.TempDir(), Options: listserver.Options{BatchInterval: time.Millisecond}}}
	two.start(t)
	t.Cleanup(func() { two.end(t) })
	if code, _ := call(t, "GET", two.cfg.Listen, "/healthcheck", ""); code != 503 {
		t.Errorf("a copy that nobody has added is healthy: %d", code)
	}
	if err := one.node.Add(listserver.Peer{Name: "r9", Raft: two.cfg.Raft, Serve: two.cfg.Listen}); err != nil {
		t.Fatal(err)
	}
	until(t, "the list at the added copy", func() bool { return uids(t, two) == "s1=Ready" })
	put(t, two, "s2", 1, 0) // redirected to the first
	if err := one.node.Remove("r9"); err != nil {
		t.Fatal(err)
	}
	put(t, one, "s3", 1, 0)
	if m := one.node.Server().Status().Members; len(m) != 1 || m["r0"] == "" {
		t.Errorf("members are %v", m)
	}
}

// Leases end on the leader's word, renewals keep them, and too many at once are kept.
func TestLeases(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers = "", nil })[0]
	const lease = 600 // ms
	put(t, one, "dies", 1, lease)
	for i := range 9 {
		put(t, one, fmt.Sprint("stays", i), 1, lease)
	}
	renew := func(n int) {
		for i := range n {
			if code, text := call(t, "POST", one.cfg.Listen, fmt.Sprint(listserver.ListPath, "/stays", i, "/renew"), ""); code != 200 {
				t.Fatalf("renew: %d %s", code, text)
			}
		}
	}
	until(t, "the end of one lease", func() bool {
		renew(9)
		return !strings.Contains(uids(t, one), "dies")
	})
	if code, _ := call(t, "POST", one.cfg.Listen, listserver.ListPath+"/dies/renew", ""); code != 404 {
		t.Errorf("the renewal of an ended lease: %d", code)
	}
	// No lease is renewed any more, as in a partition: all but the fraction that may expire stay listed.
	until(t, "leases that are held", func() bool { return one.node.Server().Status().HeldEntries >= 7 })
	if _, text := call(t, "GET", one.cfg.Listen, "/healthcheck", ""); !strings.Contains(text, "entries whose leases ended together are kept") {
		t.Errorf("health says %s", text)
	}
	var left []string
	for i := range 9 {
		if uid := fmt.Sprint("stays", i); strings.Contains(uids(t, one), uid) {
			left = append(left, uid)
		}
	}
	if len(left) < 7 {
		t.Fatalf("%d entries are left", len(left))
	}
	// Most come back: the others have died after all.
	until(t, "the end of the two that did not come back", func() bool {
		for _, uid := range left[2:] {
			if code, text := call(t, "POST", one.cfg.Listen, listserver.ListPath+"/"+uid+"/renew", ""); code != 200 {
				t.Fatalf("renew: %d %s", code, text)
			}
		}
		return strings.Count(uids(t, one), "stays") == len(left)-2
	})
}

func TestAdmission_rate(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers, c.AdmissionRate, c.AdmissionBurst = "", nil, 0.001, 3 })[0]
	codes := map[int]int{}
	for range 6 {
		resp, err := http.Get("http://" + one.cfg.Listen + listserver.ListPath)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		codes[resp.StatusCode]++
		if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
			t.Error("a reader is turned away and not told when to come back")
		}
	}
	http.DefaultClient.CloseIdleConnections()
	if codes[200] != 3 || codes[503] != 3 {
		t.Errorf("answers %v", codes)
	}
}

// Clients that arrive together and return after their Retry-After are all admitted, at about the configured rate.
func TestAdmission_retriesSucceed(t *testing.T) {
	for _, crowd := range []int{10, 1000, 20_000} {
		b := &listserver.TokenBucket{Level: 200}
		const step = 250 * time.Microsecond
		due := map[int]int{0: crowd} // how many come at each step
		calls, in, last := 0, 0, 0
		for at := 0; in < crowd && at < 4000*120; at++ {
			for range due[at] {
				calls++
				if wait := b.Take(time.Unix(0, 0).Add(time.Duration(at)*step), 500, 200); wait > 0 {
					due[at+int((wait+step-1)/step)]++
				} else {
					in, last = in+1, at
				}
			}
		}
		took, bestSeconds := float64(last)*step.Seconds(), float64(crowd-200)/500
		if in < crowd || took > 1.2*bestSeconds+1 || calls > 20*crowd {
			t.Errorf("%d of %d readers are in after %.1f s and %d calls; %.1f s at best", in, crowd, took, calls, bestSeconds)
		}
	}
}

// held is a watcher that takes its first line only when it is let.
type held struct {
	header  http.Header
	started chan struct{}
	release chan struct{}
	lines   int
}

func (h *held) Header() http.Header              { return h.header }
func (h *held) WriteHeader(int)                  {}
func (h *held) Flush()                           {}
func (h *held) SetWriteDeadline(time.Time) error { return nil }
func (h *held) Write(text []byte) (int, error) {
	if h.lines++; h.lines == 1 {
		close(h.started)
		<-h.release
	}
	return len(text), nil
}

// A watch that is too far behind is closed, and has delayed no other watch.
func TestWatch_slowClientClosed(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers = "", nil })[0]
	s := one.node.Server()
	slow := &held{header: http.Header{}, started: make(chan struct{}), release: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Handler().ServeHTTP(slow, httptest.NewRequestWithContext(t.Context(), "GET", listserver.ListPath+"?watch=1&after=0", nil))
	}()
	<-slow.started
	quick := watch(t, one.cfg.Listen, 0)
	quick.next(t)
	for i := range listserver.MaxWatcherLag + 2 {
		one.node.hub.Read(func(st *state.State) {
			_, _ = st.Apply(&state.Command{Op: state.OpPut, Entry: testEntry("s", int64(i))})
		})
		if err := one.node.hub.Publish(); err != nil {
			t.Fatal(err)
		}
		quick.next(t)
	}
	close(slow.release)
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the slow watcher goes on")
	}
	if slow.lines != 1 {
		t.Errorf("it was told %d lines", slow.lines)
	}
	if _, text := call(t, "GET", one.cfg.Listen, "/stats", ""); !strings.Contains(text, "registry_watchers_ended_total 1") {
		t.Errorf("the figures do not show it: %s", text)
	}
}

// A replica whose disk takes no more ends with an error; it does not go on as if it had written.
func TestNode_diskFailure(t *testing.T) {
	all := cluster(t, 3, nil)
	lead := leader(t, all)
	put(t, lead, "s1", 1, 0)
	ended := lead.ended
	if err := lead.node.store.Close(); err != nil { // every write fails from now on
		t.Fatal(err)
	}
	// The write may be answered by the next leader, or not at all; it is not acknowledged by the replica that lost its
	// disk.
	call(t, "POST", lead.cfg.Listen, listserver.ListPath+"/s2", `{"endpoint":"127.0.0.1:1"}`)
	select {
	case err := <-ended:
		if err == nil || !strings.Contains(err.Error(), "the disk takes no more") {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("it goes on without a disk")
	}
	lead.stop()
	lead.stop = nil
	next := leader(t, all)
	put(t, next, "s3", 1, 0)
	if got := uids(t, next); !strings.Contains(got, "s1=Ready") || !strings.Contains(got, "s3=Ready") {
		t.Errorf("the others have %s", got)
	}
}
