package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/membership"
	"marblelane/internal/sidecar/sidecartest"
)

// These tests hold docs/membership.md on real processes.

// member is a process with the section members.
type member struct {
	*process
	name, manage string
}

// startMember starts a member that finds others by the seeds.
func startMember(t *testing.T, name string, changes conf, seeds ...string) *member {
	t.Helper()
	c := conf{"name": name, "management": "127.0.0.1:0", "members": conf{
		"fleet": "f", "bind": "127.0.0.1:0", "seeds": seeds, "interval": "50ms", "admit_within": "500ms",
		"defect": changes["defect"],
	}}
	for key, value := range changes {
		c[key] = value
	}
	p, ready := launchWithLine(t, c)
	_, manage, _ := strings.Cut(ready, "management=")
	manage, _, _ = strings.Cut(manage, " ")
	m := &member{p, name, manage}
	go func() { // the log is of no use here
		for range p.log {
		}
	}()
	return m
}

func (m *member) get(path string) string {
	resp, err := http.Get("http://" + m.manage + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // what is missing shows
	return string(text)
}

func (m *member) report() (out membership.Report) {
	_ = json.Unmarshal([]byte(m.get("/members")), &out) // not bound yet: nothing
	return out
}

// findMember is how this one sees a process; start 0: the latest of the name.
func (m *member) findMember(name string, start int64) (out membership.Member) {
	for _, one := range m.report().Members {
		if one.Name == name && (start == 0 && one.Start > out.Start || start != 0 && one.Start == start) {
			out = one
		}
	}
	return out
}

func (m *member) awaitGossipAddr() (addr string) {
	m.awaitState("its address", func() bool {
		addr = m.findMember(m.name, 0).Addr
		return addr != ""
	})
	return addr
}

func (m *member) awaitState(what string, is func() bool) {
	m.t.Helper()
	for limit := time.Now().Add(waitTimeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			m.t.Fatalf("%s waited in vain for %s:\n%s\n%s", m.name, what, m.get("/members"), m.get("/stats"))
		}
	}
}

// awaitCounts waits until it knows, and reaches, so many members.
func (m *member) awaitCounts(known, reachable int) {
	m.t.Helper()
	m.awaitState(fmt.Sprintf("%d known and %d reachable", known, reachable), func() bool {
		v := m.report().View
		return v.Known == known && v.Reachable == reachable && v.Admitted
	})
}

func (m *member) signal(s syscall.Signal) {
	m.t.Helper()
	m.cmd.signal(m.t, s)
}

func TestMembers_processes(t *testing.T) {
	t.Parallel()
	fleet := []*member{startMember(t, "m0", nil)}
	seed := fleet[0].awaitGossipAddr()
	for i := 1; i < 5; i++ {
		fleet = append(fleet, startMember(t, fmt.Sprint("m", i), nil, seed))
	}
	a := fleet[0]
	for _, m := range fleet {
		m.awaitCounts(5, 5)
		m.awaitState("what it believes", func() bool { return strings.Contains(m.get("/stats"), "\nsvc_members_believed 5\n") })
	}
	// Killed: its address refuses, which proves it gone.
	fleet[1].signal(syscall.SIGKILL)
	for _, m := range []*member{a, fleet[2], fleet[3], fleet[4]} {
		m.awaitState("the killed one to be gone", func() bool {
			is := m.findMember("m1", 0)
			return is.State == membership.Gone && is.Proof == "refused"
		})
		m.awaitCounts(4, 4)
	}
	// Frozen: silent for as long as it is, and counted.
	fleet[2].signal(syscall.SIGSTOP)
	a.awaitState("the frozen one to be silent", func() bool { return a.findMember("m2", 0).State == membership.Silent })
	for startedAt := time.Now(); time.Since(startedAt) < time.Second; time.Sleep(10 * time.Millisecond) {
		if v := a.report().View; v.Known != 4 {
			t.Fatalf("a frozen process does not count: %+v", v)
		}
	}
	fleet[2].signal(syscall.SIGCONT)
	a.awaitCounts(4, 4)
	// Terminated: it counts as long as it may send something, and then says that it leaves.
	hung := fleet[3].dial()
	hung.request("safe", "hang")
	fleet[3].server.awaitRequest(t)
	term := time.Now()
	fleet[3].signal(syscall.SIGTERM)
	for is := a.findMember("m3", 0); time.Since(term) < serviceEndAt; is = a.findMember("m3", 0) {
		if is.State == membership.Gone {
			t.Fatal("it has left while it still serves")
		}
	}
	hung.expectResponse(503, false)
	hung.Close()
	for _, m := range []*member{a, fleet[2], fleet[4]} {
		m.awaitState("the one that leaves to be gone", func() bool {
			is := m.findMember("m3", 0)
			return is.State == membership.Gone && is.Proof == "left"
		})
		m.awaitCounts(3, 3)
	}
	if err := fleet[3].cmd.Wait(); err != nil {
		t.Errorf("at SIGTERM it ended with %v", err)
	}
}

// Where the failure detector's word is taken for a proof, the check above sees it.
func TestMembers_plantedDefect(t *testing.T) {
	t.Parallel()
	a := startMember(t, "a", conf{"defect": "trust-detector"})
	b := startMember(t, "b", nil, a.awaitGossipAddr())
	a.awaitCounts(2, 2)
	b.signal(syscall.SIGSTOP)
	a.awaitCounts(1, 1)
}

// In an upgrade there are two processes of a name, which count as one; when the older leaves, the name stays.
func TestMembers_upgrade(t *testing.T) {
	t.Parallel()
	a := startMember(t, "a", nil)
	c := conf{"listen": sidecartest.BindAddr(t, unix.SO_REUSEPORT), "TMPDIR": shortDir(t)}
	older := startMember(t, "b", c, a.awaitGossipAddr())
	a.awaitCounts(2, 2)
	older.awaitHandoverSocket(c["TMPDIR"].(string))
	first := older.report().Self.Start
	newer := startMember(t, "b", c, a.awaitGossipAddr())
	second := newer.report().Self.Start
	newer.awaitState("its place", func() bool { second = newer.report().Self.Start; return second > first })
	newer.awaitCounts(2, 2)
	a.awaitState("both starts", func() bool {
		return a.findMember("b", first).State == membership.Alive && a.findMember("b", second).State == membership.Alive
	})
	a.awaitCounts(2, 2)
	older.signal(syscall.SIGTERM)
	if err := older.cmd.Wait(); err != nil {
		t.Errorf("at SIGTERM the older process ended with %v", err)
	}
	a.awaitState("the older one to be gone", func() bool { return a.findMember("b", first).State != membership.Alive })
	a.awaitCounts(2, 2)
	if is := a.findMember("b", 0); is.Start != second || is.State != membership.Alive {
		t.Errorf("the newer process is %+v", is)
	}
	newer.awaitCounts(2, 2)
}
