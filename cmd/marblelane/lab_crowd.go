package main

import (
	"fmt"
	"io"
	"time"

	"marblelane/internal/lab/crowd"
)

// labFleetLoad measures a list service of fixed capacity under the calls of a whole fleet.
type labFleetLoad struct {
	Callers  []int         `help:"Numbers of sidecars." default:"10,100,300,1000"`
	Servers  int           `help:"Number of lines of the whole list." default:"60"`
	Capacity []float64     `help:"Lines per second that the service can send." default:"200,1000,4000"`
	Patience time.Duration `help:"Maximum time that a call may wait in the queue." default:"2s"`
	Length   time.Duration `help:"Length of the run." default:"60s"`
	Pause    time.Duration `help:"Longest pause after a failed call; 0 uses ask_within_ms alone." default:"4500ms"`
	Seed     uint64        `help:"Seed of the sidecars' random choices." default:"1"`
	JSON     bool          `help:"Print JSON instead of the table." name:"json"`
}

// fleetLoadRow is one row of the table.
type fleetLoadRow struct {
	Callers  int     `json:"callers"`
	Capacity float64 `json:"lines_per_s"`
	Waste    bool    `json:"waste"`
	*crowd.Result
}

func (c *labFleetLoad) Run(a *app) error {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	var rows []fleetLoadRow
	for _, n := range c.Callers {
		for _, capacity := range c.Capacity {
			for _, waste := range []bool{false, true} {
				r, err := crowd.Run(crowd.Spec{Callers: n, Servers: c.Servers, Capacity: capacity, CallTimeout: ms(c.Patience), StartSpread: 100,
					Length: ms(c.Length), PollInterval: 10000, MaxPollBackoff: ms(c.Pause), WastesFailedCalls: waste, Seed: c.Seed})
				if err != nil {
					return err
				}
				rows = append(rows, fleetLoadRow{n, capacity, waste, r})
			}
		}
	}
	return printResult(a, c.JSON, rows, func(w io.Writer, rows []fleetLoadRow) {
		fmt.Fprintf(w, "%8s %8s %6s %7s %9s %7s %6s %9s %9s %7s\n", "sidecars", "lines/s", "waste", "calls", "answered", "failed",
			"told", "p50 s", "last s", "useful")
		for _, r := range rows {
			fmt.Fprintf(w, "%8d %8.0f %6v %7d %9d %7d %6d %9.1f %9.1f %6.1f%%\n", r.Callers, r.Capacity, r.Waste, r.Calls, r.Succeeded,
				r.Failed, r.HaveList, r.P50/1000, r.Max/1000, 100*r.Useful)
		}
	})
}
