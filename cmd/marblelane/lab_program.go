package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"marblelane/internal/lab/scenario"
)

// sidecarProgram is the flag that names the sidecar program of a run.
type sidecarProgram struct {
	Sidecar string `help:"Sidecar program; by default the one beside this command, in bin/, in PATH, or built from the source in this folder." type:"path" placeholder:"FILE"`
}

// findProgram returns the path of the sidecar program. done removes a program that was built.
func (p *sidecarProgram) findProgram(a *app) (path string, done func(), err error) {
	done = func() {}
	if p.Sidecar != "" {
		if err := executable(p.Sidecar); err != nil {
			return "", done, fmt.Errorf("--sidecar: %w", err)
		}
		return p.Sidecar, done, nil
	}
	var places []string
	if self, err := os.Executable(); err == nil {
		places = append(places, filepath.Join(filepath.Dir(self), "sidecar"))
	}
	for _, place := range append(places, filepath.Join("bin", "sidecar")) {
		if executable(place) == nil {
			path, err := filepath.Abs(place)
			return path, done, err
		}
	}
	if path, err := exec.LookPath("sidecar"); err == nil {
		return path, done, nil
	}
	if text, err := os.ReadFile("go.mod"); err != nil || !strings.HasPrefix(string(text), "module marblelane\n") {
		return "", done, errors.New("find sidecar: none beside this command, in bin/ or in PATH; name one with --sidecar, or build it")
	}
	dir, err := os.MkdirTemp("", "marblelane-build-")
	if err != nil {
		return "", done, fmt.Errorf("build sidecar: %w", err)
	}
	done = func() { os.RemoveAll(dir) }
	fmt.Fprintln(a.errOut, "building sidecar ...")
	path = filepath.Join(dir, "sidecar")
	build := exec.CommandContext(a.ctx, "go", "build", "-o", path, "./cmd/sidecar")
	build.Stderr = a.errOut
	if err := build.Run(); err != nil {
		done()
		return "", func() {}, fmt.Errorf("build sidecar: %w", err)
	}
	return path, done, nil
}

// executable returns an error unless path is a file that may be executed.
func executable(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%s is not an executable file", path)
	}
	return nil
}

// loadAndFind reads a scenario and finds the sidecar program. done removes a program that was built.
func (p *sidecarProgram) loadAndFind(a *app, name string) (s *scenario.Scenario, path string, done func(), err error) {
	if s, err = loadScenario(name); err != nil {
		return nil, "", nil, err
	}
	path, done, err = p.findProgram(a)
	return s, path, done, err
}

// selfProgram returns the path of this program, with which the lab starts replicas of the list service.
func selfProgram() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the program for list service replicas: %w", err)
	}
	return path, nil
}
