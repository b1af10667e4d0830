package main

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"marblelane/internal/fault"
)

// runAsProgramEnv is the variable that makes the test binary run as the sidecar.
const runAsProgramEnv = "SIDECAR_TEST_AS_PROGRAM"

// signalsAfterRunEnv is the variable that makes the program send itself signals after main has returned, before it
// exits.
const signalsAfterRunEnv = "SIDECAR_TEST_SIGNALS_AT_THE_END"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		if os.Getenv(signalsAfterRunEnv) != "" {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
				syscall.Kill(os.Getpid(), s)
			}
		}
		return
	}
	os.Exit(m.Run())
}

// logLimit bounds the wait for a line of the log or for a call of a list service.
const logLimit = 10 * time.Second

// settingsJSON contains settings with one class and short limits.
const settingsJSON = `{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}`

// configJSON returns a configuration with a listen address and a list service. More contains further keys with their
// values, each followed by a comma.
func configJSON(listen, discovery, more string) string {
	return `{"listen":"` + listen + `","discovery":"` + discovery + `","seed":"1",` + more + `"settings":` + settingsJSON + `}`
}

// command is the program, not started yet, with a configuration file.
type command struct {
	*exec.Cmd
	config string // path of the configuration file
}

func newCommand(t *testing.T, config string) *command {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "NODE_CONFIG="+path)
	return &command{cmd, path}
}

// startLogged starts the program and returns a channel of the lines of its log, which is closed when the log ends.
func (c *command) startLogged(t *testing.T) <-chan string {
	t.Helper()
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	log := make(chan string, 1000)
	go func() {
		defer close(log)
		for in := bufio.NewScanner(stderr); in.Scan(); {
			log <- in.Text()
		}
	}()
	return log
}

// startBuffered starts the program and collects its log, which is complete after Wait.
func (c *command) startBuffered(t *testing.T) *bytes.Buffer {
	t.Helper()
	log := &bytes.Buffer{}
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return log
}

func (c *command) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := c.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// terminate sends SIGTERM and waits until the program exits with status 0.
func (c *command) terminate(t *testing.T) {
	t.Helper()
	c.signal(t, syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("the sidecar exited with %v", err)
	}
}

// terminateLogged is terminate for a program started by startLogged. It writes the rest of the log to the test's log.
func (c *command) terminateLogged(t *testing.T, log <-chan string) {
	t.Helper()
	c.signal(t, syscall.SIGTERM)
	for line := range log {
		t.Log(line)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("the sidecar exited with %v", err)
	}
}

