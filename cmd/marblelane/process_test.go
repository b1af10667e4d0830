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

// marblelane is the built program with arguments, which is not started yet.
func marblelane(args ...string) *exec.Cmd {
	return exec.Command(filepath.Join(programs, "marblelane"), args...)
}

// execute runs the built program to its end.
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

// startUntil starts a program and waits until a line of one of its outputs holds a text; it gives that line. What
// follows is read and dropped.
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

// valueOf gives what follows a key in a line of a log, up to the next blank.
func valueOf(line, key string) string {
	_, after, _ := strings.Cut(line, key)
	value, _, _ := strings.Cut(after, " ")
	return value
}

// sendSignal sends a signal to a program that runs.
func sendSignal(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	require.NoError(t, cmd.Process.Signal(signal))
}
