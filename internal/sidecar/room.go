package sidecar

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	listening "marblelane/internal/listener"
)

const (
	// shedAfter is how long a peer may say nothing before it makes room for others: who has a request to send
	// does so at once, but this process must get to read it.
	shedAfter = 50 * time.Millisecond
	// youngFor is how long a peer may pause in its request: it may take 2 s for a head.
	youngFor = time.Second
	// keptAfter is how long a connection without a request is always kept (TERMS), unless nothing else is left.
	keptAfter = 2 * time.Second
	// crossing is how long a request may be on its way: on a new connection after its client's connect, and once more
	// on a new one after the end of its old one crossed it.
	crossing = 200 * time.Millisecond
)

// room is a listener that holds so many connections and no more. At the bound whoever has been silent longest
// with no request at work makes room for who comes next: crowds that say nothing cannot shut others out.
type room struct {
	net.Listener
	left   chan struct{} // a token: somebody left, or the bound grew
	closed chan struct{}
	close  sync.Once
	last   atomic.Bool // nobody is on the way in any more
	read   func(fd int, p []byte) (n int, err error)

	mu     sync.Mutex
	most   int
	guests map[*guest]struct{}
}

// guest is a connection in the room.
type guest struct {
	net.Conn
	room  *room
	heard atomic.Int64 // when it last sent something, in ns since the room's epoch; 0: nothing yet; or deaf

	// taking is held while bytes are taken from the system, and while the end of the connection is decided and told:
	// what comes is either read before that, and counts, or after it, and does not. It may be taken under the room's
	// lock, not the other way round.
	taking  sync.Mutex
	holding bool // net/http may hold bytes that it has not begun a request with
	working bool // as busy

	since time.Time // it came, or its last request ended; under the room's lock, as are these:
	kept  bool      // it has had a request
	busy  bool      // a request is at work
	cut   bool      // its answer broke off
	told  time.Time // when the end of the connection was sent; zero: it was not
}

// deaf stands for the time a guest was heard: nothing that it says counts any more.
const deaf = math.MinInt64

var epoch = time.Now()

func newRoom(l net.Listener, most int) *room {
	return &room{
		Listener: l, most: most, guests: map[*guest]struct{}{},
		left: make(chan struct{}, 1), closed: make(chan struct{}), read: syscall.Read,
	}
}

func (r *room) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		select {
		case <-r.closed:
			r.last.Store(true)
		default:
		}
		return nil, err
	}
	g := &guest{Conn: c, room: r, since: time.Now()}
	r.enter(g)
	return g, nil
}

// acceptsFailed reports whether accepts have failed of late, so that a connection may have waited to be accepted.
func (r *room) acceptsFailed() bool {
	l, ok := r.Listener.(*listening.Listener)
	return ok && l.FailedWithin(acceptFailureMemory)
}

// enter waits until there is a place, or the listener is closed.
func (r *room) enter(g *guest) {
	for {
		victim, wait := r.place(g)
		switch {
		case victim != nil:
			victim.end()
		case wait == 0:
			return
		default:
			select {
			case <-r.left:
			case <-time.After(wait):
			case <-r.closed:
				// It came before the end and knows nothing of it: one more is let in.
				r.mu.Lock()
				r.guests[g] = struct{}{}
				r.mu.Unlock()
				return
			}
		}
	}
}

// place takes a newcomer in, or tells who has to go for it, or how long to wait at most until somebody may.
func (r *room) place(g *guest) (victim *guest, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.guests) < r.most {
		r.guests[g] = struct{}{}
		return nil, 0
	}
	spared := map[*guest]bool{} // their bytes are on the way to their handler
	for {
		victim = r.longestSilent(spared)
		if victim == nil || victim.leave() {
			return victim, shedAfter
		}
		spared[victim] = true
	}
}

// longestSilent is the first to make room, but for those that are spared; nil: nobody may.
func (r *room) longestSilent(spared map[*guest]bool) (first *guest) {
	now := time.Now()
	least, oldest := 0, time.Time{}
	for g := range r.guests {
		if g.busy && g.told.IsZero() || spared[g] {
			continue
		}
		order, last := g.order(now)
		if now.Sub(last) < shedAfter {
			continue
		}
		if first == nil || order < least || order == least && last.Before(oldest) {
			first, least, oldest = g, order, last
		}
	}
	return first
}

