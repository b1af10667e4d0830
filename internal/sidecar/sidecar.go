package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
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

const (
	// A part of the sockets is for the listeners, discovery, the log, the runtime and the management address.
	reserveFraction    = 1. / 6
	maxReserve         = 64
	managementFraction = 0.25 // of the reserve, for connections to the management address
	clientFraction     = 0.55 // of the rest, for clients; servers have what is left
	keepAliveFraction  = 0.75 // of the client connections: beyond it they are closed between requests

	requestFraction = 0.5      // of the limit, for all else of requests at a time
	requestMemory   = 96 << 10 // that a long body or answer takes on its way: buffers, connections and stacks
	gcPercent       = 400      // garbage is small beside the limit, and there is one core

	// drainAccept is how long connections are taken after SIGTERM: new ones come for up to 0.4 s.
	drainAccept = 500 * time.Millisecond
	drainStep   = 5 * time.Millisecond
	// SIGKILL comes no earlier than killAfter beyond the longest deadline, of which longestDrain counts at most.
	maxDrain  = 3 * time.Second
	killAfter = 700 * time.Millisecond
	// finalAnswerMargin is how long before that service ends and all that is open is given up: a client that hears nothing
	// cannot tell a request that may be sent again from one that ran. It covers a process that is held up for 0.15 s,
	// after SIGTERM before it reads its clock, or after that before it writes the answers.
	finalAnswerMargin = 250 * time.Millisecond
	// maxAnswerTail is how long answers that have begun are passed on where no SIGKILL comes.
	maxAnswerTail = 30 * time.Second
	reapInterval  = time.Second
)

// Sidecar is one running sidecar.
type Sidecar struct {
	cfg         *config.Config
	tcp         *net.TCPListener
	listener    *clientserver.Limiter
	management  *clientserver.Limiter // nil: no management address
	loop        *eventloop.Loop
	clients     *clientserver.Server
	predecessor *handover.Predecessor // nil: none
	successors  handover.Successors

	serving     atomic.Bool
	drainAccept time.Duration
	listTimeout time.Duration
	unaccepted  func(*net.TCPListener) int
	hook        checkpoint.Hook

	siblings     sync.Mutex
	older, newer int // processes of this sidecar beside this one
	budget       budget
}

// Open reads the configuration as LoadConfig does, tells the runtime its limits and prepares a sidecar as New does. What
// fails for a moment is tried again, for retry.StartLimit in all, and not beyond the end of ctx.
func Open(ctx context.Context, getenv func(string) string) (*Sidecar, error) {
	start := retry.NewStart(ctx, nil)
	cfg, err := config.LoadWith(getenv, config.RetryingRead(start, os.ReadFile))
	if err != nil {
		return nil, err
	}
	Limit(cfg)
	return newSidecar(cfg, start)
}

// New prepares a sidecar and binds its addresses. An address that cannot be bound for a moment is tried again, for up to
// retry.StartLimit; the error names the key of the address.
func New(cfg *config.Config) (*Sidecar, error) {
	return newSidecar(cfg, retry.NewStart(context.Background(), nil))
}

