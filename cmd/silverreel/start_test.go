package main

import (
	"net"
	"os/exec"
	"syscall"
	"testing"
)

// startOn starts the program with an address that is held by the test, and waits until it has failed to bind it.
func startOn(t *testing.T, holder net.Listener) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd, _ := program(t, `{"listen":"`+holder.Addr().String()+`","discovery":"127.0.0.1:1","seed":"1","settings":
		{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`)
	cmd.Stderr = nil
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log := lines(stderr)
	waitFor(t, log, "trying again", "address already in use")
	return cmd, log
}

func endOf(t *testing.T, cmd *exec.Cmd, log <-chan string) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range log { // up to its end
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

func holdAddress(t *testing.T) net.Listener {
	t.Helper()
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { holder.Close() })
	return holder
}

func TestStartWaitsForItsAddress(t *testing.T) {
	holder := holdAddress(t)
	cmd, log := startOn(t, holder)
	holder.Close()
	waitFor(t, log, "ready", holder.Addr().String())
	endOf(t, cmd, log)
}

func TestTermEndsAStartThatWaits(t *testing.T) {
	cmd, log := startOn(t, holdAddress(t))
	endOf(t, cmd, log)
}
