package main

// This file finds the sidecar's program and reads scenarios, for the commands of the lab.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"marblelane/internal/lab/scenario"
	"marblelane/lab/scenarios"
)

// program names the sidecar that runs play.
type program struct {
	Sidecar string `help:"The sidecar's program; else the one beside this command, in bin/, in PATH, or built from the source in this folder." type:"path" placeholder:"FILE"`
}

// find gives the sidecar's program; done removes what was built.
func (p *program) find(a *app) (path string, done func(), err error) {
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
		return "", done, errors.New("no sidecar beside this command, in bin/ or in PATH: name one with --sidecar, or build it")
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

func executable(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%s is no program", path)
	}
	return nil
}

// ready reads a scenario and finds the sidecar's program for it.
func (p *program) ready(a *app, name string) (s *scenario.Scenario, path string, done func(), err error) {
	if s, err = load(name); err != nil {
		return nil, "", nil, err
	}
	path, done, err = p.find(a)
	return s, path, done, err
}

// load reads a scenario: one that comes with the program by its name, any other by its file.
//
// NAME~KIND is a scenario without its faults of the kinds that begin with KIND: what it would be if they were not there.
func load(name string) (*scenario.Scenario, error) {
	if complete, kind, cut := strings.Cut(name, "~"); cut {
		s, err := load(complete)
		if err != nil {
			return nil, err
		}
		before := len(s.Faults)
		s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return strings.HasPrefix(f.Kind, kind) })
		if len(s.Faults) == before {
			return nil, fmt.Errorf("%s has no fault of a kind that begins with %q", complete, kind)
		}
		return s, nil
	}
	if strings.HasSuffix(name, ".toml") {
		return scenario.Read(name)
	}
	s, err := scenarios.Load(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("there is no scenario %q: `marblelane lab list` lists them; a file of your own ends in .toml", name)
	}
	return s, err
}
