package requestcost

// This file runs one round: it starts all variants and measures them.

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

// variantRun is one variant in one round.
type variantRun struct {
	variant      *Variant
	sidecar      *testbed.Sidecar
	load         *testbed.Load
	idleStartCPU time.Duration // CPU time at the start of the idle measurement
	Round

	cpuUsed, drivenTime time.Duration // CPU time and length of the slices, as sums
	received, routed    int64         // requests at all servers, and routed requests at the route's servers
	failureReason       string        // error text of the last failed request
}

// wrapError adds the variant's name to an error. It returns nil for nil.
func (d *variantRun) wrapError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", d.variant.Name, err)
}

// runRound starts all variants and measures them in interleaved slices. k is the number of the round.
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

// variantOrder returns the order of n variants in turn k: ascending if k is even, descending if it is odd.
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

// startVariant starts a sidecar of a variant, with its configuration patches applied last.
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
	d.Start = harness.Milliseconds(p.StartDuration)
	return d, nil
}

// measureIdle measures CPU time and memory of the sidecars without requests. CPU time is that of the second half of the
// idle time, so that it excludes the cost of the start.
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

// warmUp waits until a variant has joined its fleet, then sends requests at least for the warm-up time, so that its
// connections are open and the sizes of its requests known. With routes, it continues until the requests follow them.
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
			return fmt.Errorf("after %v, %.1f %% of the requests follow the route", c.options.settleTimeout,
				100*warming.routedFraction())
		}
	}
}

// driveSlice sends requests to a variant for a slice and adds their number and CPU time to d.
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
	if done.FailureReason != "" {
		d.failureReason = done.FailureReason
	}
	for _, s := range c.servers {
		d.received += s.received.Load()
		if s.inSubset {
			d.routed += s.routed.Load()
		}
	}
	return nil
}

// routedFraction returns the fraction of the received requests that followed the route.
func (d *variantRun) routedFraction() float64 { return float64(d.routed) / float64(max(d.received, 1)) }

// result returns the figures of a round. It fails if there were no requests, too many failed or too few were routed.
func (d *variantRun) result() (Round, error) {
	d.CPU = microseconds(d.cpuUsed) / float64(max(d.Requests, 1))
	d.PerSecond = float64(d.Requests) / d.drivenTime.Seconds()
	switch {
	case d.Requests == 0:
		return d.Round, errors.New("no requests were sent")
	case float64(d.Failed) > maxFailedFraction*float64(d.Requests):
		return d.Round, fmt.Errorf("%d of %d requests failed, such as: %s", d.Failed, d.Requests, d.failureReason)
	case d.variant.WithRoutes && d.routedFraction() < minRoutedFraction:
		return d.Round, fmt.Errorf("%.1f %% of the requests followed the route, need %.0f %%", 100*d.routedFraction(),
			100*minRoutedFraction)
	}
	return d.Round, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// awaitFleet waits until a sidecar is admitted to the fleet and reaches all idle members, as it reports at its
// management address.
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
				return fmt.Errorf("join the fleet of %d: the last view is %+v", want, last.View)
			}
			return fmt.Errorf("join the fleet of %d: %w", want, err)
		}
	}
}
