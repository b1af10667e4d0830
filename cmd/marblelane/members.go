package main

import (
	"fmt"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/view"
)

// membersCmd groups the commands that show and change who is in a fleet.
type membersCmd struct {
	List  membersList  `cmd:"" help:"Show what a process sees of its fleet."`
	Watch membersWatch `cmd:"" help:"Print each change as a process sees it, for as long as it is wanted."`
	Leave membersLeave `cmd:"" help:"Ask a process to leave its fleet in order."`
	Gone  membersGone  `cmd:"" help:"Tell a process, and by it the fleet, that another process is gone and counts no more."`
	Diff  membersDiff  `cmd:"" help:"Ask several processes and print where their views differ. Ends with 0 if they agree, 1 if not, 2 if one cannot be asked."`
}

// memberProcess is the process to query.
type memberProcess struct {
	Addr string        `arg:"" help:"HOST:PORT: the management address of a sidecar, or the address of a copy of the list service."`
	Wait time.Duration `help:"How long an answer may take." default:"3s"`
}

// client checks the arguments before any process is queried.
func (m *memberProcess) client() (*view.Client, error) {
	if err := view.CheckAddr(m.Addr); err != nil {
		return nil, fmt.Errorf("ADDR %w", err)
	}
	return newViewClient(m.Wait)
}

func newViewClient(wait time.Duration) (*view.Client, error) {
	if wait <= 0 {
		return nil, fmt.Errorf("--wait %v: is not above 0", wait)
	}
	return &view.Client{Timeout: wait}, nil
}

// withAddr names the argument that an error is about.
func (m *memberProcess) withAddr(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("ADDR %s: %w", m.Addr, err)
}

// report asks for the process's view of its fleet.
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
