package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marblelane/balance"
)

func withLists(c conf, addrs ...string) conf {
	var lists []map[string]any
	for _, a := range addrs {
		lists = append(lists, map[string]any{"addr": a})
	}
	c["lists"], c["list_doubt_share"], c["list_stale_ms"] = lists, 0.3, 5000
	return c
}

func TestListsOfTheOwnZoneComeFirst(t *testing.T) {
	c := newConf("127.0.0.1:1") // in the zone z
	c["lists"] = []map[string]any{{"addr": "127.0.0.1:2", "zone": "east"}, {"addr": "127.0.0.1:3", "zone": "z"}, {"addr": "127.0.0.1:4"}}
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(cfg.Lists); got != "[127.0.0.1:3 127.0.0.1:2 127.0.0.1:4]" || cfg.balance.ListServices != 3 || !cfg.balance.Subscribe {
		t.Fatalf("%v, %d, subscribes %v", got, cfg.balance.ListServices, cfg.balance.Subscribe)
	}
	for name, change := range map[string]func(conf){
		"lists[1].addr":    func(c conf) { c["lists"] = []map[string]any{{"addr": "127.0.0.1:2"}, {"addr": "there"}} },
		"list_doubt_share": func(c conf) { c["list_doubt_share"] = 1.5 },
		"list_stale_ms":    func(c conf) { c["list_stale_ms"] = -1 },
	} {
		c := newConf("127.0.0.1:1")
		change(c)
		if _, err := c.load(t); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The second service is watched once the first fails; what it has from before the list held is not taken, a server that
// is left out stays while it answers, and the figures say so.
func TestSecondListService(t *testing.T) {
	a, b, c := newBackend(t, "a", ok), newBackend(t, "b", ok), newBackend(t, "c", ok)
	near, far := newRegistry(t), newRegistry(t)
	cfg := withLists(newConf(near.addr()), near.addr(), far.addr())
	cfg["management"] = loopback
	s := start(t, cfg)
	watch := receive(t, "the watch", near.calls)
	watch.send(t, list{Rev: 41, All: true, Targets: []target{a.target, b.target, c.target}})
	until(t, "the list", func() bool { return s.loop.disc.rev.Load() == 41 })
	close(watch.lines)
	second := receive(t, "the watch at the second", far.calls)
	if second.query != "watch=1&after=41" {
		t.Errorf("asked %q", second.query)
	}
	second.send(t, list{Rev: 40, All: true})
	third := receive(t, "the next try", near.calls)
	figure := func(want string) {
		t.Helper()
		until(t, want, func() bool {
			_, text := s.manage(t, "GET", statsPath)
			return strings.Contains(text, want+"\n")
		})
	}
	figure("svc_list_refused 1")
	figure("svc_hosts_listed 3")
	third.send(t, list{Rev: 42, All: true, Targets: []target{c.target}})
	figure("svc_list_revision 42")
	figure("svc_hosts_doubted 2")
	figure("svc_list_refused 0")
	for range 6 {
		if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
			t.Errorf("%+v", got)
		}
	}
	gone := a.target
	gone.State = "Gone"
	third.send(t, list{Rev: 43, Targets: []target{gone}})
	figure("svc_hosts_doubted 1")
}

// One bad entry never costs the list.
func TestBadEntriesCostNobodyElse(t *testing.T) {
	good, dup := newBackend(t, "good", ok), newBackend(t, "dup", ok)
	r := newRegistry(t)
	s := start(t, newConf(r.addr()))
	watch := receive(t, "the watch", r.calls)
	watch.send(t, list{Rev: 41, All: true, Targets: []target{
		{UID: "x", Endpoint: "nowhere", State: "Ready"}, {UID: "y", Endpoint: ":0", State: "Ready"}, {UID: "", State: "Ready"},
		{UID: "z", Endpoint: "127.0.0.1:1", State: "Sleeping"}, {UID: "twin", Endpoint: dup.target.Endpoint, State: "Ready", BootMS: 1},
		{UID: "v", Endpoint: "127.0.0.1:99999", State: "Ready"}, dup.target, good.target,
	}})
	until(t, "the list", func() bool { return s.loop.disc.rev.Load() == 41 })
	var used []string
	for _, uid := range []string{"x", "y", "z", "v", "", "twin", "dup", "good"} {
		if _, ok := s.loop.bal.UsableServer(idOf(uid)); ok { // the loop is idle: nothing has been sent yet
			used = append(used, uid)
		}
	}
	if fmt.Sprint(used) != "[twin good]" { // of two names in one place the one that started later
		t.Errorf("used are %v", used)
	}
	for range 4 {
		if got := s.do(s.request("lookup", time.Second)); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
}

// A line may take a part of the memory and no more.
func TestLongLineEndsTheCall(t *testing.T) {
	for _, c := range []struct {
		memoryMB, most int
	}{{0, mostLine}, {1 << 10, mostLine}, {64, 4 << 20}, {8, leastLine}} {
		d := newDiscovery([]string{"127.0.0.1:1"}, c.memoryMB, func(any) {}, func(func()) {})
		if d.most != c.most {
			t.Errorf("with %d MB a line may have %d bytes, want %d", c.memoryMB, d.most, c.most)
		}
		if c.memoryMB != 8 {
			continue
		}
		line, err := d.readObject(bufio.NewReader(strings.NewReader(strings.Repeat("x", 2*c.most))))
		if !errors.Is(err, errLineBig) || line != nil {
			t.Errorf("%d bytes, %v", len(line), err)
		}
		many := bufio.NewReader(strings.NewReader(strings.Repeat("{\n", c.most)))
		if _, err := d.readObject(many); !errors.Is(err, errLineBig) {
			t.Errorf("over many lines: %v", err)
		}
	}
}

// The number of services may change with the configuration.
func TestListsChangeWithTheConfiguration(t *testing.T) {
	b := newBackend(t, "a", ok)
	one, two := newRegistry(t), newRegistry(t)
	c := withLists(newConf(one.addr(), b.target), one.addr())
	s := start(t, c)
	first := receive(t, "the watch", one.calls)
	first.send(t, list{Rev: 5, All: true, Targets: []target{b.target}})
	until(t, "the list", func() bool { return s.loop.disc.rev.Load() == 5 })
	path := withLists(c, two.addr(), one.addr()).write(t)
	if err := s.Reload(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }); err != nil {
		t.Fatal(err)
	}
	moved := receive(t, "the watch at the new first", two.calls)
	if moved.query != "watch=1&after=5" {
		t.Errorf("asked %q", moved.query)
	}
	close(moved.lines)
	receive(t, "the watch at the new second", one.calls)
}

func TestRegions(t *testing.T) {
	for text, want := range map[string]string{
		`"regions": {"west": ["a", "c"], "east": ["b"]}`:         "[2 1 2] 2",
		`"regions": {"west": ["a", "b", "c"]}, "region_cost": 3`: "[1 1 1] 3",
		`"region_cost": 1`:                                         "[] 1",
		`"regions": {"west": ["a", "b"]}`:                          `regions: zone "c" is in none`,
		`"regions": {"west": ["a", "b", "c", "d"]}`:                `regions: west: "d" is none`,
		`"regions": {"east": ["a"], "west": ["a", "b", "c"]}`:      `regions: west: "a" is none`,
		`"regions": {"west": ["a", "b", "c"]}, "region_cost": 0.5`: "region_cost: 0.5",
		`"regions": {"west": ["a", "b", "c"]}, "region_cost": 1e9`: "region_cost: 1e+09",
	} {
		var f file
		if err := json.Unmarshal([]byte("{"+text+"}"), &f); err != nil {
			t.Fatal(err)
		}
		f.Listen, f.Discovery, f.Seed = "127.0.0.1:1", "127.0.0.1:1", "1"
		f.Settings = []byte(`{"zones": ["a", "b", "c"], "classes": [{"name": "x", "hard_limit_ms": 10, "effect": "read_like", "group": "all"}]}`)
		cfg, err := f.config()
		got := fmt.Sprint(err)
		if err == nil {
			got = fmt.Sprint(cfg.balance.Regions, cfg.balance.RegionCost)
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%s: %s, not %s", text, got, want)
		}
	}
}

// An object may be spread over lines, with empty ones in it; those between objects tell that the service lives.
func TestIndentedLists(t *testing.T) {
	const odd = `{"rev": 43, "all": false,

 "targets": [
  {"uid": "a\"}}}", "endpoint": "127.0.0.1:1", "state": "Ready"}

 ]
}`
	compact := `{"rev":44,"all":true,"targets":[]}`
	for name, text := range map[string]string{
		"lines":               odd + "\n\n" + compact + "\n",
		"carriage returns":    strings.ReplaceAll(odd+"\n\n"+compact+"\n", "\n", "\r\n"),
		"no end of last line": odd + "\n\n" + compact,
	} {
		t.Run(name, func(t *testing.T) {
			d, heard := serving(t, text)
			d.watch(t.Context(), 0)
			if n := receive(t, "the change", heard); n.kind != balance.ListDelta || n.list.Rev != 43 || n.list.Targets[0].UID != `a"}}}` {
				t.Errorf("%+v", n)
			}
			if n := receive(t, "that it is alive", heard); n.kind != balance.ListAlive {
				t.Errorf("%+v", n)
			}
			if n := receive(t, "the list", heard); n.kind != balance.ListFull || n.list.Rev != 44 {
				t.Errorf("%+v", n)
			}
			if n := receive(t, "the end", heard); n.kind != balance.ListFailed {
				t.Errorf("%+v", n)
			}
		})
	}
	t.Run("whole list", func(t *testing.T) {
		d, heard := serving(t, odd)
		d.fetch(t.Context(), 0)
		if n := receive(t, "the list", heard); n.list.Rev != 43 {
			t.Errorf("%+v", n)
		}
	})
	t.Run("cut off", func(t *testing.T) {
		d, heard := serving(t, odd[:len(odd)-2])
		d.watch(t.Context(), 0)
		if n := receive(t, "the failure", heard); n.kind != balance.ListFailed {
			t.Errorf("%+v", n)
		}
	})
}

// serving is a discovery that answers each call with a text.
func serving(t *testing.T, text string) (*discovery, chan listEvent) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }))
	t.Cleanup(srv.Close)
	return hearing(t, srv.Listener.Addr().String())
}

