package main

import (
	"encoding/json"
	"fmt"
	"time"

	"marblelane/internal/registry/state"
)

// registryPut registers a server or changes its entry.
type registryPut struct {
	replicaClient
	UID      string        `arg:"" help:"The server's name, its own and lasting."`
	Endpoint string        `arg:"" help:"HOST:PORT at which it serves."`
	Zone     string        `help:"Its zone." placeholder:"NAME"`
	Model    string        `help:"Its kind of machine." placeholder:"NAME"`
	Pod      int           `help:"Its pod group." placeholder:"N"`
	Boot     int64         `help:"When it started, as Unix time in milliseconds; 0: long ago." placeholder:"N"`
	Capacity float64       `help:"Its relative size." default:"1"`
	Lease    time.Duration `help:"It is taken off the list unless it is renewed within this time; 0: never." placeholder:"TIME"`
	If       int64         `help:"Only if its last change has this revision (0: it is not listed); -1: in any case." default:"-1"`
}

func (c *registryPut) Run(a *app) error {
	body, err := json.Marshal(map[string]any{"uid": c.UID, "endpoint": c.Endpoint, "az": c.Zone, "model": c.Model,
		"pod_group": c.Pod, "state": state.Ready, "capacity_hint": c.Capacity, "boot_ms": c.Boot, "lease_ms": c.Lease.Milliseconds()})
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	return c.printResponse(a, "POST", instancePath(c.UID, "", c.If), body)
}
