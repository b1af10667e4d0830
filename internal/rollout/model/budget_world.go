package model

import (
	"fmt"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/statekey"
	"marblelane/internal/testutil/explore"
)

// BudgetWorld explores the failure budget. A budget request may wait for its commit, may be lost together with its
// leader or may arrive a second time at any later point, and its response may be lost or delayed. The clock jumps at
// most once, far enough that every process which does not report afterwards counts as gone, with its granted and
// reserved units. Reports are answered at once, because LeaseWorld explores them.
type BudgetWorld struct {
	Defect
	state      *rollout.State
	controller *rollout.Controller
	sidecars   [fleetSize]budgetSidecar
	clock      int64
	failures   int64
	phase      rollout.Phase

	crashes, leaderChanges, duplicates, clockJumps int // remaining numbers of faults
}

type budgetSidecar struct {
	Sidecar
	stage   stage
	request route.BudgetRequest
	entries []rollout.LedgerEntry

	duplicate       *route.BudgetRequest  // a copy of a request that has not arrived yet
	delayedResponse *route.BudgetResponse // a response that has not arrived yet
}

// jumpedClock is the time in ms after the clock jump. It exceeds the timeout after which a silent process counts as
// gone.
const jumpedClock = 10

// NewBudgetWorld returns a world with a planted defect and a limited number of faults.
func NewBudgetWorld(d Defect, f Faults) *BudgetWorld {
	w := &BudgetWorld{
		Defect: d, state: newPostedState(), controller: rollout.NewController(controllerOptions(), 0),
		phase: rollout.Running, crashes: f.Crashes, leaderChanges: f.LeaderChanges, duplicates: f.Duplicates,
		clockJumps: f.ClockJumps,
	}
	for i := range w.sidecars {
		w.sidecars[i].Sidecar = newSidecar(i)
		w.exchangeReport(&w.sidecars[i])
	}
	return w
}

// Key implements explore.World.
func (w *BudgetWorld) Key() []byte {
	common := w.state.AppendKey(nil, tenantID, rolloutID)
	common = statekey.AppendInts(common, w.clock, int64(w.crashes), int64(w.leaderChanges), int64(w.duplicates),
		int64(w.clockJumps), w.failures)
	var keys [fleetSize][]byte
	for i := range w.sidecars {
		keys[i] = w.sidecarKey(&w.sidecars[i])
	}
	return joinKeys(common, keys)
}

func (w *BudgetWorld) sidecarKey(s *budgetSidecar) []byte {
	b := statekey.AppendInts(nil, s.Start, s.Budget.Granted, s.Budget.Spent, s.Budget.Returned, s.Budget.Reserved, int64(s.stage))
	b = statekey.AppendInts(b, max(s.LeaseUntil, w.clock), statekey.BoolInt(s.CanaryActive))
	for start := int64(1); start <= s.Start; start++ {
		key := rollout.AccountKey(route.Process{Name: s.Name, Start: start})
		b = w.state.AppendAccountKey(b, tenantID, rolloutID, key)
		b = w.controller.AppendLeaseKey(b, key, w.clock)
		b = w.controller.AppendDemandKey(b, tenantID, key)
	}
	if s.stage == received {
		for _, entry := range s.entries {
			b = statekey.AppendInts(b, entry.Granted, entry.Spent, entry.Returned)
		}
	}
	if response := s.delayedResponse; response != nil {
		b = statekey.AppendInts(append(b, 'A'), response.Budgets[0].Granted, response.Budgets[0].MaxIdle)
	}
	if s.duplicate != nil {
		b = appendRequestKey(append(b, 'L'), s.duplicate)
	}
	return b
}

func appendRequestKey(b []byte, request *route.BudgetRequest) []byte {
	state := request.Budgets[0]
	return statekey.AppendInts(b, request.Start, state.Granted, state.Spent, state.Returned)
}

// Check verifies that failures and grants stay within the budget, that no unit has two owners, and that a rollout which
// has ended stays in its final phase.
func (w *BudgetWorld) Check() error {
	phase := w.state.Phase(tenantID, rolloutID)
	granted, _, returned := w.state.BudgetTotals(tenantID, rolloutID)
	maxFailures := w.failures // number of failures if every attempt in flight or still possible fails
	for i := range w.sidecars {
		maxFailures += w.sidecars[i].Budget.Free() + w.sidecars[i].Budget.Reserved
	}
	switch {
	case w.failures > budget:
		return fmt.Errorf("%d failures of a budget of %d", w.failures, budget)
	case w.Defect == None && maxFailures > budget:
		return fmt.Errorf("%d failures are possible under a budget of %d", maxFailures, budget)
	case granted-returned > budget:
		return fmt.Errorf("%d units are granted under a budget of %d", granted-returned, budget)
	case w.phase.IsFinal() && phase != w.phase:
		return fmt.Errorf("the final phase %s changed to %s", w.phase, phase)
	}
	if w.Defect != None || phase.IsFinal() {
		return nil
	}
	for i := range w.sidecars {
		sidecarBudget := w.sidecars[i].Budget
		account := w.state.Account(tenantID, rolloutID, rollout.AccountKey(w.sidecars[i].Process))
		if sidecarBudget.Granted > account.Granted || sidecarBudget.Returned < account.Returned {
			return fmt.Errorf("a unit has two owners: sidecar budget %+v, ledger account %+v", sidecarBudget, account)
		}
	}
	return nil
}