// silentDiscovery starts a list service that sends its name to calls for each call, and responds without a list. If
// left is set, it also reports when the caller disconnects.
func silentDiscovery(t *testing.T, name string, calls chan<- string, left bool) (addr string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- name
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		if left {
			calls <- name + " left"
		}
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// waitForCall waits until the wanted list service is called, and skips calls of other list services.
func waitForCall(t *testing.T, calls <-chan string, want string, timeout time.Duration) {
	t.Helper()
	limit := time.After(timeout)
	for {
		select {
		case name := <-calls:
			if name == want {
				return
			}
		case <-limit:
			t.Fatalf("%s was not called", want)
		}
	}
}

func TestStart_badConfiguration(t *testing.T) {
	cmd := newCommand(t, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{}}`)
	log := cmd.startBuffered(t)
	err := cmd.Wait()
	exit, is := err.(*exec.ExitError)
	if !is || exit.ExitCode() != 1 {
		t.Errorf("the sidecar exited with %v, want status 1", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "no classes") {
		t.Errorf("logged %q, want one line about the classes", text)
	}
}

func TestShutdown_clean(t *testing.T) {
	cmd := newCommand(t, configJSON("127.0.0.1:0", "127.0.0.1:1", ""))
	log := cmd.startLogged(t)
	_, addr, _ := strings.Cut(waitFor(t, log, "listen="), "listen=")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("ready check: %s", resp.Status)
	}
	cmd.terminateLogged(t, log)
}

// waitFor waits for a line of the log that contains all words.
func waitFor(t *testing.T, log <-chan string, words ...string) (line string) {
	t.Helper()
	limit := time.After(logLimit)
	for {
		select {
		case line, more := <-log:
			if !more {
				t.Fatalf("the program ended before it logged %q", words)
			}
			if !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) }) {
				return line
			}
		case <-limit:
			t.Fatalf("no log line contains %q", words)
		}
	}
}

// A single SIGHUP is enough even if the file temporarily cannot be opened, or is half written at first.
func TestReload_retriesUntilComplete(t *testing.T) {
	for name, failure := range map[string]struct {
		errno string // error of the open call; empty if the file is half written instead
		logs  string
	}{
		"ENFILE":       {"ENFILE", "too many open files in system"},
		"EMFILE":       {"EMFILE", "too many open files"},
		"EIO":          {"EIO", "input/output error"},
		"half written": {"", "unexpected end of JSON input"},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 10)
			before, after := silentDiscovery(t, "before", calls, false), silentDiscovery(t, "after", calls, false)
			faults := filepath.Join(t.TempDir(), "faults.toml")
			config := func(discovery string) string {
				return configJSON("127.0.0.1:0", discovery, `"faults":"`+faults+`",`)
			}
			cmd := newCommand(t, config(before))
			log := cmd.startLogged(t)
			waitForCall(t, calls, "before", logLimit)
			text, planted := config(after), fault.Config{}
			if failure.errno == "" {
				text = text[:len(text)/2]
			} else {
				planted.Calls = map[string]string{fault.CallOpen: failure.errno}
			}
			if err := errors.Join(planted.Write(faults), os.WriteFile(cmd.config, []byte(text), 0o600)); err != nil {
				t.Fatal(err)
			}
			cmd.signal(t, syscall.SIGHUP)
			waitFor(t, log, "reload", cmd.config, failure.logs)
			if err := errors.Join(fault.Config{}.Write(faults), os.WriteFile(cmd.config, []byte(config(after)), 0o600)); err != nil {
				t.Fatal(err)
			}
			waitForCall(t, calls, "after", logLimit)
			cmd.terminateLogged(t, log)
		})
	}
}

// lastCallsLimit is several times the pause between two calls to a list service that does not respond.
const lastCallsLimit = 500 * time.Millisecond

// collectCalls returns the names of the list services that are called within a time.
func collectCalls(calls <-chan string, within time.Duration) (names []string) {
	limit := time.After(within)
	for {
		select {
		case name := <-calls:
			names = append(names, name)
		case <-limit:
			return names
		}
	}
}

// The platform replaces the file and sends SIGHUP. The environment variable still has the address from the start, which
// the new file overrides.
func TestReload_newAddress(t *testing.T) {
	calls := make(chan string, 10)
	before, after := silentDiscovery(t, "before", calls, false), silentDiscovery(t, "after", calls, false)
	cmd := newCommand(t, configJSON("127.0.0.1:0", before, ""))
	cmd.Env = append(cmd.Env, "NODE_DISCOVERY="+before)
	log := cmd.startBuffered(t)
	next := func() string {
		select {
		case name := <-calls:
			return name
		case <-time.After(logLimit):
			return "no process"
		}
	}
	if name := next(); name != "before" {
		t.Errorf("%s was called first", name)
	}
	for _, text := range []string{"no configuration", configJSON("127.0.0.1:0", after, "")} {
		if err := os.WriteFile(cmd.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.signal(t, syscall.SIGHUP)
	}
	// Until the new address is applied, the old one is called again: the sidecar repeats a call that gets no response.
	waitForCall(t, calls, "after", logLimit)
	collectCalls(calls, lastCallsLimit) // of calls to the old address that were on their way
	if names := collectCalls(calls, lastCallsLimit); slices.Contains(names, "before") {
		t.Errorf("calls long after the change of the address: %v", names)
	}
	cmd.terminate(t)
	if t.Failed() {
		t.Log(log)
	}
}

// startOn starts the program with an address that the test has bound, and waits until the program has failed to bind
// it.
func startOn(t *testing.T, holder net.Listener) (*command, <-chan string) {
	t.Helper()
	cmd := newCommand(t, configJSON(holder.Addr().String(), "127.0.0.1:1", ""))
	log := cmd.startLogged(t)
	waitFor(t, log, "start: call failed, retrying", "address already in use")
	return cmd, log
}

func holdAddress(t *testing.T) net.Listener {
	t.Helper()
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { holder.Close() })
	return holder
}

func TestStart_waitsForAddress(t *testing.T) {
	holder := holdAddress(t)
	cmd, log := startOn(t, holder)
	holder.Close()
	waitFor(t, log, "ready", holder.Addr().String())
	cmd.terminateLogged(t, log)
}

func TestStart_sigtermWhileWaiting(t *testing.T) {
	cmd, log := startOn(t, holdAddress(t))
	cmd.terminateLogged(t, log)
}
