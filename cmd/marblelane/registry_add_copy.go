package main

import (
	"encoding/json"
	"fmt"
	"net/url"

	"marblelane/internal/registry/listserver"
)

// registryAddCopy makes a copy a member of the cluster.
type registryAddCopy struct {
	replicaClient
	Name  string `arg:"" help:"The copy's name."`
	Raft  string `arg:"" help:"HOST:PORT where it talks to the other copies."`
	Serve string `arg:"" help:"HOST:PORT where it serves."`
}

func (c *registryAddCopy) Run(a *app) error {
	body, err := json.Marshal(listserver.Peer{Raft: c.Raft, Serve: c.Serve})
	if err != nil {
		return fmt.Errorf("add-copy: %w", err)
	}
	return c.printResponse(a, "POST", "/registry/copies/"+url.PathEscape(c.Name), body)
}
