package main

import (
	"errors"
	"io"
	"slices"

	"marblelane/internal/lab/experiment/routescale"
	"marblelane/internal/lab/harness"
	rolloutmodel "marblelane/internal/rollout/model"
)

// labRouteScale measures routes with increasing numbers of sidecars.
type labRouteScale struct {
	Sidecars  []int `help:"Numbers of sidecars, in this process, with three real replicas of the list service." default:"10,100,300"`
	Simulated []int `help:"Numbers of simulated sidecars." default:"1000"`
	JSON      bool  `help:"Print JSON instead of the table." name:"json"`
}

func (c *labRouteScale) Run(a *app) error {
	if slices.ContainsFunc(append(slices.Clone(c.Sidecars), c.Simulated...), func(n int) bool { return n < 1 || n > 5000 }) {
		return errors.New("--sidecars and --simulated must be between 1 and 5000")
	}
	self, err := selfProgram()
	if err != nil {
		return err
	}
	points, err := routescale.Measure(a.ctx, c.Sidecars, harness.Options{RegistryProgram: self, Progress: a.errOut})
	if err != nil {
		return err
	}
	if err := printResult(a, c.JSON, points, routescale.Print); err != nil {
		return err
	}
	for _, n := range c.Simulated {
		r, err := routescale.Simulate(n)
		if err != nil {
			return err
		}
		if err := printResult(a, c.JSON, r, func(w io.Writer, r *rolloutmodel.Result) { routescale.PrintSimulation(w, n, r) }); err != nil {
			return err
		}
	}
	return nil
}
