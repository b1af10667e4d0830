package main

import "net/url"

// registryRemoveCopy takes a copy out of the cluster.
type registryRemoveCopy struct {
	replicaClient
	Name string `arg:"" help:"The copy's name."`
}

func (c *registryRemoveCopy) Run(a *app) error {
	return c.printResponse(a, "DELETE", "/registry/copies/"+url.PathEscape(c.Name), nil)
}
