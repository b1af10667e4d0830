package lab

// This file implements the faults of sidecars and of their discovery.

import (
	"context"
	"syscall"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
)

// migrateDiscovery moves discovery to another address, rewrites the sidecars' configuration files and sends SIGHUP.
func (r *run) migrateDiscovery() error {
	for _, a := range r.agents {
		if err := a.MigratePort(); err != nil {
			return err
		}
	}
	for _, s := range r.sidecars {
		if err := s.writeConfig(); err != nil {
			return err
		}
		if err := s.current().Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// note records an event of the sidecar's process.
func (s *sidecar) note(text string) { s.run.RecordNote(record.Process, s.number, record.None, text) }

// freeze suspends the process, or resumes it.
func (s *sidecar) freeze(on bool) error {
	if !on {
		s.note(invariant.Thawed)
		return s.current().Signal(syscall.SIGCONT)
	}
	s.note(invariant.Frozen)
	return s.current().Signal(syscall.SIGSTOP)
}

// crash kills the process, as a crash of its machine would.
func (s *sidecar) crash() error {
	c := s.current()
	s.note(invariant.Killed)
	c.Kill()
	s.addPastCPU(c)
	return nil
}

// restart is a planned restart: it sends SIGTERM, waits for the end of the process, and starts a new process with the
// same name and address.
func (s *sidecar) restart(ctx context.Context) error {
	s.stop(s.current(), harness.StopTimeout)
	return s.launch(ctx)
}

// terminate is the hardest planned restart that the platform allows: clients open new connections for a while after
// SIGTERM and go on sending on each connection that stays open, and SIGKILL follows at the earliest permitted time.
func (s *sidecar) terminate(ctx context.Context) error {
	defer time.AfterFunc(connectWindow, func() { s.noNewConns.Store(true) }).Stop()
	s.stop(s.current(), s.run.Scenario.KillDelay())
	s.noNewConns.Store(true) // set here, too, since the process may have ended before the timer fired
	err := s.launch(ctx)
	s.noNewConns.Store(false)
	return err
}

// upgrade starts a second process beside the first, and stops the first once the second serves.
func (s *sidecar) upgrade(ctx context.Context) error {
	old := s.current()
	if err := s.launch(ctx); err != nil {
		return err
	}
	s.stop(old, harness.StopTimeout)
	return nil
}
