// Package harness is what every run of the lab shares: its options, scenario and plan, the records of its events, the
// folder for its files, the processes that it starts, and helpers for time, addresses and concurrent work.
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

// StartTimeout bounds the start of the processes of a run.
const StartTimeout = 30 * time.Second

// StopTimeout is how long a process may take from SIGTERM to its end: the platform's longest, and some room.
const StopTimeout = 6 * time.Second

// CallTimeout bounds a call to a replica of the registry.
const CallTimeout = 3 * time.Second

// ReadyText starts the log line in which a program says that it serves.
const ReadyText = "ready name="

// Options are what a run needs beside its scenario.
type Options struct {
	Program         string // the sidecar's file, where the scenario names none
	OlderProgram    string // the program of the sidecars that the scenario calls older; empty: Program, without routes
	RegistryProgram string // the command's file, for replicas of the registry; empty: this program
	Seed            uint64 // 0: the scenario's
	Dir             string // for the files of the processes; empty: a temporary one that is removed with the run
	Progress        io.Writer
	Log             *slog.Logger // nil: none

	// FreeAddr finds the listen address of a sidecar; nil: FreeSidecarAddr.
	FreeAddr func(sidecar int) (string, error)
}

// Run is the base of a run. All methods may be called from any goroutine, except ReserveAddr and Close.
type Run struct {
	Scenario  *scenario.Scenario
	Plan      *scenario.Plan
	Options   Options
	Events    *record.Log
	Log       *slog.Logger
	Dir       string
	Processes *process.Supervisor
	Tasks     sync.WaitGroup // goroutines that end with the run's context
	StartedAt time.Duration  // when all parties were up, on the clock of Events; the times of the plan are from then on

	reservations  []*relay.Reservation
	removeDir     bool
	stopProcesses sync.Once
	failureMu     sync.Mutex
	failure       error
}

// New draws the plan and prepares what a run needs before its first process. Close has to be called after it.
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
			return nil, fmt.Errorf("lab: replicas of the registry are of this program: %w", err)
		}
	}
	if r.Dir == "" {
		if r.Dir, err = os.MkdirTemp("", "marblelane-lab-"); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		r.removeDir = true
	}
	r.Processes = process.NewSupervisor()
	r.Events = record.New()
	return r, nil
}

// Close ends the processes of the run, gives up its addresses and removes its temporary folder.
func (r *Run) Close() {
	r.StopProcesses()
	for _, reservation := range r.reservations {
		if err := reservation.Release(); err != nil {
			r.Log.Warn("lab: address not released", "addr", reservation.Addr(), "err", err)
		}
	}
	r.reservations = nil
	if r.removeDir {
		os.RemoveAll(r.Dir)
	}
}

// StopProcesses kills all processes of the run. None can be started after it.
func (r *Run) StopProcesses() { r.stopProcesses.Do(r.Processes.Close) }

// Fail keeps the first error that makes the run impossible.
func (r *Run) Fail(err error) {
	r.failureMu.Lock()
	defer r.failureMu.Unlock()
	if r.failure == nil && err != nil {
		r.failure = err
		r.Log.Error("lab: the run cannot go on", "err", err)
	}
}

// Err is the first error that made the run impossible.
func (r *Run) Err() error {
	r.failureMu.Lock()
	defer r.failureMu.Unlock()
	return r.failure
}

// RecordNote records an event that is described in words.
func (r *Run) RecordNote(k record.Kind, sidecar, server int, note string) {
	r.Events.Add(record.Event{Kind: k, Sidecar: int32(sidecar), Server: int32(server), Class: record.None, Note: note})
}

// Entry is a server of the plan as discovery lists it. Its endpoint is left empty.
func (r *Run) Entry(server int, state string, bootMS int64) agent.Entry {
	p := &r.Plan.Servers[server]
	return agent.Entry{Number: server, UID: p.UID, Zone: r.Scenario.Network.Zones[p.Zone],
		Model: r.Scenario.Servers.Kinds[p.Kind].Name, Pod: p.Pod, State: state, Capacity: 1, BootMS: bootMS}
}
