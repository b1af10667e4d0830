package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
	"marblelane/internal/membership/view"
)

type membersCmd struct {
	List  membersList  `cmd:"" help:"Show what a process sees of its fleet."`
	Watch membersWatch `cmd:"" help:"Print each change as a process sees it, for as long as it is wanted."`
	Leave membersLeave `cmd:"" help:"Ask a process to leave its fleet in order."`
	Gone  membersGone  `cmd:"" help:"Tell a process, and by it the fleet, that another process is gone and counts no more."`
	Diff  membersDiff  `cmd:"" help:"Ask several processes and print where their views differ. Ends with 0 if they agree, 1 if not, 2 if one cannot be asked."`
}

// member is the process to query.
type member struct {
	Addr string        `arg:"" help:"HOST:PORT: the management address of a sidecar, or the address of a copy of the list service."`
	Wait time.Duration `help:"How long an answer may take." default:"3s"`
}

// client checks the arguments before any process is queried.
func (m *member) client() (*view.Client, error) {
	if err := view.CheckAddr(m.Addr); err != nil {
		return nil, fmt.Errorf("ADDR %w", err)
	}
	return clientFor(m.Wait)
}

func clientFor(wait time.Duration) (*view.Client, error) {
	if wait <= 0 {
		return nil, fmt.Errorf("--wait %v: is not above 0", wait)
	}
	return &view.Client{Timeout: wait}, nil
}

// withAddr names the argument that an error is about.
func (m *member) withAddr(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("ADDR %s: %w", m.Addr, err)
}

type membersList struct {
	member
	JSON bool `help:"Print the process's report as JSON in place of the table." name:"json"`
}

func (c *membersList) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	r, err := client.Report(a.ctx, c.Addr)
	if err != nil {
		return c.withAddr(err)
	}
	return show(a, c.JSON, r, printMembers)
}

func printMembers(w io.Writer, r *membership.Report) {
	estimate := ""
	if r.EstimatedSize > 0 {
		estimate = fmt.Sprintf(", decides as one of %.3g", r.EstimatedSize)
	}
	fmt.Fprintf(w, "%s in fleet %q: %s%s; %d changes, %d dropped\n", idText(r.Self), r.Fleet, viewText(r), estimate,
		r.Changes, r.Dropped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTART\tSTATE\tFOR\tHEARD\tROLE\tZONE\tVERSION\tADDRESS\tNOTE")
	for _, m := range r.Members {
		lastAlive := "never"
		if m.LastAliveMS >= 0 {
			lastAlive = forText(m.LastAliveMS) + " ago"
		}
		var notes []string
		if m.Proof != "" {
			notes = append(notes, m.Proof)
		}
		if m.Duplicate {
			notes = append(notes, "twin")
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Start, m.State, forText(m.SinceMS), lastAlive,
			orDash(m.Role), orDash(m.Zone), orDash(m.Version), orDash(m.Addr), orDash(strings.Join(notes, ", ")))
	}
	t.Flush() // its writer is not given errors by commands
}

func idText(id roster.ID) string { return id.Name + "@" + strconv.FormatInt(id.Start, 10) }

func viewText(r *membership.Report) string {
	admitted := "not admitted yet"
	if r.View.Admitted {
		admitted = "admitted"
	}
	if r.View.Forced {
		admitted += " by time alone"
	}
	return fmt.Sprintf("%d known, %d heard, %s", r.View.Known, r.View.Reachable, admitted)
}

// forText is a time in milliseconds as it is read.
func forText(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		d = d.Round(time.Second)
	}
	return d.String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type membersWatch struct {
	member
	JSON bool `help:"Print the process's report as JSON at each change, one on a line." name:"json"`
}

func (c *membersWatch) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var last *membership.Report
	err = client.Watch(a.ctx, c.Addr, func(r *membership.Report, line []byte) error {
		if c.JSON {
			_, err := fmt.Fprintf(a.out, "%s\n", line)
			return err
		}
		err := printChanges(a.out, last, r)
		last = r
		return err
	}, func(err error, again time.Duration) {
		fmt.Fprintf(a.errOut, "ADDR %s: %v; asking again in %v\n", c.Addr, err, again.Round(time.Millisecond))
	})
	return c.withAddr(err)
}

