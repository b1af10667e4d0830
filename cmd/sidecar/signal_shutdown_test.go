package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Signals that come once the work is done do not make a crash of an orderly end.
func TestShutdown_signalsToTheEnd(t *testing.T) {
	t.Setenv(signalsAtTheEnd, "1")
	p := launch(t, nil)
	p.sigterm()
	p.awaitEnd()
}

// Neither a second SIGTERM nor SIGHUP ends a drain early or undoes it.
func TestShutdown_repeatedSignals(t *testing.T) {
	p := launch(t, nil)
	hung := p.dial()
	hung.request("unsafe", "hang")
	p.server.awaitRequest(p.t)
	p.sigterm()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	c := p.dial()
	c.request("unsafe", "")
	c.expectAnswer(200, true)
	hung.expectAnswer(502, false)
	p.between(serviceEndAt, killAt, "a request was given up")
	hung.Close()
	p.awaitEnd()
}

// Of several configurations in quick succession the last one counts, also where an older one is still being read when
// it comes.
func TestReload_lastOfSeveral(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 100)
	registry := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- name
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			calls <- name + " left"
		}))
		t.Cleanup(srv.Close)
		return `{"listen":"127.0.0.1:0","discovery":"` + srv.Listener.Addr().String() + `","seed":"1","settings":
			{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`
	}
	cmd, log := program(t, registry("first"))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "NODE_CONFIG=")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	received := func(want string) {
		t.Helper()
		for limit := time.After(patience); ; {
			select {
			case name := <-calls:
				if name == want {
					return
				}
			case <-limit:
				t.Fatalf("waited in vain for %q: %s", want, log)
			}
		}
	}
	received("first")
	hangUp := func() {
		t.Helper()
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	replace := func(text string) {
		t.Helper()
		next := path + ".next"
		if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, path); err != nil {
			t.Fatal(err)
		}
		hangUp()
	}
	// A pipe that takes the place of the file holds its reader up until the test has written to it.
	pipe := filepath.Join(t.TempDir(), "slow")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(pipe, path); err != nil {
		t.Fatal(err)
	}
	hangUp()
	slow, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once it is being read
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"second", "third"} {
		replace(registry(name))
	}
	replace(registry("last"))
	if _, err := slow.WriteString(registry("late")); err != nil {
		t.Fatal(err)
	}
	slow.Close()
	received("last")
	select {
	case name := <-calls:
		if name != "last" && !strings.HasSuffix(name, " left") {
			t.Errorf("%q is called after the last address", name)
		}
	case <-time.After(300 * time.Millisecond):
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
}
