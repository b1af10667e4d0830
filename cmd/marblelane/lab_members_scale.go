package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"marblelane/internal/lab/experiment/memberscale"
)

// labMembersScale measures membership with more and more members.
type labMembersScale struct {
	Members []int         `help:"Sizes of fleets; else 10 to 300, with --quick 3 and 6, with --program 10 to 100. 1000 needs 10 GB and --total 10m." placeholder:"N"`
	Total   time.Duration `help:"Bound of the whole, without --program; 0: some minutes." default:"0s"`
	Seed    uint64        `help:"Seed of what the network loses." default:"1"`
	Quick   bool          `help:"Small fleets and short times: shows that it works, and no more."`
	Program string        `help:"Measure idle processes of this sidecar, with the section members and without, in place of groups." type:"path" placeholder:"FILE"`
	Window  time.Duration `help:"How long processes are measured." default:"10s"`
	JSON    bool          `help:"Print JSON in place of the table." name:"json"`
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
		return errors.New("--members are between 2 and 4000")
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
