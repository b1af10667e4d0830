package sidecar

import (
	"encoding/json"
	"net"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// joining is a configuration of a member; it finds others by the seeds.
func joining(c conf, name, bind string, seeds ...string) conf {
	c = managed(c)
	c["name"] = name
	c["members"] = map[string]any{"fleet": "f", "bind": bind, "seeds": seeds, "interval": "50ms", "admit_within": "500ms"}
	return c
}

// report is what a sidecar says of its fleet; ok: it is bound.
func (r *running) report(t *testing.T) (out membership.Report, ok bool) {
	t.Helper()
	status, text := r.manage(t, "GET", membersPath)
	if status != 200 {
		return out, false
	}
	require.NoError(t, json.Unmarshal([]byte(text), &out))
	return out, true
}

// gossips waits for the address where others reach it.
func (r *running) gossips(t *testing.T) (addr string) {
	t.Helper()
	until(t, "its address", func() bool {
		report, ok := r.report(t)
		for _, m := range report.Members {
			if m.Name == report.Self.Name && m.Start == report.Self.Start {
				addr = m.Addr
			}
		}
		return ok && addr != ""
	})
	return addr
}

// shows waits for a line of the figures.
func (r *running) shows(t *testing.T, line string) {
	t.Helper()
	until(t, line, func() bool {
		_, text := r.manage(t, "GET", statsPath)
		return regexp.MustCompile(`(?m)^` + line + `$`).MatchString(text)
	})
}

func TestMembersConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		change func(conf)
		says   string // "": it is good
	}{
		"absent":      {func(c conf) { delete(c, "members") }, ""},
		"null":        {func(c conf) { c["members"] = nil }, ""},
		"no name":     {func(c conf) { c["name"] = "" }, "name: empty"},
		"no fleet":    {func(c conf) { c["members"].(map[string]any)["fleet"] = "" }, "members.fleet: "},
		"bad address": {func(c conf) { c["members"].(map[string]any)["bind"] = "x" }, "members.bind: "},
		"name":        {func(c conf) { c["name"] = "side car" }, "members.name: "},
		"long name":   {func(c conf) { c["name"] = strings.Repeat("n", 65) }, "members.name: "},
		"zone":        {func(c conf) { c.setting(`["z"]`, `["z\u00a0"]`) }, "members.zone: "},
		"no host":     {func(c conf) { c["members"].(map[string]any)["bind"] = ":0" }, "members.bind: "},
		"unknown key": {func(c conf) { c["members"].(map[string]any)["bnd"] = "x" }, `members: json: unknown field "bnd"`},
	} {
		t.Run(name, func(t *testing.T) {
			c := joining(newConf("127.0.0.1:1"), "n", loopback)
			test.change(c)
			cfg, err := c.load(t)
			if test.says != "" {
				require.ErrorContains(t, err, test.says)
				return
			}
			require.NoError(t, err)
			require.Nil(t, cfg.members)
		})
	}
	cfg, err := joining(newConf("127.0.0.1:1"), "n", loopback).setting(`"zones"`, `"peers_total": 7, "zones"`).load(t)
	require.NoError(t, err)
	g := cfg.members.group
	require.Equal(t, []any{"n", "z", roleSidecar, 7}, []any{g.Name, g.Zone, g.Role, g.Peers})
	require.True(t, sameMembers(cfg.members, cfg.members))
	require.False(t, sameMembers(cfg.members, nil))
}

// Without the section there is nothing of it: no goroutine, no page, no figure, and the module is told nothing.
func TestMembersOff(t *testing.T) {
	b := newBackend(t, "a", ok)
	s := start(t, managed(newConf(newRegistry(t).addr(), b.target)))
	until(t, "a server", func() bool { return s.healthy(t) })
	require.Equal(t, 200, s.do(s.request("lookup", time.Second)).status)
	stacks := make([]byte, 1<<20)
	until(t, "no goroutine of it, nor of tests before", func() bool {
		text := string(stacks[:runtime.Stack(stacks, true)])
		return !strings.Contains(text, "internal/membership") && !strings.Contains(text, "memberlist")
	})
	status, _ := s.manage(t, "GET", membersPath)
	require.Equal(t, 404, status)
	_, figures := s.manage(t, "GET", statsPath)
	require.NotContains(t, figures, "svc_members")
	s.end(t)
	require.Zero(t, s.loop.bal.FleetSize())
}

func TestMembersTakePartUntilTheyLeave(t *testing.T) {
	a := start(t, joining(newConf("127.0.0.1:1"), "a", loopback))
	seed := a.gossips(t)
	b := start(t, joining(newConf("127.0.0.1:1"), "b", loopback, seed))
	c := start(t, joining(newConf("127.0.0.1:1"), "c", loopback, seed))
	for _, one := range []*running{a, b, c} {
		one.shows(t, "svc_members_known 3")
		one.shows(t, "svc_members_admitted 1")
		one.shows(t, "svc_members_believed 3") // more are believed at once
	}
	began := time.Now()
	b.end(t)
	if took := time.Since(began); took > b.killTime() {
		t.Errorf("the end took %v, SIGKILL may come after %v", took, b.killTime())
	}
	a.shows(t, "svc_members_known 2")
	a.shows(t, `svc_members_believed 2\.[0-9]+`) // fewer slowly
	// An operator's word: it takes no part any more, and serves on.
	status, text := c.manage(t, "POST", leavePath)
	require.Less(t, status, 300, text)
	require.True(t, c.loop.members.left.Load())
	c.shows(t, "svc_members_admitted 0")
	a.shows(t, "svc_members_known 1")
	a.shows(t, `svc_members{state="gone"} 2`)
}