// Who makes room, the first first. A newcomer that is closed loses its request; one between requests loses nothing.
const (
	silent   = iota // has never said a word
	idleLong        // kept, and without a request for long
	halfSent        // stopped in the middle
	idle            // kept
	young           // may have begun, or be about to
)

func (g *guest) order(now time.Time) (order int, last time.Time) {
	last, begun := g.begun()
	quiet := now.Sub(last)
	switch {
	case !g.told.IsZero():
		return silent, g.told
	case (begun || !g.kept) && quiet < youngFor:
		return young, g.since
	case begun:
		return halfSent, last
	case !g.kept:
		return silent, last
	case quiet >= keptAfter:
		return idleLong, last
	default:
		return idle, last
	}
}

// begun tells whether some of a request has come since the last one, and when the connection was last heard of.
func (g *guest) begun() (last time.Time, begun bool) {
	if at := g.heard.Load(); at != 0 && at != deaf {
		if heard := epoch.Add(time.Duration(at)); heard.After(g.since) {
			return heard, true
		}
	}
	return g.since, false
}

// setMost changes the bound; who is over it leaves in time.
func (r *room) setMost(most int) {
	r.mu.Lock()
	r.most = most
	r.mu.Unlock()
	r.hint()
}

// empty tells that the room is closed, nobody is in it and nobody on the way in.
func (r *room) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.Load() && len(r.guests) == 0
}

// closeIdle ends the connections on which nothing was sent since their last request, and reports whether a client
// may yet need a new connection for a request that crosses such an end: not all who came before a time, and whose
// answers may not have ended their connections, have been told. Each is told by half a close and goes with its
// client: what crosses it is read and dropped, as a reset could take an answer with it that is not read yet.
func (r *room) closeIdle(before time.Time) (more bool) {
	var end []*guest
	now := time.Now()
	r.mu.Lock()
	for g := range r.guests {
		_, begun := g.begun()
		switch {
		case !g.told.IsZero():
			if more = true; now.Sub(g.told) >= crossing {
				end = append(end, g)
			}
		case g.busy:
			more = more || g.since.Before(before)
		case begun: // its answer ends it
		case !g.kept && now.Sub(g.since) < crossing:
			more = more || g.since.Before(before)
		default:
			more = true
			switch left, told := g.tellEnd(); {
			case told:
				g.told = now
			case left:
				end = append(end, g)
			}
		}
	}
	r.mu.Unlock()
	for _, g := range end {
		g.end()
	}
	return more
}

// leave makes the guest deaf, unless something has come from it that has not become a request: that is either read
// and answered, or never runs and its client sends it again.
func (g *guest) leave() bool {
	g.taking.Lock()
	defer g.taking.Unlock()
	return g.leaveLocked()
}

func (g *guest) leaveLocked() bool {
	if g.holding {
		return false
	}
	if _, unread := peek(g.Conn); unread {
		return false
	}
	g.heard.Store(deaf)
	return true
}

