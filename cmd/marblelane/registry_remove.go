package main

// registryRemove removes a server from the list.
type registryRemove struct {
	replicaClient
	UID string `arg:"" help:"Name of the server."`
	If  int64  `help:"Apply only if the last change of the entry has this revision; -1 applies always." default:"-1"`
}

func (c *registryRemove) Run(a *app) error {
	return c.printResponse(a, "DELETE", instancePath(c.UID, "", c.If), nil)
}
