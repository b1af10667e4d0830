package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"marblelane/internal/registry"
)

// registryServe runs one copy of the list service.
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
	fmt.Fprintf(a.out, "ready name=%s listen=%s raft=%s\n", cfg.Name, supervisor.Node().Addr(), cfg.RaftListen)
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
