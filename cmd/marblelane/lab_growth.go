package main

import (
	"errors"
	"time"

	"marblelane/internal/lab/experiment/growth"
)

// labGrowth measures what a sidecar needs in a large fleet.
type labGrowth struct {
	sidecarProgram
	Sidecars          int     `help:"Sidecars of the large fleet." default:"900"`
	Servers           int     `help:"Servers of the large fleet." default:"3200"`
	SimulatedSidecars int     `help:"Sidecars of the large simulated fleet; 0: as --sidecars." placeholder:"N"`
	SimulatedServers  int     `help:"Servers of the large simulated fleet; 0: as --servers." placeholder:"N"`
	Seconds           float64 `help:"Length of a day of one real sidecar." default:"20"`
	DaySeconds        float64 `help:"Length of the simulated day." default:"20"`
	Rate              float64 `help:"Requests a second of each sidecar." default:"20"`
	Replaced          float64 `help:"Share of the servers that are replaced over the day." default:"0.6"`
	Steps             int     `help:"Steps of a day in which they are replaced." default:"20"`
	Rounds            int     `help:"Pairs of days of one real sidecar, of which the medians count." default:"3"`
	JSON              bool    `help:"Print JSON in place of the table." name:"json"`
	Quiet             bool    `help:"No progress on standard error."`
}

// growthConnections are those of the clients of the real sidecar.
const growthConnections = 8

// Run prints the growth table, and fails where a bound is broken.
func (c *labGrowth) Run(a *app) error {
	if c.SimulatedSidecars < 0 || c.SimulatedServers < 0 {
		return errors.New("--simulated-sidecars or --simulated-servers is negative")
	}
	path, done, err := c.findProgram(a)
	if err != nil {
		return err
	}
	defer done()
	o := growth.Options{
		Program: path, Usual: growth.UsualSize, Large: growth.Size{Sidecars: c.Sidecars, Servers: c.Servers},
		Length:    time.Duration(c.Seconds * float64(time.Second)),
		DayLength: time.Duration(c.DaySeconds * float64(time.Second)),
		Rate:      c.Rate, Connections: growthConnections, ReplacedFraction: c.Replaced, Steps: c.Steps,
		Rounds: c.Rounds,
	}
	o.Simulated = growth.Sizes{Usual: o.Usual, Large: o.Large}
	if c.SimulatedSidecars > 0 {
		o.Simulated.Large.Sidecars = c.SimulatedSidecars
	}
	if c.SimulatedServers > 0 {
		o.Simulated.Large.Servers = c.SimulatedServers
	}
	if !c.Quiet {
		o.Progress = a.errOut
	}
	result, err := growth.Measure(a.ctx, o)
	if err != nil {
		return err
	}
	if err := printResult(a, c.JSON, result, growth.Print); err != nil {
		return err
	}
	if len(result.Exceeded()) > 0 {
		return exitError(exitFail)
	}
	return nil
}
