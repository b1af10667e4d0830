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

// reapInterval is how often idle connections to servers are closed that have become too old.
const reapInterval = time.Second

// serversPollInterval is how often a newer process looks whether it knows servers.
const serversPollInterval = 10 * time.Millisecond

// Sidecar is one running sidecar.
type Sidecar struct {
	cfg         *config.Config
	tcpListener *net.TCPListener      // under listener
	listener    *clientserver.Limiter // of clients
	management  *clientserver.Limiter // nil: no management address
	loop        *eventloop.Loop
	clients     *clientserver.Server
	predecessor *handover.Predecessor // nil: none
	successors  handover.Successors
	serving     atomic.Bool
	budget      budget

	// Tests change these before Run.
	drainAccept     time.Duration              // how long connections are accepted after SIGTERM
	listTimeout     time.Duration              // how long a newer process waits for discovery
	countUnaccepted func(*net.TCPListener) int // how many connections wait to be accepted
	checkpoints     checkpoint.Hook

	processMu                      sync.Mutex // guards older and newer
	olderProcesses, newerProcesses int        // processes of this sidecar beside this one
}

// Open reads the configuration as LoadConfig does, tells the runtime its limits and prepares a sidecar as New does. What
// fails for a moment is tried again, for retry.StartLimit in all, and not beyond the end of ctx.
func Open(ctx context.Context, getenv func(string) string) (*Sidecar, error) {
	start := retry.NewStart(ctx, nil)
	cfg, err := config.LoadWith(getenv, config.RetryingRead(start, os.ReadFile))
	if err != nil {
		return nil, err
	}
	SetRuntimeLimits(cfg)
	return newSidecar(cfg, start)
}

// New prepares a sidecar and binds its addresses. An address that cannot be bound for a moment is tried again, for up to
// retry.StartLimit; the error names the key of the address.
func New(cfg *config.Config) (*Sidecar, error) {
	return newSidecar(cfg, retry.NewStart(context.Background(), nil))
}

func newSidecar(cfg *config.Config, start *retry.Start) (*Sidecar, error) {
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
		CountChanged: func(alive int) { s.setProcessCount(&s.newerProcesses, alive) },
	}
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

// newRouter gives the router of the section routes; nil: there is no such section.
func newRouter(cfg *config.Config) (*routing.Router, error) {
	if cfg.Routes == nil {
		return nil, nil
	}
	return routing.New(cfg)
}

// listenManagement binds the management address; nil: there is none.
func listenManagement(cfg *config.Config, start *retry.Start) (*clientserver.Limiter, error) {
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

// listenClients takes the clients' listening socket over from the process that serves now, or binds the address.
func listenClients(cfg *config.Config, start *retry.Start) (*handover.Predecessor, net.Listener, error) {
	var predecessor *handover.Predecessor
	var listener net.Listener
	err := start.Do("upgrade", func() (failed error) {
		predecessor, listener, failed = handover.FindPredecessor(cfg)
		return failed
	})
	if err != nil {
		slog.Info("upgrade: no process before this one", "err", err)
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

// newLoop joins the event loop with connections to servers, of which there may be so many, and with discovery.
func newLoop(cfg *config.Config, balancer *balance.Balancer, router *routing.Router, servers int) *eventloop.Loop {
	loop := eventloop.New(cfg, balancer, upstream.NewPool(cfg, servers))
	loop.Routing = router
	router.Attach(loop, balancer, loop.Clock, cfg.Balance.Classes)
	loop.Discovery = discovery.New(cfg.ListAddrs(), cfg.MemoryMB, loop.Post, func(f func()) { loop.Workers.Go(f) })
	if cfg.Balance.DrainGrace > 0 {
		loop.Discovery.SetTimeouts(discovery.Timeouts{PushedDelay: discovery.PushedDelay(cfg.Balance.DrainGrace)})
	}
	return loop
}

// ManagementAddr is the address for the platform; empty: there is none.
func (s *Sidecar) ManagementAddr() string {
	if s.management == nil {
		return ""
	}
	return s.management.Addr().String()
}

// Addr is the address where clients connect.
func (s *Sidecar) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, goes on while clients still come, answers all it took and returns.
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

// startWork starts the event loop, the calls to discovery and the reaper of idle connections. Its result ends them all.
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

// reapIdle closes old idle connections to servers until ctx ends.
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

// serveManagement serves the management address, if there is one.
func (s *Sidecar) serveManagement(failed chan<- error) (end func()) {
	if s.management == nil {
		return func() {}
	}
	srv := s.managementServer()
	go func() { failed <- srv.Serve(s.management) }()
	return func() { srv.Close() }
}

// awaitTakeover waits until this process can take over from its predecessor, if there is one, and follows that to its
// end.
func (s *Sidecar) awaitTakeover(ctx context.Context) (end func()) {
	if s.predecessor == nil {
		return func() {}
	}
	var followed sync.WaitGroup
	gone := make(chan struct{})
	followed.Go(func() {
		s.predecessor.AwaitEnd()
		close(gone)
		s.setProcessCount(&s.olderProcesses, 0)
	})
	s.awaitServers(ctx, gone)
	return func() {
		s.predecessor.Close()
		followed.Wait()
	}
}

// serveClients begins to serve, and says so in the log and to the predecessor.
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

// acceptSuccessors lets newer processes meet this one.
func (s *Sidecar) acceptSuccessors(ctx context.Context) (end func()) {
	socket := s.cfg.HandoverSocket()
	if socket == "" {
		return func() {}
	}
	start := retry.NewStart(ctx, nil)
	if err := start.Do("upgrade", func() error { return s.successors.Listen(socket) }); err != nil {
		slog.Warn("upgrade: a newer process cannot meet this one", "err", err)
		return func() {}
	}
	return s.successors.Close
}

// awaitServers waits until this process knows servers: from discovery or, after listTimeout, from the list that it was
// started with. The predecessor serves meanwhile; gone is closed at its end.
func (s *Sidecar) awaitServers(ctx context.Context, gone <-chan struct{}) {
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
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}
