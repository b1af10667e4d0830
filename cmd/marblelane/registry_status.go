package main

// registryStatus prints what a copy says of itself.
type registryStatus struct{ replicaClient }

func (c *registryStatus) Run(a *app) error { return c.printResponse(a, "GET", "/registry/status", nil) }