// printChanges writes what has changed since the last report; nil: there was none, all is new.
func printChanges(w io.Writer, last, r *membership.Report) error {
	at := time.UnixMilli(r.UnixMS).Format("15:04:05.000")
	var text strings.Builder
	var before []membership.Member
	if last != nil {
		before = last.Members
		if last.Self != r.Self {
			fmt.Fprintf(&text, "%s another process answers: %s in place of %s\n", at, idText(r.Self), idText(last.Self))
		}
	}
	for _, ch := range view.Changes(before, r.Members) {
		proof := ""
		if ch.To == membership.Gone && ch.Member.Proof != "" {
			proof = " (" + ch.Member.Proof + ")"
		}
		fmt.Fprintf(&text, "%s %s: %s -> %s%s\n", at, idText(roster.ID{Name: ch.Member.Name, Start: ch.Member.Start}),
			ch.From, ch.To, proof)
	}
	if last == nil || last.View != r.View {
		fmt.Fprintf(&text, "%s %s\n", at, viewText(r))
	}
	_, err := io.WriteString(w, text.String())
	return err
}

type membersLeave struct{ member }

func (c *membersLeave) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.Leave(a.ctx, c.Addr); err != nil {
		return c.withAddr(err)
	}
	fmt.Fprintf(a.out, "%s leaves\n", c.Addr)
	return nil
}

type membersGone struct {
	member
	Name  string `arg:"" help:"The name of the process that is gone."`
	Start int64  `arg:"" help:"The number of its start, as list shows it."`
	Yes   bool   `help:"Say so of a process that is not silent there: if it lives it comes again as a newcomer."`
}

func (c *membersGone) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	r, err := client.Report(a.ctx, c.Addr)
	if err != nil {
		return c.withAddr(err)
	}
	id := roster.ID{Name: c.Name, Start: c.Start}
	var starts []string
	at := -1
	for i, m := range r.Members {
		if m.Name == c.Name {
			starts = append(starts, strconv.FormatInt(m.Start, 10))
			if m.Start == c.Start {
				at = i
			}
		}
	}
	switch {
	case len(starts) == 0:
		return fmt.Errorf("NAME %s: %s knows no process of this name", c.Name, c.Addr)
	case at < 0:
		return fmt.Errorf("START %d: %s knows of %s the starts %s", c.Start, c.Addr, c.Name, strings.Join(starts, ", "))
	case r.Members[at].State == membership.Gone:
		fmt.Fprintf(a.out, "%s is known to be gone already (%s)\n", idText(id), orDash(r.Members[at].Proof))
		return nil
	case r.Members[at].State != membership.Silent && !c.Yes:
		return fmt.Errorf("--yes: %s is %s at %s; it is needed for all but silent ones", idText(id), r.Members[at].State,
			c.Addr)
	}
	if err := client.ConfirmGone(a.ctx, c.Addr, id); err != nil {
		return c.withAddr(err)
	}
	fmt.Fprintf(a.out, "%s counts as gone\n", idText(id))
	return nil
}

type membersDiff struct {
	Addrs       []string      `arg:"" name:"addr" help:"HOST:PORT of each process, two at least."`
	Wait        time.Duration `help:"How long an answer may take." default:"3s"`
	MaxParallel int           `name:"most" help:"How many are asked at a time." default:"16" placeholder:"N"`
	Apart       time.Duration `help:"They are asked twice, so far apart: what differs at both moments alike is lasting, else it is news on its way." default:"2s"`
	JSON        bool          `help:"Print JSON in place of the table." name:"json"`
}

