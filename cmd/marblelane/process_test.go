package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// marblelane returns a command, not yet started, for the built program with these arguments.
func marblelane(args ...string) *exec.Cmd {
	return exec.Command(filepath.Join(programs, "marblelane"), args...)
}

// execute runs the built program until it exits.
func execute(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	cmd := marblelane(args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// startProcess starts a program that ends with the test at the latest.
func startProcess(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
}

// startUntil starts a program, waits until a line of one of its outputs contains a text and returns that line. Later
// output is read and discarded.
func startUntil(t *testing.T, cmd *exec.Cmd, pipe func() (io.ReadCloser, error), text string) (line string) {
	t.Helper()
	output, err := pipe()
	require.NoError(t, err)
	startProcess(t, cmd)
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			line = lines.Text()
			go func() {
				for lines.Scan() {
				}
			}()
			return line
		}
	}
	t.Fatalf("%s ended without a line with %q: %v", cmd.Path, text, lines.Err())
	return ""
}

// valueOf returns the text after a key in a log line, up to the next space.
func valueOf(line, key string) string {
	_, after, _ := strings.Cut(line, key)
	value, _, _ := strings.Cut(after, " ")
	return value
}

// sendSignal sends a signal to a running program.
func sendSignal(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	require.NoError(t, cmd.Process.Signal(signal))
}
