package lab

// This file is a sidecar's processes: how they are configured, started and ended.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// sidecar is one sidecar with its process, or two during an upgrade.
type sidecar struct {
	r       *run
	number  int
	dir     string
	listen  string
	config  string // file
	mu      sync.Mutex
	now     *process.Child
	older   *process.Child
	past    float64 // CPU seconds of processes that have ended
	manages int

	closed  atomic.Bool            // clients open no new connections
	planted fault.Set              // what its file of faults says; under mu
	stalls  atomic.Int64           // a planted defect of its start: it does nothing for so long (ns)
	endsBad atomic.Pointer[string] // a planted defect of its end; empty or nil: none
}

func (s *sidecar) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen
}

// processes are the living ones, with the CPU time of those before.
func (s *sidecar) processes() (pids []int, past float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range []*process.Child{s.now, s.older} {
		if c == nil {
			continue
		}
		select {
		case <-c.Ended():
		default:
			pids = append(pids, c.PID)
		}
	}
	return pids, s.past
}

// startSidecars starts all and waits until each says that it serves.
func (r *run) startSidecars(ctx context.Context) error {
	r.tampers = make([]*tamper, len(r.plan.Sidecars))
	for i := range r.plan.Sidecars {
		s := &sidecar{r: r, number: i, dir: filepath.Join(r.dir, r.plan.Sidecars[i].Name)}
		if r.s.StartsLate(i) { // it may have another one's name
			s.dir += "-late"
		}
		s.config = filepath.Join(s.dir, "config.json")
		r.sidecars = append(r.sidecars, s)
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	first := slices.DeleteFunc(slices.Clone(r.sidecars), func(s *sidecar) bool { return r.s.StartsLate(s.number) })
	errs := make(chan error, len(first))
	room := make(chan struct{}, 8) // at a time: starts are the costliest moment
	for _, s := range first {
		r.wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			errs <- s.begin(ctx)
		})
	}
	var all error
	for range first {
		all = errors.Join(all, <-errs)
	}
	if all != nil {
		return all
	}
	return r.prepareTampers()
}

// begin starts the sidecar on an address that is free. The platform reserves its addresses; here one may be
// taken by someone else between the look and the start, so another is tried.
func (s *sidecar) begin(ctx context.Context) error {
	var err error
	for range portTrials {
		var listen string
		if listen, err = s.r.o.freeAddr(s.number); err != nil {
			return err
		}
		s.mu.Lock()
		s.listen = listen
		s.mu.Unlock()
		if err = s.launch(ctx); err == nil || !strings.Contains(err.Error(), "address already in use") {
			return err
		}
		s.r.out.Warn("lab: port taken, trying another", "sidecar", s.number, "address", s.listen)
	}
	return fmt.Errorf("sidecar %d: after %d ports: %w", s.number, portTrials, err)
}

// freeAddr finds a port on the loopback address of a sidecar's clients.
func freeAddr(n int) (string, error) {
	addr, err := relay.FreeAddr(fmt.Sprintf("127.%d.%d.%d", 32+n>>16, n>>8&255, n&255))
	if err != nil {
		return "", fmt.Errorf("lab: no address for sidecar %d: %w", n, err)
	}
	return addr, nil
}

// launch starts a process and waits until it serves.
func (s *sidecar) launch(ctx context.Context) error {
	r, p := s.r, &s.r.plan.Sidecars[s.number]
	tmp := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	var at *front
	if r.members != nil && r.s.InMembership(s.number) {
		var err error
		if at, err = r.members.prepare(s.number); err != nil {
			return fmt.Errorf("sidecar %d: %w", s.number, err)
		}
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.mu.Lock()
	s.manages++
	s.mu.Unlock()
	begun := r.log.Now() // before the process can know of its start
	c, err := r.nursery.Start(process.Spec{
		Name: p.Name, Path: r.programOf(s.number), Dir: s.dir, MaxDescriptors: r.s.Sidecars.MaxSockets,
		Env: []string{"NODE_CONFIG=" + s.config, "NODE_NAME=" + p.Name, "NODE_LISTEN=" + s.listen,
			"NODE_DISCOVERY=" + r.listAddrs(s.number)[0], "NODE_MANAGEMENT=" + hostOf(s.listen) + ":0", "TMPDIR=" + tmp},
	})
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	r.log.Add(record.Event{T: begun, Kind: record.Process, Sidecar: int32(s.number), Server: record.None, Class: record.None, Note: invariant.Started})
	s.mu.Lock()
	s.older, s.now = s.now, c
	s.mu.Unlock()
	if at != nil {
		r.members.has(at, c)
	}
	s.spoilStart(ctx, c)
	ready, err := c.AwaitLog(ctx, readyText)
	if err != nil {
		if c.Kill(); at != nil {
			r.members.die(at, c)
		}
		return fmt.Errorf("sidecar %d at %s: %w", s.number, s.listen, err)
	}
	r.note(record.Process, s.number, record.None, invariant.Serving)
	if at != nil {
		if err := r.members.begin(at, c, ready); err != nil {
			return fmt.Errorf("sidecar %d: %w", s.number, err)
		}
	}
	r.watchers.Go(func() { s.watch(c) }) // an end before this was a start that failed, which is an error
	return nil
}

func hostOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}

