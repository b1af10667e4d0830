package main

import (
	"fmt"

	"marblelane/internal/registry/recovery"
)

// registryVerify checks the folder of a copy that does not run.
type registryVerify struct {
	Dir string `arg:"" help:"Folder of a copy that does not run." type:"path"`
}

// Run reads the folder and changes nothing; it ends with 1 where a copy must not start from it.
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