// tellEnd makes the guest deaf as leave does, unless half a request has come from it, and tells it so by half a close.
// Nothing is read from it in between.
func (g *guest) tellEnd() (left, told bool) {
	g.taking.Lock()
	defer g.taking.Unlock()
	if _, begun := g.begun(); begun || !g.leaveLocked() {
		return false, false
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	return true, ok && half.CloseWrite() == nil
}

func (r *room) hint() {
	select {
	case r.left <- struct{}{}:
	default:
	}
}

func (r *room) Close() error {
	r.close.Do(func() { close(r.closed) })
	return r.Listener.Close()
}

// unaccepted is how many connections are completed and wait to be accepted, see listenQueue.
func unaccepted(l *net.TCPListener) (waiting int) { return systemQueue.waiting(l) }

// Read drops what comes to a deaf guest, up to the client's end. While the system is short of memory for it the bytes
// stay where they are and are read again, for up to callLimit.
func (g *guest) Read(p []byte) (int, error) {
	conn, ok := g.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	g.taking.Lock()
	g.holding = g.working // it reads on when it has nothing left of what it has read
	g.taking.Unlock()
	var n int
	var failed error
	// As a wait for more bytes would not end with those that have come, a failure leaves raw.Read first.
	_ = repeatCall(func() error {
		err = raw.Read(func(fd uintptr) (done bool) {
			n, failed = g.take(int(fd), p)
			return failed != syscall.EAGAIN
		})
		if err != nil {
			return err
		}
		return failed
	})
	switch {
	case err != nil:
		return 0, readError(err)
	case failed != nil:
		return 0, &net.OpError{
			Op: "read", Net: "tcp", Source: g.LocalAddr(), Addr: g.RemoteAddr(), Err: os.NewSyscallError("read", failed),
		}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// take reads what there is; EAGAIN: nothing.
func (g *guest) take(fd int, p []byte) (n int, err error) {
	g.taking.Lock()
	defer g.taking.Unlock()
	for {
		n, err = g.room.read(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, nil
		case g.heard.Load() == deaf:
			continue
		}
		g.heard.Store(int64(time.Since(epoch)))
		g.holding = true
		return n, nil
	}
}

// readError names an error as that of a read: net/http tells by it that nobody is there to be answered.
func readError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		op.Op = "read"
	}
	return err
}

// SetReadDeadline also tells that a request has begun, of which all may have come with the one before: net/http sets a
// bound for the head from its first bytes on, and none between requests.
func (g *guest) SetReadDeadline(t time.Time) error {
	g.taking.Lock()
	if !t.IsZero() && !g.working && g.heard.Load() != deaf && g.heard.Load() != 0 {
		g.heard.Store(int64(time.Since(epoch)))
	}
	g.taking.Unlock()
	return g.Conn.SetReadDeadline(t)
}

// Close ends the connection. Where an answer has just been written it is half closed, and closed when its client has
// gone, 0.2 s later at most: a close over bytes that nobody has read resets the connection, and the answer is lost.
func (g *guest) Close() error {
	if !g.linger() {
		return g.end()
	}
	go g.drop()
	return nil
}

// linger half closes the connection, if it has an answer that its client may not have read.
func (g *guest) linger() bool {
	g.room.mu.Lock()
	defer g.room.mu.Unlock()
	if !g.busy || g.cut || !g.told.IsZero() {
		return false
	}
	g.taking.Lock()
	defer g.taking.Unlock()
	if open, unread := peek(g.Conn); !open && !unread {
		return false
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	g.heard.Store(deaf)
	g.holding = false
	g.told = time.Now()
	return true
}

// drop reads what still comes, up to the client's end, and closes the connection.
func (g *guest) drop() {
	late := time.AfterFunc(crossing, func() { g.end() })
	defer late.Stop()
	g.Conn.SetReadDeadline(time.Time{})
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		if _, err := g.Conn.Read(*buf); err != nil {
			break
		}
	}
	g.end()
}

// cutOff makes the connection end at once when it is closed: its answer is not whole.
func (g *guest) cutOff() {
	g.room.mu.Lock()
	g.cut = true
	g.room.mu.Unlock()
}

// end closes the connection, and gives its place free.
func (g *guest) end() error {
	g.room.mu.Lock()
	delete(g.room.guests, g)
	g.room.mu.Unlock()
	g.room.hint()
	return g.Conn.Close()
}

// work tells that a whole request is there: from now on the connection is nobody's to close.
func (g *guest) work() {
	g.room.mu.Lock()
	g.busy = true
	g.room.mu.Unlock()
	g.taking.Lock()
	g.working = true
	g.taking.Unlock()
}

// rest tells that its request is answered.
func (g *guest) rest() {
	g.taking.Lock()
	g.working, g.holding = false, true // the next one may have come with it
	g.taking.Unlock()
	g.room.mu.Lock()
	g.busy, g.kept, g.since = false, true, time.Now()
	g.room.mu.Unlock()
}
