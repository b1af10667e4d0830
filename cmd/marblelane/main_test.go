package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// programs holds the real programs, built once for all tests.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "marblelane-test-")
	if err == nil {
		programs = dir
		var out []byte
		out, err = exec.Command("go", "build", "-o", dir+"/", "marblelane/cmd/sidecar", "marblelane/cmd/marblelane").CombinedOutput()
		if err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func TestRun_exitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	short := file("short.toml", "title = \"short\"\nlength = \"1s\"\n[sidecars]\ncount = 1\n[servers]\ncount = 2\n")
	hopeless := file("hopeless.toml", "title = \"hopeless\"\nlength = \"1s\"\n[sidecars]\ncount = 1\n[servers]\ncount = 2\n[expect]\np99 = \"1ms\"\n")
	sidecarProcess := filepath.Join(programs, "sidecar")
	for _, c := range []struct {
		name        string
		args        []string
		code        int
		out, errOut string // parts of standard output and standard error
	}{
		{"help", []string{"--help"}, 0, "lab run", ""},
		{"no command", nil, 2, "", "expected"},
		{"unknown flag", []string{"lab", "run", "--sed", "1", "quickstart"}, 2, "", "--sed"},
		{"unknown level", []string{"--log-level", "loud", "lab", "list"}, 2, "", "loud"},
		{"list", []string{"lab", "list"}, 0, "quickstart ", ""},
		{"check", []string{"lab", "check", "quickstart"}, 0, "4 sidecars", ""},
		{"schedule", []string{"lab", "check", short, "--schedule", "--seed", "3"}, 0, "scenario short seed 3\n", ""},
		{"unknown scenario", []string{"lab", "run", "quickstrat"}, 2, "", `no scenario "quickstrat"`},
		{"no file", []string{"lab", "run", filepath.Join(dir, "none.toml")}, 2, "", "none.toml"},
		{"bad file", []string{"lab", "check", file("bad.toml", "title = \"x\"\nlength = \"5\"\n")}, 2, "", "bad.toml:2: length:"},
		{"no program", []string{"lab", "run", short, "--sidecar", filepath.Join(dir, "none")}, 2, "", "--sidecar"},
		{"no executable", []string{"lab", "run", short, "--sidecar", short}, 2, "", "is not an executable file"},
		{"expectation", []string{"lab", "run", hopeless, "--sidecar", sidecarProcess}, 1, "\nFAIL: p99 (ms) is ", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(t.Context(), c.args, &out, &errOut)
			if code == exitLate {
				t.Skip("the lab was late")
			}
			if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.errOut) {
				t.Errorf("%v: exit code %d\nout: %s\nerr: %s", c.args, code, out.String(), errOut.String())
			}
		})
	}
}

// startLab starts the real command, waits until its processes are up and returns their process ids.
func startLab(t *testing.T, scenario string) (*exec.Cmd, *bytes.Buffer, []int) {
	t.Helper()
	cmd := marblelane("--log-level", "info", "lab", "run", scenario)
	out := &bytes.Buffer{}
	cmd.Stdout = out
	startUntil(t, cmd, cmd.StderrPipe, "all parties started")
	children := childrenOf(t, cmd.Process.Pid)
	if len(children) != 2 {
		t.Fatalf("children are %v, want 2", children)
	}
	return cmd, out, children
}

func childrenOf(t *testing.T, pid int) []int {
	t.Helper()
	var children []int
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, f := range tasks {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		for _, s := range strings.Fields(string(text)) {
			n, _ := strconv.Atoi(s)
			children = append(children, n)
		}
	}
	return children
}

// requireEnded waits until none of the processes runs. A zombie counts as ended.
func requireEnded(t *testing.T, pids []int) {
	t.Helper()
	for _, pid := range pids {
		require.Eventually(t, func() bool {
			stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			return err != nil || strings.Contains(string(stat), ") Z ")
		}, 10*time.Second, 5*time.Millisecond, "process %d still runs", pid)
	}
}

const longScenario = `
title = "long"
length = "60s"
[sidecars]
count = 2
[servers]
count = 2
[[fault]]
at = "0s"
for = "60s"
kind = "sidecar-freeze"
sidecars = "#1"
`

// However the lab ends, the processes it started end with it, even a frozen one.
func TestLabRun_copiesEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "long.toml")
	if err := os.WriteFile(path, []byte(longScenario), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, signal := range map[string]syscall.Signal{"SIGKILL": syscall.SIGKILL, "SIGINT": syscall.SIGINT, "SIGTERM": syscall.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cmd, _, pids := startLab(t, path)
			sendSignal(t, cmd, signal)
			_ = cmd.Wait()
			if signal != syscall.SIGKILL && cmd.ProcessState.ExitCode() != exitUsage {
				t.Errorf("exited with %v", cmd.ProcessState)
			}
			requireEnded(t, pids)
		})
	}
}