// withState emits a copy of the world after change has modified its state, controller and sidecar i.
func (w *BudgetWorld) withState(
	emit func(string, explore.World), what string, i int, change func(w *BudgetWorld, s *budgetSidecar),
) {
	w.withSidecar(emit, what, i, func(c *BudgetWorld, s *budgetSidecar) {
		c.state, c.controller = w.state.Clone(), w.controller.Clone()
		change(c, s)
		if !c.phase.IsFinal() {
			c.phase = c.state.Phase(tenantID, rolloutID)
		}
	})
}

// withSidecar emits a copy of the world after change has modified sidecar i. The copy shares the state and the
// controller with the original, so change must not modify them.
func (w *BudgetWorld) withSidecar(
	emit func(string, explore.World), what string, i int, change func(w *BudgetWorld, s *budgetSidecar),
) {
	c := *w
	change(&c, &c.sidecars[i])
	emit(what, &c)
}

// Next implements explore.World.
func (w *BudgetWorld) Next(emit func(string, explore.World)) {
	ended := w.Defect == None && w.phase.IsFinal() // Check has already counted all attempts that may still fail
	for i := range w.sidecars {
		if !ended {
			w.emitAttempts(emit, i)
		}
		if !ended || w.sidecars[i].stage == received {
			w.emitExchanges(emit, i)
		}
	}
	if w.leaderChanges > 0 {
		for _, committed := range []bool{false, true} {
			what := fmt.Sprintf("leader change, commands committed: %v", committed)
			w.withState(emit, what, 0, func(c *BudgetWorld, _ *budgetSidecar) { c.changeLeader(committed) })
		}
	}
	if w.clockJumps > 0 {
		w.withState(emit, "clock jump", 0, func(c *BudgetWorld, _ *budgetSidecar) {
			c.clockJumps, c.clock = 0, jumpedClock
			c.tick()
		})
	}
	w.withState(emit, "tick", 0, func(c *BudgetWorld, _ *budgetSidecar) { c.tick() })
}

// emitAttempts emits the worlds in which an attempt of sidecar i begins or ends, or in which the sidecar crashes.
func (w *BudgetWorld) emitAttempts(emit func(string, explore.World), i int) {
	s := &w.sidecars[i]
	mayBegin := s.Budget.Free() > 0 || w.Defect == NoReservation && s.Budget.Reserved == 0
	if s.MayUseCanary(w.clock) && mayBegin {
		w.withSidecar(emit, "attempt begins", i, func(_ *BudgetWorld, s *budgetSidecar) { s.Budget.Reserved++ })
	}
	if s.Budget.Reserved > 0 {
		w.withSidecar(emit, "attempt succeeds", i, func(_ *BudgetWorld, s *budgetSidecar) { s.Budget.Settle(false) })
		w.withSidecar(emit, "attempt fails", i, func(c *BudgetWorld, s *budgetSidecar) {
			s.Budget.Settle(true)
			c.failures++
		})
	}
	if w.crashes > 0 {
		w.withState(emit, "crash", i, func(c *BudgetWorld, s *budgetSidecar) { c.crash(s, i) })
	}
}

// crash restarts a sidecar. It counts all attempts in flight as failures, since any of them may have failed.
func (w *BudgetWorld) crash(s *budgetSidecar, i int) {
	w.crashes--
	w.failures += s.Budget.Reserved
	start := s.Start + 1
	*s = budgetSidecar{Sidecar: newSidecar(i), duplicate: s.duplicate}
	s.Start = start
	w.exchangeReport(s)
}

// emitExchanges emits the worlds that follow when a budget request or response of sidecar i is sent, committed or
// delivered.
func (w *BudgetWorld) emitExchanges(emit func(string, explore.World), i int) {
	switch w.sidecars[i].stage {
	case idle:
		w.emitRequest(emit, i)
	case received:
		w.emitCommit(emit, i)
	}
	if w.sidecars[i].delayedResponse != nil {
		w.withSidecar(emit, "delayed response arrives", i, func(_ *BudgetWorld, s *budgetSidecar) {
			s.ApplyBudgetResponse(s.delayedResponse)
			s.delayedResponse = nil
		})
	}
	if w.sidecars[i].duplicate != nil {
		w.withState(emit, "duplicate arrives", i, func(c *BudgetWorld, s *budgetSidecar) {
			c.applyEntries(c.controller.BudgetEntries(c.clock, c.state, s.duplicate))
			s.duplicate = nil
		})
	}
}

