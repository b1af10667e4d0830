package routeclient

// This file requests units of rollouts' budgets, and settles what was spent and returned.

import (
	"context"
	"time"

	"marblelane/internal/route"
)

// budgetKey names a budget.
type budgetKey struct{ tenant, rollout string }

// budgetRequester is the state of the duty to hold budgets.
type budgetRequester struct {
	client        *Client
	caller        caller
	reportedSpent map[budgetKey]int64 // as of the newest answered request
	granted       map[budgetKey]int64 // as of its answer
	lastRequestAt time.Time
	minInterval   time.Duration // to the next request, while units are needed or requests fail
	backoff       *boundedBackoff
	failing       bool
}

// requestBudgets requests units, and settles what was spent or is returned, until ctx ends; then once more.
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

// sendFinalRequest settles once more after ctx has ended.
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

// budgetDemand is what the next request says, and why it is urgent.
type budgetDemand struct {
	budgets               []route.BudgetState
	needsUnits            bool // an attempt lacked a unit
	hasUnreportedSpending bool // more was spent than the service knows
}

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

// interval is the time from the last request to the next one.
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

// requestOnce sends a request, and returns the time until the next one is looked at.
func (h *budgetRequester) requestOnce(ctx context.Context, d budgetDemand) (next time.Duration) {
	timings := &h.client.timings
	gained, err := h.request(ctx, d.budgets)
	h.lastRequestAt = time.Now()
	next = timings.budgetInterval
	switch {
	case ctx.Err() != nil: // the error says nothing of the service
	case err != nil:
		if !h.failing {
			h.client.cfg.Log.Warn("routes: budget request not answered", "err", err)
		}
		h.failing, h.minInterval = true, h.backoff.next()
		next = h.minInterval
	case gained || h.failing:
		h.failing, h.minInterval = false, timings.minBudgetInterval
		h.backoff.Reset()
	case d.needsUnits: // no unit is left at present
		h.minInterval = min(2*h.minInterval, timings.budgetInterval)
	}
	return next
}

// request sends one request, and reports whether more was granted than before.
func (h *budgetRequester) request(ctx context.Context, budgets []route.BudgetState) (gained bool, err error) {
	c := h.client
	c.mu.Lock()
	c.needsUnits = false // a need from here on belongs to the next request
	request := route.BudgetRequest{Process: route.Process{Name: c.cfg.Name, Start: c.start}, Budgets: budgets}
	c.mu.Unlock()
	var answer route.BudgetResponse
	if err := h.caller.post(ctx, route.BudgetsPath, &request, &answer); err != nil {
		return false, err
	}
	h.recordReported(budgets)
	var grants []route.BudgetGrant
	for _, grant := range answer.Budgets {
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

// recordReported notes what the service knows of budgets, and forgets those that were not part of the request.
func (h *budgetRequester) recordReported(budgets []route.BudgetState) {
	before := h.granted
	h.reportedSpent, h.granted = map[budgetKey]int64{}, map[budgetKey]int64{}
	for _, b := range budgets {
		key := budgetKey{b.Tenant, b.Rollout}
		h.reportedSpent[key], h.granted[key] = b.Spent, before[key]
	}
}
