package routeclient

// This file asks the list service for units of rollouts' budgets, and settles those that were spent.

import (
	"context"
	"time"

	"marblelane/internal/route"
)

// budgetKey names one.
type budgetKey struct{ tenant, rollout string }

// budgetHolder is the state of one duty.
type budgetHolder struct {
	s       *Client
	to      caller
	spent   map[budgetKey]int64 // as the service was told
	granted map[budgetKey]int64 // as it has told
	last    time.Time           // of the last ask
	gap     time.Duration       // least time to the next one
	failing bool
}

// hold asks for units, and settles those that were spent or are given back.
func (s *Client) hold(ctx context.Context) {
	h := budgetHolder{s: s, to: caller{s: s}, gap: s.timings.holdSoon}
	pause := s.newBackoff(s.timings.hold)
	timer := time.NewTimer(s.timings.hold)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if purses, _, _ := h.purses(); len(purses) > 0 && !h.failing {
				s.finally(ctx, func(ctx context.Context) error {
					_, err := h.ask(ctx, purses)
					return err
				})
			}
			return
		case <-timer.C:
		case <-s.offered:
		}
		purses, short, more := h.purses()
		if len(purses) == 0 {
			continue
		}
		if early := time.Until(h.last.Add(h.wait(short, more))); early > 0 {
			timer.Reset(early)
			continue
		}
		gained, err := h.ask(ctx, purses)
		h.last = time.Now()
		timer.Reset(s.timings.hold)
		switch {
		case ctx.Err() != nil: // it tells nothing of the service
		case err != nil:
			if !h.failing {
				s.cfg.Log.Warn("routes: an ask for units was not answered", "error", err)
			}
			h.failing, h.gap = true, pause.next()
			timer.Reset(h.gap)
		case gained || h.failing:
			h.failing, h.gap = false, s.timings.holdSoon
			pause.Reset()
		case short: // there is nothing to be had just now
			h.gap = min(2*h.gap, s.timings.hold)
		}
	}
}

// wait is how long after the last ask the next one comes.
func (h *budgetHolder) wait(short, more bool) time.Duration {
	switch {
	case h.failing:
		return h.gap
	case more:
		return h.s.timings.holdSoon
	case short:
		return h.gap
	}
	return h.s.timings.hold
}

// purses are what the next ask says, and why it is urgent: one is short, or more was spent than was told.
func (h *budgetHolder) purses() (purses []route.BudgetState, short, more bool) {
	s := h.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain()
	for _, p := range s.newest.Purses {
		more = more || p.Spent > h.spent[budgetKey{p.Tenant, p.Rollout}]
	}
	return s.newest.Purses, s.short, more
}

// ask asks once, and reports whether more was granted than before.
func (h *budgetHolder) ask(ctx context.Context, purses []route.BudgetState) (gained bool, err error) {
	s := h.s
	s.mu.Lock()
	s.short = false // what is short from here on is said by the next ask
	in := route.BudgetRequest{Process: route.Process{Name: s.cfg.Name, Start: s.start}, Budgets: purses}
	s.mu.Unlock()
	var a route.BudgetResponse
	if err := h.to.post(ctx, route.BudgetsPath, &in, &a); err != nil {
		return false, err
	}
	before := h.granted
	h.spent, h.granted = map[budgetKey]int64{}, map[budgetKey]int64{}
	for _, p := range purses {
		id := budgetKey{p.Tenant, p.Rollout}
		h.spent[id], h.granted[id] = p.Spent, before[id]
	}
	var grants []route.BudgetGrant
	for _, g := range a.Budgets {
		id := budgetKey{g.Tenant, g.Rollout}
		if have, asked := h.granted[id]; asked && g.Granted >= have {
			gained = gained || g.Granted > have
			h.granted[id] = g.Granted
			g.MaxIdle = max(g.MaxIdle, 0)
			grants = append(grants, g)
		}
	}
	if len(grants) > 0 {
		s.grant(grants)
	}
	return gained, nil
}
