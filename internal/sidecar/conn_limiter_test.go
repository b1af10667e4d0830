package sidecar

import (
	"io"
	"net"
	"testing"
	"time"
)

// Who makes room, and in which order: nobody with a request, nobody who only just came.
func TestWhoMakesRoom(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	heard := func(g *clientConn, at time.Time) *clientConn {
		g.heard.Store(int64(at.Sub(epoch)))
		return g
	}
	named := map[string]*clientConn{
		"silent":       {since: ago(2 * time.Second)},
		"silent later": {since: ago(3 * time.Second / 2)},
		"newcomer":     {since: ago(time.Second / 2)},
		"slow head":    heard(&clientConn{since: ago(time.Second / 4)}, ago(time.Second/5)),
		"idle long":    {since: ago(3 * time.Second), kept: true},
		"half":         heard(&clientConn{since: ago(3 * time.Second)}, ago(2*time.Second)),
		"half, later":  heard(&clientConn{since: ago(2 * time.Second)}, ago(time.Second)),
		"idle":         {since: ago(time.Second), kept: true},
		"at work":      {since: ago(time.Hour), busy: true},
		"new":          {since: now.Add(time.Hour)},
	}
	r := newConnLimiter(nil, len(named))
	for _, g := range named {
		r.conns[g] = struct{}{}
	}
	for _, want := range []string{"silent", "silent later", "idle long", "half", "half, later", "idle", "newcomer", "slow head"} {
		victim, _ := r.place(&clientConn{})
		if victim == nil || victim != named[want] {
			t.Fatalf("not %q but %+v goes next", want, victim)
		}
		delete(r.conns, victim)
		r.most--
	}
	if victim, wait := r.place(&clientConn{}); victim != nil || wait == 0 {
		t.Errorf("%+v has to go", victim)
	}
}

func TestRoomIsLeftAndClosed(t *testing.T) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	r := newConnLimiter(l, 1)
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
	first.(*clientConn).work()
	came := make(chan error, 2)
	go func() {
		c, err := r.Accept()
		if err == nil {
			c.(*clientConn).work()
		}
		came <- err
	}()
	first.Close()
	if err := receive(t, "the second", came); err != nil {
		t.Error(err)
	}
	// Who had come before the end and waits for a place is let in; nobody comes after it.
	go func() {
		r.enter(&clientConn{since: time.Now(), busy: true})
		came <- nil
	}()
	r.Close()
	if err := receive(t, "the end", came); err != nil || len(r.conns) != 2 {
		t.Errorf("%d in the room after the end, %v", len(r.conns), err)
	}
	if _, err := r.Accept(); err == nil {
		t.Error("a connection was taken after the end")
	}
}

// An end between requests is told by half a close: nothing that comes after it counts, what came before it does.
func TestEndsBetweenRequests(t *testing.T) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	r := newConnLimiter(l, 3)
	t.Cleanup(func() { r.Close() })
	pair := func() (net.Conn, *clientConn) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		g, err := r.Accept()
		if err != nil {
			t.Fatal(err)
		}
		g.SetDeadline(time.Now().Add(patience))
		g.(*clientConn).rest()
		return c, g.(*clientConn)
	}
	buf := make([]byte, 8)
	idle, deafened := pair()
	sent, unread := pair()
	if _, err := sent.Write(buf); err != nil {
		t.Fatal(err)
	}
	until(t, "its bytes", func() bool { _, some := peek(unread.Conn); return some })
	read := make(chan int, 1)
	go func() {
		n, _ := deafened.Read(make([]byte, 8))
		read <- n
	}()
	until(t, "a reader, as an idle connection has", deafened.isRead)
	if !r.closeIdle(time.Now()) {
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
	if left, told := unread.tellEnd(); left || told {
		t.Error("who has been heard is told its end")
	}
	if unread.leave() {
		t.Error("who has been heard makes room, though nothing has become of what it sent")
	}
	until(t, "those that do not go to be closed", func() bool {
		r.closeIdle(time.Now())
		return len(r.conns) == 1
	})
	if n := receive(t, "the end", read); n != 0 {
		t.Errorf("%d bytes came after the end", n)
	}
}

// isRead tells that whoever serves the connection has nothing of it left and waits for more.
func (g *clientConn) isRead() bool {
	g.taking.Lock()
	defer g.taking.Unlock()
	return !g.holding
}

func (r *connLimiter) bound() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.most
}
