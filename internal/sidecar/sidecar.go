package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
	listening "marblelane/internal/listener"
	"marblelane/internal/retry"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/eventloop"
	"marblelane/internal/sidecar/fleet"
	"marblelane/internal/sidecar/handover"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/routing"
	"marblelane/internal/sidecar/upstream"
)

// reapInterval is the interval at which connections to servers that have been idle for too long are closed.
const reapInterval = time.Second

// serversPollInterval is the interval at which a successor checks whether it has servers.
const serversPollInterval = 10 * time.Millisecond

// Sidecar is one sidecar process: its listeners, the event loop and the state of upgrades and shutdown.
type Sidecar struct {
	cfg         *config.Config
	tcpListener *net.TCPListener      // the socket of listener
	listener    *clientserver.Limiter // accepts connections from clients
	management  *clientserver.Limiter // nil: no management address
	loop        *eventloop.Loop
	clients     *clientserver.Server
	predecessor *handover.Predecessor // nil: there is none
	successors  handover.Successors
	serving     atomic.Bool
	budget      budget

	// Tests may change these fields before Run.
	drainAccept     time.Duration              // time after SIGTERM during which connections are accepted
	listTimeout     time.Duration              // time for which a successor waits for a list service
	countUnaccepted func(*net.TCPListener) int // returns the number of connections that wait to be accepted
	checkpoints     checkpoint.Hook

	processMu                      sync.Mutex // guards olderProcesses and newerProcesses
	olderProcesses, newerProcesses int        // other processes of this sidecar, by whether they started before or after this one
}

// Open reads the configuration, applies its limits to the Go runtime and prepares a sidecar as New does. Operations
// that fail with a transient error are retried, for at most retry.StartLimit in total and until ctx is cancelled.
func Open(ctx context.Context, getenv func(string) string) (*Sidecar, error) {
	start := retry.NewStartRetrier(ctx, nil)
	cfg, err := config.LoadWith(getenv, config.RetryingRead(start, os.ReadFile))
	if err != nil {
		return nil, err
	}
	SetRuntimeLimits(cfg)
	return newSidecar(cfg, start)
}

// New prepares a sidecar and binds its addresses. If binding an address fails with a transient error it is retried, for
// up to retry.StartLimit. The error names the key of the address.
func New(cfg *config.Config) (*Sidecar, error) {
	return newSidecar(cfg, retry.NewStartRetrier(context.Background(), nil))
}

func newSidecar(cfg *config.Config, start *retry.StartRetrier) (*Sidecar, error) {
	balancer, err := balance.New(cfg.Balance)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	router, err := newRouter(cfg)
	if err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	management, err := listenManagement(cfg, start)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	predecessor, listener, err := listenClients(cfg, start)
	if err != nil {
		if management != nil {
			management.Close()
		}
		return nil, fmt.Errorf("listen: %w", err)
	}
	limits := newBudget(cfg)
	loop := newLoop(cfg, balancer, router, limits.servers)
	accepted := listening.Wrap(netcall.WithFaults(listener, cfg.Faults), "clients", nil)
	s := &Sidecar{
		cfg: cfg, tcpListener: listener.(*net.TCPListener), listener: clientserver.NewLimiter(accepted, limits.clients),
		management: management, loop: loop, predecessor: predecessor, budget: limits,
		drainAccept: drainAccept, listTimeout: handover.ListTimeout, countUnaccepted: netcall.AcceptQueueLength,
		clients: clientserver.New(clientserver.Options{Config: cfg, Post: loop.Post, Metrics: loop.Metrics}),
	}
	s.successors = handover.Successors{
		Listener: s.tcpListener, Faults: cfg.Faults, Bind: net.ListenUnix,
		CountChanged: func(alive int) { s.setProcessCount(&s.newerProcesses, alive) }, AbandonedIDs: s.clients.AbandonedIDs,
	}
	s.clients.Configure(func(o *clientserver.Options) { o.Abandoned = s.successors.AnnounceAbandoned })
	if predecessor != nil {
		s.olderProcesses = 1
	}
	if cfg.Membership != nil {
		loop.Members = fleet.New(cfg.Membership, s.predecessorAlive)
		loop.Members.Config.Start = cfg.Faults.Now().UnixMilli()
	}
	s.divideLimits()
	return s, nil
}

// newRouter returns the router of the section routes, or nil if the section is not configured.
func newRouter(cfg *config.Config) (*routing.Router, error) {
	if cfg.Routes == nil {
		return nil, nil
	}
	return routing.New(cfg)
}

// listenManagement binds the management address. It returns nil if none is configured.
func listenManagement(cfg *config.Config, start *retry.StartRetrier) (*clientserver.Limiter, error) {
	if cfg.Management == "" {
		return nil, nil
	}
	var listener net.Listener
	err := start.Do("management", func() (failed error) {
		listener, failed = net.Listen("tcp", cfg.Management)
		return failed
	})
	if err != nil {
		return nil, err
	}
	return clientserver.NewLimiter(listening.Wrap(netcall.WithFaults(listener, cfg.Faults), "management", nil), 1), nil
}

// listenClients takes over the listening socket for clients from the predecessor, or binds the address if there is none.
func listenClients(cfg *config.Config, start *retry.StartRetrier) (*handover.Predecessor, net.Listener, error) {
	var predecessor *handover.Predecessor
	var listener net.Listener
	err := start.Do("upgrade", func() (failed error) {
		predecessor, listener, failed = handover.FindPredecessor(cfg)
		return failed
	})
	if err != nil {
		slog.Info("upgrade: failed to find a predecessor", "err", err)
	}
	if listener != nil {
		return predecessor, listener, nil
	}
	err = start.Do("listen", func() (failed error) {
		listener, failed = handover.Listen(cfg)
		return failed
	})
	return predecessor, listener, err
}

