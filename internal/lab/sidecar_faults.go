package lab

// This file is the faults of sidecars and of their discovery.

import (
	"context"
	"syscall"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
)

// moveDiscovery gives discovery another address and tells the sidecars with SIGHUP.
func (r *run) moveDiscovery() error {
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

func (s *sidecar) note(text string) { s.r.note(record.Process, s.number, record.None, text) }

func (s *sidecar) freeze(on bool) error {
	if !on {
		s.note(invariant.Thawed)
		return s.current().Signal(syscall.SIGCONT)
	}
	s.note(invariant.Frozen)
	return s.current().Signal(syscall.SIGSTOP)
}

// die ends the process as a crash of its machine would.
func (s *sidecar) die() error {
	c := s.current()
	s.note(invariant.Killed)
	c.Kill()
	s.retire(c)
	return nil
}

// restart is a planned one: SIGTERM, the end, and a new process with the same name and address.
func (s *sidecar) restart(ctx context.Context) error {
	s.stop(s.current(), stopWait)
	return s.launch(ctx)
}

// term is a planned restart as hard as the platform may make it: clients open connections for a while after SIGTERM and
// go on sending on every one that stays open, and SIGKILL comes at its earliest.
func (s *sidecar) term(ctx context.Context) error {
	defer time.AfterFunc(newConns, func() { s.closed.Store(true) }).Stop()
	s.stop(s.current(), s.r.s.KillDelay())
	s.closed.Store(true) // before the timer, where it has ended sooner
	err := s.launch(ctx)
	s.closed.Store(false)
	return err
}

// upgrade starts a second process beside the first, which is told to end once the new one serves.
func (s *sidecar) upgrade(ctx context.Context) error {
	old := s.current()
	if err := s.launch(ctx); err != nil {
		return err
	}
	s.stop(old, stopWait)
	return nil
}
