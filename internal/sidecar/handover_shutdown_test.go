package sidecar

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Both processes of an upgrade are told to end: while the newer one drains, which may be short, the older one does not
// leave new connections to it.
func TestShutdownOfBothProcesses(t *testing.T) {
	b := newBackend(t, "a", ok)
	c := upgradable(t, newRegistry(t).addr(), b.target)
	old := start(t, c, func(s *Sidecar) { s.drainAccept = patience })
	until(t, "the older process", func() bool { return old.healthy(t) })
	next := start(t, c, func(s *Sidecar) { s.listWait, s.drainAccept = 0, patience })
	until(t, "its word", func() bool { return old.after.serve.Load() == 1 })
	next.term()
	until(t, "its other word", func() bool { return old.after.serve.Load() == 0 })
	if got, want := old.listener.bound(), old.budget.clients/2; got != want {
		t.Errorf("the older process may hold %d clients beside the one that ends, want %d", got, want)
	}
	old.term()
	until(t, "its drain", old.frontend.draining.Load)
	for range 4 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
		resp, err := client.Do(old.request("charge", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Error(resp.Status)
		}
	}
}

// A newer process that is told to end before it serves never says that it does: the older one goes on.
func TestShutdownBeforeItServes(t *testing.T) {
	c := upgradable(t, newRegistry(t).addr())
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	shared, err := listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	place, err := net.ListenUnix("unix", &net.UnixAddr{Name: cfg.meetingPlace(), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer place.Close()
	place.SetDeadline(time.Now().Add(patience))
	words := make(chan string, 1)
	go func() { // the older process
		c, err := place.AcceptUnix()
		if err != nil {
			words <- err.Error()
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		if err := (&successors{give: shared.(*net.TCPListener)}).hand(c); err != nil {
			words <- err.Error()
			return
		}
		said, _ := io.ReadAll(c)
		words <- string(said)
	}()
	next := start(t, c, func(s *Sidecar) { s.listWait = time.Hour }) // it waits for a server
	if next.before == nil {
		t.Fatal("it has met nobody")
	}
	next.end(t)
	if said := receive(t, "its words", words); said != string([]byte{endsNow}) {
		t.Errorf("it said %q", said)
	}
}
