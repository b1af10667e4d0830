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
	UID      string        `arg:"" help:"Unique name of the server, the same across restarts."`
	Endpoint string        `arg:"" help:"HOST:PORT at which the server accepts requests."`
	Zone     string        `help:"Zone of the server." placeholder:"NAME"`
	Model    string        `help:"Machine model of the server." placeholder:"NAME"`
	Pod      int           `help:"Pod group of the server." placeholder:"N"`
	Boot     int64         `help:"When the server started, as Unix time in milliseconds; 0 means long ago." placeholder:"N"`
	Capacity float64       `help:"Relative capacity of the server." default:"1"`
	Lease    time.Duration `help:"Time without a renewal after which the server is removed from the list; 0 means never." placeholder:"TIME"`
	If       int64         `help:"Apply only if the last change of the entry has this revision (0: not listed); -1 applies always." default:"-1"`
}

func (c *registryPut) Run(a *app) error {
	body, err := json.Marshal(map[string]any{"uid": c.UID, "endpoint": c.Endpoint, "az": c.Zone, "model": c.Model,
		"pod_group": c.Pod, "state": state.Ready, "capacity_hint": c.Capacity, "boot_ms": c.Boot, "lease_ms": c.Lease.Milliseconds()})
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	return c.printResponse(a, "POST", instancePath(c.UID, "", c.If), body)
}
