package clientserver

import (
	"io"
	"net"
	"testing"
	"time"

	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// Connections are evicted by rank, and within a rank by their silence. None with a request at work is, and none that is
// just accepted.
func TestLimiter_evictionOrder(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	lastRead := func(conn *ClientConn, at time.Time) *ClientConn {
		conn.lastRead.Store(int64(at.Sub(epoch)))
		return conn
	}
	named := map[string]*ClientConn{
		"silent":       {since: ago(2 * time.Second)},
		"silent later": {since: ago(3 * time.Second / 2)},
		"new":          {since: ago(time.Second / 2)},
		"slow head":    lastRead(&ClientConn{since: ago(time.Second / 4)}, ago(time.Second/5)),
		"idle long":    {since: ago(3 * time.Second), reused: true},
		"half":         lastRead(&ClientConn{since: ago(3 * time.Second)}, ago(2*time.Second)),
		"half, later":  lastRead(&ClientConn{since: ago(2 * time.Second)}, ago(time.Second)),
		"idle":         {since: ago(time.Second), reused: true},
		"busy":         {since: ago(time.Hour), busy: true},
		"just now":     {since: now.Add(time.Hour)},
	}
	limiter := NewLimiter(nil, len(named))
	for _, conn := range named {
		limiter.conns[conn] = struct{}{}
	}
	for _, want := range []string{"silent", "silent later", "idle long", "half", "half, later", "idle", "new", "slow head"} {
		_, victim := limiter.claimSlot(&ClientConn{})
		if victim == nil || victim != named[want] {
			t.Fatalf("not %q but %+v is evicted next", want, victim)
		}
		delete(limiter.conns, victim)
		limiter.limit--
	}
	if admitted, victim := limiter.claimSlot(&ClientConn{}); victim != nil || admitted {
		t.Errorf("%+v is evicted, or a connection above the limit is admitted: %v", victim, admitted)
	}
}

func TestEvictionRank_String(t *testing.T) {
	seen := map[string]bool{}
	for rank := evictSilent; rank <= evictNew; rank++ {
		if name := rank.String(); name == "unknown" || seen[name] {
			t.Errorf("rank %d is %q", int(rank), name)
		} else {
			seen[name] = true
		}
	}
}

// A freed slot goes to a connection that waits for one. At Close a waiting connection is admitted; none comes after it.
func TestLimiter_slotFreedAndClose(t *testing.T) {
	listener, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	limiter := NewLimiter(listener, 1)
	for range 2 {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
	}
	first, err := limiter.Accept()
	if err != nil {
		t.Fatal(err)
	}
	first.(*ClientConn).RequestRead()
	admitted := make(chan error, 2)
	go func() {
		conn, err := limiter.Accept()
		if err == nil {
			conn.(*ClientConn).RequestRead()
		}
		admitted <- err
	}()
	first.Close()
	if err := sidecartest.Receive(t, "the second connection", admitted); err != nil {
		t.Error(err)
	}
	go func() {
		limiter.admit(&ClientConn{since: time.Now(), busy: true})
		admitted <- nil
	}()
	limiter.Close()
	if err := sidecartest.Receive(t, "the waiting connection", admitted); err != nil || len(limiter.conns) != 2 {
		t.Errorf("%d connections after Close, %v", len(limiter.conns), err)
	}
	if _, err := limiter.Accept(); err == nil {
		t.Error("a connection was accepted after Close")
	}
}

// CloseIdle notifies idle clients by a half-close: what they send after it is discarded, what they sent before it is
// read.
func TestLimiter_CloseIdle(t *testing.T) {
	listener, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	limiter := NewLimiter(listener, 3)
	t.Cleanup(func() { limiter.Close() })
	pair := func() (net.Conn, *ClientConn) {
		client, accepted := acceptPair(t, listener, limiter)
		accepted.ResponseWritten()
		return client, accepted
	}
	buf := make([]byte, 8)
	idleClient, idle := pair()
	sendingClient, unread := pair()
	if _, err := sendingClient.Write(buf); err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "the bytes of the sending client", func() bool { _, some := netcall.Peek(unread.Conn); return some })
	read := make(chan int, 1)
	go func() {
		n, _ := idle.Read(make([]byte, 8))
		read <- n
	}()
	sidecartest.Until(t, "a reader, as an idle connection has", idle.isRead)
	if !limiter.CloseIdle(time.Now()) {
		t.Error("no request is said to be able to cross an end")
	}
	if n, err := idleClient.Read(buf); n != 0 || err != io.EOF {
		t.Errorf("an idle client reads %d, %v", n, err)
	}
	if _, err := idleClient.Write(buf); err != nil {
		t.Fatal(err)
	}
	// A reader may have read bytes just before the limiter checks whether there are any.
	if n, err := unread.Read(buf); n == 0 || err != nil {
		t.Errorf("what came before is read as %d, %v", n, err)
	}
	if inputEnded, notified := unread.sendEnd(); inputEnded || notified {
		t.Error("a client that has sent part of a request is notified of its end")
	}
	if unread.closeInput() {
		t.Error("a connection is evicted, though nothing has become of what its client sent")
	}
	sidecartest.Until(t, "the connections that do not go to be closed", func() bool {
		limiter.CloseIdle(time.Now())
		return len(limiter.conns) == 1
	})
	if n := sidecartest.Receive(t, "the end", read); n != 0 {
		t.Errorf("%d bytes came after the end", n)
	}
}

// isRead reports whether the reader of the connection has used up its bytes and waits for more.
func (c *ClientConn) isRead() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	return !c.unprocessed
}
