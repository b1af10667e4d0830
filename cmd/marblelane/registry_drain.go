package main

// registryDrain marks a server Terminating.
type registryDrain struct {
	replicaClient
	UID string `arg:"" help:"The server's name."`
	If  int64  `help:"Only if its last change has this revision; -1: in any case." default:"-1"`
}

func (c *registryDrain) Run(a *app) error {
	return c.printResponse(a, "POST", instancePath(c.UID, "/drain", c.If), nil)
}
