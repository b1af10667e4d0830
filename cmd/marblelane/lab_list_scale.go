package main

import (
	"errors"
	"slices"

	"marblelane/internal/lab/experiment/listscale"
	"marblelane/internal/lab/harness"
)

// labListScale measures the list service with increasing numbers of watchers and entries.
type labListScale struct {
	Watchers []int `help:"Numbers of watchers." default:"10,100,1000"`
	Entries  []int `help:"Numbers of entries." default:"200,2000"`
	JSON     bool  `help:"Print JSON instead of the table." name:"json"`
}

func (c *labListScale) Run(a *app) error {
	if slices.Min(append(c.Watchers, c.Entries...)) < 2 {
		return errors.New("--watchers and --entries must be at least 2")
	}
	self, err := selfProgram()
	if err != nil {
		return err
	}
	points, err := listscale.Measure(a.ctx, c.Watchers, c.Entries, harness.Options{RegistryProgram: self, Progress: a.errOut})
	if err != nil {
		return err
	}
	return printResult(a, c.JSON, points, listscale.Print)
}
