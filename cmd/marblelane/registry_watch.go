package main

import "fmt"

// registryWatch prints each change of the list.
type registryWatch struct {
	replicaClient
	After int64 `help:"Print the changes after this revision; -1 begins with the whole list." default:"-1"`
}

func (c *registryWatch) Run(a *app) error {
	return c.printResponse(a, "GET", fmt.Sprintf("%s?watch=1&after=%d", instancesPath, c.After), nil)
}
