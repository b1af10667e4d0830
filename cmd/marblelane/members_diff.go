package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"marblelane/internal/membership/view"
)

// membersDiff compares the views of several processes.
type membersDiff struct {
	Addrs       []string      `arg:"" name:"addr" help:"HOST:PORT of each process, at least two."`
	Wait        time.Duration `help:"Maximum time to wait for a response." default:"3s"`
	MaxParallel int           `name:"most" help:"Maximum number of concurrent queries." default:"16" placeholder:"N"`
	Apart       time.Duration `help:"Time between the two queries of each process: a difference that is the same in both is persistent, else it is still propagating." default:"2s"`
	JSON        bool          `help:"Print JSON instead of the table." name:"json"`
}

// viewDiff is the result of querying several processes.
type viewDiff struct {
	InAgreement bool              `json:"in_agreement"`
	Digests     map[string]string `json:"digests"` // digest by address, of the processes that answered both queries
	Differences []view.Difference `json:"differences"`
	Unobserved  map[string]string `json:"unasked"` // reason why a process was not observed, by address
}

func (c *membersDiff) Run(a *app) error {
	client, err := c.validate()
	if err != nil {
		return err
	}
	observations := client.Observe(a.ctx, c.Addrs, c.Apart)
	if err := a.ctx.Err(); err != nil {
		return fmt.Errorf("diff: %w", err)
	}
	d, err := newViewDiff(observations)
	if err != nil {
		return err
	}
	if err := printResult(a, c.JSON, d, printDiff); err != nil {
		return err
	}
	switch {
	case !d.InAgreement:
		return exitError(exitFail)
	case len(d.Unobserved) > 0:
		return exitError(exitUsage)
	}
	return nil
}

// validate checks the arguments and returns a client for the queries.
func (c *membersDiff) validate() (*view.Client, error) {
	if len(c.Addrs) < 2 {
		return nil, errors.New("ADDR: at least two are needed")
	}
	for i, addr := range c.Addrs {
		if err := view.CheckAddr(addr); err != nil {
			return nil, fmt.Errorf("ADDR %w", err)
		}
		if slices.Contains(c.Addrs[:i], addr) {
			return nil, fmt.Errorf("ADDR %s: duplicate address", addr)
		}
	}
	if c.MaxParallel < 1 {
		return nil, fmt.Errorf("--most %d: must be at least 1", c.MaxParallel)
	}
	if c.Apart < 0 {
		return nil, fmt.Errorf("--apart %v: must not be negative", c.Apart)
	}
	client, err := newViewClient(c.Wait)
	if err == nil {
		client.MaxParallel = c.MaxParallel
	}
	return client, err
}

// newViewDiff compares the observed views. Processes of different fleets cannot be compared.
func newViewDiff(observations []view.Observation) (*viewDiff, error) {
	d := &viewDiff{Digests: map[string]string{}, Unobserved: map[string]string{}, Differences: view.Diff(observations)}
	var first *view.Observation
	for i := range observations {
		observation := &observations[i]
		if !observation.Complete() {
			d.Unobserved[observation.Addr] = observation.Err.Error()
			continue
		}
		if first == nil {
			first = observation
		}
		if observation.Second.Fleet != first.Second.Fleet {
			return nil, fmt.Errorf("ADDR %s: belongs to fleet %q, but %s to %q", observation.Addr, observation.Second.Fleet, first.Addr, first.Second.Fleet)
		}
		d.Digests[observation.Addr] = fmt.Sprintf("%016x", view.Digest(observation.Second))
	}
	d.InAgreement = len(d.distinctDigests()) < 2 &&
		!slices.ContainsFunc(d.Differences, func(x view.Difference) bool { return x.Stage != view.Resolved })
	return d, nil
}

// distinctDigests returns the different digests, sorted.
func (d *viewDiff) distinctDigests() []string {
	return slices.Compact(slices.Sorted(maps.Values(d.Digests)))
}

func printDiff(w io.Writer, d *viewDiff) {
	for _, x := range d.Differences {
		fmt.Fprintf(w, "%s: %s\n", idText(x.Member), stageText(x))
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, s := range x.Views {
			since := "-"
			if s.SinceMS >= 0 {
				since = "for " + durationText(s.SinceMS)
			}
			fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", s.Addr, s.State, since, s.Proof)
		}
		_ = t.Flush() // commands do not check write errors of their output
	}
	for _, addr := range slices.Sorted(maps.Keys(d.Unobserved)) {
		fmt.Fprintf(w, "ADDR %s: query failed: %s\n", addr, d.Unobserved[addr])
	}
	if digests := d.distinctDigests(); len(digests) > 1 {
		for _, addr := range slices.Sorted(maps.Keys(d.Digests)) {
			fmt.Fprintf(w, "digest %s at %s\n", d.Digests[addr], addr)
		}
	} else if len(digests) == 1 {
		fmt.Fprintf(w, "digest %s at each of %d processes\n", digests[0], len(d.Digests))
	}
	switch {
	case !d.InAgreement:
		fmt.Fprintln(w, "not in agreement")
	case len(d.Digests) < 2:
		fmt.Fprintf(w, "%d processes answered: nothing to compare\n", len(d.Digests))
	default:
		fmt.Fprintln(w, "in agreement")
	}
}

// stageText describes whether a difference is persistent, propagating or resolved.
func stageText(x view.Difference) string {
	switch x.Stage {
	case view.Persistent:
		return "persistent difference, for " + durationText(x.ForMS)
	case view.Emerging:
		return "difference while a change propagates, for " + durationText(x.ForMS)
	}
	return "difference resolved"
}
