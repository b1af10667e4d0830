package main

import (
	"encoding/json"
	"fmt"
	"net/url"

	"marblelane/internal/registry/listserver"
)

// registryAddCopy adds a replica to the cluster.
type registryAddCopy struct {
	replicaClient
	Name  string `arg:"" help:"Name of the replica."`
	Raft  string `arg:"" help:"HOST:PORT of the replica's raft traffic."`
	Serve string `arg:"" help:"HOST:PORT where the replica serves the list."`
}

func (c *registryAddCopy) Run(a *app) error {
	body, err := json.Marshal(listserver.Peer{Raft: c.Raft, Serve: c.Serve})
	if err != nil {
		return fmt.Errorf("add-copy: %w", err)
	}
	return c.printResponse(a, "POST", "/registry/copies/"+url.PathEscape(c.Name), body)
}
