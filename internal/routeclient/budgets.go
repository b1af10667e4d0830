package routeclient

// This file requests units of rollouts' budgets, and reports the units that were spent and returned.

import (
	"context"
	"time"

	"marblelane/internal/route"
)

// budgetKey identifies a budget.
type budgetKey struct{ tenant, rollout string }

// budgetRequester is the state of the task that requests budget units.
type budgetRequester struct {
	client        *Client
	caller        caller
	reportedSpent map[budgetKey]int64 // as of the newest request with a response
	granted       map[budgetKey]int64 // as of the response to that request
	lastRequestAt time.Time
	minInterval   time.Duration // time between requests while units are needed or requests fail
	backoff       *boundedBackoff
	failing       bool
}

// requestBudgets requests units, and reports spent and returned units, until ctx ends. Then it sends a final request.
func (c *Client) requestBudgets(ctx context.Context) {
	r := budgetRequester{
		client: c, caller: caller{client: c}, minInterval: c.timings.minBudgetInterval,
		backoff: c.newBackoff(c.timings.budgetInterval),
	}
	timer := time.NewTimer(c.timings.budgetInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.sendFinalRequest(ctx)
			return
		case <-timer.C:
		case <-c.sampleOffered:
		}
		demand := r.demand()
		if len(demand.budgets) == 0 {
			continue
		}
		if early := time.Until(r.lastRequestAt.Add(r.interval(demand))); early > 0 {
			timer.Reset(early)
			continue
		}
		timer.Reset(r.requestOnce(ctx, demand))
	}
}

// sendFinalRequest sends a request after ctx has ended, unless there are no budgets or requests fail at present.
func (r *budgetRequester) sendFinalRequest(ctx context.Context) {
	budgets := r.demand().budgets
	if len(budgets) == 0 || r.failing {
		return
	}
	r.client.finalCall(ctx, func(ctx context.Context) error {
		_, err := r.request(ctx, budgets)
		return err
	})
}

// budgetDemand is the content of the next request, with the reasons to send it soon.
type budgetDemand struct {
	budgets               []route.BudgetState
	needsUnits            bool // an attempt to a canary was not possible for lack of a unit
	hasUnreportedSpending bool // units were spent since the newest request with a response
}

// demand returns the demand as of the newest sample of the event loop.
func (r *budgetRequester) demand() budgetDemand {
	c := r.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainSamples()
	d := budgetDemand{budgets: c.newestSample.Budgets, needsUnits: c.needsUnits}
	for _, b := range d.budgets {
		d.hasUnreportedSpending = d.hasUnreportedSpending || b.Spent > r.reportedSpent[budgetKey{b.Tenant, b.Rollout}]
	}
	return d
}

// interval returns the time between the last request and the next one.
func (r *budgetRequester) interval(d budgetDemand) time.Duration {
	switch {
	case r.failing:
		return r.minInterval
	case d.hasUnreportedSpending:
		return r.client.timings.minBudgetInterval
	case d.needsUnits:
		return r.minInterval
	}
	return r.client.timings.budgetInterval
}

// requestOnce sends a request, and returns the time after which to consider the next one.
func (r *budgetRequester) requestOnce(ctx context.Context, d budgetDemand) (next time.Duration) {
	timings := &r.client.timings
	gained, err := r.request(ctx, d.budgets)
	r.lastRequestAt = time.Now()
	next = timings.budgetInterval
	switch {
	case ctx.Err() != nil: // the error is that of ctx, not of the service
	case err != nil:
		if !r.failing {
			r.client.cfg.Log.Warn("routes: failed to request budgets", "err", err)
		}
		r.failing, r.minInterval = true, r.backoff.next()
		next = r.minInterval
	case gained || r.failing:
		r.failing, r.minInterval = false, timings.minBudgetInterval
		r.backoff.Reset()
	case d.needsUnits: // no unit is available at present
		r.minInterval = min(2*r.minInterval, timings.budgetInterval)
	}
	return next
}

// request sends one request, and reports whether more was granted than before.
func (r *budgetRequester) request(ctx context.Context, budgets []route.BudgetState) (gained bool, err error) {
	c := r.client
	c.mu.Lock()
	c.needsUnits = false // needs that arise from now on belong to the next request
	request := route.BudgetRequest{Process: route.Process{Name: c.cfg.Name, Start: c.start}, Budgets: budgets}
	c.mu.Unlock()
	var response route.BudgetResponse
	if err := r.caller.post(ctx, route.BudgetsPath, &request, &response); err != nil {
		return false, err
	}
	r.recordReported(budgets)
	var grants []route.BudgetGrant
	for _, grant := range response.Budgets {
		key := budgetKey{grant.Tenant, grant.Rollout}
		if known, requested := r.granted[key]; requested && grant.Granted >= known {
			gained = gained || grant.Granted > known
			r.granted[key] = grant.Granted
			grant.MaxIdle = max(grant.MaxIdle, 0)
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		c.offerGrants(grants)
	}
	return gained, nil
}

// recordReported records the spent units that the service has received. It removes the budgets that were not part of
// the request.
func (r *budgetRequester) recordReported(budgets []route.BudgetState) {
	before := r.granted
	r.reportedSpent, r.granted = map[budgetKey]int64{}, map[budgetKey]int64{}
	for _, b := range budgets {
		key := budgetKey{b.Tenant, b.Rollout}
		r.reportedSpent[key], r.granted[key] = b.Spent, before[key]
	}
}