// viewDiff is what came of asking several processes.
type viewDiff struct {
	InAgreement bool              `json:"in_agreement"`
	Digests     map[string]string `json:"digests"` // by address, of those that answered
	Differences []view.Difference `json:"differences"`
	Unobserved  map[string]string `json:"unasked"` // by address, why
}

func (c *membersDiff) Run(a *app) error {
	client, err := c.check()
	if err != nil {
		return err
	}
	observations := client.Observe(a.ctx, c.Addrs, c.Apart)
	if err := a.ctx.Err(); err != nil {
		return fmt.Errorf("diff: %w", err)
	}
	d, err := diffOf(observations)
	if err != nil {
		return err
	}
	if err := show(a, c.JSON, d, printDiff); err != nil {
		return err
	}
	switch {
	case !d.InAgreement:
		return errExit(exitFail)
	case len(d.Unobserved) > 0:
		return errExit(exitUse)
	}
	return nil
}

func (c *membersDiff) check() (*view.Client, error) {
	if len(c.Addrs) < 2 {
		return nil, errors.New("ADDR: two at least are compared")
	}
	for i, addr := range c.Addrs {
		if err := view.CheckAddr(addr); err != nil {
			return nil, fmt.Errorf("ADDR %w", err)
		}
		if slices.Contains(c.Addrs[:i], addr) {
			return nil, fmt.Errorf("ADDR %s: is given twice", addr)
		}
	}
	if c.MaxParallel < 1 {
		return nil, fmt.Errorf("--most %d: is below 1", c.MaxParallel)
	}
	if c.Apart < 0 {
		return nil, fmt.Errorf("--apart %v: is negative", c.Apart)
	}
	client, err := clientFor(c.Wait)
	if err == nil {
		client.MaxParallel = c.MaxParallel
	}
	return client, err
}

// diffOf compares what was said. Processes of several fleets cannot be compared.
func diffOf(observations []view.Observation) (*viewDiff, error) {
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
			return nil, fmt.Errorf("ADDR %s: is of fleet %q, and %s of %q", observation.Addr, observation.Second.Fleet, first.Addr, first.Second.Fleet)
		}
		d.Digests[observation.Addr] = fmt.Sprintf("%016x", view.Digest(observation.Second))
	}
	d.InAgreement = len(d.distinctDigests()) < 2 &&
		!slices.ContainsFunc(d.Differences, func(x view.Difference) bool { return x.Stage != view.Resolved })
	return d, nil
}

// different are the digests that there are.
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
				since = "for " + forText(s.SinceMS)
			}
			fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", s.Addr, s.State, since, s.Proof)
		}
		t.Flush() // as in printMembers
	}
	for _, addr := range slices.Sorted(maps.Keys(d.Unobserved)) {
		fmt.Fprintf(w, "ADDR %s: cannot be asked: %s\n", addr, d.Unobserved[addr])
	}
	if digests := d.distinctDigests(); len(digests) > 1 {
		for _, addr := range slices.Sorted(maps.Keys(d.Digests)) {
			fmt.Fprintf(w, "digest %s at %s\n", d.Digests[addr], addr)
		}
	} else if len(digests) == 1 {
		fmt.Fprintf(w, "digest %s at each of %d asked\n", digests[0], len(d.Digests))
	}
	switch {
	case !d.InAgreement:
		fmt.Fprintln(w, "not in agreement")
	case len(d.Digests) < 2:
		fmt.Fprintf(w, "%d could be asked: there is nothing to compare\n", len(d.Digests))
	default:
		fmt.Fprintln(w, "in agreement")
	}
}

func stageText(x view.Difference) string {
	switch x.Stage {
	case view.Persistent:
		return "they differ lastingly, for " + forText(x.ForMS)
	case view.Emerging:
		return "they differ, as news is on its way, for " + forText(x.ForMS)
	}
	return "they differed, and agree by now"
}
