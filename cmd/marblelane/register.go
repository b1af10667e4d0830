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

type registerCmd struct {
	Copy     []string      `help:"Address of a copy of the list service; several, in order of preference." required:"" placeholder:"HOST:PORT"`
	UID      string        `help:"The server's name, its own and lasting." required:"" placeholder:"NAME"`
	Endpoint string        `help:"HOST:PORT at which it serves." required:"" placeholder:"HOST:PORT"`
	Zone     string        `help:"Its zone." placeholder:"NAME"`
	Model    string        `help:"Its kind of machine." placeholder:"NAME"`
	Pod      int           `help:"Its pod group." placeholder:"N"`
	Lease    time.Duration `help:"It is off the list after so long without a renewal." default:"15s"`
	Health   string        `help:"URL that answers 200 when it can serve." placeholder:"URL"`
	Faults   string        `help:"The lab's file of faults." hidden:"" placeholder:"FILE"`
	Drain    time.Duration `help:"From Terminating until it is taken off." default:"5s"`
	Command  []string      `arg:"" optional:"" passthrough:"" help:"The server to run, after --; without one it runs already."`
}

// Run registers a server, and runs it if there is a command. The command gets SIGTERM only once it is off the list,
// so that it answers what was sent meanwhile; when it ends by itself, it is taken off at once.
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
	server.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal from the terminal is this command's to pass on
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
	case err := <-exited: // the server has ended: there is nothing to drain
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

// serverError is how the server ended; at SIGTERM it may end by the signal.
func serverError(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		if s, ok := exit.Sys().(syscall.WaitStatus); ok && s.Signaled() && s.Signal() == syscall.SIGTERM {
			return nil
		}
	}
	if err != nil {
		return fmt.Errorf("register: the server ended with %w", err)
	}
	return nil
}