// A watch lasts longer than other calls, and few may be there.
func TestMembersWatch(t *testing.T) {
	s := start(t, joining(newConf("127.0.0.1:1"), "a", loopback))
	s.gossips(t)
	for range 2 * mostWatchers { // it would stay unseen
		resp, err := s.client.Head("http://" + s.ManagementAddr() + membersPath + "?watch=1")
		require.NoError(t, err)
		require.Equal(t, 405, resp.StatusCode)
	}
	for i := range mostWatchers + 1 {
		resp, err := s.client.Get("http://" + s.ManagementAddr() + membersPath + "?watch=1")
		require.NoError(t, err)
		defer resp.Body.Close()
		if i == mostWatchers {
			require.Equal(t, 503, resp.StatusCode)
			break
		}
		line := make([]byte, 1)
		for end := time.Now().Add(manageWait + time.Second); i == 0 && time.Now().Before(end); {
			_, err := resp.Body.Read(line)
			require.NoError(t, err)
		}
	}
}

// Where the address is taken the sidecar serves all the same, counts as before, and joins once it is free.
func TestMembersAddressTaken(t *testing.T) {
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	b := newBackend(t, "a", ok)
	s := start(t, joining(newConf(newRegistry(t).addr(), b.target), "a", l.Addr().String()).
		setting(`"zones"`, `"peers_total": 3, "zones"`))
	until(t, "health", func() bool { return s.healthy(t) })
	require.Equal(t, 200, s.do(s.request("lookup", time.Second)).status)
	status, _ := s.manage(t, "GET", membersPath)
	require.Equal(t, 503, status)
	s.shows(t, "svc_members_believed 3")
	s.shows(t, "svc_members_known 3")
	s.shows(t, "svc_members_admitted 1") // the module was told so: its part is that of the settings
	require.True(t, s.loop.members.latest.Load().Admitted)
	require.NoError(t, l.Close())
	require.Equal(t, l.Addr().String(), s.gossips(t))
	s.shows(t, "svc_members_admitted 1")
}

// In an upgrade the newer process binds the older one's address when that is gone, and takes no part before.
func TestMembersUpgradeWithOnePort(t *testing.T) {
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	b := newBackend(t, "a", ok)
	c := joining(upgradable(t, newRegistry(t).addr(), b.target), "a", l.Addr().String())
	require.NoError(t, l.Close())
	quick := func(s *Sidecar) { s.drainAccept, s.listWait = 50*time.Millisecond, 0 }
	old := start(t, c, quick)
	until(t, "the older process", func() bool { return old.healthy(t) })
	old.shows(t, "svc_members_admitted 1")
	before, _ := old.report(t)
	next := start(t, c, quick)
	until(t, "the newer process", func() bool { return next.healthy(t) })
	until(t, "what it assumes meanwhile", func() bool {
		v := next.loop.members.latest.Load()
		return v != nil && !v.Admitted
	})
	next.shows(t, "svc_members_admitted 0")
	old.end(t)
	next.shows(t, "svc_members_admitted 1")
	after, _ := next.report(t)
	require.Greater(t, after.Self.Start, before.Self.Start)
}

// Leaving is waited for no longer than it may take.
func TestMembersLeaveIsBounded(t *testing.T) {
	m := newMembers(&membersConfig{}, nil) // whose duty never ends
	began := time.Now()
	m.leave(began.Add(time.Hour))
	require.GreaterOrEqual(t, time.Since(began), leaveWait)
	require.Less(t, time.Since(began), patience)
	require.Equal(t, leaveWait*2/3, m.within)
	m.leave(began) // too late

	m.changed(roster.View{Known: 2, Heard: 2, Admitted: true})
	s, _ := m.told()
	require.True(t, s.Admitted)
	m.left.Store(true) // an operator's word comes before what the group says last
	s, _ = m.told()
	require.False(t, s.Admitted)
}

// Who leaves has left when the wait is over, also where the library takes all the time that it is given.
func TestMembersLeaveInTime(t *testing.T) {
	open := func(name string, seeds ...string) *members {
		cfg := membership.Config{Name: name, Fleet: "f", Bind: loopback, Seeds: seeds, Peers: 2}
		m := newMembers(&membersConfig{group: cfg}, func() bool { return false })
		go m.run()
		until(t, "the group", func() bool { g := m.group.Load(); return g != nil && len(g.Report().Members) > 0 })
		return m
	}
	a := open("a")
	b := open("b", a.group.Load().Report().Members[0].Addr)
	until(t, "both", func() bool { return a.group.Load().View().Heard == 2 && b.group.Load().View().Heard == 2 })
	for _, m := range []*members{a, b} {
		m.leave(time.Now().Add(time.Hour))
		select {
		case <-m.ended:
		default:
			t.Error("it is not done, and says so falsely")
		}
	}
}
