package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/registry/agent"
	"marblelane/internal/registry/state"
)

// registerCmd keeps a server on the list, and runs it if a command is named.
type registerCmd struct {
	Copy     []string      `help:"Address of a replica of the list service; may be repeated, in order of preference." required:"" placeholder:"HOST:PORT"`
	UID      string        `help:"Unique name of the server, the same across restarts." required:"" placeholder:"NAME"`
	Endpoint string        `help:"HOST:PORT at which the server accepts requests." required:"" placeholder:"HOST:PORT"`
	Zone     string        `help:"Zone of the server." placeholder:"NAME"`
	Model    string        `help:"Machine model of the server." placeholder:"NAME"`
	Pod      int           `help:"Pod group of the server." placeholder:"N"`
	Lease    time.Duration `help:"Time without a renewal after which the server is removed from the list." default:"15s"`
	Health   string        `help:"Health check URL; it answers 200 when the server can serve." placeholder:"URL"`
	Faults   string        `help:"Fault file of the lab." hidden:"" placeholder:"FILE"`
	Drain    time.Duration `help:"Time from Terminating until the server is removed from the list." default:"5s"`
	Command  []string      `arg:"" optional:"" passthrough:"" help:"Command that runs the server, after --; without one the server is assumed to run already."`
}

// Run registers a server, and runs it if there is a command. The command gets SIGTERM only after the server is off the
// list, so that it can answer the requests that arrive meanwhile. A server that exits by itself is removed at once.
func (c *registerCmd) Run(a *app) error {
	faults, err := fault.Open(c.Faults)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	registration := &agent.Registrar{Replicas: c.Copy, Lease: c.Lease, HealthCheckURL: c.Health, DrainTime: c.Drain, Log: a.log,
		Entry: state.Entry{UID: c.UID, Endpoint: c.Endpoint, Zone: c.Zone, Model: c.Model, PodGroup: c.Pod,
			State: state.Ready, Capacity: 1, BootMS: faults.Now().UnixMilli()}}
	command := c.Command
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return registration.Run(a.ctx)
	}
	server := exec.Command(command[0], command[1:]...)
	server.Stdout, server.Stderr = a.out, a.errOut
	server.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // signals from the terminal reach only this command, which drains first
	if err := server.Start(); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	exited := make(chan error, 1)
	go func() { exited <- server.Wait() }()
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	deregistered := make(chan error, 1)
	go func() { deregistered <- registration.Run(ctx) }()
	select {
	case err := <-exited: // the server has exited, so there is nothing to drain
		registration.ServerExited()
		cancel()
		return errors.Join(<-deregistered, serverError(err))
	case err := <-deregistered:
		if signalErr := server.Process.Signal(syscall.SIGTERM); signalErr != nil && !errors.Is(signalErr, os.ErrProcessDone) {
			err = errors.Join(err, signalErr)
		}
		return errors.Join(err, serverError(<-exited))
	}
}

// serverError returns an error if the server failed. Termination by SIGTERM is not a failure.
func serverError(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		if s, ok := exit.Sys().(syscall.WaitStatus); ok && s.Signaled() && s.Signal() == syscall.SIGTERM {
			return nil
		}
	}
	if err != nil {
		return fmt.Errorf("register: run server: %w", err)
	}
	return nil
}
