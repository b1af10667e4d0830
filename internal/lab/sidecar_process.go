package lab

// This file is a sidecar's processes: how they are configured, started and ended.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/members"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
)

// maxPortAttempts is how many ports are tried for a process.
const maxPortAttempts = 3

// sidecar is one sidecar with its process, or two during an upgrade.
type sidecar struct {
	run      *run
	number   int
	dir      string
	listen   string
	config   string     // file
	configMu sync.Mutex // held while the file is replaced: a restart and a move of discovery may meet
	mu       sync.Mutex
	child    *process.Child
	oldChild *process.Child
	pastCPU  float64 // CPU seconds of processes that have ended
	starts   int

	closedToNew atomic.Bool            // clients open no new connections
	faults      fault.Config           // in its file of faults; under mu
	startStall  atomic.Int64           // planted defect: how long a process does nothing at its start, in ns
	stopDefect  atomic.Pointer[string] // planted defect at SIGTERM; empty or nil: none
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
	for _, c := range []*process.Child{s.child, s.oldChild} {
		if c == nil {
			continue
		}
		select {
		case <-c.Ended():
		default:
			pids = append(pids, c.PID)
		}
	}
	return pids, s.pastCPU
}

// startSidecars starts all and waits until each says that it serves.
func (r *run) startSidecars(ctx context.Context) error {
	r.answerProxies = make([]*answerProxy, len(r.Plan.Sidecars))
	for i := range r.Plan.Sidecars {
		s := &sidecar{run: r, number: i, dir: filepath.Join(r.Dir, r.Plan.Sidecars[i].Name)}
		if r.Scenario.StartsLate(i) { // it may have the name of another one
			s.dir += "-late"
		}
		s.config = filepath.Join(s.dir, "config.json")
		r.sidecars = append(r.sidecars, s)
	}
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	first := slices.DeleteFunc(slices.Clone(r.sidecars), func(s *sidecar) bool { return r.Scenario.StartsLate(s.number) })
	errs := make(chan error, len(first))
	slots := make(chan struct{}, 8) // starts at a time, as they cost the most
	for _, s := range first {
		r.Tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs <- s.start(ctx)
		})
	}
	var all error
	for range first {
		all = errors.Join(all, <-errs)
	}
	if all != nil {
		return all
	}
	return r.openAnswerProxies()
}

// start starts the sidecar on a free address. The platform reserves its addresses; here another process may take one before
// the start, so another is tried.
func (s *sidecar) start(ctx context.Context) error {
	var err error
	for range maxPortAttempts {
		var listen string
		if listen, err = s.run.Options.FreeAddr(s.number); err != nil {
			return err
		}
		s.mu.Lock()
		s.listen = listen
		s.mu.Unlock()
		if err = s.launch(ctx); err == nil || !strings.Contains(err.Error(), "address already in use") {
			return err
		}
		s.run.Log.Warn("lab: port taken, trying another", "sidecar", s.number, "addr", s.listen)
	}
	return fmt.Errorf("sidecar %d: after %d ports: %w", s.number, maxPortAttempts, err)
}