// Each worst case of docs/list.md for pushed lists is below what counts as told and the drain grace.
func TestWhatIsToldIsKnownInTime(t *testing.T) {
	const told = 6 * time.Second // what a silent watch misses
	for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		lag := lagOf(float64(grace.Milliseconds()))
		if lost, limit := 3*lag, grace*3/4; lost > limit {
			t.Errorf("grace %v: a call begins %v after the agent's return, over %v", grace, lost, limit)
		}
		if lost := silence + 3*lag; lost > told+grace/2 {
			t.Errorf("grace %v: what a silent watch misses is known after %v", grace, lost)
		}
		if lag < leastLag || lag > mostLag {
			t.Errorf("grace %v: lag %v", grace, lag)
		}
	}
}

// Where lists are pushed, a call that the agent leaves unanswered is not waited for: others follow, and what any of them
// is told counts. It goes on as the one watch.
func TestAgentReturns(t *testing.T) {
	r := newAgent(t)
	d, heard := hearing(t, r.addr())
	d.lag, d.callWait = 5*time.Millisecond, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.subscribe(ctx)
	for range 8 { // it is away, and these are never answered
		receive(t, "another call", r.calls)
	}
	answerAll(t, r, list{Rev: 7})
	if n := receive(t, "what it holds", heard); n.list.Rev != 7 {
		t.Errorf("%+v", n)
	}
}

