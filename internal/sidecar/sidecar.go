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
)

const (
	// A part of the sockets is for the listeners, discovery, the log, the runtime and the management address.
	reservedShare = 1. / 6
	mostReserve   = 64
	manageShare   = 0.25 // of the reserve, for connections to the management address
	clientShare   = 0.55 // of the rest, for clients; servers have what is left
	keepShare     = 0.75 // of the client connections: beyond it they are closed between requests

	takenShare = 0.5      // of the limit, for all else of requests at a time
	takenCost  = 96 << 10 // that a long body or answer takes on its way: buffers, connections and stacks
	gcPercent  = 400      // garbage is small beside the limit, and there is one core

	// drainAccept is how long connections are taken after SIGTERM: new ones come for up to 0.4 s.
	drainAccept = 500 * time.Millisecond
	drainStep   = 5 * time.Millisecond
	// SIGKILL comes no earlier than killAfter beyond the longest deadline, of which longestDrain counts at most.
	longestDrain = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	// finalAnswerMargin is how long before that service ends and all that is open is given up: a client that hears nothing
	// cannot tell a request that may be sent again from one that ran. It covers a process that is held up for 0.15 s,
	// after SIGTERM before it reads its clock, or after that before it writes the answers.
	finalAnswerMargin = 250 * time.Millisecond
	// longestTail is how long answers that have begun are passed on where no SIGKILL comes.
	longestTail = 30 * time.Second
	reapEvery   = time.Second
)

// Sidecar is one running sidecar.
type Sidecar struct {
	cfg      *Config
	tcp      *net.TCPListener
	listener *connLimiter
	manager  *connLimiter // nil: no management address
	loop     *loop
	frontend *frontend
	before   *predecessor // nil: none
	after    successors

	serving     atomic.Bool
	drainAccept time.Duration
	listWait    time.Duration
	unaccepted  func(*net.TCPListener) int
	hook        checkpointHook

	sharing      sync.Mutex
	older, newer int // processes of this sidecar beside this one
	budget       budget
}

// Open reads the configuration as LoadConfig does, tells the runtime its limits and prepares a sidecar as New does. What
// fails for a moment is tried again, for retry.StartLimit in all, and not beyond the end of ctx.
func Open(ctx context.Context, getenv func(string) string) (*Sidecar, error) {
	start := retry.NewStart(ctx, nil)
	cfg, err := loadConfig(getenv, patientRead(start, os.ReadFile))
	if err != nil {
		return nil, err
	}
	Limit(cfg)
	return newSidecar(cfg, start)
}

// New prepares a sidecar and binds its addresses. An address that cannot be bound for a moment is tried again, for up to
// retry.StartLimit; the error names the key of the address.
func New(cfg *Config) (*Sidecar, error) {
	return newSidecar(cfg, retry.NewStart(context.Background(), nil))
}

