package main

import "fmt"

// membersLeave makes a process leave its fleet.
type membersLeave struct{ memberProcess }

func (c *membersLeave) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.Leave(a.ctx, c.Addr); err != nil {
		return c.withAddr(err)
	}
	fmt.Fprintf(a.out, "%s is leaving\n", c.Addr)
	return nil
}
