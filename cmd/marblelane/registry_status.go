package main

// registryStatus prints the status of a replica.
type registryStatus struct{ replicaClient }

func (c *registryStatus) Run(a *app) error { return c.printResponse(a, "GET", "/registry/status", nil) }
