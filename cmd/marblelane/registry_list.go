package main

// registryList prints the whole list.
type registryList struct{ registryCopy }

func (c *registryList) Run(a *app) error { return c.printAnswer(a, "GET", instancesPath, nil) }
