package clientserver

import (
	"io"
	"net"
	"testing"
	"time"

	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// Connections are evicted in the order of their rank, and within a rank the one that has been silent longest goes
// first. A connection with an active request, or one that was just accepted, is never evicted.
func TestLimiter_evictionOrder(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	lastRead := func(conn *ClientConn, at time.Time) *ClientConn {
		conn.lastRead.Store(int64(at.Sub(epoch)))
		return conn
	}
	named := map[string]*ClientConn{
		"silent":       {readySince: ago(2 * time.Second)},
		"silent later": {readySince: ago(3 * time.Second / 2)},
		"new":          {readySince: ago(time.Second / 2)},
		"slow head":    lastRead(&ClientConn{readySince: ago(time.Second / 4)}, ago(time.Second/5)),
		"idle long":    {readySince: ago(3 * time.Second), reused: true},
		"half":         lastRead(&ClientConn{readySince: ago(3 * time.Second)}, ago(2*time.Second)),
		"half, later":  lastRead(&ClientConn{readySince: ago(2 * time.Second)}, ago(time.Second)),
		"idle":         {readySince: ago(time.Second), reused: true},
		"busy":         {readySince: ago(time.Hour), busy: true},
		"just now":     {readySince: now.Add(time.Hour)},
	}
	limiter := NewLimiter(nil, len(named))
	for _, conn := range named {
		limiter.conns[conn] = struct{}{}
	}
	for _, want := range []string{"silent", "silent later", "idle long", "half", "half, later", "idle", "new", "slow head"} {
		_, victim := limiter.claimSlot(&ClientConn{})
		if victim == nil || victim != named[want] {
			t.Fatalf("next connection to evict is %+v, want %q", victim, want)
		}
		delete(limiter.conns, victim)
		limiter.limit--
	}
	if admitted, victim := limiter.claimSlot(&ClientConn{}); victim != nil || admitted {
		t.Errorf("victim %+v, admitted %v; want no victim and no admission above the limit", victim, admitted)
	}
}

func TestEvictionRank_String(t *testing.T) {
	seen := map[string]bool{}
	for rank := evictSilent; rank <= evictNew; rank++ {
		if name := rank.String(); name == "unknown" || seen[name] {
			t.Errorf("name of rank %d is unknown or duplicate: %q", int(rank), name)
		} else {
			seen[name] = true
		}
	}
}

// A freed slot is given to a connection that waits for one. Close admits a waiting connection, and no connection is
// accepted after it.
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
		limiter.admit(&ClientConn{readySince: time.Now(), busy: true})
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

// CloseIdle half-closes idle connections. Bytes that a client sent before the half-close are read; bytes that it sends
// after it are discarded.
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
	sidecartest.Until(t, "a reader that waits, as on an idle connection", idle.readerWaiting)
	if !limiter.CloseIdle(time.Now()) {
		t.Error("CloseIdle returned false though a request may cross the end of its connection")
	}
	if n, err := idleClient.Read(buf); n != 0 || err != io.EOF {
		t.Errorf("an idle client read %d bytes, error %v; want 0, EOF", n, err)
	}
	if _, err := idleClient.Write(buf); err != nil {
		t.Fatal(err)
	}
	// A reader may have read bytes just before the limiter checks whether there are any.
	if n, err := unread.Read(buf); n == 0 || err != nil {
		t.Errorf("read of the bytes sent before CloseIdle: %d bytes, error %v", n, err)
	}
	if inputEnded, notified := unread.halfCloseIdle(); inputEnded || notified {
		t.Error("the connection was closed although its client has sent part of a request")
	}
	if unread.closeInput() {
		t.Error("the input was closed although it holds bytes that are not part of a request yet")
	}
	sidecartest.Until(t, "the half-closed connections to be closed", func() bool {
		limiter.CloseIdle(time.Now())
		return len(limiter.conns) == 1
	})
	if n := sidecartest.Receive(t, "the end", read); n != 0 {
		t.Errorf("read %d bytes after the half-close, want 0", n)
	}
}

// readerWaiting reports whether net/http has parsed all bytes that it has read and waits for more.
func (c *ClientConn) readerWaiting() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	return !c.inputBuffered
}
