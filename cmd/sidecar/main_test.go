package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
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

// The test binary stands in for the program where this is set.
const asProgram = "SIDECAR_TEST_AS_PROGRAM"

// Where this is set, the program gets signals between the end of its work and its own.
const signalsAtTheEnd = "SIDECAR_TEST_SIGNALS_AT_THE_END"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		if os.Getenv(signalsAtTheEnd) != "" {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
				syscall.Kill(os.Getpid(), s)
			}
		}
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+path)
	log := &bytes.Buffer{}
	cmd.Stderr = log
	return cmd, log
}

func TestStart_badConfiguration(t *testing.T) {
	cmd, log := program(t, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{}}`)
	err := cmd.Run()
	exit, is := err.(*exec.ExitError)
	if !is || exit.ExitCode() != 1 {
		t.Errorf("ended with %v, want status 1", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "no classes") {
		t.Errorf("said %q, want one line about the classes", text)
	}
}

func TestShutdown_clean(t *testing.T) {
	cmd, _ := program(t, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":
		{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`)
	cmd.Stderr = nil
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	addr := ""
	for addr == "" && lines.Scan() {
		if _, after, found := strings.Cut(lines.Text(), "listen="); found {
			addr = after
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("ready check: %s", resp.Status)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
		t.Log(lines.Text())
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// lines passes what is read on, line by line, up to its end.
func lines(from io.Reader) <-chan string {
	out := make(chan string, 1000)
	go func() {
		defer close(out)
		for in := bufio.NewScanner(from); in.Scan(); {
			out <- in.Text()
		}
	}()
	return out
}

// waitFor waits for a line of the log that holds all of the words.
func waitFor(t *testing.T, log <-chan string, words ...string) {
	t.Helper()
	late := time.After(10 * time.Second)
	for {
		select {
		case line, more := <-log:
			if !more {
				t.Fatalf("the program ended before it logged %q", words)
			}
			if !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) }) {
				return
			}
		case <-late:
			t.Fatalf("no line of the log with %q", words)
		}
	}
}

// One SIGHUP is enough where the file cannot be opened for a moment, or is half written.
func TestReload_retriesUntilComplete(t *testing.T) {
	for name, failure := range map[string]struct {
		errno string // of the opening; empty: the file is half written
		logs  string
	}{
		"ENFILE":       {"ENFILE", "too many open files in system"},
		"EMFILE":       {"EMFILE", "too many open files"},
		"EIO":          {"EIO", "input/output error"},
		"half written": {"", "unexpected end of JSON input"},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 10)
			discovery := func(name string) string {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls <- name
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}))
				t.Cleanup(srv.Close)
				return srv.Listener.Addr().String()
			}
			before, after := discovery("before"), discovery("after")
			faults := filepath.Join(t.TempDir(), "faults.toml")
			config := func(discovery string) string {
				return `{"listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1","faults":"` + faults + `","settings":
					{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`
			}
			cmd, _ := program(t, config(before))
			path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "NODE_CONFIG=")
			cmd.Stderr = nil
			stderr, err := cmd.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			log := lines(stderr)
			until := func(want string) { // a silent service is called more than once
				t.Helper()
				late := time.After(10 * time.Second)
				for name := ""; name != want; {
					select {
					case name = <-calls:
					case <-late:
						t.Fatalf("%s was not called", want)
					}
				}
			}
			until("before")
			text, planted := config(after), fault.Set{}
			if failure.errno == "" {
				text = text[:len(text)/2]
			} else {
				planted.Calls = map[string]string{fault.CallOpen: failure.errno}
			}
			if err := errors.Join(planted.Write(faults), os.WriteFile(path, []byte(text), 0o600)); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			waitFor(t, log, "reload", path, failure.logs)
			if err := errors.Join(fault.Set{}.Write(faults), os.WriteFile(path, []byte(config(after)), 0o600)); err != nil {
				t.Fatal(err)
			}
			until("after")
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			for range log { // up to its end
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// The platform replaces the file and sends SIGHUP; the environment still holds the address of the start.
func TestReload_newAddress(t *testing.T) {
	calls := make(chan string, 10)
	registry := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- name
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	before, after := registry("before"), registry("after")
	config := func(discovery string) string {
		return `{"listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1","settings":
			{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`
	}
	cmd, log := program(t, config(before))
	cmd.Env = append(cmd.Env, "NODE_DISCOVERY="+before)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	next := func() string {
		select {
		case name := <-calls:
			return name
		case <-time.After(10 * time.Second):
			return "no process"
		}
	}
	if name := next(); name != "before" {
		t.Errorf("%s was called first", name)
	}
	for i, text := range []string{"no configuration", config(after)} {
		path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-2], "NODE_CONFIG=")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(i, err)
		}
	}
	if name := next(); name != "after" {
		t.Errorf("%s was called after the signal", name)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
}

// startOn starts the program with an address that is held by the test, and waits until it has failed to bind it.
func startOn(t *testing.T, holder net.Listener) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd, _ := program(t, `{"listen":"`+holder.Addr().String()+`","discovery":"127.0.0.1:1","seed":"1","settings":
		{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`)
	cmd.Stderr = nil
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log := lines(stderr)
	waitFor(t, log, "start: call failed, retrying", "address already in use")
	return cmd, log
}

func endOf(t *testing.T, cmd *exec.Cmd, log <-chan string) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range log { // up to its end
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
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
	endOf(t, cmd, log)
}

func TestStart_sigtermWhileWaiting(t *testing.T) {
	cmd, log := startOn(t, holdAddress(t))
	endOf(t, cmd, log)
}
