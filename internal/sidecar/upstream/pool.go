package upstream

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/netcall"
)

const (
	// idleFraction is the fraction of a server's idle timeout for which an idle connection is reused.
	idleFraction = 0.85
	// reuseDelay is how long a connection is not reused after a response while other connections are idle. A server may
	// send a second response some milliseconds late, which cannot be distinguished from the response to the next request.
	reuseDelay = 10 * time.Millisecond
)

// Pool holds the connections to all servers and limits their total number.
type Pool struct {
	dialer          net.Dialer
	dialContext     netcall.DialFunc // opens a connection with dialer; WrapDial wraps it
	connectTimeout  time.Duration    // how long an attempt waits for a new connection
	maxIdle         time.Duration    // idle time after which a connection is closed
	reportNames     []string         // names of the values in a load report, in order
	healthCheckPath string
	retryWindows    []time.Duration // by class, see retryWindow
	idleAges        idleAges
	heads           *memory.Budget // for the heads of responses
	headShortageLog headShortageLog
	metrics         *metrics.Metrics
	hook            checkpoint.Hook

	post        func(any)       // posts an event to the event loop
	loopStopped <-chan struct{} // closed when the event loop ends

	dialsContext context.Context // for all dials, which may outlast the attempts that started them
	cancelDials  context.CancelFunc
	dialers      sync.WaitGroup // the goroutines that run dial

	mu          sync.Mutex           // guards the fields below and the marked fields of each Server
	idleServers map[*Server]struct{} // servers with idle connections
	open        int                  // connections that are open or being dialed
	limit       int                  // maximum of open
}

// NewPool returns a pool of at most limit connections. Its events are dropped until SetEventLoop is called.
func NewPool(cfg *config.Config, limit int) *Pool {
	connectTimeout := clock.Duration(cfg.Balance.ConnectTimeout)
	if connectTimeout <= 0 {
		connectTimeout = maxConnectTime
	}
	p := &Pool{
		dialer: net.Dialer{Timeout: max(connectTimeout, maxConnectTime), KeepAlive: -1}, connectTimeout: connectTimeout,
		maxIdle:     time.Duration(float64(cfg.ConnIdleTimeout) * idleFraction),
		reportNames: cfg.ReportFields, healthCheckPath: "/health/live",
		idleServers: map[*Server]struct{}{}, limit: limit, post: func(any) {}, metrics: metrics.New(cfg.ClassNames),
		heads: memory.NewBudget(math.MaxInt64),
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

// SetEventLoop sets the function that receives events, and the channel that is closed when the event loop ends. It is
// called before the first attempt.
func (p *Pool) SetEventLoop(post func(any), stopped <-chan struct{}) {
	p.post, p.loopStopped = post, stopped
}

// Metrics returns the metrics of the process, in which attempts are counted.
func (p *Pool) Metrics() *metrics.Metrics { return p.metrics }

// WrapDial wraps the function that dials new connections. It is called before the first attempt.
func (p *Pool) WrapDial(wrap func(netcall.DialFunc) netcall.DialFunc) {
	p.dialContext = wrap(p.dialContext)
}

// SetDialControl sets a function that is called with each new socket before it connects, as net.Dialer.Control. Tests
// call it before the first attempt.
func (p *Pool) SetDialControl(control func(network, addr string, c syscall.RawConn) error) {
	p.dialer.Control = control
}

// SetHook sets a function that is called at each checkpoint of an attempt. Tests call it before the first attempt.
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

// release returns a connection to the pool that can carry another request.
func (p *Pool) release(conn *serverConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(conn)
}

// addIdle adds a connection to the idle ones of its server, which are in the order of idleSince. It closes the connection
// instead if the server was retired, the pool was closed or the limit was lowered in the meantime: Retire, Close and
// SetLimit only close connections that are idle at the time. The caller holds the lock.
func (p *Pool) addIdle(conn *serverConn) {
	unusable := conn.server.Retired.Load() || p.dialsContext.Err() != nil
	if unusable || p.open > p.limit {
		_ = conn.Close()
		p.open--
		return
	}
	at, _ := slices.BinarySearchFunc(conn.server.idle, conn, func(a, b *serverConn) int {
		return a.idleSince.Compare(b.idleSince)
	})
	conn.server.idle = slices.Insert(conn.server.idle, at, conn)
	p.idleServers[conn.server] = struct{}{}
}

// takeIdle takes the connection that was used last, except for those whose last response is less than reuseDelay ago.
// If there are no others, it takes the connection that has been idle for longest. It returns nil if none is idle.
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
	// Delete clears the last element, which would otherwise keep the buffers of a connection in memory.
	server.idle = slices.Delete(server.idle, newest, newest+1)
	if len(server.idle) == 0 {
		delete(p.idleServers, server)
	}
	return conn
}

// discard closes a connection that is not among the idle ones.
func (p *Pool) discard(conn *serverConn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// reserve counts one more connection. At the limit it first closes the connection that has been idle for longest; it
// returns false if none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && !p.evict() {
		return false
	}
	p.open++
	return true
}

// SetLimit changes the maximum number of connections. Idle connections above the limit are closed at once.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && p.evict() {
	}
}

// evict closes the connection that has been idle for longest. It returns false if none is idle. The caller holds the
// lock.
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

// closeOldest closes the n connections of a server that have been idle for longest. The caller holds the lock.
func (p *Pool) closeOldest(server *Server, n int) {
	for _, conn := range server.idle[:n] {
		_ = conn.Close()
	}
	p.open -= n
	server.idle = slices.Delete(server.idle, 0, n)
	if len(server.idle) == 0 {
		delete(p.idleServers, server)
	}
}

// Retire marks a server's process as no longer used and closes its idle connections. Busy connections are closed after
// their response.
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

// ReapIdle closes idle connections before their servers would close them.
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
