package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"marblelane/internal/lab/experiment/memberscale"
)

// labMembersScale measures membership with increasing numbers of members.
type labMembersScale struct {
	Members []int         `help:"Fleet sizes; default 10 to 300, with --quick 3 and 6, with --program 10 to 100. Size 1000 needs 10 GB of memory and --total 10m." placeholder:"N"`
	Total   time.Duration `help:"Time limit of the whole experiment, without --program; 0 allows a few minutes." default:"0s"`
	Seed    uint64        `help:"Seed of the packet loss of the network." default:"1"`
	Quick   bool          `help:"Use small fleets and short times, to check only that the experiment works."`
	Program string        `help:"Measure idle processes of this sidecar program, with and without the section members, instead of simulated groups." type:"path" placeholder:"FILE"`
	Window  time.Duration `help:"How long each set of processes is measured." default:"10s"`
	JSON    bool          `help:"Print JSON instead of the table." name:"json"`
	Report  string        `help:"Folder for members-scale.json." type:"path" placeholder:"DIR"`
}

func (c *labMembersScale) Run(a *app) error {
	m := memberscale.Default(c.Quick)
	m.Seed, m.Progress = c.Seed, a.errOut
	if c.Program != "" {
		m.Sizes = []int{10, 50, 100}
	}
	if len(c.Members) > 0 {
		m.Sizes = c.Members
	}
	if slices.ContainsFunc(m.Sizes, func(n int) bool { return n < 2 || n > 4000 }) {
		return errors.New("--members must be between 2 and 4000")
	}
	if c.Total > 0 {
		m.TotalTimeout = c.Total
	}
	r, err := c.measure(a, &m)
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := saveJSON(c.Report, "members-scale.json", r); err != nil {
			return err
		}
	}
	return printResult(a, c.JSON, r, memberscale.Print)
}

// measure runs the simulated groups, or real processes if --program is set.
func (c *labMembersScale) measure(a *app, m *memberscale.Experiment) (*memberscale.Result, error) {
	if c.Program == "" {
		return m.Run(a.ctx)
	}
	if err := executable(c.Program); err != nil {
		return nil, fmt.Errorf("--program: %w", err)
	}
	s, err := loadScenario("scale")
	if err != nil {
		return nil, err
	}
	return m.MeasureProcesses(a.ctx, s, c.Program, c.Window)
}