func newSidecar(cfg *config.Config, start *retry.Start) (*Sidecar, error) {
	bal, err := balance.New(cfg.Balance)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var router *routing.Router
	if cfg.Routes != nil {
		if router, err = routing.New(cfg); err != nil {
			return nil, fmt.Errorf("routes: %w", err)
		}
	}
	reserve := min(max(int(float64(cfg.Sockets)*reserveFraction), config.MinReserve), maxReserve)
	var manager *clientserver.Limiter
	if cfg.Management != "" {
		var listener net.Listener
		if err := start.Do("management", func() (failed error) {
			listener, failed = net.Listen("tcp", cfg.Management)
			return failed
		}); err != nil {
			return nil, fmt.Errorf("management: %w", err)
		}
		manager = clientserver.NewLimiter(listening.Wrap(netcall.WithFaults(listener, cfg.Faults), "management", nil), 1)
	}
	var before *handover.Predecessor
	var listener net.Listener
	if err := start.Do("upgrade", func() (failed error) {
		before, listener, failed = handover.FindPredecessor(cfg)
		return failed
	}); err != nil {
		slog.Info("upgrade: no process before this one", "error", err)
	}
	if listener == nil {
		if err := start.Do("listen", func() (failed error) {
			listener, failed = handover.Listen(cfg)
			return failed
		}); err != nil {
			if manager != nil {
				manager.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	free := cfg.Sockets - reserve
	all := budget{management: int(float64(reserve) * managementFraction), clients: int(float64(free) * clientFraction)}
	all.servers = free - all.clients
	all.requests = all.servers
	if cfg.MemoryMB > 0 {
		all.requests = min(all.requests, int(float64(cfg.MemoryMB)*requestFraction*(1<<20)/requestMemory))
	}
	if cfg.MaxOpen > 0 {
		all.requests = min(all.requests, cfg.MaxOpen)
	}
	l := eventloop.New(cfg, bal, upstream.NewPool(cfg, all.servers))
	l.Routing = router
	l.Routing.Attach(l, bal, l.Clock, cfg.Balance.Classes)
	l.Discovery = discovery.New(cfg.ListAddrs(), cfg.MemoryMB, l.Post, func(f func()) { l.Workers.Go(f) })
	if cfg.Balance.DrainGrace > 0 {
		l.Discovery.SetTimeouts(discovery.Timeouts{PushedDelay: discovery.PushedDelay(cfg.Balance.DrainGrace)})
	}
	s := &Sidecar{
		cfg: cfg, tcp: listener.(*net.TCPListener), listener: clientserver.NewLimiter(listening.Wrap(netcall.WithFaults(listener, cfg.Faults), "clients", nil), all.clients),
		management: manager, loop: l,
		predecessor: before, budget: all, drainAccept: drainAccept, listTimeout: handover.ListTimeout,
		unaccepted: netcall.Unaccepted,
		clients: &clientserver.Server{
			Config: cfg, Post: l.Post, Metrics: l.Metrics, ReadTimeout: clientserver.DefaultReadTimeout, WriteTimeout: clientserver.DefaultWriteTimeout,
		},
	}
	s.successors = handover.Successors{
		Listener: s.tcp, Faults: cfg.Faults, Bind: net.ListenUnix,
		Changed: func(alive int) { s.setSiblings(&s.newer, alive) },
	}
	if before != nil {
		s.older = 1
	}
	if cfg.Membership != nil {
		l.Members = fleet.New(cfg.Membership, s.predecessorAlive)
		l.Members.Config.Start = cfg.Faults.Now().UnixMilli()
	}
	s.divideLimits()
	return s, nil
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
	work, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.loop.Run(work)
	}()
	if !s.cfg.Balance.Subscribe {
		s.loop.Discovery.Subscribe(work)
	}
	reaper := time.NewTicker(reapInterval)
	defer reaper.Stop()
	s.loop.Workers.Go(func() {
		for {
			select {
			case <-work.Done():
				return
			case now := <-reaper.C:
				s.loop.Pool.ReapIdle(now)
			}
		}
	})
	defer func() {
		stop()
		<-ended
		s.loop.Pool.Close()
	}()

	failed := make(chan error, 2)
	if s.management != nil {
		manager := s.managementServer()
		go func() { failed <- manager.Serve(s.management) }()
		defer manager.Close()
	}
	var meetings sync.WaitGroup
	defer meetings.Wait()
	if s.predecessor != nil {
		gone := make(chan struct{})
		meetings.Go(func() {
			s.predecessor.AwaitEnd()
			close(gone)
			s.setSiblings(&s.older, 0)
		})
		defer s.predecessor.Close()
		s.awaitServers(ctx, gone)
	}
	srv := clientserver.FollowConnections(s.clients.HTTPServer())
	go func() { failed <- srv.Serve(clientserver.HeadListener{Listener: s.listener}) }()
	s.serving.Store(true)
	slog.Info("ready", "name", s.cfg.Name, "management", s.ManagementAddr(), "listen", s.Addr())
	if s.predecessor != nil && ctx.Err() == nil {
		s.predecessor.AnnounceServing()
	}
	if place := s.cfg.HandoverSocket(); place != "" {
		start := retry.NewStart(ctx, nil)
		if err := start.Do("upgrade", func() error { return s.successors.Await(place) }); err != nil {
			slog.Warn("upgrade: a newer process cannot meet this one", "error", err)
		} else {
			defer s.successors.Close()
		}
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(srv)
}

// awaitServers waits until this process is fit to take over: it knows servers, from discovery or, after a while,
// from the list it was started with. The process before serves meanwhile.
func (s *Sidecar) awaitServers(ctx context.Context, gone <-chan struct{}) {
	began := time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		servers := s.loop.Metrics.Servers.Load()
		if servers.Ready > 0 && (servers.ListReceived || time.Since(began) >= s.listTimeout) {
			return
		}
		select {
		case <-tick.C:
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}
