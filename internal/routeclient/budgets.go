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
	h := budgetRequester{
		client: c, caller: caller{client: c}, minInterval: c.timings.minBudgetInterval,
		backoff: c.newBackoff(c.timings.budgetInterval),
	}
	timer := time.NewTimer(c.timings.budgetInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			h.sendFinalRequest(ctx)
			return
		case <-timer.C:
		case <-c.sampleOffered:
		}
		demand := h.demand()
		if len(demand.budgets) == 0 {
			continue
		}
		if early := time.Until(h.lastRequestAt.Add(h.interval(demand))); early > 0 {
			timer.Reset(early)
			continue
		}
		timer.Reset(h.requestOnce(ctx, demand))
	}
}

// sendFinalRequest sends a request after ctx has ended, unless there are no budgets or requests fail at present.
func (h *budgetRequester) sendFinalRequest(ctx context.Context) {
	budgets := h.demand().budgets
	if len(budgets) == 0 || h.failing {
		return
	}
	h.client.finalCall(ctx, func(ctx context.Context) error {
		_, err := h.request(ctx, budgets)
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
func (h *budgetRequester) demand() budgetDemand {
	c := h.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainSamples()
	d := budgetDemand{budgets: c.newestSample.Budgets, needsUnits: c.needsUnits}
	for _, b := range d.budgets {
		d.hasUnreportedSpending = d.hasUnreportedSpending || b.Spent > h.reportedSpent[budgetKey{b.Tenant, b.Rollout}]
	}
	return d
}

// interval returns the time between the last request and the next one.
func (h *budgetRequester) interval(d budgetDemand) time.Duration {
	switch {
	case h.failing:
		return h.minInterval
	case d.hasUnreportedSpending:
		return h.client.timings.minBudgetInterval
	case d.needsUnits:
		return h.minInterval
	}
	return h.client.timings.budgetInterval
}

// requestOnce sends a request, and returns the time after which to consider the next one.
func (h *budgetRequester) requestOnce(ctx context.Context, d budgetDemand) (next time.Duration) {
	timings := &h.client.timings
	gained, err := h.request(ctx, d.budgets)
	h.lastRequestAt = time.Now()
	next = timings.budgetInterval
	switch {
	case ctx.Err() != nil: // the error is that of ctx, not of the service
	case err != nil:
		if !h.failing {
			h.client.cfg.Log.Warn("routes: budget request failed", "err", err)
		}
		h.failing, h.minInterval = true, h.backoff.next()
		next = h.minInterval
	case gained || h.failing:
		h.failing, h.minInterval = false, timings.minBudgetInterval
		h.backoff.Reset()
	case d.needsUnits: // no unit is available at present
		h.minInterval = min(2*h.minInterval, timings.budgetInterval)
	}
	return next
}

// request sends one request, and reports whether more was granted than before.
func (h *budgetRequester) request(ctx context.Context, budgets []route.BudgetState) (gained bool, err error) {
	c := h.client
	c.mu.Lock()
	c.needsUnits = false // needs that arise from now on belong to the next request
	request := route.BudgetRequest{Process: route.Process{Name: c.cfg.Name, Start: c.start}, Budgets: budgets}
	c.mu.Unlock()
	var response route.BudgetResponse
	if err := h.caller.post(ctx, route.BudgetsPath, &request, &response); err != nil {
		return false, err
	}
	h.recordReported(budgets)
	var grants []route.BudgetGrant
	for _, grant := range response.Budgets {
		key := budgetKey{grant.Tenant, grant.Rollout}
		if known, requested := h.granted[key]; requested && grant.Granted >= known {
			gained = gained || grant.Granted > known
			h.granted[key] = grant.Granted
			grant.MaxIdle = max(grant.MaxIdle, 0)
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		c.offerGrants(grants)
	}
	return gained, nil
}

// recordReported records the spent units that the service has received. It removes the budgets that were not part of the
// request.
func (h *budgetRequester) recordReported(budgets []route.BudgetState) {
	before := h.granted
	h.reportedSpent, h.granted = map[budgetKey]int64{}, map[budgetKey]int64{}
	for _, b := range budgets {
		key := budgetKey{b.Tenant, b.Rollout}
		h.reportedSpent[key], h.granted[key] = b.Spent, before[key]
	}
}
