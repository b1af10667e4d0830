package lab

// This file measures one round of each variant.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/membership"
	"marblelane/internal/membership/view"
)

// costed is one start of a variant.
type costed struct {
	v    *CostVariant
	p    *launched
	load *costLoad
	cpu  time.Duration // before what is under way
	CostRound

	used, driven time.Duration // of slices
	came, routed int64         // requests that servers saw, and those of them that came along the route
	reason       string        // of a failure
}

// fails names the variant that an error is of.
func (d *costed) fails(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", d.v.Name, err)
}

// round starts each variant once and measures it beside the others.
func (c *costRun) round(ctx context.Context, k int) ([]CostRound, error) {
	all := make([]*costed, len(c.o.Variants))
	defer func() {
		for _, d := range all {
			if d != nil {
				d.load.close()
				stopCosted(d.p.Child)
			}
		}
	}()
	turn := func(k int) []int { // from first to last, and back
		order := make([]int, len(all))
		for i := range order {
			order[i] = i
		}
		if k%2 == 1 {
			slices.Reverse(order)
		}
		return order
	}
	for _, i := range turn(k) {
		var err error
		if all[i], err = c.begin(ctx, &c.o.Variants[i]); err != nil {
			return nil, fmt.Errorf("%s: %w", c.o.Variants[i].Name, err)
		}
	}
	if err := c.idle(ctx, all); err != nil {
		return nil, err
	}
	for _, i := range turn(k) {
		if err := c.warm(ctx, all[i]); err != nil {
			return nil, all[i].fails(err)
		}
	}
	n := max(int(c.o.Length/costSlice), 1)
	for j := range n {
		for _, i := range turn(k + j) {
			if err := c.slice(ctx, all[i], c.o.Length/time.Duration(n)); err != nil {
				return nil, all[i].fails(err)
			}
		}
	}
	out := make([]CostRound, len(all))
	for i, d := range all {
		var err error
		if out[i], err = d.end(); err != nil {
			return nil, d.fails(err)
		}
	}
	return out, nil
}

// begin starts a variant.
func (c *costRun) begin(ctx context.Context, v *CostVariant) (*costed, error) {
	var own []any
	if v.Routes {
		var addrs []string
		for _, one := range c.f.rr.Replicas {
			addrs = append(addrs, one.Address)
		}
		own = append(own, map[string]any{"routes": map[string]any{"addrs": addrs}})
	}
	if v.Members {
		own = append(own, membersSection("127.0.0.1:0", c.seeds))
	}
	for _, section := range v.With {
		own = append(own, section)
	}
	p, err := c.launch(ctx, "measured-"+v.Name, v.Program, own...)
	if err != nil {
		return nil, err
	}
	d := &costed{v: v, p: p, load: &costLoad{addr: p.listen, class: c.r.Scenario.Classes[0].Name, rate: c.o.Rate, ids: &c.ids,
		conns: make([]*costConn, c.o.Connections)}}
	d.Start = float64(p.took) / float64(time.Millisecond)
	return d, nil
}

// idle measures processes that nobody calls. Their processor time is that of the second half, past what a start costs.
func (c *costRun) idle(ctx context.Context, all []*costed) error {
	harness.Sleep(ctx, c.o.Idle/2)
	began := time.Now()
	for _, d := range all {
		var err error
		if d.cpu, err = cpuOf(d.p.PID); err != nil {
			return d.fails(err)
		}
	}
	harness.Sleep(ctx, c.o.Idle/2)
	for _, d := range all {
		cpu, err := cpuOf(d.p.PID)
		if err != nil {
			return d.fails(err)
		}
		d.IdleCPU = inMicros(cpu-d.cpu) / time.Since(began).Seconds()
		u, err := process.Measure(d.p.PID)
		if err != nil {
			return d.fails(err)
		}
		d.IdleRSS = float64(u.RSS) / (1 << 20)
	}
	return ctx.Err()
}

// warm waits until a variant is in the fleet, sends requests until connections are open and sizes known, and goes on
// until a route is followed where there is one.
func (c *costRun) warm(ctx context.Context, d *costed) error {
	if d.v.Members {
		if err := c.awaitFleet(ctx, d.p.management); err != nil {
			return err
		}
	}
	for until := time.Now().Add(c.o.settle); ; {
		warming := *d
		if err := c.slice(ctx, &warming, c.o.warm); err != nil {
			return err
		}
		if !d.v.Routes || warming.share() >= costRouted {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("after %v %.1f %% of its requests go along the route", c.o.settle, 100*warming.share())
		}
	}
}

// slice drives a variant for a moment and counts it.
func (c *costRun) slice(ctx context.Context, d *costed, length time.Duration) error {
	for _, s := range c.servers {
		s.all.Store(0)
		s.routed.Store(0)
	}
	before, err := cpuOf(d.p.PID)
	if err != nil {
		return err
	}
	done, err := d.load.drive(ctx, length)
	if err != nil {
		return err
	}
	after, err := cpuOf(d.p.PID)
	if err != nil {
		return err
	}
	d.used, d.driven = d.used+after-before, d.driven+done.took
	d.Requests, d.Failed = d.Requests+done.sent, d.Failed+done.failed
	if done.reason != "" {
		d.reason = done.reason
	}
	for _, s := range c.servers {
		d.came += s.all.Load()
		if s.inSubset {
			d.routed += s.routed.Load()
		}
	}
	return nil
}

// share is the share of requests that came as those of a route, to a server that the route names.
func (d *costed) share() float64 { return float64(d.routed) / float64(max(d.came, 1)) }

// end gives the figures of a start that counts.
func (d *costed) end() (CostRound, error) {
	d.CPU = inMicros(d.used) / float64(max(d.Requests, 1))
	d.PerSecond = float64(d.Requests) / d.driven.Seconds()
	switch {
	case d.Requests == 0:
		return d.CostRound, errors.New("no request was sent")
	case float64(d.Failed) > costFailed*float64(d.Requests):
		return d.CostRound, fmt.Errorf("%d of %d requests failed, such as: %s", d.Failed, d.Requests, d.reason)
	case d.v.Routes && d.share() < costRouted:
		return d.CostRound, fmt.Errorf("%.1f %% of the requests went along the route, %.0f %% have to", 100*d.share(),
			100*costRouted)
	}
	return d.CostRound, nil
}

func inMicros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// awaitFleet waits until a process hears all idle ones and counts itself in.
func (c *costRun) awaitFleet(ctx context.Context, management string) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.settle)
	defer cancel()
	want := 1 + len(c.seeds)
	client := &view.Client{}
	var last *membership.Report
	for {
		r, err := client.Report(ctx, management)
		if err == nil {
			last = r
			if r.View.Admitted && r.View.Reachable >= want {
				return nil
			}
		}
		if !harness.Sleep(ctx, 20*time.Millisecond) {
			if last != nil {
				return fmt.Errorf("it is not in the fleet of %d: it sees %+v", want, last.View)
			}
			return fmt.Errorf("it is not in the fleet of %d: %w", want, err)
		}
	}
}

// stopCosted ends a sidecar in order, so that its fleet knows that it left.
func stopCosted(p *process.Child) {
	_ = p.Signal(syscall.SIGTERM) // it has ended, or it is killed below
	kill := time.NewTimer(harness.StopTimeout)
	defer kill.Stop()
	select {
	case <-p.Ended():
	case <-kill.C:
		p.Kill()
	}
}