// launch starts a process and waits until it serves.
func (s *sidecar) launch(ctx context.Context) error {
	r, p := s.run, &s.run.Plan.Sidecars[s.number]
	tmp := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	var endpoint *members.Endpoint
	if r.members != nil && r.Scenario.InMembership(s.number) {
		var err error
		if endpoint, err = r.members.Prepare(s.number); err != nil {
			return fmt.Errorf("sidecar %d: %w", s.number, err)
		}
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.mu.Unlock()
	started := r.Events.Now() // before the process can know of its start
	c, err := r.Processes.Start(process.Spec{
		Name: p.Name, Path: r.programOf(s.number), Dir: s.dir, MaxDescriptors: r.Scenario.Sidecars.MaxSockets,
		Env: []string{"NODE_CONFIG=" + s.config, "NODE_NAME=" + p.Name, "NODE_LISTEN=" + s.listen,
			"NODE_DISCOVERY=" + r.discoveryAddrs(s.number)[0], "NODE_MANAGEMENT=" + harness.HostOf(s.listen) + ":0", "TMPDIR=" + tmp},
	})
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	r.Events.Add(record.Event{T: started, Kind: record.Process, Sidecar: int32(s.number), Server: record.None, Class: record.None, Note: invariant.Started})
	s.mu.Lock()
	s.oldChild, s.child = s.child, c
	s.mu.Unlock()
	if endpoint != nil {
		r.members.SetProcess(endpoint, c)
	}
	s.stallStart(ctx, c)
	ready, err := c.AwaitLog(ctx, harness.ReadyText)
	if err != nil {
		if c.Kill(); endpoint != nil {
			r.members.ProcessEnded(endpoint, c)
		}
		return fmt.Errorf("sidecar %d at %s: %w", s.number, s.listen, err)
	}
	r.Note(record.Process, s.number, record.None, invariant.Serving)
	if endpoint != nil {
		if err := r.members.FollowProcess(endpoint, c, ready); err != nil {
			return fmt.Errorf("sidecar %d: %w", s.number, err)
		}
	}
	r.processWatchers.Go(func() { s.awaitEnd(c) }) // an end before this was a start that failed, which is an error
	return nil
}

// awaitEnd records how a process ended.
func (s *sidecar) awaitEnd(c *process.Child) {
	<-c.Ended()
	note := invariant.Ended
	if !c.StopRequested() || c.Err() != nil && !strings.Contains(c.Err().Error(), "signal: killed") {
		note = invariant.Crashed
	}
	s.run.Note(record.Process, s.number, record.None, note)
	if note == invariant.Crashed {
		s.run.Log.Error("lab: a sidecar ended without a signal", "sidecar", s.number, "err", c.Err(), "log", c.LogTail())
	}
}

// writeConfig replaces the configuration file; it has the present addresses of discovery and the present list.
func (s *sidecar) writeConfig() error {
	r, p := s.run, &s.run.Plan.Sidecars[s.number]
	config := map[string]any{
		"name": p.Name, "listen": s.listen, "discovery": r.discoveryAddrs(s.number)[0],
		"management": harness.HostOf(s.listen) + ":0", "seed": strconv.FormatUint(p.Seed+uint64(s.starts), 16),
		"limits":   map[string]any{"cores": r.Scenario.Sidecars.Cores, "memory_mb": r.Scenario.Sidecars.MemoryMB, "sockets": r.Scenario.Sidecars.MaxSockets},
		"known":    r.initialList(s.number),
		"settings": r.Plan.Settings(s.number),
	}
	if d := &r.Scenario.Discovery; d.Services > 1 || d.RegistryReplicas > 1 || d.SuspectFraction > 0 || d.StaleAfter > 0 {
		var lists []map[string]any
		for k, addr := range r.discoveryAddrs(s.number) {
			one := map[string]any{"addr": addr}
			if k < len(d.Zones) {
				one["zone"] = d.Zones[k]
			}
			lists = append(lists, one)
		}
		config["lists"], config["list_doubt_share"], config["list_stale_ms"] = lists, d.SuspectFraction, d.StaleAfter.Milliseconds()
	}
	if section := r.routesSection(s.number); section != nil {
		config["routes"] = section
	}
	if r.members != nil {
		if section := r.members.ConfigSection(s.number); section != nil {
			config["members"] = section
		}
	}
	if r.Scenario.HasProcessFaults() {
		config["faults"] = s.faultsFile()
	}
	if n := &r.Scenario.Network; len(n.Regions) > 0 {
		config["regions"], config["region_cost"] = n.ZonesByRegion(), n.CrossRegionCost
	}
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	s.configMu.Lock()
	defer s.configMu.Unlock()
	if err := os.WriteFile(s.config+".new", data, 0o644); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	if err := os.Rename(s.config+".new", s.config); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.number, err)
	}
	return nil
}

// faultsFile is the file of the faults inside the process.
func (s *sidecar) faultsFile() string { return filepath.Join(s.dir, "faults.toml") }

// changeFaults changes the faults inside the process.
func (s *sidecar) changeFaults(change func(*fault.Config)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	return s.faults.Write(s.faultsFile())
}

// current is the newest process.
func (s *sidecar) current() *process.Child {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.child
}

// stop ends a process in order; SIGKILL comes when it has not ended after wait.
func (s *sidecar) stop(c *process.Child, wait time.Duration) {
	s.run.Note(record.Process, s.number, record.None, invariant.Stopping)
	if s.run.members != nil {
		s.run.members.RecordLeaving(c)
	}
	if !s.playStopDefect(c) {
		if err := c.Signal(syscall.SIGTERM); err != nil {
			s.run.Fail(err)
		}
	}
	kill := time.NewTimer(wait)
	defer kill.Stop()
	select {
	case <-c.Ended():
	case <-kill.C:
		s.run.Note(record.Process, s.number, record.None, invariant.Killed)
		c.Kill()
	}
	s.addPastCPU(c)
}

// addPastCPU keeps the CPU time of a process that has ended.
func (s *sidecar) addPastCPU(c *process.Child) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pastCPU += c.CPU()
	if s.oldChild == c {
		s.oldChild = nil
	}
}

func (s *sidecar) kill() {
	for _, c := range []*process.Child{s.oldChild, s.child} {
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
				s.stop(c, harness.StopTimeout)
			}
		})
	}
	wg.Wait()
}
