package sidecar

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedAfter is how long a peer may say nothing before it makes room for others: who has a request to send
	// does so at once, but this process must get to read it.
	shedAfter = 50 * time.Millisecond
	// youngFor is how long a peer may pause in its request: it may take 2 s for a head.
	youngFor = time.Second
	// keptAfter is how long a connection without a request is always kept (TERMS), unless nothing else is left.
	keptAfter = 2 * time.Second
)

// room is a listener that holds so many connections and no more. At the bound whoever has been silent longest
// with no request at work makes room for who comes next: crowds that say nothing cannot shut others out.
type room struct {
	net.Listener
	left   chan struct{} // a token: somebody left, or the bound grew
	closed chan struct{}
	close  sync.Once

	mu     sync.Mutex
	most   int
	guests map[*guest]struct{}
}

// guest is a connection in the room.
type guest struct {
	net.Conn
	room  *room
	heard atomic.Int64 // when it last sent something, in ns since the room's epoch; 0: nothing yet

	since time.Time // it came, or its last request ended; under the room's lock, as are these:
	kept  bool      // it has had a request
	busy  bool      // a request is at work
}

var epoch = time.Now()

func newRoom(l net.Listener, most int) *room {
	return &room{
		Listener: l, most: most, guests: map[*guest]struct{}{},
		left: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

func (r *room) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &guest{Conn: c, room: r, since: time.Now()}
	r.enter(g)
	return g, nil
}

// enter waits until there is a place, or the listener is closed.
func (r *room) enter(g *guest) {
	for {
		victim, wait := r.place(g)
		switch {
		case victim != nil:
			victim.Close()
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
	now := time.Now()
	least, oldest := 0, time.Time{}
	for g := range r.guests {
		if g.busy {
			continue
		}
		order, last := g.order(now)
		if now.Sub(last) < shedAfter {
			continue
		}
		if victim == nil || order < least || order == least && last.Before(oldest) {
			victim, least, oldest = g, order, last
		}
	}
	return victim, shedAfter
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
	if at := g.heard.Load(); at != 0 {
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

// count is how many are in the room.
func (r *room) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.guests)
}

// closeIdle closes the connections on which nothing was sent since their last request.
func (r *room) closeIdle() {
	r.mu.Lock()
	var waiting []*guest
	for g := range r.guests {
		if _, begun := g.begun(); !g.busy && !begun {
			waiting = append(waiting, g)
		}
	}
	r.mu.Unlock()
	for _, g := range waiting {
		if _, unread := peek(g.Conn); !unread {
			g.Close()
		}
	}
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

func (g *guest) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if n > 0 {
		g.heard.Store(int64(time.Since(epoch)))
	}
	return n, err
}

func (g *guest) Close() error {
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
}

// rest tells that its request is answered.
func (g *guest) rest() {
	g.room.mu.Lock()
	g.busy, g.kept, g.since = false, true, time.Now()
	g.room.mu.Unlock()
}
