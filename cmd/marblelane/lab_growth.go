package main

import (
	"errors"
	"time"

	"marblelane/internal/lab/experiment/growth"
)

// labGrowth measures the resource use of a sidecar in a large fleet.
type labGrowth struct {
	sidecarProgram
	Sidecars          int     `help:"Number of sidecars in the large fleet." default:"900"`
	Servers           int     `help:"Number of servers in the large fleet." default:"3200"`
	SimulatedSidecars int     `help:"Number of sidecars in the large simulated fleet; 0 uses --sidecars." placeholder:"N"`
	SimulatedServers  int     `help:"Number of servers in the large simulated fleet; 0 uses --servers." placeholder:"N"`
	Seconds           float64 `help:"Length in seconds of a day of one real sidecar." default:"20"`
	DaySeconds        float64 `help:"Length in seconds of the simulated day." default:"20"`
	Rate              float64 `help:"Requests per second of each sidecar." default:"20"`
	Replaced          float64 `help:"Fraction of the servers that is replaced during the day." default:"0.6"`
	Steps             int     `help:"Number of steps of a day in which servers are replaced." default:"20"`
	Rounds            int     `help:"Number of pairs of days of one real sidecar; the medians are reported." default:"3"`
	JSON              bool    `help:"Print JSON instead of the table." name:"json"`
	Quiet             bool    `help:"Print no progress on standard error."`
}

// growthConnections is the number of client connections to the real sidecar.
const growthConnections = 8

// Run prints the growth table and fails if a bound is exceeded.
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
