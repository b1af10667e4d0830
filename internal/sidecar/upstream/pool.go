package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/netcall"
)

const (
	idleFraction = 0.85 // of the time after which a server closes an idle connection
	// reuseDelay is for how long a connection that has just carried an answer is left alone where others are idle: a
	// second answer may come some milliseconds late (STANDING), and nothing tells it from that to the next request.
	reuseDelay = 10 * time.Millisecond
)

// Server is one life of a server's process, as discovery told of it. A restart or another address makes
// a new one, so that no connection or decision outlives the process that it was made for.
type Server struct {
	ID       balance.ServerID
	Endpoint string
	BootMS   float64
	Retired  atomic.Bool   // draining, gone or restarted: nothing new goes there
	idle     []*ServerConn // oldest first; under the lock of upstreams, as are these:
	waiting  []*connWaiter // attempts that wait for a connection, in turn
	dialing  int           // connections on their way
}

// ServerConn is a kept connection; it carries one request at a time.
type ServerConn struct {
	net.Conn
	in        *bufio.Reader
	readLimit *io.LimitedReader // under in: bounds an answer, headers included
	head      *framing.HeadConn // under left: keeps the head of an answer
	server    *Server
	idleSince time.Time // idle since
}

// Pool holds the kept connections to all servers and bounds how many there are.
type Pool struct {
	Dialer      net.Dialer
	dialContext netcall.DialFunc // by the dialer; tests put connections that fail in its place
	connectWait time.Duration    // of an attempt
	connIdle    time.Duration
	reportNames []string
	probePath   string
	windows     []time.Duration // by class: for how long it may be sent again; 0: nothing to watch
	idleAges    idleAges
	Metrics     *metrics.Metrics
	Post        func(any)       // hands an answer that has begun to the loop
	Stopped     <-chan struct{} // the loop has ended
	Hook        checkpoint.Hook

	dials   context.Context // its end is that of what is on its way
	endDial context.CancelFunc
	dialers sync.WaitGroup

	mu          sync.Mutex
	idleServers map[*Server]struct{} // those with idle connections
	open        int
	limit       int
}

func NewPool(cfg *config.Config, most int) *Pool {
	wait := clock.Duration(cfg.Balance.ConnectTimeout)
	if wait <= 0 {
		wait = maxConnectTime
	}
	p := &Pool{
		Dialer: net.Dialer{Timeout: max(wait, maxConnectTime), KeepAlive: -1}, connectWait: wait,
		connIdle:    time.Duration(float64(cfg.ConnIdle) * idleFraction),
		reportNames: cfg.ReportNames, probePath: "/health/live",
		idleServers: map[*Server]struct{}{}, limit: most, Post: func(any) {}, Metrics: metrics.New(cfg.ClassNames),
	}
	for i := range cfg.Balance.Classes {
		p.windows = append(p.windows, retryWindow(&cfg.Balance.Classes[i]))
	}
	p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return p.Dialer.DialContext(ctx, network, addr)
	}
	p.dials, p.endDial = context.WithCancel(context.Background())
	if cfg.Balance.Reports != balance.ReportNone {
		p.probePath = "/stats"
	}
	return p
}

// WrapDial puts wrap around the dialing of new connections. It is called before the first attempt.
func (p *Pool) WrapDial(wrap func(netcall.DialFunc) netcall.DialFunc) {
	p.dialContext = wrap(p.dialContext)
}

// Counts gives how many connections are open or being opened, and how many of them are idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for up := range p.idleServers {
		idle += len(up.idle)
	}
	return p.open, idle
}

// keep holds an idle connection; the caller holds the lock.
func (p *Pool) keep(conn *ServerConn) {
	closed := conn.server.Retired.Load() || p.dials.Err() != nil // retire or closeAll has closed the idle ones
	if closed || p.open > p.limit {                              // or setMost has, while this one was at work
		conn.Close()
		p.open--
		return
	}
	conn.server.idle = append(conn.server.idle, conn)
	p.idleServers[conn.server] = struct{}{}
}

// quiet tells that a kept connection is open with nothing to read. A server may have closed it while it
// was idle; a request written to it would end as a reset, which may have run.
func (c *ServerConn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	open, unread := netcall.Peek(c.Conn)
	return open && !unread
}

// takeIdle takes the newest connection that has rested, or the one that has rested longest; nil: there is none.
func (p *Pool) takeIdle(up *Server) *ServerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(up.idle) == 0 {
		return nil
	}
	rested := time.Now().Add(-reuseDelay)
	newest := len(up.idle) - 1
	for newest > 0 && up.idle[newest].idleSince.After(rested) {
		newest--
	}
	conn := up.idle[newest]
	up.idle = slices.Delete(up.idle, newest, newest+1) // which clears the last place: it would hold its buffers
	if len(up.idle) == 0 {
		delete(p.idleServers, up)
	}
	return conn
}

// reserve counts one more connection in; at the bound the longest idle one makes room.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && !p.evict() {
		return false
	}
	p.open++
	return true
}

// SetLimit changes the bound. Idle connections over it go at once.
func (p *Pool) SetLimit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = most
	for p.open > p.limit && p.evict() {
	}
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// evict closes the longest idle connection; the caller holds the lock.
func (p *Pool) evict() bool {
	var oldest *Server
	for up := range p.idleServers {
		if oldest == nil || up.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = up
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldest(oldest, 1)
	return true
}

// closeOldest closes the n longest idle connections of a server; the caller holds the lock.
func (p *Pool) closeOldest(up *Server, n int) {
	for _, conn := range up.idle[:n] {
		conn.Close()
	}
	p.open -= n
	up.idle = slices.Delete(up.idle, 0, n)
	if len(up.idle) == 0 {
		delete(p.idleServers, up)
	}
}

func (p *Pool) put(conn *ServerConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(conn)
}

func (p *Pool) discard(conn *ServerConn) {
	conn.Close()
	p.release()
}

// Retire marks a server's process as over and drops its idle connections; busy ones go when they end.
func (p *Pool) Retire(up *Server) {
	up.Retired.Store(true)
	p.CloseIdle(up)
}

func (p *Pool) CloseIdle(up *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldest(up, len(up.idle))
}

// ReapIdle closes connections before their servers would.
func (p *Pool) ReapIdle(now time.Time) {
	connIdle := p.idleAges.within(p.connIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	for up := range p.idleServers {
		n := 0
		for n < len(up.idle) && now.Sub(up.idle[n].idleSince) >= connIdle {
			n++
		}
		p.closeOldest(up, n)
	}
}

func (p *Pool) Close() {
	p.endDial()
	p.dialers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for up := range p.idleServers {
		p.closeOldest(up, len(up.idle))
	}
}
