package main

import (
	"fmt"
	"slices"
	"strings"

	"marblelane/internal/lab/experiment/soak"
)

// labSoak runs real sidecars through drawn series of faults.
type labSoak struct {
	sidecarProgram
	First    uint64 `help:"First seed." default:"1"`
	Seeds    int    `help:"Number of seeds; with 1, the run of the first seed is repeated alone." default:"50"`
	Parallel int    `help:"Number of runs at the same time." default:"1"`
	Defect   string `help:"Planted defect in each run: end-early or ignore-term." placeholder:"NAME"`
	Report   string `help:"Folder for the logs of the processes, one folder for each seed." type:"path" placeholder:"DIR"`
	JSON     bool   `help:"Print JSON instead of the table." name:"json"`
	Quiet    bool   `help:"Print no progress on standard error."`
}

// Run runs the seeds and fails if an invariant was violated or too many runs have no verdict.
func (c *labSoak) Run(a *app) error {
	if c.Defect != "" && !slices.Contains(soak.Defects, c.Defect) {
		return fmt.Errorf("--defect: %q is not one of %s", c.Defect, strings.Join(soak.Defects, ", "))
	}
	path, done, err := c.findProgram(a)
	if err != nil {
		return err
	}
	defer done()
	o := soak.Options{Program: path, FirstSeed: c.First, Seeds: c.Seeds, Concurrency: c.Parallel, Defect: c.Defect, Dir: c.Report}
	if !c.Quiet {
		o.Progress = a.errOut
	}
	result, err := soak.Play(a.ctx, o)
	if err != nil {
		return err
	}
	if err := printResult(a, c.JSON, result, soak.Print); err != nil {
		return err
	}
	if len(result.Broken()) > 0 || result.TooManyLate() {
		return exitError(exitFail)
	}
	return nil
}
