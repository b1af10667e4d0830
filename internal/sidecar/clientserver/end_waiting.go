package clientserver

import (
	"time"

	"marblelane/internal/sidecar/netcall"
)

// partialAnswer tells a client that is in the middle of a head that nothing of its request has run.
const partialAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// EndWaiting ends the connections without a whole head: those from which part of one has come are answered, all are
// told their end by half a close, and what still comes on them is read and dropped. closeIdle closes them later.
func EndWaiting(r *Limiter) {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	for g := range r.Conns {
		if !g.busy && g.endSentAt.IsZero() && rejectPartial(g) {
			g.endSentAt = time.Now()
		}
	}
}

// rejectPartial reports whether the client has been told its end. One whose bytes are on the way to a handler is not.
func rejectPartial(g *ClientConn) bool {
	g.readLock.Lock()
	defer g.readLock.Unlock()
	_, begun := g.requestStarted()
	if g.working || !g.closeInputLocked() {
		return false
	}
	if begun {
		netcall.WriteNow(g.Conn, partialAnswer)
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}