func newSidecar(cfg *Config, start *retry.Start) (*Sidecar, error) {
	bal, err := balance.New(cfg.balance)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var routing *routing
	if cfg.routes != nil {
		if routing, err = newRouting(cfg); err != nil {
			return nil, fmt.Errorf("routes: %w", err)
		}
	}
	reserve := min(max(int(float64(cfg.Sockets)*reservedShare), fewestReserve), mostReserve)
	var manager *connLimiter
	if cfg.Management != "" {
		var listener net.Listener
		if err := start.Do("management", func() (failed error) {
			listener, failed = net.Listen("tcp", cfg.Management)
			return failed
		}); err != nil {
			return nil, fmt.Errorf("management: %w", err)
		}
		manager = newConnLimiter(listening.Wrap(plant(listener, cfg.faults), "management", nil), 1)
	}
	var before *predecessor
	var listener net.Listener
	if err := start.Do("upgrade", func() (failed error) {
		before, listener, failed = findPredecessor(cfg)
		return failed
	}); err != nil {
		slog.Info("upgrade: no process before this one", "error", err)
	}
	if listener == nil {
		if err := start.Do("listen", func() (failed error) {
			listener, failed = listen(cfg)
			return failed
		}); err != nil {
			if manager != nil {
				manager.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	free := cfg.Sockets - reserve
	all := budget{manage: int(float64(reserve) * manageShare), clients: int(float64(free) * clientShare)}
	all.servers = free - all.clients
	all.taken = all.servers
	if cfg.MemoryMB > 0 {
		all.taken = min(all.taken, int(float64(cfg.MemoryMB)*takenShare*(1<<20)/takenCost))
	}
	if cfg.maxOpen > 0 {
		all.taken = min(all.taken, cfg.maxOpen)
	}
	l := newLoop(cfg, bal, newUpstreams(cfg, all.servers))
	l.routing = routing
	l.routing.attach(l, bal, l.clock, cfg.balance.Classes)
	l.disc = newDiscovery(cfg.lists(), cfg.MemoryMB, l.post, func(f func()) { l.workers.Go(f) })
	if cfg.balance.DrainGrace > 0 {
		l.disc.lag = lagOf(cfg.balance.DrainGrace)
	}
	s := &Sidecar{
		cfg: cfg, tcp: listener.(*net.TCPListener), listener: newConnLimiter(listening.Wrap(plant(listener, cfg.faults), "clients", nil), all.clients),
		manager: manager, loop: l,
		before: before, budget: all, drainAccept: drainAccept, listWait: listWait,
		unaccepted: unaccepted,
		frontend: &frontend{
			cfg: cfg, post: l.post, figures: l.figures, peerWait: peerWait, writeWait: writeWait,
		},
	}
	s.after = successors{
		give: s.tcp, faults: cfg.faults, bind: net.ListenUnix,
		changed: func(alive int) { s.beside(&s.newer, alive) },
	}
	if before != nil {
		s.older = 1
	}
	if cfg.members != nil {
		l.members = newMembers(cfg.members, s.follows)
		l.members.cfg.Start = cfg.faults.Now().UnixMilli()
	}
	s.share()
	return s, nil
}

// ManagementAddr is the address for the platform; empty: there is none.
func (s *Sidecar) ManagementAddr() string {
	if s.manager == nil {
		return ""
	}
	return s.manager.Addr().String()
}

// Addr is the address where clients connect.
func (s *Sidecar) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, goes on while clients still come, answers all it took and returns.
func (s *Sidecar) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.loop.run(work)
	}()
	if !s.cfg.balance.Subscribe {
		s.loop.disc.subscribe(work)
	}
	reaper := time.NewTicker(reapEvery)
	defer reaper.Stop()
	s.loop.workers.Go(func() {
		for {
			select {
			case <-work.Done():
				return
			case now := <-reaper.C:
				s.loop.pool.reap(now)
			}
		}
	})
	defer func() {
		stop()
		<-ended
		s.loop.pool.closeAll()
	}()

	failed := make(chan error, 2)
	if s.manager != nil {
		manager := s.management()
		go func() { failed <- manager.Serve(s.manager) }()
		defer manager.Close()
	}
	var meetings sync.WaitGroup
	defer meetings.Wait()
	if s.before != nil {
		gone := make(chan struct{})
		meetings.Go(func() {
			s.before.gone()
			close(gone)
			s.beside(&s.older, 0)
		})
		defer s.before.conn.Close()
		s.prepare(ctx, gone)
	}
	srv := followConns(s.frontend.server())
	go func() { failed <- srv.Serve(headListener{s.listener}) }()
	s.serving.Store(true)
	slog.Info("ready", "name", s.cfg.Name, "management", s.ManagementAddr(), "listen", s.Addr())
	if s.before != nil && ctx.Err() == nil {
		s.before.serves()
	}
	if place := s.cfg.meetingPlace(); place != "" {
		start := retry.NewStart(ctx, nil)
		if err := start.Do("upgrade", func() error { return s.after.await(place) }); err != nil {
			slog.Warn("upgrade: a newer process cannot meet this one", "error", err)
		} else {
			defer s.after.close()
		}
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(srv)
}

// prepare waits until this process is fit to take over: it knows servers, from discovery or, after a while,
// from the list it was started with. The process before serves meanwhile.
func (s *Sidecar) prepare(ctx context.Context, gone <-chan struct{}) {
	began := time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		servers := s.loop.figures.servers.Load()
		if servers.ready > 0 && (servers.told || time.Since(began) >= s.listWait) {
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
