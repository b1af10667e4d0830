package main

// registryRemove takes a server off the list.
type registryRemove struct {
	replicaClient
	UID string `arg:"" help:"The server's name."`
	If  int64  `help:"Only if its last change has this revision; -1: in any case." default:"-1"`
}

func (c *registryRemove) Run(a *app) error {
	return c.printResponse(a, "DELETE", instancePath(c.UID, "", c.If), nil)
}
