package main

import (
	"marblelane/internal/lab/experiment/overhead"
	"marblelane/internal/lab/harness"
)

// labOverhead measures what the lab adds to the time of an answer.
type labOverhead struct {
	sidecarProgram
	Scenario string `help:"A scenario of fixed work and no faults." default:"overhead"`
	JSON     bool   `help:"Print JSON in place of the table." name:"json"`
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
