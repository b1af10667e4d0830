package lab

// This file injects the planned faults at their times.

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

// serverDowntime is the time from a draining server's first rejection to its kill, and from its kill to its next start.
const serverDowntime = time.Second

// injectFaults runs the steps of the planned faults at their times. Each step runs in its own goroutine, so that a long
// one, such as a planned restart, does not delay the others.
func (r *run) injectFaults(ctx context.Context) {
	var steps []step
	for i := range r.Plan.Faults {
		steps = append(steps, r.steps(&r.Plan.Faults[i])...)
	}
	if r.members != nil {
		steps = append(steps, r.lateStarts()...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, s := range steps {
		timer.Reset(max(s.at-r.Elapsed(), 0))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		r.Events.Add(record.Event{Kind: record.Fault, Sidecar: record.None, Server: record.None, Class: record.None,
			Status: int32(s.phase), Note: s.text})
		r.Log.Info("lab: fault", "what", s.text)
		r.Tasks.Go(func() {
			if err := s.run(ctx); err != nil && ctx.Err() == nil {
				r.Fail(fmt.Errorf("%s: %w", s.text, err))
			}
		})
	}
}

// markWatchesReset notifies simulated discovery that the watches of a sidecar were reset.
func (r *run) markWatchesReset(f scenario.Fault, sidecar int) {
	if r.registry != nil {
		return
	}
	for _, a := range r.discoveryServices(f) {
		a.MarkDisconnected(sidecar)
	}
}

// discoveryServices returns the simulated discovery services that a fault affects.
func (r *run) discoveryServices(f scenario.Fault) []*agent.Agents {
	if number, single := strings.CutPrefix(f.List, "#"); single {
		i, _ := strconv.Atoi(number) // no error: the number was validated when the scenario was read
		return r.agents[i : i+1]
	}
	return r.agents
}

// eachLink calls f for each link that a fault affects.
func (r *run) eachLink(p *scenario.FaultPlan, f func(port *relay.Port, sidecar int, l *relay.Link)) {
	for _, i := range p.Sidecars {
		if p.Fault.Link == "discovery" {
			for k, links := range r.discoveryLinks {
				if number, single := strings.CutPrefix(p.Fault.List, "#"); single && number != strconv.Itoa(k) {
					continue
				}
				if r.registry != nil {
					f(r.registry.proxies[k], i, links[i])
				} else {
					f(r.agents[k].Port(), i, links[i])
				}
			}
			continue
		}
		for _, n := range p.Servers {
			f(r.servers[n].Port, i, r.link(i, n))
		}
	}
}

// connectWindow is the longest time after SIGTERM during which clients on the platform still open connections.
const connectWindow = 400 * time.Millisecond

// lateStarts returns the step that starts all sidecars that join during the run. It returns nil if there are none.
func (r *run) lateStarts() []step {
	var numbers []int
	for i := range r.Plan.Sidecars {
		if r.Scenario.StartsLate(i) {
			numbers = append(numbers, i)
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	return []step{{r.Scenario.Members.LateStart.Duration(), fmt.Sprintf("sidecars %v start", numbers), faultOnce, func(ctx context.Context) error {
		return harness.ForEach(numbers, func(i int) error { return r.sidecars[i].start(ctx) })
	}}}
}
