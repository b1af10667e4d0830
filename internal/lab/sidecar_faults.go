package lab

// This file is the faults of sidecars and of their discovery.

import (
	"context"
	"syscall"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
)

// migrateDiscovery gives discovery another address and tells the sidecars with SIGHUP.
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

func (s *sidecar) note(text string) { s.run.RecordNote(record.Process, s.number, record.None, text) }

func (s *sidecar) freeze(on bool) error {
	if !on {
		s.note(invariant.Thawed)
		return s.current().Signal(syscall.SIGCONT)
	}
	s.note(invariant.Frozen)
	return s.current().Signal(syscall.SIGSTOP)
}

// crash ends the process as a crash of its machine would.
func (s *sidecar) crash() error {
	c := s.current()
	s.note(invariant.Killed)
	c.Kill()
	s.addPastCPU(c)
	return nil
}

// restart is a planned one: SIGTERM, the end, and a new process with the same name and address.
func (s *sidecar) restart(ctx context.Context) error {
	s.stop(s.current(), harness.StopTimeout)
	return s.launch(ctx)
}

// terminate is a planned restart as hard as the platform may make it: clients open connections for a while after SIGTERM and
// go on sending on every one that stays open, and SIGKILL comes at its earliest.
func (s *sidecar) terminate(ctx context.Context) error {
	defer time.AfterFunc(connectWindow, func() { s.closedToNew.Store(true) }).Stop()
	s.stop(s.current(), s.run.Scenario.KillDelay())
	s.closedToNew.Store(true) // before the timer, where it has ended sooner
	err := s.launch(ctx)
	s.closedToNew.Store(false)
	return err
}

// upgrade starts a second process beside the first, which is stopped once the new one serves.
func (s *sidecar) upgrade(ctx context.Context) error {
	old := s.current()
	if err := s.launch(ctx); err != nil {
		return err
	}
	s.stop(old, harness.StopTimeout)
	return nil
}
