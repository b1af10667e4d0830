package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/fault"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/registry/storage"
)

// supervised is a supervised replica under test whose disk can be made to fail.
type supervised struct {
	cfg        Config
	supervisor *Supervisor
	faults     string
	ended      chan error
}

// supervise starts n replicas, with the same change to the configuration of each, and waits for their leader.
func supervise(t *testing.T, n int, change func(*Config)) []*supervised {
	t.Helper()
	var peers []listserver.Peer
	for i := range n {
		peers = append(peers, listserver.Peer{Name: fmt.Sprint("r", i), Raft: freePort(t), Serve: freePort(t)})
	}
	var all []*supervised
	for i, p := range peers {
		c := &supervised{faults: filepath.Join(t.TempDir(), "faults.toml"), ended: make(chan error, 1)}
		c.cfg = Config{Name: p.Name, Listen: p.Serve, RaftListen: p.Raft, Peers: peers, HeartbeatInterval: 50 * time.Millisecond,
			Dir: filepath.Join(t.TempDir(), fmt.Sprint(i)), Options: listserver.Options{BatchInterval: time.Millisecond}}
		var err error
		c.cfg.Faults, err = fault.Open(c.faults)
		require.NoError(t, err)
		if change != nil {
			change(&c.cfg)
		}
		c.supervisor, err = Supervise(c.cfg)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		go func() { c.ended <- c.supervisor.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			assert.NoError(t, <-c.ended, c.cfg.Name)
		})
		all = append(all, c)
	}
	awaitLeader(t, all)
	return all
}

// setFaults sets the faults of the replica's disk. An empty set ends them.
func (c *supervised) setFaults(t *testing.T, set fault.Config) {
	t.Helper()
	require.NoError(t, set.Write(c.faults))
}

// status returns the status that the replica reports, and whether it responds.
func (c *supervised) status() (st listserver.Status, answers bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + c.cfg.Listen + "/registry/status")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// awaitLeader waits until one of the replicas leads and has begun an epoch. It returns that replica.
func awaitLeader(t *testing.T, all []*supervised) *supervised {
	t.Helper()
	var found *supervised
	until(t, "a leader", func() bool {
		for _, c := range all {
			if st, answers := c.status(); answers && st.Leads && st.Rev > 0 {
				found = c
				return true
			}
		}
		return false
	})
	return found
}

// others returns all replicas except one.
func others(all []*supervised, but *supervised) (out []*supervised) {
	for _, c := range all {
		if c != but {
			out = append(out, c)
		}
	}
	return out
}

// register sends one write to the replicas in turn until one acknowledges it. It reports whether one did.
func register(all []*supervised, uid string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for _, c := range all {
		resp, err := client.Post("http://"+c.cfg.Listen+listserver.ListPath+"/"+uid, "", strings.NewReader(`{"endpoint":"127.0.0.1:1"}`))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// writers starts writers that register entries. stop ends them and returns the acknowledged entries.
func writers(all []*supervised) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var acknowledged []string
	for number := range 2 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				uid := fmt.Sprintf("w%d-%d", number, i)
				if register(all, uid) {
					mu.Lock()
					acknowledged = append(acknowledged, uid)
					mu.Unlock()
				}
			}
		})
	}
	return func() []string {
		cancel()
		group.Wait()
		return acknowledged
	}
}

// servedEntries returns the uids of the entries that a replica serves.
func servedEntries(t *testing.T, c *supervised) map[string]bool {
	t.Helper()
	_, text := call(t, "GET", c.cfg.Listen, listserver.ListPath, "")
	var l state.List
	require.NoError(t, json.Unmarshal([]byte(text), &l), text)
	out := map[string]bool{}
	for _, e := range l.Targets {
		out[e.UID] = true
	}
	return out
}

// awaitClosed waits until the replica does not respond.
func (c *supervised) awaitClosed(t *testing.T) {
	t.Helper()
	until(t, c.cfg.Name+" to close", func() bool { _, answers := c.status(); return !answers })
}

// awaitEntries waits until a replica serves all the given entries. A replica that was just opened, even a leader, may
// not yet have applied all entries of its log.
func (c *supervised) awaitEntries(t *testing.T, all ...string) {
	t.Helper()
	var missing []string
	defer func() {
		if t.Failed() {
			t.Logf("%s lacks %v", c.cfg.Name, missing)
		}
	}()
	until(t, c.cfg.Name+" to serve all acknowledged entries", func() bool {
		missing = nil
		if _, answers := c.status(); !answers {
			return false
		}
		has := servedEntries(t, c)
		for _, uid := range all {
			if !has[uid] {
				missing = append(missing, uid)
			}
		}
		return len(missing) == 0
	})
}

