package main

// registryStatus prints what a copy says of itself.
type registryStatus struct{ registryCopy }

func (c *registryStatus) Run(a *app) error { return c.printAnswer(a, "GET", "/registry/status", nil) }
