package clientserver

import (
	"io"
	"net"
	"testing"
	"time"

	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// Who makes room, and in which order: nobody with a request, nobody who only just came.
func TestWhoMakesRoom(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	heard := func(g *ClientConn, at time.Time) *ClientConn {
		g.LastRead.Store(int64(at.Sub(epoch)))
		return g
	}
	named := map[string]*ClientConn{
		"silent":       {since: ago(2 * time.Second)},
		"silent later": {since: ago(3 * time.Second / 2)},
		"newcomer":     {since: ago(time.Second / 2)},
		"slow head":    heard(&ClientConn{since: ago(time.Second / 4)}, ago(time.Second/5)),
		"idle long":    {since: ago(3 * time.Second), reused: true},
		"half":         heard(&ClientConn{since: ago(3 * time.Second)}, ago(2*time.Second)),
		"half, later":  heard(&ClientConn{since: ago(2 * time.Second)}, ago(time.Second)),
		"idle":         {since: ago(time.Second), reused: true},
		"at work":      {since: ago(time.Hour), busy: true},
		"new":          {since: now.Add(time.Hour)},
	}
	r := NewLimiter(nil, len(named))
	for _, g := range named {
		r.Conns[g] = struct{}{}
	}
	for _, want := range []string{"silent", "silent later", "idle long", "half", "half, later", "idle", "newcomer", "slow head"} {
		victim, _ := r.place(&ClientConn{})
		if victim == nil || victim != named[want] {
			t.Fatalf("not %q but %+v goes next", want, victim)
		}
		delete(r.Conns, victim)
		r.limit--
	}
	if victim, wait := r.place(&ClientConn{}); victim != nil || wait == 0 {
		t.Errorf("%+v has to go", victim)
	}
}

func TestRoomIsLeftAndClosed(t *testing.T) {
	l, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	r := NewLimiter(l, 1)
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first, err := r.Accept()
	if err != nil {
		t.Fatal(err)
	}
	first.(*ClientConn).RequestRead()
	came := make(chan error, 2)
	go func() {
		c, err := r.Accept()
		if err == nil {
			c.(*ClientConn).RequestRead()
		}
		came <- err
	}()
	first.Close()
	if err := sidecartest.Receive(t, "the second", came); err != nil {
		t.Error(err)
	}
	// Who had come before the end and waits for a place is let in; nobody comes after it.
	go func() {
		r.admit(&ClientConn{since: time.Now(), busy: true})
		came <- nil
	}()
	r.Close()
	if err := sidecartest.Receive(t, "the end", came); err != nil || len(r.Conns) != 2 {
		t.Errorf("%d in the room after the end, %v", len(r.Conns), err)
	}
	if _, err := r.Accept(); err == nil {
		t.Error("a connection was taken after the end")
	}
}

// An end between requests is told by half a close: nothing that comes after it counts, what came before it does.
func TestEndsBetweenRequests(t *testing.T) {
	l, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	r := NewLimiter(l, 3)
	t.Cleanup(func() { r.Close() })
	pair := func() (net.Conn, *ClientConn) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(sidecartest.Patience))
		g, err := r.Accept()
		if err != nil {
			t.Fatal(err)
		}
		g.SetDeadline(time.Now().Add(sidecartest.Patience))
		g.(*ClientConn).RequestAnswered()
		return c, g.(*ClientConn)
	}
	buf := make([]byte, 8)
	idle, deafened := pair()
	sent, unread := pair()
	if _, err := sent.Write(buf); err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "its bytes", func() bool { _, some := netcall.Peek(unread.Conn); return some })
	read := make(chan int, 1)
	go func() {
		n, _ := deafened.Read(make([]byte, 8))
		read <- n
	}()
	sidecartest.Until(t, "a reader, as an idle connection has", deafened.isRead)
	if !r.CloseIdle(time.Now()) {
		t.Error("nobody's request may cross an end")
	}
	if n, err := idle.Read(buf); n != 0 || err != io.EOF {
		t.Errorf("an idle client reads %d, %v", n, err)
	}
	if _, err := idle.Write(buf); err != nil {
		t.Fatal(err)
	}
	// A reader may have taken bytes just before it is looked whether there are any.
	if n, err := unread.Read(buf); n == 0 || err != nil {
		t.Errorf("what came before is read as %d, %v", n, err)
	}
	if left, told := unread.sendEnd(); left || told {
		t.Error("who has been heard is told its end")
	}
	if unread.closeInput() {
		t.Error("who has been heard makes room, though nothing has become of what it sent")
	}
	sidecartest.Until(t, "those that do not go to be closed", func() bool {
		r.CloseIdle(time.Now())
		return len(r.Conns) == 1
	})
	if n := sidecartest.Receive(t, "the end", read); n != 0 {
		t.Errorf("%d bytes came after the end", n)
	}
}

// isRead tells that whoever serves the connection has nothing of it left and waits for more.
func (g *ClientConn) isRead() bool {
	g.readLock.Lock()
	defer g.readLock.Unlock()
	return !g.unprocessed
}