// What an agent's watch misses as it is silent is asked for anew, and the silent one is closed.
func TestSilentAgentIsCalledAnew(t *testing.T) {
	r := newAgent(t)
	d, heard := hearing(t, r.addr())
	d.lag, d.silence = 50*time.Millisecond, 50*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.subscribe(ctx)
	first := receive(t, "the watch", r.calls)
	first.line(t, "")
	if n := receive(t, "that it is alive", heard); n.kind != balance.ListAlive {
		t.Errorf("%+v", n)
	}
	answerAll(t, r, list{Rev: 7})
	if n := receive(t, "the change", heard); n.list.Rev != 7 {
		t.Errorf("%+v", n)
	}
	receive(t, "the silent watch to end", first.gone)
}

// A busy machine answers late: the first call waits for long, whatever becomes of those beside it, and is then alone.
func TestSlowAgentIsWaitedFor(t *testing.T) {
	r := newAgent(t)
	d, heard := hearing(t, r.addr())
	d.lag, d.callWait, d.silence = 5*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.subscribe(ctx)
	first := receive(t, "the watch", r.calls)
	for range 3 {
		receive(t, "the call beside it to be given up", receive(t, "a call beside it", r.calls).gone)
	}
	first.send(t, list{Rev: 7})
	if n := receive(t, "the list", heard); n.list.Rev != 7 {
		t.Errorf("%+v", n)
	}
	first.send(t, list{Rev: 8})
	if n := receive(t, "the change", heard); n.list.Rev != 8 {
		t.Errorf("%+v", n)
	}
}

// Pauses do not grow while the agent is away: one would begin just before its return.
func TestPausesOfThePushedDoNotGrow(t *testing.T) {
	r := newAgent(t)
	d, _ := hearing(t, r.addr())
	d.lag = 5 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.subscribe(ctx)
	began := time.Now()
	for range 20 { // with pauses that grow to 2 s they take 27 s
		call := receive(t, "the next call", r.calls)
		select {
		case call.fail <- http.StatusServiceUnavailable:
		case <-call.gone:
		}
	}
	if took := time.Since(began); took > patience {
		t.Errorf("20 calls took %v", took)
	}
}

// Of two calls that are answered one is followed, and what the other says is not heard.
func TestBeatenCallIsNotHeard(t *testing.T) {
	d, heard := serving(t, `{"rev":7}`)
	never := func() bool { return false }
	if err := d.read(t.Context(), d.changes(), listEvent{}, never, time.Hour, time.Hour); err != errBeaten || len(heard) > 0 {
		t.Errorf("%v, %d heard", err, len(heard))
	}
}

// newAgent is a registry that is called more often than a test looks: what is left of the calls is taken at its end.
func newAgent(t *testing.T) *registry {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	r := newRegistry(t)
	t.Cleanup(func() {
		go func() {
			for {
				select {
				case <-r.calls:
				case <-done:
					return
				}
			}
		}()
	})
	return r
}

// answerAll answers each further call with a list, and leaves it open.
func answerAll(t *testing.T, r *registry, l list) {
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case call := <-r.calls:
				select {
				case call.lines <- string(text):
				case <-call.gone:
				}
			}
		}
	}()
}
