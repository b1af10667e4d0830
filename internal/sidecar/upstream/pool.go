package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/netcall"
)

const (
	// idleFraction is the part of the time after which a server closes an idle connection for which it is reused.
	idleFraction = 0.85
	// reuseDelay is how long a connection that has just carried an answer is left alone while others are idle: a second
	// answer may come some milliseconds late, and nothing tells it from that to the next request.
	reuseDelay = 10 * time.Millisecond
)

// Pool has the connections to all servers and bounds how many there are.
type Pool struct {
	dialer          net.Dialer
	dialContext     netcall.DialFunc // dials with dialer, and with what WrapDial puts around it
	connectWait     time.Duration    // of an attempt for a new connection
	maxIdle         time.Duration    // after which an idle connection is closed
	reportNames     []string         // the figures of a load report, in order
	healthCheckPath string
	retryWindows    []time.Duration // by class, see retryWindow
	idleAges        idleAges
	metrics         *metrics.Metrics
	hook            checkpoint.Hook

	post    func(any)       // hands an event to the event loop
	stopped <-chan struct{} // closed by the event loop at its end

	dialsContext context.Context // of all dials, which may outlast the attempt that started them
	cancelDials  context.CancelFunc
	dialers      sync.WaitGroup // the goroutines of dial

	mu          sync.Mutex           // guards the fields below and those of each Server that say so
	idleServers map[*Server]struct{} // those with idle connections
	open        int                  // connections that are open or being dialed
	limit       int                  // of open
}

// NewPool returns a pool of up to limit connections. Its events go nowhere until ReportTo is called.
func NewPool(cfg *config.Config, limit int) *Pool {
	connectWait := clock.Duration(cfg.Balance.ConnectTimeout)
	if connectWait <= 0 {
		connectWait = maxConnectTime
	}
	p := &Pool{
		dialer: net.Dialer{Timeout: max(connectWait, maxConnectTime), KeepAlive: -1}, connectWait: connectWait,
		maxIdle:     time.Duration(float64(cfg.ConnIdle) * idleFraction),
		reportNames: cfg.ReportNames, healthCheckPath: "/health/live",
		idleServers: map[*Server]struct{}{}, limit: limit, post: func(any) {}, metrics: metrics.New(cfg.ClassNames),
	}
	for i := range cfg.Balance.Classes {
		p.retryWindows = append(p.retryWindows, retryWindow(&cfg.Balance.Classes[i]))
	}
	p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return p.dialer.DialContext(ctx, network, addr)
	}
	p.dialsContext, p.cancelDials = context.WithCancel(context.Background())
	if cfg.Balance.Reports != balance.ReportNone {
		p.healthCheckPath = "/stats"
	}
	return p
}

// SetEventLoop sets where events go, and the channel that is closed at the event loop's end. It is called before the first
// attempt.
func (p *Pool) SetEventLoop(post func(any), stopped <-chan struct{}) {
	p.post, p.stopped = post, stopped
}

// Metrics returns the figures of the process, in which attempts are counted.
func (p *Pool) Metrics() *metrics.Metrics { return p.metrics }

// WrapDial puts wrap around the dialing of new connections. It is called before the first attempt.
func (p *Pool) WrapDial(wrap func(netcall.DialFunc) netcall.DialFunc) {
	p.dialContext = wrap(p.dialContext)
}

// SetDialControl sets what is called with each new socket before it connects, as net.Dialer.Control. It is called before the
// first attempt, by tests.
func (p *Pool) SetDialControl(control func(network, addr string, c syscall.RawConn) error) {
	p.dialer.Control = control
}

// SetHook sets what is called at each checkpoint of an attempt. It is called before the first attempt, by tests.
func (p *Pool) SetHook(hook checkpoint.Hook) { p.hook = hook }

// Counts returns how many connections are open or being dialed, and how many of them are idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server := range p.idleServers {
		idle += len(server.idle)
	}
	return p.open, idle
}

// put gives back a connection that can carry another request.
func (p *Pool) put(conn *serverConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(conn)
}

// addIdle keeps an idle connection. It closes one whose server was retired, or whose pool was closed or got a lower limit
// meanwhile: Retire, Close and SetLimit have closed only those that were idle. The caller holds the lock.
func (p *Pool) addIdle(conn *serverConn) {
	ended := conn.server.Retired.Load() || p.dialsContext.Err() != nil
	if ended || p.open > p.limit {
		conn.Close()
		p.open--
		return
	}
	conn.server.idle = append(conn.server.idle, conn)
	p.idleServers[conn.server] = struct{}{}
}

// takeIdle takes the connection that was used last, but for those within reuseDelay of their last answer; if there are only
// such, it takes the one that has been idle for longest. It returns nil if none is idle.
func (p *Pool) takeIdle(server *Server) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(server.idle) == 0 {
		return nil
	}
	reusableSince := time.Now().Add(-reuseDelay)
	newest := len(server.idle) - 1
	for newest > 0 && server.idle[newest].idleSince.After(reusableSince) {
		newest--
	}
	conn := server.idle[newest]
	server.idle = slices.Delete(server.idle, newest, newest+1) // which clears the last element, or it would hold its buffers
	if len(server.idle) == 0 {
		delete(p.idleServers, server)
	}
	return conn
}

// discard closes a connection that was taken.
func (p *Pool) discard(conn *serverConn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// reserve counts one more connection. At the limit it closes the one that has been idle for longest; it returns false if
// none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && !p.evict() {
		return false
	}
	p.open++
	return true
}

// SetLimit changes the limit of connections. Idle connections over it are closed at once.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && p.evict() {
	}
}

// evict closes the connection that has been idle for longest; the caller holds the lock. It returns false if none is idle.
func (p *Pool) evict() bool {
	var oldest *Server
	for server := range p.idleServers {
		if oldest == nil || server.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = server
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldest(oldest, 1)
	return true
}

// closeOldest closes the n connections of a server that have been idle for longest; the caller holds the lock.
func (p *Pool) closeOldest(server *Server, n int) {
	for _, conn := range server.idle[:n] {
		conn.Close()
	}
	p.open -= n
	server.idle = slices.Delete(server.idle, 0, n)
	if len(server.idle) == 0 {
		delete(p.idleServers, server)
	}
}

// Retire marks a server's process as over and closes its idle connections; busy ones are closed after their answer.
func (p *Pool) Retire(server *Server) {
	server.Retired.Store(true)
	p.CloseIdle(server)
}

// CloseIdle closes the idle connections of a server.
func (p *Pool) CloseIdle(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldest(server, len(server.idle))
}

// ReapIdle closes idle connections before their servers would.
func (p *Pool) ReapIdle(now time.Time) {
	maxIdle := p.idleAges.bound(p.maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	for server := range p.idleServers {
		expired := 0
		for expired < len(server.idle) && now.Sub(server.idle[expired].idleSince) >= maxIdle {
			expired++
		}
		p.closeOldest(server, expired)
	}
}

// Close cancels all dials, waits for them and closes the idle connections.
func (p *Pool) Close() {
	p.cancelDials()
	p.dialers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for server := range p.idleServers {
		p.closeOldest(server, len(server.idle))
	}
}
