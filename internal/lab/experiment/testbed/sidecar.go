// Package testbed starts single sidecars, each with its own configuration, and sends requests to them. It is the base
// of the experiments that measure the resources one sidecar uses.
package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/scenario"
)

// Sidecar is a running sidecar process that is ready to serve.
type Sidecar struct {
	*process.Child
	Listen        string        // address at which clients connect
	Management    string        // address of the management listener
	StartDuration time.Duration // time from the start of the process until it was ready
}

// Start starts a sidecar and waits until it is ready.
func Start(ctx context.Context, children *process.Supervisor, spec process.Spec) (*Sidecar, error) {
	start := time.Now()
	child, err := children.Start(spec)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	line, err := child.AwaitLog(ctx, harness.ReadyText)
	if err != nil {
		child.Kill()
		return nil, err
	}
	return &Sidecar{Child: child, StartDuration: time.Since(start), Listen: logValue(line, "listen"),
		Management: logValue(line, "management")}, nil
}

// logValue returns the value of a key in a log line of words of the form key=value, or an empty string if the line has
// no such key.
func logValue(line, key string) string {
	for _, word := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(word, key+"="); ok {
			return v
		}
	}
	return ""
}

// Stop sends SIGTERM to a sidecar, so that it leaves its fleet, and kills it if it has not ended after
// harness.StopTimeout.
func (s *Sidecar) Stop() {
	_ = s.Signal(syscall.SIGTERM) // fails only if the sidecar has ended
	kill := time.NewTimer(harness.StopTimeout)
	defer kill.Stop()
	select {
	case <-s.Ended():
	case <-kill.C:
		s.Kill()
	}
}

// BaseConfig returns a sidecar's configuration with the limits of a scenario. The sidecar listens on loopback ports
// that the system chooses.
func BaseConfig(s *scenario.Scenario, seed uint64, discovery string, settings map[string]any) map[string]any {
	return map[string]any{
		"listen": "127.0.0.1:0", "management": "127.0.0.1:0", "discovery": discovery,
		"seed": strconv.FormatUint(seed, 16), "settings": settings,
		"limits": map[string]any{"cores": s.Sidecars.Cores, "memory_mb": s.Sidecars.MemoryMB, "sockets": s.Sidecars.MaxSockets},
	}
}

// Launcher starts sidecars that share most of their configuration.
type Launcher struct {
	Children       *process.Supervisor
	Dir            string          // folder for the files of the sidecars
	MaxDescriptors int             // limit of open file descriptors of each sidecar; 0: the lab's own limit
	Config         json.RawMessage // configuration of all sidecars, before patches

	launchCount int // number of Launch calls; makes the folder of each sidecar unique
}

// Launch starts a sidecar and waits until it is ready. Its configuration is the common one, into which the patches are
// merged in order.
func (l *Launcher) Launch(ctx context.Context, name, program string, patches ...any) (*Sidecar, error) {
	config := l.Config
	for _, patch := range append([]any{map[string]any{"name": name}}, patches...) {
		var err error
		if config, err = mergePatch(config, patch); err != nil {
			return nil, err
		}
	}
	l.launchCount++
	dir := filepath.Join(l.Dir, fmt.Sprintf("%s-%d", name, l.launchCount))
	temp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(temp, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, config, 0o644); err != nil {
		return nil, err
	}
	return Start(ctx, l.Children, process.Spec{Name: name, Path: program, Dir: dir, MaxDescriptors: l.MaxDescriptors,
		Env: []string{"NODE_CONFIG=" + file, "TMPDIR=" + temp}})
}
