package main

import (
	"marblelane/internal/lab/experiment/scale"
	"marblelane/internal/lab/harness"
)

// labScale measures the resource use of fleets of several sizes.
type labScale struct {
	sidecarProgram
	Scenario string `help:"Scenario whose fleet size is varied." default:"scale"`
	Sidecars []int  `help:"Numbers of sidecars." default:"3,30,100"`
	Servers  []int  `help:"Numbers of stand-in servers." default:"10,100,1000"`
	JSON     bool   `help:"Print JSON instead of the table." name:"json"`
}

func (c *labScale) Run(a *app) error {
	s, path, done, err := c.loadAndFind(a, c.Scenario)
	if err != nil {
		return err
	}
	defer done()
	points, err := scale.Measure(a.ctx, s, c.Sidecars, c.Servers, harness.Options{Program: path, Log: a.log, Progress: a.errOut})
	if err != nil {
		return err
	}
	return printResult(a, c.JSON, points, scale.Print)
}
