package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"marblelane/internal/registry"
)

// registryServe runs a replica of the list service.
type registryServe struct {
	Config string `help:"Configuration of this replica, in TOML." required:"" type:"path" placeholder:"FILE"`
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
					a.log.Error("reload: failed to read the configuration, keeping the current one", "error", err)
					continue
				}
				a.log.Info("reload: applied rates, times, shares and the operators' file; changed names, addresses or folder require a restart")
				supervisor.Reload(fresh.Options)
			}
		}
	}()
	return supervisor.Run(ctx)
}
