package main

// registryDrain marks a server Terminating.
type registryDrain struct {
	replicaClient
	UID string `arg:"" help:"Name of the server."`
	If  int64  `help:"Apply only if the last change of the entry has this revision; -1 applies always." default:"-1"`
}

func (c *registryDrain) Run(a *app) error {
	return c.printResponse(a, "POST", instancePath(c.UID, "/drain", c.If), nil)
}
