package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/relay"
	"marblelane/internal/membership"
	"marblelane/internal/registry/listserver"
)

// replicaProcess is a replica in its own process, with membership enabled.
type replicaProcess struct {
	listserver.Peer
	cmd *exec.Cmd
}

// freeAddrs reserves addresses for the test: the configurations need them before the processes start, and lab runs of
// other tests must not take them meanwhile.
func freeAddrs(t *testing.T, n int) (out []string) {
	t.Helper()
	for range n {
		reserved, err := relay.Reserve("127.0.0.1")
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, reserved.Release()) })
		out = append(out, reserved.Addr())
	}
	return out
}

// startReplicas starts n replicas that found a cluster, and one that waits to join it.
func startReplicas(t *testing.T, n int) (all []*replicaProcess, fresh *replicaProcess) {
	t.Helper()
	at := freeAddrs(t, 3*(n+1))
	peers := ""
	for i := range n + 1 {
		c := &replicaProcess{Peer: listserver.Peer{Name: fmt.Sprint("r", i), Raft: at[3*i], Serve: at[3*i+1]}}
		all = append(all, c)
		if i < n {
			peers += fmt.Sprintf("[[peer]]\nname = %q\nraft = %q\nserve = %q\n", c.Name, c.Raft, c.Serve)
		}
	}
	for i, c := range all {
		how := peers
		if i == n {
			how = ""
		}
		text := fmt.Sprintf("name = %q\nlisten = %q\nraft = %q\ndir = %q\nbeat = \"50ms\"\njoin = %v\n%s[members]\n"+
			"fleet = \"f\"\nbind = %q\nseeds = [%q]\ninterval = \"50ms\"\nadmit_within = \"1s\"\n",
			c.Name, c.Serve, c.Raft, t.TempDir(), i == n, how, at[3*i+2], at[2])
		config := filepath.Join(t.TempDir(), "copy.toml")
		require.NoError(t, os.WriteFile(config, []byte(text), 0o644))
		_, c.cmd = startReplica(t, config)
	}
	return all[:n], all[n]
}

func (c *replicaProcess) status(t *testing.T) (st listserver.Status) {
	t.Helper()
	var out, errOut bytes.Buffer
	if run(t.Context(), []string{"registry", "status", "--addr", c.Serve}, &out, &errOut) == exitOK {
		require.NoError(t, json.Unmarshal(out.Bytes(), &st))
	}
	return st
}

func (c *replicaProcess) memberState(t *testing.T, name string) membership.MemberState {
	t.Helper()
	one, _ := findReplica(c.status(t).Replicas, name)
	return one.Member
}

func TestReplaceCopy(t *testing.T) {
	all, fresh := startReplicas(t, 3)
	every := append(slices.Clone(all), fresh)
	t.Cleanup(func() {
		for _, c := range every {
			if t.Failed() {
				var text bytes.Buffer
				a := &app{ctx: context.Background(), out: &text}
				_ = (&replicaClient{Addr: c.Serve, Wait: time.Second}).printResponse(a, "GET", "/members", nil)
				t.Logf("%s:\n%s", c.Name, &text)
			}
		}
	})
	wait := func(what string, is func() bool) {
		t.Helper()
		require.Eventually(t, is, 20*time.Second, 10*time.Millisecond, what)
	}
	lead := func() (l *replicaProcess) {
		wait("a leader", func() bool {
			for _, c := range all {
				if st := c.status(t); st.Leads && st.Rev > 0 {
					l = c
				}
			}
			return l != nil
		})
		return l
	}
	l := lead()
	old, other := all[0], all[1]
	if old == l {
		old, other = other, old
	}
	replace := func(want int, part string, c *replicaProcess, more ...string) {
		t.Helper()
		var out, errOut bytes.Buffer
		args := append([]string{"registry", "replace-copy", "--addr", l.Serve, old.Name, c.Name, c.Raft, c.Serve}, more...)
		code := run(t.Context(), args, &out, &errOut)
		require.Equal(t, want, code, "%s%s", &out, &errOut)
		require.Contains(t, out.String()+errOut.String(), part)
	}
	wait("all of them", func() bool {
		return l.memberState(t, old.Name) == membership.Alive && l.memberState(t, other.Name) == membership.Alive
	})
	replace(exitUsage, "is alive: membership state alive", fresh)
	require.Len(t, l.status(t).Replicas, 3, "nothing was changed")
	// A frozen replica is silent, which does not prove that it ended. Once it is killed, its address refuses connections.
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	wait("its silence", func() bool { return l.memberState(t, old.Name) == membership.Unreachable })
	require.NoError(t, old.cmd.Process.Kill())
	wait("its end", func() bool { return l.memberState(t, old.Name) == membership.Gone })
	// A new replica that does not run is never added, so that it cannot put the majority at risk.
	notRunning := &replicaProcess{Peer: listserver.Peer{Name: "r9", Raft: "127.0.0.1:1", Serve: "127.0.0.1:1"}}
	replace(exitUsage, "r9 is not running", notRunning, "--within", "4s")
	require.Len(t, l.status(t).Replicas, 3)
	// The command is interrupted half-way and run again.
	ctx, cancel := context.WithCancel(t.Context())
	var out, errOut bytes.Buffer
	ended := make(chan int)
	go func() {
		args := []string{"registry", "replace-copy", "--addr", l.Serve, old.Name, fresh.Name, fresh.Raft, fresh.Serve}
		ended <- run(ctx, args, &out, &errOut)
	}()
	wait("the first step", func() bool { _, started := findReplica(l.status(t).Replicas, fresh.Name); return started })
	cancel()
	<-ended
	done := fmt.Sprintf("%s has replaced %s\n", fresh.Name, old.Name)
	replace(exitOK, done, fresh)
	replace(exitOK, done, fresh)
	st := l.status(t)
	require.Len(t, st.Replicas, 3)
	for _, c := range st.Replicas {
		require.True(t, c.Votes, c.Name)
	}
	_, there := findReplica(st.Replicas, old.Name)
	require.False(t, there)
	put := []string{"registry", "put", "s-1", "127.0.0.1:81", "--addr", fresh.Serve}
	require.Equal(t, exitOK, run(t.Context(), put, &out, &errOut))
	old = l
	replace(exitUsage, "is alive: ", notRunning) // the leader itself
}