// newLoop returns an event loop with a pool of at most maxServerConns connections to servers, a router and a discovery
// client.
func newLoop(cfg *config.Config, balancer *balance.Balancer, router *routing.Router, maxServerConns int) *eventloop.Loop {
	loop := eventloop.New(cfg, balancer, upstream.NewPool(cfg, maxServerConns))
	loop.Routing = router
	router.Attach(loop, balancer, loop.Clock, cfg.Balance.Classes)
	loop.Discovery = discovery.New(cfg.ListAddrs(), cfg.MemoryMB, loop.Post, func(f func()) { loop.Workers.Go(f) })
	if cfg.Balance.DrainGrace > 0 {
		loop.Discovery.SetTimeouts(discovery.Timeouts{PushedDelay: discovery.PushedDelay(cfg.Balance.DrainGrace)})
	}
	return loop
}

// ManagementAddr returns the management address, or an empty string if there is none.
func (s *Sidecar) ManagementAddr() string {
	if s.management == nil {
		return ""
	}
	return s.management.Addr().String()
}

// Addr returns the address to which clients connect.
func (s *Sidecar) Addr() string { return s.listener.Addr().String() }

// Run serves clients until ctx is cancelled, and then shuts down gracefully: every accepted request gets a response.
func (s *Sidecar) Run(ctx context.Context) error {
	defer s.startWork()()
	failed := make(chan error, 2) // one for each server of net/http
	defer s.serveManagement(failed)()
	defer s.awaitTakeover(ctx)()
	srv := s.serveClients(ctx, failed)
	defer s.acceptSuccessors(ctx)()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(srv)
}

// startWork starts the event loop, the calls to discovery and the reaper of idle connections. The returned function stops
// all of them.
func (s *Sidecar) startWork() (end func()) {
	work, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.loop.Run(work)
	}()
	if !s.cfg.Balance.Subscribe {
		s.loop.Discovery.Subscribe(work)
	}
	s.loop.Workers.Go(func() { s.reapIdle(work) })
	return func() {
		stop()
		<-ended
		s.loop.Pool.Close()
	}
}

// reapIdle closes connections to servers that have been idle for too long, until ctx is cancelled.
func (s *Sidecar) reapIdle(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.loop.Pool.ReapIdle(now)
		}
	}
}

// serveManagement serves the management address, if there is one, until the returned function is called.
func (s *Sidecar) serveManagement(failed chan<- error) (end func()) {
	if s.management == nil {
		return func() {}
	}
	srv := s.managementServer()
	go func() { failed <- srv.Serve(s.management) }()
	return func() { srv.Close() }
}

// awaitTakeover waits until this process can take over from its predecessor, if there is one. Afterwards it watches in
// the background for the predecessor to exit, until the returned function is called.
func (s *Sidecar) awaitTakeover(ctx context.Context) (end func()) {
	if s.predecessor == nil {
		return func() {}
	}
	var watching sync.WaitGroup
	exited := make(chan struct{})
	watching.Go(func() {
		s.predecessor.AwaitEnd(s.clients.RecordAbandoned)
		close(exited)
		s.setProcessCount(&s.olderProcesses, 0)
	})
	s.awaitServers(ctx, exited)
	return func() {
		s.predecessor.Close()
		watching.Wait()
	}
}

// serveClients starts serving clients, logs that and notifies the predecessor.
func (s *Sidecar) serveClients(ctx context.Context, failed chan<- error) *http.Server {
	srv := clientserver.TrackConnections(s.clients.HTTPServer())
	go func() { failed <- srv.Serve(s.clients.HeadListener(s.listener)) }()
	s.serving.Store(true)
	slog.Info("ready", "name", s.cfg.Name, "management", s.ManagementAddr(), "listen", s.Addr())
	if s.predecessor != nil && ctx.Err() == nil {
		s.predecessor.AnnounceServing()
	}
	return srv
}

// acceptSuccessors accepts connections from successors on the handover socket, until the returned function is called.
func (s *Sidecar) acceptSuccessors(ctx context.Context) (end func()) {
	socket := s.cfg.HandoverSocket()
	if socket == "" {
		return func() {}
	}
	start := retry.NewStartRetrier(ctx, nil)
	if err := start.Do("upgrade", func() error { return s.successors.Listen(socket) }); err != nil {
		slog.Warn("upgrade: failed to listen for successors", "err", err)
		return func() {}
	}
	return s.successors.Close
}

// awaitServers waits until this process has servers: from a list service or, after listTimeout, from the list in its
// configuration. Meanwhile the predecessor serves. exited is closed when the predecessor exits, which ends the wait.
func (s *Sidecar) awaitServers(ctx context.Context, exited <-chan struct{}) {
	startedAt := time.Now()
	ticker := time.NewTicker(serversPollInterval)
	defer ticker.Stop()
	for {
		servers := s.loop.Metrics.Servers.Load()
		if servers.Ready > 0 && (servers.ListReceived || time.Since(startedAt) >= s.listTimeout) {
			return
		}
		select {
		case <-ticker.C:
		case <-exited:
			return
		case <-ctx.Done():
			return
		}
	}
}