// diskFailures are the kinds of failed disk writes.
var diskFailures = map[string]fault.Config{
	"sync kept": fault.NewConfig(0, 0, fault.SyncErrorPersisted),
	"sync lost": fault.NewConfig(0, 0, fault.SyncErrorLost),
	"no space":  {Calls: map[string]string{fault.CallWrite: "ENOSPC"}},
	"I/O error": {Calls: map[string]string{fault.CallWrite: "EIO"}},
}

// A replica whose disk fails for a while reopens without a restart of the process, and serves all acknowledged entries.
func TestSupervisor_diskRecovers(t *testing.T) {
	for name, set := range diskFailures {
		for _, c := range []struct {
			replicas string
			count    int
			leads    bool
		}{{"alone", 1, true}, {"leader of three", 3, true}, {"follower of three", 3, false}} {
			t.Run(name+" "+c.replicas, func(t *testing.T) {
				t.Parallel()
				all := supervise(t, c.count, nil)
				failing := awaitLeader(t, all)
				if !c.leads {
					failing = others(all, failing)[0]
				}
				before := failing.supervisor.Node()
				stop := writers(all)
				until(t, "the first write", func() bool { return len(servedEntries(t, failing)) > 0 })
				failing.setFaults(t, set)
				failing.awaitClosed(t)
				if running := others(all, failing); len(running) > 0 {
					awaitLeader(t, running)
					until(t, "a write without the replica", func() bool { return register(running, "meanwhile") })
					until(t, "a read without the replica", func() bool { return servedEntries(t, running[0])["meanwhile"] })
				}
				failing.setFaults(t, fault.Config{})
				until(t, "the replica to reopen", func() bool {
					st, answers := failing.status()
					return answers && st.Leader != ""
				})
				failing.awaitEntries(t, stop()...)
				assert.NotSame(t, before, failing.supervisor.Node())
				until(t, "a write after the disk recovered", func() bool { return register(all, "after") })
			})
		}
	}
}

// While the disk of a single replica fails, no write is acknowledged. Writes that were lost are not served afterwards.
func TestSupervisor_lostWriteNotAcknowledged(t *testing.T) {
	for _, name := range []string{"sync lost", "no space", "I/O error"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := supervise(t, 1, nil)
			one := all[0]
			require.True(t, register(all, "before"))
			one.setFaults(t, diskFailures[name])
			for i := range 5 {
				assert.False(t, register(all, fmt.Sprint("lost-", i)))
			}
			one.setFaults(t, fault.Config{})
			awaitLeader(t, all)
			until(t, "a write after the disk recovered", func() bool { return register(all, "after") })
			assert.Equal(t, map[string]bool{"before": true, "after": true}, servedEntries(t, one))
		})
	}
}

// raft panics if it cannot store its term. An election that begins while the disk fails must not end the process.
func TestSupervisor_electionOnFailingDisk(t *testing.T) {
	for name, set := range diskFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := supervise(t, 3, nil)
			lead := awaitLeader(t, all)
			require.True(t, register(all, "before"))
			for _, c := range others(all, lead) {
				c.setFaults(t, set) // they write nothing until they observe the next term
			}
			lead.setFaults(t, set)
			register(all, "lost") // ends the leadership
			lead.awaitClosed(t)
			running := others(all, lead) // once one of them is closed, the other begins no election
			until(t, "another replica to close", func() bool {
				_, first := running[0].status()
				_, second := running[1].status()
				return !first || !second
			})
			for _, c := range all {
				c.setFaults(t, fault.Config{})
			}
			for _, c := range all {
				c.awaitEntries(t, "before")
			}
		})
	}
}

// A permanent failure of the data directory ends the supervisor with an error that names the directory and the reason.
func TestSupervisor_permanentFailure(t *testing.T) {
	for name, c := range map[string]struct {
		harm func(t *testing.T, dir string)
		says string
	}{
		"spoilt log": {func(t *testing.T, dir string) {
			path := filepath.Join(dir, storage.StoreFile)
			info, err := os.Stat(path)
			require.NoError(t, err)
			require.NoError(t, os.Truncate(path, info.Size()/2))
		}, "this replica must not start from it"},
		"not a folder": {func(t *testing.T, dir string) {
			require.NoError(t, os.Rename(dir, dir+".away"))
			require.NoError(t, os.WriteFile(dir, nil, 0o600))
		}, "not a directory"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := supervise(t, 1, nil)
			one := all[0]
			require.True(t, register(all, "before"))
			one.setFaults(t, fault.NewConfig(0, 0, fault.SyncErrorLost))
			register(all, "lost")
			one.awaitClosed(t)
			c.harm(t, one.cfg.Dir)
			one.setFaults(t, fault.Config{})
			select {
			case err := <-one.ended:
				assert.ErrorContains(t, err, c.says)
				assert.ErrorContains(t, err, one.cfg.Dir)
				one.ended <- nil // for the cleanup
			case <-time.After(patience):
				t.Error("the supervisor still waits")
			}
		})
	}
}