// Invalid arguments are rejected before anything is changed, or the error names what was changed.
func TestReplaceCopy_invalid(t *testing.T) {
	all, fresh := startReplicas(t, 3)
	at := all[0].Serve
	require.Eventually(t, func() bool {
		st := all[0].status(t)
		own := fresh.status(t)
		return st.Leader != "" && st.Rev > 0 && len(st.Replicas) == 3 && own.Name == fresh.Name
	}, 20*time.Second, 10*time.Millisecond)
	replace := func(old string, c listserver.Peer, more ...string) string {
		t.Helper()
		var out, errOut bytes.Buffer
		args := append([]string{"registry", "replace-copy", "--addr", at, old, c.Name, c.Raft, c.Serve, "--force"}, more...)
		require.Equal(t, exitUsage, run(t.Context(), args, &out, &errOut), "%s%s", &out, &errOut)
		return out.String() + errOut.String()
	}
	require.Contains(t, replace("typo", all[1].Peer), "nothing to do: typo is not a replica")
	elsewhere := fresh.Peer
	elsewhere.Serve = all[1].Serve
	require.Contains(t, replace(all[2].Name, elsewhere), `runs replica "r1", not r3`)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	wrong := fresh.Peer
	wrong.Raft = l.Addr().String()
	require.NoError(t, l.Close())
	text := replace(all[2].Name, wrong, "--within", "2s")
	require.Contains(t, text, "nobody answers at "+wrong.Raft)
	require.NotContains(t, text, "remains")
	require.Equal(t, 1, strings.Count(text, "adding r3 as a learner"), text)
	require.Len(t, all[0].status(t).Replicas, 3)
	// A process that is not a replica listens at the address.
	l, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	wrong.Raft = l.Addr().String()
	for range 2 { // a second run reports it, too
		text = replace(all[2].Name, wrong, "--within", "2s")
		require.Contains(t, text, "r3 remains a replica without a vote, and has acknowledged nothing at "+wrong.Raft)
	}
	_, command, _ := strings.Cut(strings.TrimSpace(text), "to remove it: marblelane ")
	var out, errOut bytes.Buffer
	require.Equal(t, exitOK, run(t.Context(), strings.Fields(command), &out, &errOut), "%s%s", &out, &errOut)
	require.Eventually(t, func() bool { return len(all[0].status(t).Replicas) == 3 }, 20*time.Second, 10*time.Millisecond)
}

// A change whose response is lost is not reported as made: the command asks the leader, or says that the outcome is not
// known.
func TestReplaceCopy_outcomeUnknown(t *testing.T) {
	const remains, unknown = "r3 remains a replica without a vote", "it is not known whether r3 is a replica"
	old := listserver.ReplicaStatus{Name: "r2", Raft: "127.0.0.1:1", Votes: true, AckMS: -1, Member: membership.Gone}
	learner := listserver.ReplicaStatus{Name: "r3", Raft: "127.0.0.1:2", AckMS: -1, Member: membership.Alive}
	voter := learner
	voter.Votes = true
	for name, c := range map[string]struct {
		before, after []listserver.ReplicaStatus // the leader's replicas before and after the change
		silent        bool                       // the leader answers nothing after the change
		want          string                     // empty if nothing is to be undone
	}{
		"learner added":   {before: []listserver.ReplicaStatus{old}, after: []listserver.ReplicaStatus{old, learner}, want: remains},
		"learner not yet": {before: []listserver.ReplicaStatus{old}, after: []listserver.ReplicaStatus{old}, want: unknown},
		"no answer":       {before: []listserver.ReplicaStatus{old}, silent: true, want: unknown},
		"promoted":        {before: []listserver.ReplicaStatus{old, learner}, after: []listserver.ReplicaStatus{old, voter}},
		"not promoted":    {before: []listserver.ReplicaStatus{old, learner}, after: []listserver.ReplicaStatus{old, learner}, want: remains},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var changed atomic.Bool
			leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				st := listserver.Status{Name: "r3", Leads: true, Leader: "r1", Replicas: c.before}
				switch {
				case r.Method == http.MethodPost || changed.Load() && c.silent:
					_, _ = io.Copy(io.Discard, r.Body) // from now on the end of the connection cancels the request
					changed.Store(true)
					<-r.Context().Done()
					return
				case changed.Load():
					st.Replicas = c.after
				}
				assert.NoError(t, json.NewEncoder(w).Encode(st))
			}))
			defer leader.Close()
			addr := leader.Listener.Addr().String()
			var out, errOut bytes.Buffer
			args := []string{"registry", "replace-copy", "--addr", addr, old.Name, learner.Name, learner.Raft, addr, "--within", "500ms"}
			require.Equal(t, exitUsage, run(t.Context(), args, &out, &errOut), "%s%s", &out, &errOut)
			require.True(t, changed.Load(), "no change was requested: %s%s", &out, &errOut)
			for _, text := range []string{remains, unknown} {
				assert.Equal(t, text == c.want, strings.Contains(errOut.String(), text), "%q in %s", text, &errOut)
			}
		})
	}
}
