package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/fault"
	"marblelane/internal/registry/state"
)

// startReplica starts a real replica with a configuration and returns the address where it serves.
func startReplica(t *testing.T, config string) (string, *exec.Cmd) {
	t.Helper()
	cmd := marblelane("registry", "serve", "--config", config)
	return valueOf(startUntil(t, cmd, cmd.StdoutPipe, " listen="), " listen="), cmd
}

func TestRegistryCommands(t *testing.T) {
	dir := t.TempDir()
	l, err := net.Listen("tcp", "127.0.0.1:0") // raft must use the same address after the restart
	if err != nil {
		t.Fatal(err)
	}
	raft := l.Addr().String()
	l.Close()
	config := filepath.Join(dir, "one.toml")
	text := fmt.Sprintf("name = \"one\"\nlisten = \"127.0.0.1:0\"\nraft = %q\ndir = %q\nbeat = \"50ms\"\n", raft, filepath.Join(dir, "data"))
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	addr, cmd := startReplica(t, config)
	do := func(want int, part string, args ...string) string {
		t.Helper()
		var out, errOut bytes.Buffer
		code := run(t.Context(), append([]string{"registry"}, args...), &out, &errOut)
		if code != want || !strings.Contains(out.String()+errOut.String(), part) {
			t.Errorf("%v: exit code %d\nout: %s\nerr: %s", args, code, out.String(), errOut.String())
		}
		return out.String()
	}
	require.Eventually(t, func() bool { // until it is elected
		var out, errOut bytes.Buffer
		run(t.Context(), []string{"registry", "status", "--addr", addr}, &out, &errOut)
		return strings.Contains(out.String(), `"leads": true`) && !strings.Contains(out.String(), `"rev": 0`)
	}, 20*time.Second, 10*time.Millisecond)
	do(0, `"rev"`, "put", "s-1", "127.0.0.1:81", "--zone", "a", "--addr", addr, "--if", "0")
	do(2, "changed meanwhile", "put", "s-1", "127.0.0.1:82", "--addr", addr, "--if", "0")
	do(0, `"endpoint":"127.0.0.1:81"`, "list", "--addr", addr)
	do(0, `"rev"`, "drain", "s-1", "--addr", addr)
	do(2, "no such entry", "drain", "s-2", "--addr", addr)
	do(0, `"state":"Terminating"`, "list", "--addr", addr)
	backup := filepath.Join(dir, "backup.json")
	do(0, "bytes in", "snapshot", backup, "--addr", addr)
	do(2, "already exists", "snapshot", backup, "--addr", addr)
	if data, err := os.ReadFile(backup); err != nil || !bytes.Contains(data, []byte("s-1")) {
		t.Errorf("the backup is %s, %v", data, err)
	}
	// After a kill and a restart the written entry is still there.
	sendSignal(t, cmd, syscall.SIGKILL)
	_ = cmd.Wait()
	addr, cmd = startReplica(t, config)
	require.Eventually(t, func() bool {
		var out, errOut bytes.Buffer
		run(t.Context(), []string{"registry", "list", "--addr", addr}, &out, &errOut)
		return strings.Contains(out.String(), `"uid":"s-1"`)
	}, 20*time.Second, 10*time.Millisecond)
	// SIGHUP does not end the process, even if the file is invalid.
	if err := os.WriteFile(config, []byte(text+"nonsense = 1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, cmd, syscall.SIGHUP)
	do(0, `"uid":"s-1"`, "list", "--addr", addr)
	do(0, "", "remove", "s-1", "--addr", addr)
	do(2, "connection refused", "list", "--addr", raft[:strings.LastIndexByte(raft, ':')]+":1")
	sendSignal(t, cmd, syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// A process whose folder fails closes its replica and keeps running: SIGHUP does not end it, and the replica serves
// again once the folder works. SIGTERM ends the process orderly, even while the folder fails.
func TestRegistryServe_failingDisk(t *testing.T) {
	dir := t.TempDir()
	config, faults := filepath.Join(dir, "one.toml"), filepath.Join(dir, "faults.toml")
	text := fmt.Sprintf("name = \"one\"\nlisten = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\ndir = %q\nbeat = \"50ms\"\nlab_faults = %q\n",
		filepath.Join(dir, "data"), faults)
	require.NoError(t, os.WriteFile(config, []byte(text), 0o644))
	addr, cmd := startReplica(t, config)
	do := func(args ...string) (code int, out string) {
		var output bytes.Buffer
		code = run(t.Context(), append([]string{"registry"}, append(args, "--addr", addr)...), &output, &output)
		return code, output.String()
	}
	serves := func() {
		t.Helper()
		require.Eventually(t, func() bool {
			code, _ := do("put", "s-1", "127.0.0.1:81")
			return code == 0
		}, 20*time.Second, 10*time.Millisecond)
	}
	failFolder := func() {
		t.Helper()
		require.NoError(t, fault.Config{Calls: map[string]string{fault.CallWrite: "ENOSPC"}}.Write(faults))
		code, output := do("put", "lost", "127.0.0.1:82")
		assert.Equal(t, 2, code, output)
		require.Eventually(t, func() bool {
			_, output := do("status")
			return strings.Contains(output, "connection refused")
		}, 20*time.Second, 10*time.Millisecond)
	}
	serves()
	failFolder()
	sendSignal(t, cmd, syscall.SIGHUP)
	require.NoError(t, fault.Config{}.Write(faults))
	serves()
	_, list := do("list")
	assert.Contains(t, list, `"uid":"s-1"`)
	assert.NotContains(t, list, `"uid":"lost"`)
	failFolder()
	sendSignal(t, cmd, syscall.SIGTERM)
	assert.NoError(t, cmd.Wait())
}

func TestRegistryServe_invalidConfig(t *testing.T) {
	good := "name = \"a\"\nlisten = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\n"
	for name, c := range map[string]struct{ text, wantOutput string }{
		"unknown key":  {good + "bat = 1\n", "c.toml:4: bat: unknown key"},
		"no unit":      {good + "beat = \"5\"\n", "c.toml:4: beat:"},
		"no name":      {"listen = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\n", "name: is missing"},
		"not a peer":   {good + "[[peer]]\nname = \"b\"\nraft = \"x:1\"\nserve = \"x:2\"\n", `"a" is not among the peers`},
		"share":        {good + "hold_share = 2.0\n", "hold_share: is not between 0 and 1"},
		"operators":    {good + "routes = \"none.toml\"\n", "c.toml: routes: operators' file: "},
		"members":      {good + "[members]\nfleet = \"f\"\nbind = \"x\"\n", "c.toml: members.bind: "},
		"members' key": {good + "[members]\nbnd = \"x\"\n", "c.toml:5: members.bnd: unknown key"},
		"defect":       {good + "lab_route_defect = \"x\"\n", `lab_route_defect: "x" is not one of [grant-unkept`},
		"join and all": {good + "join = true\n[[peer]]\nname = \"a\"\nraft = \"x:1\"\nserve = \"x:2\"\n", "join:"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "c.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			var out, errOut bytes.Buffer
			if code := run(t.Context(), []string{"registry", "serve", "--config", path}, &out, &errOut); code != exitUsage || !strings.Contains(errOut.String(), c.wantOutput) {
				t.Errorf("exit code %d: %s", code, errOut.String())
			}
		})
	}
}

// A server is started and registered, and a real sidecar follows the list without a change of its configuration. On
// SIGTERM the server is marked Terminating, drained, removed from the list and stopped.
func TestRegister_sidecarFollows(t *testing.T) {
	dir := t.TempDir()
	config := filepath.Join(dir, "one.toml")
	if err := os.WriteFile(config, []byte("name = \"one\"\nlisten = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\nbeat = \"50ms\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	addr, _ := startReplica(t, config)
	sidecar := filepath.Join(dir, "sidecar.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","management":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":128,"sockets":512},"known":{"rev":0,"all":true,"targets":[]},
		"settings":{"classes":[{"name":"c","effect":"read_like","group":"all","on_time_ms":500,"hard_limit_ms":1500}],
		"discovery":"automatic","quantum_ms":2,"zones":["a"]}}`, addr)
	if err := os.WriteFile(sidecar, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	sidecarProcess := exec.Command(filepath.Join(programs, "sidecar"))
	sidecarProcess.Env = []string{"NODE_CONFIG=" + sidecar}
	management := valueOf(startUntil(t, sidecarProcess, sidecarProcess.StderrPipe, "management="), "management=")
	figures := func() string {
		resp, err := http.Get("http://" + management + "/stats")
		if !assert.NoError(t, err) {
			return ""
		}
		defer resp.Body.Close()
		all, _ := io.ReadAll(resp.Body)
		return string(all)
	}
	wait := func(what string, is func() bool) {
		t.Helper()
		if !assert.Eventually(t, is, 20*time.Second, 10*time.Millisecond) {
			t.Fatalf("timed out waiting for %s; the sidecar shows:\n%s", what, figures())
		}
	}
	marker := filepath.Join(dir, "ended")
	register := marblelane("register", "--copy", "127.0.0.1:1", "--copy", addr, "--uid", "s-1",
		"--endpoint", "127.0.0.1:9", "--zone", "a", "--lease", "3s", "--drain", "1s", "--",
		"/bin/sh", "-c", `trap 'touch "$0"; exit 0' TERM; while :; do sleep 0.05; done`, marker)
	startProcess(t, register)
	wait("the server at the sidecar", func() bool { return strings.Contains(figures(), "svc_hosts_listed 1\n") })
	if strings.Contains(figures(), "svc_hosts_down 1\n") {
		t.Error("a ready server is avoided")
	}
	sendSignal(t, register, syscall.SIGTERM)
	wait("the drain at the sidecar", func() bool { return strings.Contains(figures(), "svc_hosts_down 1\n") })
	if _, err := os.Stat(marker); err == nil {
		t.Error("the server was ended while it drained")
	}
	wait("the removal at the sidecar", func() bool { return strings.Contains(figures(), "svc_hosts_listed 0\n") })
	if err := register.Wait(); err != nil {
		t.Errorf("register ended with %v", err)
	}
	if _, err := os.Stat(marker); err != nil {
		t.Error("the server got no SIGTERM")
	}
}

// A server that restarts after its machine's clock stepped back, while its previous start drains, becomes ready with a
// start time later than the previous one.
func TestRegister_clockStepBack(t *testing.T) {
	for _, step := range []time.Duration{-time.Second, -30 * time.Second, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			config, faults := filepath.Join(dir, "one.toml"), filepath.Join(dir, "faults.toml")
			text := "name = \"one\"\nlisten = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\nbeat = \"50ms\"\n"
			require.NoError(t, os.WriteFile(config, []byte(text), 0o644))
			addr, _ := startReplica(t, config)
			register := func(own ...string) *exec.Cmd {
				args := append([]string{"register", "--copy", addr, "--uid", "s-1", "--endpoint", "127.0.0.1:9",
					"--drain", "1m"}, own...)
				cmd := marblelane(args...)
				startProcess(t, cmd)
				return cmd
			}
			listed := func(entryState string, after int64) (start int64) {
				require.Eventually(t, func() bool {
					resp, err := http.Get("http://" + addr + "/registry/instances/s-1")
					if err != nil {
						return false
					}
					defer resp.Body.Close()
					var e state.Entry
					if json.NewDecoder(resp.Body).Decode(&e) != nil {
						return false
					}
					start = e.BootMS
					return e.State == entryState && start > after
				}, 20*time.Second, 10*time.Millisecond, "an entry that is %v", entryState)
				return start
			}
			former := register()
			start := listed(state.Ready, 0)
			require.NoError(t, former.Process.Signal(syscall.SIGTERM))
			listed(state.Terminating, 0)
			require.NoError(t, fault.NewConfig(step, 0, "").Write(faults))
			register("--faults", faults)
			listed(state.Ready, start)
		})
	}
}
