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

// These tests check docs/membership.md with real processes.

// member is a sidecar process with the section members.
type member struct {
	*process
	name, manage string
}

// startMember starts a sidecar that joins other members through the seeds.
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
	go func() { // reads the log so that the process does not block on it
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
	text, _ := io.ReadAll(resp.Body) // a truncated text fails the test's checks
	return string(text)
}

func (m *member) report() (out membership.Report) {
	_ = json.Unmarshal([]byte(m.get("/members")), &out) // an error leaves the report empty: the address is not bound yet
	return out
}

// findMember returns this member's entry for the process with a name and start. With start 0 it returns the latest
// process of the name, and an empty entry if there is none.
func (m *member) findMember(name string, start int64) (out membership.Member) {
	for _, one := range m.report().Members {
		if one.Name == name && (start == 0 && one.Start > out.Start || start != 0 && one.Start == start) {
			out = one
		}
	}
	return out
}

func (m *member) awaitGossipAddr() (addr string) {
	m.awaitState("its own address", func() bool {
		addr = m.findMember(m.name, 0).Addr
		return addr != ""
	})
	return addr
}

func (m *member) awaitState(what string, done func() bool) {
	m.t.Helper()
	for limit := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			m.t.Fatalf("%s timed out waiting for %s:\n%s\n%s", m.name, what, m.get("/members"), m.get("/stats"))
		}
	}
}

// awaitCounts waits until this member is admitted and counts the given numbers of known and reachable members.
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
		m.awaitState("its estimate of the fleet size", func() bool { return strings.Contains(m.get("/stats"), "\nsvc_members_believed 5\n") })
	}
	// A killed process is proved gone, as its address refuses connections.
	fleet[1].signal(syscall.SIGKILL)
	for _, m := range []*member{a, fleet[2], fleet[3], fleet[4]} {
		m.awaitState("the killed process to be gone", func() bool {
			found := m.findMember("m1", 0)
			return found.State == membership.Gone && found.Proof == "refused"
		})
		m.awaitCounts(4, 4)
	}
	// A stopped process (SIGSTOP) becomes silent, but still counts.
	fleet[2].signal(syscall.SIGSTOP)
	a.awaitState("the stopped process to be silent", func() bool { return a.findMember("m2", 0).State == membership.Unreachable })
	for startedAt := time.Now(); time.Since(startedAt) < time.Second; time.Sleep(10 * time.Millisecond) {
		if v := a.report().View; v.Known != 4 {
			t.Fatalf("a stopped process does not count: %+v", v)
		}
	}
	fleet[2].signal(syscall.SIGCONT)
	a.awaitCounts(4, 4)
	// A terminated process counts as long as it may send requests to servers, and then notifies the others that it
	// leaves.
	hung := fleet[3].dial()
	hung.request("safe", "hang")
	fleet[3].server.awaitRequest(t)
	term := time.Now()
	fleet[3].signal(syscall.SIGTERM)
	for found := a.findMember("m3", 0); time.Since(term) < serviceEndAt; found = a.findMember("m3", 0) {
		if found.State == membership.Gone {
			t.Fatal("the process has left while it still serves")
		}
	}
	hung.expectResponse(503, false)
	hung.Close()
	for _, m := range []*member{a, fleet[2], fleet[4]} {
		m.awaitState("the terminated process to be gone", func() bool {
			found := m.findMember("m3", 0)
			return found.State == membership.Gone && found.Proof == "left"
		})
		m.awaitCounts(3, 3)
	}
	if err := fleet[3].cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the process exited with %v", err)
	}
}

// With a planted defect that treats the failure detector's report as a proof, a stopped process no longer counts. This
// shows that TestMembers_processes detects the defect.
func TestMembers_plantedDefect(t *testing.T) {
	t.Parallel()
	a := startMember(t, "a", conf{"defect": "trust-detector"})
	b := startMember(t, "b", nil, a.awaitGossipAddr())
	a.awaitCounts(2, 2)
	b.signal(syscall.SIGSTOP)
	a.awaitCounts(1, 1)
}

// During an upgrade there are two processes of one name, which count as one member. The member stays when the
// predecessor leaves.
func TestMembers_upgrade(t *testing.T) {
	t.Parallel()
	a := startMember(t, "a", nil)
	c := conf{"listen": sidecartest.BindAddr(t, unix.SO_REUSEPORT), "TMPDIR": shortDir(t)}
	predecessor := startMember(t, "b", c, a.awaitGossipAddr())
	a.awaitCounts(2, 2)
	predecessor.awaitHandoverSocket(c["TMPDIR"].(string))
	first := predecessor.report().Self.Start
	successor := startMember(t, "b", c, a.awaitGossipAddr())
	second := successor.report().Self.Start
	successor.awaitState("a start after the predecessor's", func() bool { second = successor.report().Self.Start; return second > first })
	successor.awaitCounts(2, 2)
	a.awaitState("both processes of b to be alive", func() bool {
		return a.findMember("b", first).State == membership.Alive && a.findMember("b", second).State == membership.Alive
	})
	a.awaitCounts(2, 2)
	predecessor.signal(syscall.SIGTERM)
	if err := predecessor.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the predecessor exited with %v", err)
	}
	a.awaitState("the predecessor to be gone", func() bool { return a.findMember("b", first).State != membership.Alive })
	a.awaitCounts(2, 2)
	if found := a.findMember("b", 0); found.Start != second || found.State != membership.Alive {
		t.Errorf("the entry of the successor is %+v", found)
	}
	successor.awaitCounts(2, 2)
}
