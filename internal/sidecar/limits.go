package sidecar

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"

	"marblelane/balance"
	"marblelane/internal/sidecar/config"
)

const (
	// reserveFraction of all sockets, at most maxReserve, is reserved for the listeners, discovery, the log, the
	// runtime and the management address.
	reserveFraction    = 1. / 6
	maxReserve         = 64   // sockets
	managementFraction = 0.25 // fraction of the reserve that connections to the management address may use
	clientFraction     = 0.55 // fraction of the remaining sockets for clients; servers get the others
	// minClientFraction of all sockets are for clients even if memory is short: clients may use a third to send requests.
	minClientFraction = 1. / 3
	keepAliveFraction = 0.75 // fraction of the client connections; beyond it connections are closed after a response

	requestFraction = 0.5      // fraction of the memory limit for everything but buffered request bodies
	requestMemory   = 96 << 10 // bytes for forwarding a long body or response: buffers, connections and stacks
	bytesPerMB      = 1 << 20
	gcPercent       = 400 // garbage is small compared to the memory limit, and there is one core
)

// budget limits all processes of a sidecar together: the connections to the management address, from clients and to
// servers, and the number of concurrent requests, and of those among them whose body is forwarded as it arrives.
type budget struct{ management, clients, servers, requests, streams int }

// newBudget derives the budget from the limits of the configuration.
func newBudget(cfg *config.Config) budget {
	reserve := min(max(int(float64(cfg.Sockets)*reserveFraction), config.MinReservedSockets), maxReserve)
	free := cfg.Sockets - reserve
	b := budget{
		management: int(float64(reserve) * managementFraction),
		clients:    int(float64(free) * clientFraction),
	}
	b.servers = free - b.clients
	b.clients = min(b.clients, max(cfg.MaxClientConns(), int(float64(cfg.Sockets)*minClientFraction)))
	b.requests = b.servers
	if cfg.MemoryMB > 0 {
		b.requests = min(b.requests, int(float64(cfg.MemoryMB)*requestFraction*bytesPerMB/requestMemory))
	}
	if cfg.MaxOpenRequests > 0 {
		b.requests = min(b.requests, cfg.MaxOpenRequests)
	}
	b.streams = min(b.requests, cfg.MaxStreams())
	return b
}

// divideLimits divides the budget evenly among the processes of this sidecar and applies the share of this one. The
// caller holds processMu, or no other goroutine uses the sidecar yet.
func (s *Sidecar) divideLimits() {
	processes := 1 + s.olderProcesses + s.newerProcesses
	if processes > 1 {
		slog.Info("upgrade: limits divided", "processes", processes)
	}
	if s.management != nil {
		s.management.SetLimit(max(s.budget.management/processes, 1))
	}
	clients := s.budget.clients / processes
	s.listener.SetLimit(clients)
	s.clients.SetKeepAliveLimit(int(float64(clients) * keepAliveFraction))
	s.clients.SetRequestLimit(max(s.budget.requests/processes, 1))
	s.clients.SetStreamLimit(max(s.budget.streams/processes, 1))
	s.loop.Pool.SetLimit(s.budget.servers / processes)
	s.loop.Pool.SetHeadMemory(s.cfg.ResponseHeadMemory() / int64(processes))
	s.listener.SetHeadMemory(s.cfg.HeadMemory() / int64(processes))
	s.clients.SetBodyMemory(s.cfg.BodyMemory() / int64(processes))
	s.loop.Post(balance.ProcessCount{Processes: processes})
	limitMemory(s.cfg, processes)
}

// predecessorAlive reports whether the predecessor is still running.
func (s *Sidecar) predecessorAlive() bool {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	return s.olderProcesses > 0
}

// setProcessCount sets olderProcesses or newerProcesses and divides the limits again.
func (s *Sidecar) setProcessCount(count *int, alive int) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	*count = alive
	s.divideLimits()
}

// SetRuntimeLimits applies the memory and CPU limits of the configuration to the Go runtime.
func SetRuntimeLimits(cfg *config.Config) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.MemoryLimit(1))
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
}

// limitMemory sets the memory limit of the runtime to the share of this process, if SetRuntimeLimits has set a limit.
func limitMemory(cfg *config.Config, processes int) {
	current := debug.SetMemoryLimit(-1) // a negative value only reads the limit
	if current == math.MaxInt64 || current == cfg.MemoryLimit(processes) {
		return
	}
	debug.SetMemoryLimit(cfg.MemoryLimit(processes))
	if processes > 1 {
		debug.FreeOSMemory()
	}
}
