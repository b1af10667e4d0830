package main

import (
	"marblelane/internal/lab/experiment/overhead"
	"marblelane/internal/lab/harness"
)

// labOverhead measures the latency that the lab adds to a response.
type labOverhead struct {
	sidecarProgram
	Scenario string `help:"Scenario with a fixed work per request and no faults." default:"overhead"`
	JSON     bool   `help:"Print JSON instead of the table." name:"json"`
}

func (c *labOverhead) Run(a *app) error {
	s, path, done, err := c.loadAndFind(a, c.Scenario)
	if err != nil {
		return err
	}
	defer done()
	ways, err := overhead.Measure(a.ctx, s, harness.Options{Program: path, Log: a.log})
	if err != nil {
		return err
	}
	return printResult(a, c.JSON, ways, overhead.Print)
}
