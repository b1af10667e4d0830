package requestcost

// This file measures one round of each variant.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"marblelane/internal/lab/experiment/testbed"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/membership"
	"marblelane/internal/membership/view"
)

// variantRun is one start of a variant.
type variantRun struct {
	variant      *Variant
	sidecar      *testbed.Sidecar
	load         *testbed.Load
	idleStartCPU time.Duration // processor time at the start of the idle measurement
	Round

	cpuUsed, drivenTime time.Duration // in the slices so far
	received, routed    int64         // requests at the servers, and those of them along the route
	failureReason       string        // of a failure
}

// wrapError names the variant in an error.
func (d *variantRun) wrapError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", d.variant.Name, err)
}

// runRound starts each variant once and measures all of them beside each other.
func (c *measurement) runRound(ctx context.Context, k int) ([]Round, error) {
	all := make([]*variantRun, len(c.options.Variants))
	defer func() {
		for _, d := range all {
			if d != nil {
				d.load.Close()
				d.sidecar.Stop()
			}
		}
	}()
	for _, i := range variantOrder(len(all), k) {
		var err error
		if all[i], err = c.startVariant(ctx, &c.options.Variants[i]); err != nil {
			return nil, fmt.Errorf("%s: %w", c.options.Variants[i].Name, err)
		}
	}
	if err := c.measureIdle(ctx, all); err != nil {
		return nil, err
	}
	for _, i := range variantOrder(len(all), k) {
		if err := c.warmUp(ctx, all[i]); err != nil {
			return nil, all[i].wrapError(err)
		}
	}
	slicesPerVariant := max(int(c.options.Length/sliceLength), 1)
	for j := range slicesPerVariant {
		for _, i := range variantOrder(len(all), k+j) {
			if err := c.driveSlice(ctx, all[i], c.options.Length/time.Duration(slicesPerVariant)); err != nil {
				return nil, all[i].wrapError(err)
			}
		}
	}
	out := make([]Round, len(all))
	for i, d := range all {
		var err error
		if out[i], err = d.result(); err != nil {
			return nil, d.wrapError(err)
		}
	}
	return out, nil
}

// variantOrder returns the order of n variants on turn k: from first to last, and reversed on every other turn.
func variantOrder(n, k int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	if k%2 == 1 {
		slices.Reverse(order)
	}
	return order
}

// startVariant starts a variant.
func (c *measurement) startVariant(ctx context.Context, v *Variant) (*variantRun, error) {
	var patches []any
	if v.WithRoutes {
		patches = append(patches, map[string]any{"routes": map[string]any{"addrs": c.registry.Addrs(0)}})
	}
	if v.WithMembers {
		patches = append(patches, membersSection("127.0.0.1:0", c.fleetSeeds))
	}
	for _, patch := range v.ConfigPatches {
		patches = append(patches, patch)
	}
	p, err := c.sidecars.Launch(ctx, "measured-"+v.Name, v.Program, patches...)
	if err != nil {
		return nil, err
	}
	d := &variantRun{variant: v, sidecar: p, load: testbed.NewLoad(p.Listen, c.run.Scenario.Classes[0].Name, c.options.Rate, c.options.Connections, &c.ids)}
	d.Start = harness.Milliseconds(p.StartTime)
	return d, nil
}

// measureIdle measures processes without requests. The first half of the time, with the cost of the start, does not count
// for the processor time.
func (c *measurement) measureIdle(ctx context.Context, all []*variantRun) error {
	harness.Sleep(ctx, c.options.IdleTime/2)
	start := time.Now()
	for _, d := range all {
		var err error
		if d.idleStartCPU, err = processCPU(d.sidecar.PID); err != nil {
			return d.wrapError(err)
		}
	}
	harness.Sleep(ctx, c.options.IdleTime/2)
	for _, d := range all {
		cpu, err := processCPU(d.sidecar.PID)
		if err != nil {
			return d.wrapError(err)
		}
		d.IdleCPU = microseconds(cpu-d.idleStartCPU) / time.Since(start).Seconds()
		u, err := process.Measure(d.sidecar.PID)
		if err != nil {
			return d.wrapError(err)
		}
		d.IdleRSS = float64(u.RSS) / (1 << 20)
	}
	return ctx.Err()
}

// warmUp waits until a variant has joined its fleet, and sends requests: at least for the warm-up time, so that connections
// are open and sizes known, and with routes until the requests follow them.
func (c *measurement) warmUp(ctx context.Context, d *variantRun) error {
	if d.variant.WithMembers {
		if err := c.awaitFleet(ctx, d.sidecar.Management); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(c.options.settleTimeout); ; {
		warming := *d
		if err := c.driveSlice(ctx, &warming, c.options.warmUp); err != nil {
			return err
		}
		if !d.variant.WithRoutes || warming.routedFraction() >= minRoutedFraction {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v %.1f %% of its requests go along the route", c.options.settleTimeout, 100*warming.routedFraction())
		}
	}
}

// driveSlice sends requests to a variant for a slice and adds up what they cost.
func (c *measurement) driveSlice(ctx context.Context, d *variantRun, length time.Duration) error {
	for _, s := range c.servers {
		s.received.Store(0)
		s.routed.Store(0)
	}
	before, err := processCPU(d.sidecar.PID)
	if err != nil {
		return err
	}
	done, err := d.load.Drive(ctx, length)
	if err != nil {
		return err
	}
	after, err := processCPU(d.sidecar.PID)
	if err != nil {
		return err
	}
	d.cpuUsed, d.drivenTime = d.cpuUsed+after-before, d.drivenTime+done.Duration
	d.Requests, d.Failed = d.Requests+done.Sent, d.Failed+done.Failed
	if done.Reason != "" {
		d.failureReason = done.Reason
	}
	for _, s := range c.servers {
		d.received += s.received.Load()
		if s.inSubset {
			d.routed += s.routed.Load()
		}
	}
	return nil
}

// routedFraction is the fraction of requests along a route that reached a server of the route.
func (d *variantRun) routedFraction() float64 { return float64(d.routed) / float64(max(d.received, 1)) }

// result returns the figures of a start, and an error if they are not valid.
func (d *variantRun) result() (Round, error) {
	d.CPU = microseconds(d.cpuUsed) / float64(max(d.Requests, 1))
	d.PerSecond = float64(d.Requests) / d.drivenTime.Seconds()
	switch {
	case d.Requests == 0:
		return d.Round, errors.New("no request was sent")
	case float64(d.Failed) > maxFailedFraction*float64(d.Requests):
		return d.Round, fmt.Errorf("%d of %d requests failed, such as: %s", d.Failed, d.Requests, d.failureReason)
	case d.variant.WithRoutes && d.routedFraction() < minRoutedFraction:
		return d.Round, fmt.Errorf("%.1f %% of the requests went along the route, %.0f %% have to", 100*d.routedFraction(),
			100*minRoutedFraction)
	}
	return d.Round, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// awaitFleet waits until a sidecar is admitted and reaches all idle members.
func (c *measurement) awaitFleet(ctx context.Context, management string) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.settleTimeout)
	defer cancel()
	want := 1 + len(c.fleetSeeds)
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
