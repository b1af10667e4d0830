package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"marblelane/internal/registry"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

type registryCmd struct {
	Serve       registryServe       `cmd:"" help:"Serve one copy of the list service."`
	Status      registryStatus      `cmd:"" help:"Show what a copy says of itself, and of each copy what membership says."`
	List        registryList        `cmd:"" help:"Print the whole list."`
	Watch       registryWatch       `cmd:"" help:"Print each change as it comes."`
	Put         registryPut         `cmd:"" help:"Register a server, or change its entry."`
	Drain       registryDrain       `cmd:"" help:"Mark a server Terminating."`
	Remove      registryRemove      `cmd:"" help:"Take a server off the list."`
	AddCopy     registryAddCopy     `cmd:"" help:"Make a copy that was started with join a member of the cluster."`
	RemoveCopy  registryRemoveCopy  `cmd:"" help:"Take a copy out of the cluster, a dead one too."`
	ReplaceCopy registryReplaceCopy `cmd:"" help:"Put a copy that was started with join in another's place, as far as a majority stays."`
	Snapshot    registrySnapshot    `cmd:"" help:"Write the whole state to a file, as a backup."`
}

type registryServe struct {
	Config string `help:"Configuration of this copy, in TOML." required:"" type:"path" placeholder:"FILE"`
}

func (c *registryServe) Run(a *app) error {
	cfg, err := registry.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	cfg.Log = a.log
	supervisor, err := registry.Supervise(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "ready name=%s listen=%s raft=%s\n", cfg.Name, supervisor.Node().Addr(), cfg.Raft)
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reload:
				fresh, err := registry.LoadConfig(c.Config)
				if err != nil {
					a.log.Error("reload: the configuration stays as it was", "error", err)
					continue
				}
				a.log.Info("reload: rates, times, shares and the operators' file are taken in; names, addresses and folder need a new start")
				supervisor.Reload(fresh.Options)
			}
		}
	}()
	return supervisor.Run(ctx)
}

// remote is the copy to query.
type remote struct {
	Addr string        `help:"Address of a copy." default:"127.0.0.1:8500" placeholder:"HOST:PORT"`
	Wait time.Duration `help:"How long an answer may take." default:"10s"`
}

// call asks the copy and gives the body of a good answer.
func (r *remote) call(a *app, method, path string, body []byte) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(a.ctx, method, "http://"+r.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("--addr %s: %w", r.Addr, err)
	}
	client := &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: r.Wait, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("--addr %s: %w", r.Addr, err)
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return nil, fmt.Errorf("%s answers %s: %s", r.Addr, resp.Status, bytes.TrimSpace(text))
	}
	return resp.Body, nil
}

// show asks and prints the answer.
func (r *remote) show(a *app, method, path string, body []byte) error {
	answer, err := r.call(a, method, path, body)
	if err != nil {
		return err
	}
	defer answer.Close()
	if _, err := io.Copy(a.out, answer); err != nil && a.ctx.Err() == nil {
		return fmt.Errorf("--addr %s: %w", r.Addr, err)
	}
	return nil
}

const instances = "/registry/instances"

// of is the path of one entry, on a condition if there is one.
func of(uid, what string, condition int64) string {
	path := instances + "/" + url.PathEscape(uid) + what
	if condition >= 0 {
		path += "?if=" + strconv.FormatInt(condition, 10)
	}
	return path
}

type registryStatus struct{ remote }

func (c *registryStatus) Run(a *app) error { return c.show(a, "GET", "/registry/status", nil) }

type registryList struct{ remote }

func (c *registryList) Run(a *app) error { return c.show(a, "GET", instances, nil) }

type registryWatch struct {
	remote
	After int64 `help:"Revision after which changes are wanted; -1: begin with the whole list." default:"-1"`
}

func (c *registryWatch) Run(a *app) error {
	return c.show(a, "GET", fmt.Sprintf("%s?watch=1&after=%d", instances, c.After), nil)
}

type registryPut struct {
	remote
	UID      string        `arg:"" help:"The server's name, its own and lasting."`
	Endpoint string        `arg:"" help:"HOST:PORT at which it serves."`
	Zone     string        `help:"Its zone."`
	Model    string        `help:"Its kind of machine."`
	Pod      int           `help:"Its pod group."`
	Boot     int64         `help:"When it started, as Unix time in milliseconds; 0: long ago."`
	Capacity float64       `help:"Its relative size." default:"1"`
	Lease    time.Duration `help:"It is taken off the list unless it is renewed within this time; 0: never."`
	If       int64         `help:"Only if its last change has this revision (0: it is not listed); -1: in any case." default:"-1"`
}

func (c *registryPut) Run(a *app) error {
	body, err := json.Marshal(map[string]any{"uid": c.UID, "endpoint": c.Endpoint, "az": c.Zone, "model": c.Model,
		"pod_group": c.Pod, "state": state.Ready, "capacity_hint": c.Capacity, "boot_ms": c.Boot, "lease_ms": c.Lease.Milliseconds()})
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	return c.show(a, "POST", of(c.UID, "", c.If), body)
}

type registryDrain struct {
	remote
	UID string `arg:"" help:"The server's name."`
	If  int64  `help:"Only if its last change has this revision; -1: in any case." default:"-1"`
}

func (c *registryDrain) Run(a *app) error { return c.show(a, "POST", of(c.UID, "/drain", c.If), nil) }

type registryRemove struct {
	remote
	UID string `arg:"" help:"The server's name."`
	If  int64  `help:"Only if its last change has this revision; -1: in any case." default:"-1"`
}

func (c *registryRemove) Run(a *app) error { return c.show(a, "DELETE", of(c.UID, "", c.If), nil) }

type registryAddCopy struct {
	remote
	Name  string `arg:"" help:"The copy's name."`
	Raft  string `arg:"" help:"HOST:PORT where it talks to the other copies."`
	Serve string `arg:"" help:"HOST:PORT where it serves."`
}

func (c *registryAddCopy) Run(a *app) error {
	body, err := json.Marshal(listserver.Peer{Raft: c.Raft, Serve: c.Serve})
	if err != nil {
		return fmt.Errorf("add-copy: %w", err)
	}
	return c.show(a, "POST", "/registry/copies/"+url.PathEscape(c.Name), body)
}

type registryRemoveCopy struct {
	remote
	Name string `arg:"" help:"The copy's name."`
}

func (c *registryRemoveCopy) Run(a *app) error {
	return c.show(a, "DELETE", "/registry/copies/"+url.PathEscape(c.Name), nil)
}

type registrySnapshot struct {
	remote
	File string `arg:"" help:"File to write; it must not be there yet." type:"path"`
}

func (c *registrySnapshot) Run(a *app) error {
	if _, err := os.Stat(c.File); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: is there already", c.File)
	}
	answer, err := c.call(a, "GET", "/registry/snapshot", nil)
	if err != nil {
		return err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	if err != nil {
		return fmt.Errorf("--addr %s: %w", c.Addr, err)
	}
	if !json.Valid(data) {
		return fmt.Errorf("--addr %s: the snapshot was cut short", c.Addr)
	}
	temp, err := os.CreateTemp(filepath.Dir(c.File), ".snapshot-")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer os.Remove(temp.Name())
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := os.Link(temp.Name(), c.File); err != nil { // fails where the file has appeared meanwhile
		return fmt.Errorf("snapshot: %w", err)
	}
	fmt.Fprintf(a.out, "%d bytes in %s\n", len(data), c.File)
	return nil
}