// emitRequest emits the worlds in which sidecar i sends a budget request, with or without a later duplicate.
func (w *BudgetWorld) emitRequest(emit func(string, explore.World), i int) {
	w.withState(emit, "request", i, func(c *BudgetWorld, s *budgetSidecar) {
		s.request = s.BudgetRequest(wantedUnits)
		c.receiveRequest(s)
	})
	if w.duplicates > 0 {
		w.withState(emit, "request, and a duplicate later", i, func(c *BudgetWorld, s *budgetSidecar) {
			c.duplicates--
			s.request = s.BudgetRequest(wantedUnits)
			duplicate := s.request
			s.duplicate = &duplicate
			c.receiveRequest(s)
		})
	}
}

// emitCommit emits the worlds in which the request of sidecar i is committed and its response arrives, is lost or is
// delayed.
func (w *BudgetWorld) emitCommit(emit func(string, explore.World), i int) {
	w.withState(emit, "committed, response arrives", i, func(c *BudgetWorld, s *budgetSidecar) {
		response := c.commit(s)
		s.ApplyBudgetResponse(&response)
	})
	w.withState(emit, "committed, response lost", i, func(c *BudgetWorld, s *budgetSidecar) { c.commit(s) })
	if w.duplicates > 0 {
		w.withState(emit, "committed, response delayed", i, func(c *BudgetWorld, s *budgetSidecar) {
			c.duplicates--
			response := c.commit(s)
			s.delayedResponse = &response
		})
	}
	if w.Defect == GrantBeforeCommit {
		w.withState(emit, "response before the commit", i, func(c *BudgetWorld, s *budgetSidecar) {
			ahead := c.state.Clone()
			_, _ = ahead.Apply(&rollout.Command{Op: rollout.OpLedger, Entries: s.entries})
			response := c.controller.BudgetResponse(ahead, &s.request)
			s.ApplyBudgetResponse(&response)
		})
	}
}

// exchangeReport sends a report and applies its response at once. It resets the sequence number and the stamp, which do
// not affect this world, so that they do not distinguish states.
func (w *BudgetWorld) exchangeReport(s *budgetSidecar) {
	report := s.NextReport(nil)
	s.Seq = 0
	response := w.controller.Report(w.clock, w.state, &report)
	s.ApplyReportResponse(w.clock, &response)
	s.Stamp = route.LeaderTime{}
	table := w.state.Table()
	s.ApplyTable(&table)
}

// receiveRequest passes a sidecar's budget request to the leader. The resulting entries stay uncommitted.
func (w *BudgetWorld) receiveRequest(s *budgetSidecar) {
	w.exchangeReport(s)
	s.entries, s.stage = w.controller.BudgetEntries(w.clock, w.state, &s.request), received
	if w.Defect == NoReservation {
		s.entries = []rollout.LedgerEntry{{
			Process: s.Process, Tenant: tenantID, Rollout: rolloutID, Granted: s.request.Budgets[0].Spent,
		}}
	}
}

// commit commits the entries of a sidecar's request and returns the response.
func (w *BudgetWorld) commit(s *budgetSidecar) route.BudgetResponse {
	w.applyEntries(s.entries)
	s.entries, s.stage = nil, idle
	return w.controller.BudgetResponse(w.state, &s.request)
}

func (w *BudgetWorld) applyEntries(entries []rollout.LedgerEntry) {
	_, _ = w.state.Apply(&rollout.Command{Op: rollout.OpLedger, Entries: entries})
}

// changeLeader replaces the leader. All uncommitted entries are either committed or lost.
func (w *BudgetWorld) changeLeader(committed bool) {
	w.leaderChanges--
	for i := range w.sidecars {
		if s := &w.sidecars[i]; s.stage == received {
			if committed {
				w.applyEntries(s.entries)
			}
			s.entries, s.stage = nil, idle
		}
	}
	w.controller = rollout.NewController(controllerOptions(), w.clock)
	for i := range w.sidecars {
		w.exchangeReport(&w.sidecars[i])
	}
}

// tick commits the ledger commands that are due. It skips other commands, which LeaseWorld explores.
func (w *BudgetWorld) tick() {
	commands, _ := w.controller.Tick(w.clock, w.state, oneServerReady)
	for _, command := range commands {
		if command.Op != rollout.OpLedger {
			continue
		}
		for i := range command.Entries {
			if e := &command.Entries[i]; w.Defect == GoneUnitsReturned && e.Gone {
				account := w.state.Account(tenantID, rolloutID, rollout.AccountKey(e.Process))
				e.Gone, e.Returned = false, account.Granted-account.Spent
			}
		}
		_, _ = w.state.Apply(&command)
	}
}
