package main

import "net/url"

// registryRemoveCopy removes a replica from the cluster.
type registryRemoveCopy struct {
	replicaClient
	Name string `arg:"" help:"Name of the replica."`
}

func (c *registryRemoveCopy) Run(a *app) error {
	return c.printResponse(a, "DELETE", "/registry/copies/"+url.PathEscape(c.Name), nil)
}
