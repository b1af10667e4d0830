package lab

// This file measures one round of each variant.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"marblelane/internal/lab/process"
	"marblelane/internal/membership"
	"marblelane/internal/membership/view"
)

// costed is one start of a variant.
type variantRun struct {
	variant      *CostVariant
	sidecar      *sidecarProcess
	load         *costLoad
	idleStartCPU time.Duration // before what is under way
	CostRound

	cpuUsed, drivenTime time.Duration // of slices
	received, routed    int64         // requests that servers saw, and those of them that came along the route
	reason              string        // of a failure
}

// fails names the variant that an error is of.
func (d *variantRun) wrapError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", d.variant.Name, err)
}

// round starts each variant once and measures it beside the others.
func (c *costRun) playRound(ctx context.Context, k int) ([]CostRound, error) {
	all := make([]*variantRun, len(c.o.Variants))
	defer func() {
		for _, d := range all {
			if d != nil {
				d.load.close()
				stopSidecar(d.sidecar.Child)
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
		if all[i], err = c.startVariant(ctx, &c.o.Variants[i]); err != nil {
			return nil, fmt.Errorf("%s: %w", c.o.Variants[i].Name, err)
		}
	}
	if err := c.measureIdle(ctx, all); err != nil {
		return nil, err
	}
	for _, i := range turn(k) {
		if err := c.warmUp(ctx, all[i]); err != nil {
			return nil, all[i].wrapError(err)
		}
	}
	n := max(int(c.o.Length/sliceLength), 1)
	for j := range n {
		for _, i := range turn(k + j) {
			if err := c.driveSlice(ctx, all[i], c.o.Length/time.Duration(n)); err != nil {
				return nil, all[i].wrapError(err)
			}
		}
	}
	out := make([]CostRound, len(all))
	for i, d := range all {
		var err error
		if out[i], err = d.result(); err != nil {
			return nil, d.wrapError(err)
		}
	}
	return out, nil
}

// begin starts a variant.
func (c *costRun) startVariant(ctx context.Context, v *CostVariant) (*variantRun, error) {
	var own []any
	if v.WithRoutes {
		var addrs []string
		for _, one := range c.f.rr.copies {
			addrs = append(addrs, one.serve)
		}
		own = append(own, map[string]any{"routes": map[string]any{"addrs": addrs}})
	}
	if v.WithMembers {
		own = append(own, membersSection("127.0.0.1:0", c.seeds))
	}
	for _, section := range v.ConfigPatches {
		own = append(own, section)
	}
	p, err := c.launch(ctx, "measured-"+v.Name, v.Program, own...)
	if err != nil {
		return nil, err
	}
	d := &variantRun{variant: v, sidecar: p, load: &costLoad{addr: p.listen, class: c.r.s.Classes[0].Name, rate: c.o.Rate, ids: &c.ids,
		conns: make([]*clientConn, c.o.Connections)}}
	d.Start = float64(p.startTime) / float64(time.Millisecond)
	return d, nil
}

// idle measures processes that nobody calls. Their processor time is that of the second half, past what a start costs.
func (c *costRun) measureIdle(ctx context.Context, all []*variantRun) error {
	sleep(ctx, c.o.IdleTime/2)
	began := time.Now()
	for _, d := range all {
		var err error
		if d.idleStartCPU, err = processCPU(d.sidecar.PID); err != nil {
			return d.wrapError(err)
		}
	}
	sleep(ctx, c.o.IdleTime/2)
	for _, d := range all {
		cpu, err := processCPU(d.sidecar.PID)
		if err != nil {
			return d.wrapError(err)
		}
		d.IdleCPU = microseconds(cpu-d.idleStartCPU) / time.Since(began).Seconds()
		u, err := process.Measure(d.sidecar.PID)
		if err != nil {
			return d.wrapError(err)
		}
		d.IdleRSS = float64(u.RSS) / (1 << 20)
	}
	return ctx.Err()
}

// warm waits until a variant is in the fleet, sends requests until connections are open and sizes known, and goes on
// until a route is followed where there is one.
func (c *costRun) warmUp(ctx context.Context, d *variantRun) error {
	if d.variant.WithMembers {
		if err := c.awaitFleet(ctx, d.sidecar.management); err != nil {
			return err
		}
	}
	for until := time.Now().Add(c.o.settleTimeout); ; {
		warming := *d
		if err := c.driveSlice(ctx, &warming, c.o.warmUp); err != nil {
			return err
		}
		if !d.variant.WithRoutes || warming.routedFraction() >= minRoutedFraction {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("after %v %.1f %% of its requests go along the route", c.o.settleTimeout, 100*warming.routedFraction())
		}
	}
}

// slice drives a variant for a moment and counts it.
func (c *costRun) driveSlice(ctx context.Context, d *variantRun, length time.Duration) error {
	for _, s := range c.servers {
		s.received.Store(0)
		s.routed.Store(0)
	}
	before, err := processCPU(d.sidecar.PID)
	if err != nil {
		return err
	}
	done, err := d.load.drive(ctx, length)
	if err != nil {
		return err
	}
	after, err := processCPU(d.sidecar.PID)
	if err != nil {
		return err
	}
	d.cpuUsed, d.drivenTime = d.cpuUsed+after-before, d.drivenTime+done.took
	d.Requests, d.Failed = d.Requests+done.sent, d.Failed+done.failed
	if done.reason != "" {
		d.reason = done.reason
	}
	for _, s := range c.servers {
		d.received += s.received.Load()
		if s.inSubset {
			d.routed += s.routed.Load()
		}
	}
	return nil
}

// share is the share of requests that came as those of a route, to a server that the route names.
func (d *variantRun) routedFraction() float64 { return float64(d.routed) / float64(max(d.received, 1)) }

// end gives the figures of a start that counts.
func (d *variantRun) result() (CostRound, error) {
	d.CPU = microseconds(d.cpuUsed) / float64(max(d.Requests, 1))
	d.PerSecond = float64(d.Requests) / d.drivenTime.Seconds()
	switch {
	case d.Requests == 0:
		return d.CostRound, errors.New("no request was sent")
	case float64(d.Failed) > maxFailedFraction*float64(d.Requests):
		return d.CostRound, fmt.Errorf("%d of %d requests failed, such as: %s", d.Failed, d.Requests, d.reason)
	case d.variant.WithRoutes && d.routedFraction() < minRoutedFraction:
		return d.CostRound, fmt.Errorf("%.1f %% of the requests went along the route, %.0f %% have to", 100*d.routedFraction(),
			100*minRoutedFraction)
	}
	return d.CostRound, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// awaitFleet waits until a process hears all idle ones and counts itself in.
func (c *costRun) awaitFleet(ctx context.Context, management string) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.settleTimeout)
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
		if !sleep(ctx, 20*time.Millisecond) {
			if last != nil {
				return fmt.Errorf("it is not in the fleet of %d: it sees %+v", want, last.View)
			}
			return fmt.Errorf("it is not in the fleet of %d: %w", want, err)
		}
	}
}

// stopCosted ends a sidecar in order, so that its fleet knows that it left.
func stopSidecar(p *process.Child) {
	_ = p.Signal(syscall.SIGTERM) // it has ended, or it is killed below
	kill := time.NewTimer(stopWait)
	defer kill.Stop()
	select {
	case <-p.Ended():
	case <-kill.C:
		p.Kill()
	}
}
