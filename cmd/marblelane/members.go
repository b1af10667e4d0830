package main

import (
	"fmt"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/view"
)

// membersCmd groups the commands that show and change the members of a fleet.
type membersCmd struct {
	List  membersList  `cmd:"" help:"Show a process's view of its fleet."`
	Watch membersWatch `cmd:"" help:"Print each change that a process sees, until interrupted."`
	Leave membersLeave `cmd:"" help:"Make a process leave its fleet in an orderly way."`
	Gone  membersGone  `cmd:"" help:"Report to a process, and through it to the fleet, that another process is gone and no longer counts."`
	Diff  membersDiff  `cmd:"" help:"Query several processes and print where their views differ. The exit code is 0 if they agree, 1 if not, 2 if one cannot be queried."`
}

// memberProcess is the process to query.
type memberProcess struct {
	Addr string        `arg:"" help:"HOST:PORT: the management address of a sidecar, or the address of a replica of the list service."`
	Wait time.Duration `help:"Maximum time to wait for a response." default:"3s"`
}

// client validates the arguments before any process is queried.
func (m *memberProcess) client() (*view.Client, error) {
	if err := view.CheckAddr(m.Addr); err != nil {
		return nil, fmt.Errorf("ADDR %w", err)
	}
	return newViewClient(m.Wait)
}

// newViewClient returns a client whose requests time out after wait.
func newViewClient(wait time.Duration) (*view.Client, error) {
	if wait <= 0 {
		return nil, fmt.Errorf("--wait %v: must be above 0", wait)
	}
	return &view.Client{Timeout: wait}, nil
}

// withAddr adds the address argument to an error.
func (m *memberProcess) withAddr(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("ADDR %s: %w", m.Addr, err)
}

// report requests the process's view of its fleet.
func (m *memberProcess) report(a *app) (*view.Client, *membership.Report, error) {
	client, err := m.client()
	if err != nil {
		return nil, nil, err
	}
	r, err := client.Report(a.ctx, m.Addr)
	if err != nil {
		return nil, nil, m.withAddr(err)
	}
	return client, r, nil
}