// The supervisor waits for a data directory that is missing, as when its file system is not mounted. It must not
// bootstrap a new cluster in its place.
func TestSupervisor_missingDirectory(t *testing.T) {
	all := supervise(t, 1, nil)
	one := all[0]
	require.True(t, register(all, "before"))
	one.setFaults(t, fault.NewConfig(0, 0, fault.SyncErrorLost))
	register(all, "lost")
	one.awaitClosed(t)
	away := one.cfg.Dir + ".away"
	require.NoError(t, os.Rename(one.cfg.Dir, away))
	require.NoError(t, os.Mkdir(one.cfg.Dir, 0o700)) // an empty mount point
	one.setFaults(t, fault.Config{})
	cfg := one.cfg
	cfg.reopened = true
	_, err := Open(cfg)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.Never(t, func() bool { _, answers := one.status(); return answers }, 3*minReopenDelay, minReopenDelay/2)
	require.NoError(t, os.Remove(one.cfg.Dir))
	require.NoError(t, os.Rename(away, one.cfg.Dir))
	one.awaitEntries(t, "before")
	assert.Equal(t, map[string]bool{"before": true}, servedEntries(t, one))
}

// Reloaded options apply after the replica is reopened, whether they were reloaded before or during the disk failure.
func TestSupervisor_reload(t *testing.T) {
	all := supervise(t, 1, nil)
	one := all[0]
	one.supervisor.Reload(listserver.Options{MaxStaleness: time.Hour, BatchInterval: time.Millisecond})
	one.setFaults(t, fault.NewConfig(0, 0, fault.SyncErrorLost))
	register(all, "lost")
	one.awaitClosed(t)
	one.supervisor.Reload(listserver.Options{MaxStaleness: 2 * time.Hour, BatchInterval: time.Millisecond})
	one.setFaults(t, fault.Config{})
	awaitLeader(t, all)
	assert.Equal(t, 2*time.Hour, one.supervisor.Node().Server().Options().MaxStaleness)
}

// A replica is reopened at the port that the system chose for the first start.
func TestSupervisor_port(t *testing.T) {
	bound := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 12345}
	for given, want := range map[string]string{
		"127.0.0.1:0": "127.0.0.1:12345", "[::1]:0": "[::1]:12345", ":0": ":12345", "127.0.0.1:80": "127.0.0.1:80", "none": "none",
	} {
		assert.Equal(t, want, withBoundPort(given, bound), given)
	}
}

// descriptors returns the number of open file descriptors of the process.
func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(all)
}

// Repeated disk failures leak neither goroutines nor file descriptors.
func TestSupervisor_failingDiskNoLeaks(t *testing.T) { // not parallel: it counts the resources of the process
	dir := t.TempDir()
	faults := filepath.Join(dir, "faults.toml")
	plan, err := fault.Open(faults)
	require.NoError(t, err)
	cfg := Config{Name: "one", Listen: freePort(t), RaftListen: freePort(t), Dir: filepath.Join(dir, "one"),
		HeartbeatInterval: 10 * time.Millisecond, Faults: plan, Options: listserver.Options{BatchInterval: time.Millisecond}}
	const cycles = 50
	var goroutines, files int
	for cycle := range cycles {
		require.NoError(t, fault.Config{}.Write(faults))
		n, err := Open(cfg)
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- n.Run(t.Context()) }()
		until(t, "the first write", func() bool { return n.Term() != 0 && n.Server().Status().Rev > 0 })
		require.NoError(t, fault.NewConfig(0, 0, fault.SyncErrorLost).Write(faults))
		_, err = n.Apply(&state.Command{Op: state.OpPut, Entry: &state.Entry{UID: "lost", Endpoint: "127.0.0.1:1", State: state.Ready}}, time.Second)
		require.ErrorIs(t, err, listserver.ErrNoQuorum)
		var disk *DiskError
		require.ErrorAs(t, <-ended, &disk)
		if cycle == cycles/10 {
			goroutines, files = runtime.NumGoroutine(), descriptors(t)
		}
	}
	until(t, "goroutines and descriptors to be released", func() bool {
		return runtime.NumGoroutine() <= goroutines && descriptors(t) <= files
	})
}

func TestMayBeTransient(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&DiskError{Err: errors.New("disk")}, true},
		{os.ErrNotExist, true},
		{os.ErrPermission, false},
		{&storage.CorruptionError{Path: "raft.db", Err: storage.ErrCorrupt}, false},
		{storage.ErrNewerVersion, false},
	} {
		assert.Equal(t, c.want, mayBeTransient(fmt.Errorf("registry: %w", c.err)), "%v", c.err)
	}
}
