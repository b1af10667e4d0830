package clientserver

import (
	"log/slog"
	"time"

	"marblelane/internal/sidecar/loglimit"
	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/netcall"
)

// headShortage counts the requests that got a 503 because the memory for heads was used up, since the last log line.
type headShortage struct {
	evicted, rejected int
	interval          loglimit.Interval
}

// SetHeadMemory sets the memory for the heads of requests on all connections together, in bytes. Each connection has a
// little more beside it, which is enough for ordinary heads.
func (l *Limiter) SetHeadMemory(bytes int64) { l.heads.SetLimit(bytes) }

// evictHead rejects the request with the incomplete head that has waited longest for its next bytes, closes its
// connection and so frees its memory. It returns false if there is none.
func (l *Limiter) evictHead() bool {
	victim := l.claimIncompleteHead()
	if victim == nil {
		return false
	}
	netcall.WriteNow(victim.Conn, partialRequestResponse)
	_ = victim.closeNow()
	l.logHeadShortage(func(s *headShortage) { s.evicted++ })
	return true
}

// claimIncompleteHead closes the input of the connection to evict, and returns that connection. It returns nil if there
// is none.
func (l *Limiter) claimIncompleteHead() *ClientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	spared := map[*ClientConn]bool{} // not evicted: bytes from their clients have not been parsed yet
	for {
		victim := l.oldestIncompleteHead(spared)
		if victim == nil || victim.closeInput() {
			return victim
		}
		spared[victim] = true
	}
}

// oldestIncompleteHead returns the connection that has been silent longest among those that hold memory for an
// incomplete head and are not spared, or nil if none has been silent for evictAfterSilence. The caller holds the lock.
func (l *Limiter) oldestIncompleteHead(spared map[*ClientConn]bool) *ClientConn {
	silentBefore := time.Now().Add(-evictAfterSilence)
	var oldest *ClientConn
	for conn := range l.conns {
		if conn.busy || spared[conn] || conn.headMemory.Bytes() == 0 {
			continue
		}
		if silentSince, started := conn.requestStarted(); started && silentSince.Before(silentBefore) {
			oldest, silentBefore = conn, silentSince
		}
	}
	return oldest
}

// logHeadShortage counts a request and logs the counts, unless it has done so recently.
func (l *Limiter) logHeadShortage(count func(*headShortage)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count(&l.headShortage)
	if !l.headShortage.interval.Due(time.Now()) {
		return
	}
	used, limit := l.heads.Usage()
	slog.Warn("clients: the memory for request heads is used up, requests are rejected", "incomplete", l.headShortage.evicted,
		"next", l.headShortage.rejected, "used_bytes", used, "limit_bytes", limit)
	l.headShortage.evicted, l.headShortage.rejected = 0, 0
}

// HeadMemory returns the memory that is reserved for the head that is being received.
func (c *ClientConn) HeadMemory() *memory.Reservation { return c.headMemory }

// EvictHead frees the memory that the incomplete head of another connection holds. It returns false if there is none
// that may be evicted.
func (c *ClientConn) EvictHead() bool { return c.limiter.evictHead() }

// RejectHead rejects the request whose head is being received with a 503, and discards the rest of the input. Close
// leaves the client time to read the response.
func (c *ClientConn) RejectHead() {
	c.RequestRead() // as for any request that gets a response, so that Close half-closes the connection
	c.headMemory.Close()
	c.readLock.Lock()
	c.lastRead.Store(inputClosed)
	netcall.WriteNow(c.Conn, partialRequestResponse)
	c.readLock.Unlock()
	c.limiter.logHeadShortage(func(s *headShortage) { s.rejected++ })
}
