package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Signals that arrive after the work is done, right before the exit, do not change the exit status.
func TestShutdown_signalsToTheEnd(t *testing.T) {
	t.Setenv(signalsAfterRunEnv, "1")
	p := launch(t, nil)
	p.sigterm()
	p.awaitEnd()
}

// Further signals (SIGTERM, SIGINT, SIGHUP) neither end a drain early nor cancel it.
func TestShutdown_repeatedSignals(t *testing.T) {
	p := launch(t, nil)
	hung := p.dial()
	hung.request("unsafe", "hang")
	p.server.awaitRequest(p.t)
	p.sigterm()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		p.cmd.signal(t, s)
	}
	c := p.dial()
	c.request("unsafe", "")
	c.expectResponse(200, true)
	hung.expectResponse(502, false)
	p.expectBetween(serviceEndAt, killAt, "a request was ended")
	hung.Close()
	p.awaitEnd()
}

// Of several configurations in quick succession the last one takes effect, even if an earlier one is still being read
// when it arrives.
func TestReload_lastOfSeveral(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 100)
	config := func(name string) string {
		return configJSON("127.0.0.1:0", silentDiscovery(t, name, calls, true), "")
	}
	cmd := newCommand(t, config("first"))
	log := cmd.startBuffered(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log)
		}
	})
	waitForCall(t, calls, "first", waitTimeout)
	replace := func(text string) {
		t.Helper()
		next := cmd.config + ".next"
		if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, cmd.config); err != nil {
			t.Fatal(err)
		}
		cmd.signal(t, syscall.SIGHUP)
	}
	// A named pipe in place of the file blocks its reader until the test writes to it.
	pipe := filepath.Join(t.TempDir(), "slow")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(pipe, cmd.config); err != nil {
		t.Fatal(err)
	}
	cmd.signal(t, syscall.SIGHUP)
	slow, err := os.OpenFile(cmd.config, os.O_WRONLY, 0) // returns once the sidecar has opened it for reading
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"second", "third"} {
		replace(config(name))
	}
	replace(config("last"))
	if _, err := slow.WriteString(config("late")); err != nil {
		t.Fatal(err)
	}
	slow.Close()
	waitForCall(t, calls, "last", waitTimeout)
	select {
	case name := <-calls:
		if name != "last" && !strings.HasSuffix(name, " left") {
			t.Errorf("%q was called after the last list service", name)
		}
	case <-time.After(300 * time.Millisecond):
	}
	cmd.terminate(t)
}