// watch writes down how a process ended.
func (s *sidecar) watch(c *process.Child) {
	<-c.Ended()
	note := invariant.Ended
	if !c.StopRequested() || c.Err() != nil && !strings.Contains(c.Err().Error(), "signal: killed") {
		note = invariant.Crashed
	}
	s.r.note(record.Process, s.number, record.None, note)
	if note == invariant.Crashed {
		s.r.out.Error("lab: a copy ended unasked", "sidecar", s.number, "error", c.Err(), "log", c.LogTail())
	}
}

// writeConfig writes the configuration file with discovery's present address and list, whole or not at all.
func (s *sidecar) writeConfig() error {
	r, p := s.r, &s.r.plan.Sidecars[s.number]
	config := map[string]any{
		"name": p.Name, "listen": s.listen, "discovery": r.listAddrs(s.number)[0],
		"management": hostOf(s.listen) + ":0", "seed": strconv.FormatUint(p.Seed+uint64(s.manages), 16),
		"limits":   map[string]any{"cores": r.s.Sidecars.Cores, "memory_mb": r.s.Sidecars.MemoryMB, "sockets": r.s.Sidecars.MaxSockets},
		"known":    r.known(s.number),
		"settings": r.plan.Settings(s.number),
	}
	if d := &r.s.Discovery; d.Services > 1 || d.RegistryReplicas > 1 || d.SuspectFraction > 0 || d.StaleAfter > 0 {
		var lists []map[string]any
		for k, addr := range r.listAddrs(s.number) {
			one := map[string]any{"addr": addr}
			if k < len(d.Zones) {
				one["zone"] = d.Zones[k]
			}
			lists = append(lists, one)
		}
		config["lists"], config["list_doubt_share"], config["list_stale_ms"] = lists, d.SuspectFraction, d.StaleAfter.Milliseconds()
	}
	if section := r.routesOf(s.number); section != nil {
		config["routes"] = section
	}
	if r.members != nil {
		if section := r.members.section(s.number); section != nil {
			config["members"] = section
		}
	}
	if r.s.HasProcessFaults() {
		config["faults"] = s.faultsFile()
	}
	if n := &r.s.Network; len(n.Regions) > 0 {
		config["regions"], config["region_cost"] = n.RegionNames(), n.CrossRegionCost
	}
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	if err := os.WriteFile(s.config+".new", data, 0o644); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	if err := os.Rename(s.config+".new", s.config); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	return nil
}

// faultsFile is the file of what is planted inside the process.
func (s *sidecar) faultsFile() string { return filepath.Join(s.dir, "faults.toml") }

// plantInside changes what is planted inside the process, and leaves what other faults planted there.
func (s *sidecar) plantInside(change func(*fault.Set)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.planted)
	return s.planted.Write(s.faultsFile())
}

// current is the newest process.
func (s *sidecar) current() *process.Child {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// stop ends a process in order; SIGKILL comes when it has not ended after wait.
func (s *sidecar) stop(c *process.Child, wait time.Duration) {
	s.r.note(record.Process, s.number, record.None, invariant.Stopping)
	if s.r.members != nil {
		s.r.members.leaving(c)
	}
	if !s.spoilsEnd(c) {
		if err := c.Signal(syscall.SIGTERM); err != nil {
			s.r.fail(err)
		}
	}
	kill := time.NewTimer(wait)
	defer kill.Stop()
	select {
	case <-c.Ended():
	case <-kill.C:
		s.r.note(record.Process, s.number, record.None, invariant.Killed)
		c.Kill()
	}
	s.retire(c)
}

// retire keeps the CPU time of a process that has ended.
func (s *sidecar) retire(c *process.Child) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past += c.CPU()
	if s.older == c {
		s.older = nil
	}
}

func (s *sidecar) kill() {
	for _, c := range []*process.Child{s.older, s.now} {
		if c != nil {
			c.Kill()
		}
	}
}

func (r *run) stopSidecars() {
	var wg sync.WaitGroup
	for _, s := range r.sidecars {
		wg.Go(func() {
			if c := s.current(); c != nil {
				s.stop(c, stopWait)
			}
		})
	}
	wg.Wait()
}
