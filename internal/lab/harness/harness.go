// Package harness executes the phases of a lab run and holds what every kind of run needs: the options, scenario and
// plan, the event log, the folder for files, the child processes, and helpers for time, addresses and concurrent work.
package harness

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

// StartTimeout is the timeout for the start of the processes of a run.
const StartTimeout = 30 * time.Second

// StopTimeout is the longest time from SIGTERM until a process ends: the platform's limit plus a margin.
const StopTimeout = 6 * time.Second

// CallTimeout is the timeout of a call to a replica of the registry.
const CallTimeout = 3 * time.Second

// ReadyText is the beginning of the message that a program logs when it is ready to serve.
const ReadyText = "ready name="

// Options are the settings of a run that are not part of its scenario.
type Options struct {
	Program         string       // path of the sidecar program if the scenario names none
	OlderProgram    string       // path of the program of older sidecars; empty: Program, without routes
	RegistryProgram string       // path of the command that runs registry replicas; empty: this program
	Seed            uint64       // seed of the run; 0: the scenario's seed
	Dir             string       // folder for the files of the processes; empty: a temporary one that Run.Close removes
	Progress        io.Writer    // receives progress lines; nil: none are printed
	Log             *slog.Logger // logger of the run; nil: nothing is logged

	// FreeAddr returns the address at which a sidecar listens. If nil, FreeSidecarAddr is used.
	FreeAddr func(sidecar int) (string, error)
}

// Run is the state that all kinds of run share. All methods except ReserveAddr and Close are safe for concurrent use.
type Run struct {
	Scenario  *scenario.Scenario
	Plan      *scenario.Plan
	Options   Options
	Events    *record.Log
	Log       *slog.Logger
	Dir       string
	Processes *process.Supervisor
	Tasks     sync.WaitGroup // goroutines that end when the run's context ends
	StartedAt time.Duration  // time when all parties were up, on the clock of Events; the plan's times count from here

	reservations  []*relay.Reservation
	removeDir     bool // Dir is temporary, so Close removes it
	stopProcesses sync.Once
	failureMu     sync.Mutex
	failure       error // first error passed to Fail
}

// New generates the plan of a scenario and prepares a run up to the start of its first process. The caller must call
// Close.
func New(s *scenario.Scenario, o Options) (*Run, error) {
	r := &Run{Scenario: s, Plan: s.Plan(o.Seed), Options: o, Log: o.Log, Dir: o.Dir}
	if r.Options.FreeAddr == nil {
		r.Options.FreeAddr = FreeSidecarAddr
	}
	if r.Log == nil {
		r.Log = slog.New(slog.DiscardHandler)
	}
	var err error
	if r.Options.RegistryProgram == "" {
		if r.Options.RegistryProgram, err = os.Executable(); err != nil {
			return nil, fmt.Errorf("lab: find the program of the registry replicas: %w", err)
		}
	}
	if r.Dir == "" {
		if r.Dir, err = os.MkdirTemp("", "marblelane-lab-"); err != nil {
			return nil, fmt.Errorf("lab: create folder for the run: %w", err)
		}
		r.removeDir = true
	}
	r.Processes = process.NewSupervisor()
	r.Events = record.New()
	return r, nil
}

// Close ends the processes of the run, releases its reserved addresses and removes its temporary folder.
func (r *Run) Close() {
	r.StopProcesses()
	for _, reservation := range r.reservations {
		if err := reservation.Release(); err != nil {
			r.Log.Warn("lab: release of a reserved address failed", "addr", reservation.Addr(), "err", err)
		}
	}
	r.reservations = nil
	if r.removeDir {
		os.RemoveAll(r.Dir)
	}
}

// StopProcesses kills all processes of the run. No process can be started afterwards.
func (r *Run) StopProcesses() { r.stopProcesses.Do(r.Processes.Close) }

// Fail records that the run cannot continue. Only the first error is kept, and nil is ignored.
func (r *Run) Fail(err error) {
	r.failureMu.Lock()
	defer r.failureMu.Unlock()
	if r.failure == nil && err != nil {
		r.failure = err
		r.Log.Error("lab: run failed", "err", err)
	}
}

// Err returns the first error passed to Fail, or nil.
func (r *Run) Err() error {
	r.failureMu.Lock()
	defer r.failureMu.Unlock()
	return r.failure
}

// RecordNote records an event of a kind with a text, for a sidecar and a server.
func (r *Run) RecordNote(k record.Kind, sidecar, server int, note string) {
	r.Events.Add(record.Event{Kind: k, Sidecar: int32(sidecar), Server: int32(server), Class: record.None, Note: note})
}

// Entry returns the endpoint list entry of a server of the plan, without its endpoint.
func (r *Run) Entry(server int, state string, bootMS int64) agent.Entry {
	p := &r.Plan.Servers[server]
	return agent.Entry{Number: server, UID: p.UID, Zone: r.Scenario.Network.Zones[p.Zone],
		Model: r.Scenario.Servers.Kinds[p.Kind].Name, Pod: p.Pod, State: state, Capacity: 1, BootMS: bootMS}
}
