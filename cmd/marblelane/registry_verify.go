package main

import (
	"fmt"

	"marblelane/internal/registry/recovery"
)

// registryVerify checks the folder of a stopped replica.
type registryVerify struct {
	Dir string `arg:"" help:"Folder of a stopped replica." type:"path"`
}

// Run reads the folder without changing it. The exit code is 1 if a replica must not start from it.
func (c *registryVerify) Run(a *app) error {
	report, err := recovery.Verify(c.Dir)
	if err != nil {
		return fmt.Errorf("verify: %w", err)
	}
	if err := report.Print(a.out); err != nil {
		return fmt.Errorf("verify: %w", err)
	}
	if !report.Sound() {
		return exitError(exitFail)
	}
	return nil
}
