package lab

// This file configures, starts and stops the processes of sidecars.

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

// maxPortAttempts is the number of ports that are tried for a process.
const maxPortAttempts = 3

// sidecar is one sidecar with its process, or with two processes during an upgrade.
type sidecar struct {
	run      *run
	number   int
	dir      string
	listen   string
	config   string     // path of the configuration file
	configMu sync.Mutex // held while config is replaced, since a restart and a move of discovery can coincide
	mu       sync.Mutex
	child    *process.Child
	oldChild *process.Child
	pastCPU  float64 // CPU seconds of processes that have ended
	starts   int

	noNewConns atomic.Bool            // true: the clients open no new connections
	faults     fault.Config           // content of the file of faults; guarded by mu
	startStall atomic.Int64           // planted defect: for how long a process is suspended at its start, in ns; 0: none
	stopDefect atomic.Pointer[string] // planted defect at SIGTERM; nil or an empty string means none
}

// addr returns the address on which the sidecar listens for its clients.
func (s *sidecar) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen
}

// processes returns the IDs of the running processes, and the CPU seconds of those that have ended.
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

// startSidecars starts all sidecars, except those that start during the run, and waits until each reports that it
// serves.
func (r *run) startSidecars(ctx context.Context) error {
	r.responseProxies = make([]*responseProxy, len(r.Plan.Sidecars))
	for i := range r.Plan.Sidecars {
		s := &sidecar{run: r, number: i, dir: filepath.Join(r.Dir, r.Plan.Sidecars[i].Name)}
		if r.Scenario.StartsLate(i) { // a sidecar that starts late can have the name of another sidecar
			s.dir += "-late"
		}
		s.config = filepath.Join(s.dir, "config.json")
		r.sidecars = append(r.sidecars, s)
	}
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	initial := slices.DeleteFunc(slices.Clone(r.sidecars), func(s *sidecar) bool { return r.Scenario.StartsLate(s.number) })
	errs := make(chan error, len(initial))
	slots := make(chan struct{}, 8) // limits concurrent starts, the most expensive phase of a process
	for _, s := range initial {
		r.Tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs <- s.start(ctx)
		})
	}
	var failed error
	for range initial {
		failed = errors.Join(failed, <-errs)
	}
	if failed != nil {
		return failed
	}
	return r.openResponseProxies()
}

// start starts the sidecar on a free address. The platform reserves its addresses. In the lab another process can take
// the address before the start, so start tries several.
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
		s.run.Log.Warn("lab: port is in use, trying another", "sidecar", s.number, "addr", s.listen)
	}
	return fmt.Errorf("sidecar %d: after %d ports: %w", s.number, maxPortAttempts, err)
}

// launch starts a process of the sidecar and waits until it serves.
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
	started := r.Events.Now() // start time, taken before the process can record anything
	c, err := r.Processes.Start(process.Spec{
		Name: p.Name, Path: r.programOf(s.number), Dir: s.dir, MaxDescriptors: r.Scenario.Sidecars.MaxSockets,
		Env: []string{"NODE_CONFIG=" + s.config, "NODE_NAME=" + p.Name, "NODE_LISTEN=" + s.listen,
			"NODE_DISCOVERY=" + r.discoveryAddrs(s.number)[0], "NODE_MANAGEMENT=" + harness.Host(s.listen) + ":0", "TMPDIR=" + tmp},
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
	r.RecordNote(record.Process, s.number, record.None, invariant.Serving)
	if endpoint != nil {
		if err := r.members.FollowProcess(endpoint, c, ready); err != nil {
			return fmt.Errorf("sidecar %d: %w", s.number, err)
		}
	}
	r.processWatchers.Go(func() { s.awaitEnd(c) }) // an end before this call is returned as a failed start
	return nil
}

// awaitEnd waits for the end of a process and records whether it ended orderly or crashed.
func (s *sidecar) awaitEnd(c *process.Child) {
	<-c.Ended()
	outcome := invariant.Ended
	if !c.StopRequested() || c.Err() != nil && !strings.Contains(c.Err().Error(), "signal: killed") {
		outcome = invariant.Crashed
	}
	s.run.RecordNote(record.Process, s.number, record.None, outcome)
	if outcome == invariant.Crashed {
		s.run.Log.Error("lab: sidecar process ended without a signal", "sidecar", s.number, "err", c.Err(), "log", c.LogTail())
	}
}

// writeConfig replaces the configuration file. The new one contains the current addresses of discovery and the current
// list.
func (s *sidecar) writeConfig() error {
	r, p := s.run, &s.run.Plan.Sidecars[s.number]
	config := map[string]any{
		"name": p.Name, "listen": s.listen, "discovery": r.discoveryAddrs(s.number)[0],
		"management": harness.Host(s.listen) + ":0", "seed": strconv.FormatUint(p.Seed+uint64(s.starts), 16),
		"limits":   map[string]any{"cores": r.Scenario.Sidecars.Cores, "memory_mb": r.Scenario.Sidecars.MemoryMB, "sockets": r.Scenario.Sidecars.MaxSockets},
		"known":    r.initialList(s.number),
		"settings": r.Plan.Settings(s.number),
	}
	if d := &r.Scenario.Discovery; d.Services > 1 || d.RegistryReplicas > 1 || d.SuspectFraction > 0 || d.StaleAfter > 0 {
		var lists []map[string]any
		for k, addr := range r.discoveryAddrs(s.number) {
			list := map[string]any{"addr": addr}
			if k < len(d.Zones) {
				list["zone"] = d.Zones[k]
			}
			lists = append(lists, list)
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

// faultsFile returns the path of the file that sets the faults inside the process.
func (s *sidecar) faultsFile() string { return filepath.Join(s.dir, "faults.toml") }

// changeFaults applies change to the faults inside the process, and writes them to their file.
func (s *sidecar) changeFaults(change func(*fault.Config)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	return s.faults.Write(s.faultsFile())
}

// current returns the newest process. It returns nil if none was started.
func (s *sidecar) current() *process.Child {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.child
}

// stop sends SIGTERM to a process and waits for its end. It sends SIGKILL if the process has not ended after wait.
func (s *sidecar) stop(c *process.Child, wait time.Duration) {
	s.run.RecordNote(record.Process, s.number, record.None, invariant.Stopping)
	if s.run.members != nil {
		s.run.members.RecordLeaving(c)
	}
	if !s.applyStopDefect(c) {
		if err := c.Signal(syscall.SIGTERM); err != nil {
			s.run.Fail(err)
		}
	}
	kill := time.NewTimer(wait)
	defer kill.Stop()
	select {
	case <-c.Ended():
	case <-kill.C:
		s.run.RecordNote(record.Process, s.number, record.None, invariant.Killed)
		c.Kill()
	}
	s.addPastCPU(c)
}

// addPastCPU adds the CPU time of a process that has ended to pastCPU.
func (s *sidecar) addPastCPU(c *process.Child) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pastCPU += c.CPU()
	if s.oldChild == c {
		s.oldChild = nil
	}
}

// kill kills all processes of the sidecar.
func (s *sidecar) kill() {
	for _, c := range []*process.Child{s.oldChild, s.child} {
		if c != nil {
			c.Kill()
		}
	}
}

// stopSidecars stops all sidecars concurrently.
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