// A lab that was stopped for a while reports that its run does not count, whatever the result is.
func TestLabRun_late(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held.toml")
	text := "title = \"held\"\nlength = \"6s\"\n[sidecars]\ncount = 2\n[servers]\ncount = 2\n[expect]\np99 = \"1ms\"\n"
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd, out, _ := startLab(t, path)
	for range 2 { // the first may come before the run's clock has started
		sendSignal(t, cmd, syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond) // the fault itself: longer than the tolerated lateness
		sendSignal(t, cmd, syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
	}
	_ = cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != exitLate || !strings.Contains(out.String(), "\nLATE: the lab could not keep its times") {
		t.Errorf("exited with %d:\n%s", code, out.String())
	}
}

// lab compare accepts two programs as well as two scenarios.
func TestLabCompare_programs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "brief.toml")
	if err := os.WriteFile(path, []byte("title = \"brief\"\nlength = \"1s\"\n[sidecars]\ncount = 1\n[servers]\ncount = 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	sidecarProcess := filepath.Join(programs, "sidecar")
	dir := filepath.Join(t.TempDir(), "report")
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"lab", "compare", sidecarProcess, sidecarProcess, "--scenario", path, "--plays", "2", "--report", dir}, &out, &errOut)
	if code != exitOK || !strings.Contains(out.String(), "2 runs each, seeds 1 to 2") || !strings.Contains(errOut.String(), "run 2 of 2") {
		t.Errorf("exited with %d\nout: %s\nerr: %s", code, out.String(), errOut.String())
	}
	if _, err := os.Stat(filepath.Join(dir, "compare.json")); err != nil {
		t.Error(err)
	}
}

// A comparison on a machine that is too busy for it is no error of the call: it reports that it does not count.
func TestLabCompare_late(t *testing.T) {
	path := filepath.Join(t.TempDir(), "brief.toml")
	if err := os.WriteFile(path, []byte("title = \"brief\"\nlength = \"2s\"\n[sidecars]\ncount = 1\n[servers]\ncount = 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	sidecarProcess := filepath.Join(programs, "sidecar")
	cmd := marblelane("lab", "compare", sidecarProcess, sidecarProcess, "--scenario", path, "--plays", "1")
	var out bytes.Buffer
	cmd.Stdout = &out
	startProcess(t, cmd)
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code is checked below
		close(ended)
	}()
	for {
		select {
		case <-ended:
			if code := cmd.ProcessState.ExitCode(); code != exitLate || !strings.HasPrefix(out.String(), "LATE: ") || !strings.Contains(out.String(), "the lab was late") {
				t.Errorf("exited with %d:\n%s", code, out.String())
			}
			return
		case <-time.After(200 * time.Millisecond):
			_ = cmd.Process.Signal(syscall.SIGSTOP) // fails only if the process has ended
			time.Sleep(600 * time.Millisecond)      // the fault itself: longer than the tolerated lateness
			_ = cmd.Process.Signal(syscall.SIGCONT)
		}
	}
}

func TestLoad_withoutFaults(t *testing.T) {
	complete, err := loadScenario("list-half")
	if err != nil {
		t.Fatal(err)
	}
	sound, err := loadScenario("list-half~list-")
	if err != nil || len(sound.Faults) != len(complete.Faults)-1 || len(sound.Faults) == 0 {
		t.Errorf("%d faults of %d are left, %v", len(sound.Faults), len(complete.Faults), err)
	}
	if _, err := loadScenario("list-half~sidecar-"); err == nil || !strings.Contains(err.Error(), `"sidecar-"`) {
		t.Errorf("a kind without faults: %v", err)
	}
}

func TestLabFleetLoad(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := run(t.Context(), []string{"lab", "crowd", "--callers", "5", "--capacity", "4000", "--length", "5s", "--json"}, &out, &errOut); code != exitOK {
		t.Fatalf("exit %d: %s", code, errOut.String())
	}
	var rows []fleetLoadRow
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil || len(rows) != 2 || rows[0].HaveList != 5 {
		t.Errorf("%v: %s", err, out.String())
	}
	if code := run(t.Context(), []string{"lab", "crowd", "--capacity", "0"}, &out, &errOut); code != exitUsage {
		t.Errorf("no capacity: exit %d", code)
	}
}
