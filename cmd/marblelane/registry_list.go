package main

// registryList prints the whole list.
type registryList struct{ replicaClient }

func (c *registryList) Run(a *app) error { return c.printResponse(a, "GET", instancesPath, nil) }
