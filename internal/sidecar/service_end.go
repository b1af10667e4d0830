package sidecar

import (
	"net"
	"syscall"
	"time"
)

// partialAnswer tells a client that is in the middle of a head that nothing of its request has run.
const partialAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// endWaiting ends the connections without a whole head: those from which part of one has come are answered, all are
// told their end by half a close, and what still comes on them is read and dropped. closeIdle closes them later.
func endWaiting(r *connLimiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for g := range r.conns {
		if !g.busy && g.told.IsZero() && refusePartial(g) {
			g.told = time.Now()
		}
	}
}

// refusePartial reports whether the client has been told its end. One whose bytes are on the way to a handler is not.
func refusePartial(g *clientConn) bool {
	g.taking.Lock()
	defer g.taking.Unlock()
	_, begun := g.begun()
	if g.working || !g.leaveLocked() {
		return false
	}
	if begun {
		writeNow(g.Conn, partialAnswer)
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// writeNow writes what the system takes without waiting: a client that does not read gets nothing.
func writeNow(c net.Conn, text string) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Write(int(fd), []byte(text)) })
	}
}
