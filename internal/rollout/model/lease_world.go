package model

import (
	"fmt"
	"slices"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/statekey"
	"marblelane/internal/testutil/explore"
)

// LeaseWorld explores canary leases. Each sidecar sends at most one report per clock tick. The report may be delayed,
// lost or duplicated, and its response may be delayed or lost. The table changes, revisions are closed, sidecars
// restart, and a deposed leader may still respond to the reports that it confirmed before its successor was elected.
type LeaseWorld struct {
	Defect
	state           *rollout.State
	controller      *rollout.Controller
	deposed         *rollout.Controller // nil: no response of a deposed leader is outstanding
	deposedState    *rollout.State
	sidecars        [fleetSize]leaseSidecar
	sidecarCount    int              // number of sidecars that send reports
	closing         *rollout.Command // close command that is not committed yet, or nil
	clock, maxClock int64            // in ms
	tableChanges    int              // remaining number of table changes

	crashes, leaderChanges, duplicates int // remaining numbers of faults
}

type leaseSidecar struct {
	Sidecar
	stage     stage
	sentAt    int64 // time at which the newest report was sent, -1 before the first
	confirmed bool  // whether the deposed leader confirmed the report but has not responded yet
	report    route.Report
	leaseTerm int64         // lease term in the response, in ms
	duplicate *route.Report // copy of a report that has not arrived yet
}

// NewLeaseWorld returns a world with a planted defect, the given number of sidecars (at most three) and a limited
// number of faults. The table changes up to tableChanges times, and the clock advances up to
// maxClock.
func NewLeaseWorld(d Defect, sidecars, tableChanges int, maxClock int64, f Faults) *LeaseWorld {
	w := &LeaseWorld{
		Defect: d, state: newPostedState(), controller: rollout.NewController(controllerOptions(), 0),
		sidecarCount: min(sidecars, fleetSize), maxClock: maxClock, tableChanges: tableChanges,
		crashes: f.Crashes, leaderChanges: f.LeaderChanges, duplicates: f.Duplicates,
	}
	for i := range w.sidecars {
		w.sidecars[i].Sidecar = newSidecar(i)
		w.sidecars[i].sentAt = -1
		table := w.state.Table()
		w.sidecars[i].ApplyTable(&table)
	}
	return w
}

// Key implements explore.World.
func (w *LeaseWorld) Key() []byte {
	common := w.state.AppendKey(nil, tenantID, rolloutID)
	common = statekey.AppendInts(common, w.clock, int64(w.crashes), int64(w.leaderChanges), int64(w.duplicates))
	common = w.controller.AppendKey(common, w.clock)
	if w.deposed != nil {
		common = w.deposedState.AppendKey(append(common, 'D'), tenantID, rolloutID)
	}
	if w.closing != nil {
		common = statekey.AppendInts(append(common, 'C'), w.closing.Rev)
	}
	var keys [fleetSize][]byte
	for i := range w.sidecars {
		keys[i] = w.sidecarKey(&w.sidecars[i])
	}
	return joinKeys(common, keys)
}

func (w *LeaseWorld) sidecarKey(s *leaseSidecar) []byte {
	b := statekey.AppendInts(nil, s.Start, s.TableRev, max(s.LeaseUntil, w.clock), int64(s.stage), min(s.sentAt-w.clock, 0))
	var seqs []int64
	switch s.stage {
	case sent:
		b = statekey.AppendInts(b, max(s.sentAt+1, w.clock), s.report.AcknowledgedRev, statekey.BoolInt(s.confirmed))
		seqs = append(seqs, s.Seq)
	case answered:
		b = statekey.AppendInts(b, max(s.sentAt+s.leaseTerm, w.clock))
	}
	if s.duplicate != nil {
		b = statekey.AppendInts(append(b, 'L'), s.duplicate.AcknowledgedRev, s.duplicate.Start)
		seqs = append(seqs, s.duplicate.Seq)
	}
	for start := int64(1); start <= s.Start; start++ {
		key := rollout.AccountKey(route.Process{Name: s.Name, Start: start})
		b = w.controller.AppendLeaseKey(b, key, w.clock, seqs...)
		if w.deposed != nil {
			b = w.deposed.AppendLeaseKey(b, key, w.clock, seqs...)
		}
	}
	return b
}

// Check verifies that no attempt can begin under a closed revision.
func (w *LeaseWorld) Check() error {
	for i := range w.sidecars {
		if s := &w.sidecars[i]; s.MayUseCanary(w.clock) && s.TableRev <= w.state.ClosedRev() {
			return fmt.Errorf("an attempt can begin under revision %d, but %d is closed", s.TableRev, w.state.ClosedRev())
		}
	}
	return nil
}

// withState emits a copy of the world after change has modified its state, controllers and sidecar i.
func (w *LeaseWorld) withState(
	emit func(string, explore.World), what string, i int, change func(w *LeaseWorld, s *leaseSidecar),
) {
	w.withSidecar(emit, what, i, func(c *LeaseWorld, s *leaseSidecar) {
		c.state, c.controller = w.state.Clone(), w.controller.Clone()
		if c.deposed != nil {
			c.deposed = w.deposed.Clone()
		}
		change(c, s)
	})
}

// withSidecar emits a copy of the world after change has modified sidecar i. The copy shares the state and the
// controllers with the original, so change must not modify them.
func (w *LeaseWorld) withSidecar(
	emit func(string, explore.World), what string, i int, change func(w *LeaseWorld, s *leaseSidecar),
) {
	c := *w
	change(&c, &c.sidecars[i])
	if c.deposed != nil && !slices.ContainsFunc(c.sidecars[:], func(s leaseSidecar) bool { return s.confirmed }) {
		c.deposed, c.deposedState = nil, nil
	}
	emit(what, &c)
}

// Next implements explore.World.
func (w *LeaseWorld) Next(emit func(string, explore.World)) {
	for i := range w.sidecarCount {
		w.emitExchanges(emit, i)
	}
	if w.clock < w.maxClock {
		w.withSidecar(emit, "clock tick", 0, func(c *LeaseWorld, _ *leaseSidecar) { c.clock++ })
	}
	if w.tableChanges > 0 {
		w.withState(emit, "table change", 0, func(c *LeaseWorld, _ *leaseSidecar) { c.changeTable() })
	}
	if w.closing == nil {
		w.withState(emit, "controller tick", 0, func(c *LeaseWorld, _ *leaseSidecar) { c.tick() })
	} else {
		w.withState(emit, "close committed", 0, func(c *LeaseWorld, _ *leaseSidecar) { c.commitClose() })
	}
	if w.leaderChanges > 0 {
		for _, committed := range []bool{false, true} {
			what := fmt.Sprintf("leader change, commands committed: %v", committed)
			w.withState(emit, what, 0, func(c *LeaseWorld, _ *leaseSidecar) { c.changeLeader(committed) })
		}
	}
}

// changeTable advances the rollout by one step. The last of several changes rolls it back instead.
func (w *LeaseWorld) changeTable() {
	w.tableChanges--
	command := rollout.Command{Op: rollout.OpForward, Tenant: tenantID, Name: rolloutID}
	if w.tableChanges == 0 && w.state.Rev() != postedRev {
		command.Op = rollout.OpRollBack
	}
	_, _ = w.state.Apply(&command)
}

// tick keeps the close command that the controller finds due, until commitClose or changeLeader handles it.
func (w *LeaseWorld) tick() {
	controller := w.controller
	if w.Defect == LeaseWhileClosing { // the controller itself does not record that it is closing a revision
		controller = controller.Clone()
	}
	commands, _ := controller.Tick(w.clock, w.state, oneServerReady)
	for i := range commands {
		if commands[i].Op == rollout.OpClose {
			w.closing = &commands[i]
		}
	}
}

func (w *LeaseWorld) commitClose() {
	_, _ = w.state.Apply(w.closing)
	w.closing = nil
}

// changeLeader replaces the leader. A close command in flight is either committed or lost, except under the defect
// NoBarrierOnElection, which leaves it in flight. If commands are committed, the deposed leader has also confirmed all
// reports that were sent to it, and may still respond to them.
func (w *LeaseWorld) changeLeader(committed bool) {
	w.leaderChanges--
	if committed {
		w.deposedState, w.deposed = w.state.Clone(), w.controller
		for i := range w.sidecars {
			s := &w.sidecars[i]
			s.confirmed = s.stage == sent
		}
	}
	if w.Defect != NoBarrierOnElection {
		if committed && w.closing != nil {
			w.commitClose()
		}
		w.closing = nil
	}
	startedAt := w.clock
	if w.Defect == NoLeaseWait {
		startedAt -= controllerOptions().LeaseTerm
	}
	w.controller = rollout.NewController(controllerOptions(), startedAt)
}

// emitExchanges emits the worlds in which sidecar i receives a table, crashes, or sends or receives a message.
func (w *LeaseWorld) emitExchanges(emit func(string, explore.World), i int) {
	s := &w.sidecars[i]
	if s.TableRev < w.state.Rev() {
		w.withSidecar(emit, "table received", i, func(c *LeaseWorld, s *leaseSidecar) {
			table := c.state.Table()
			s.ApplyTable(&table)
		})
	}
	if w.crashes > 0 && s.Seq > 0 {
		w.withSidecar(emit, "crash", i, func(c *LeaseWorld, s *leaseSidecar) {
			c.crashes--
			*s = leaseSidecar{Sidecar: newSidecar(i), duplicate: s.duplicate, sentAt: -1}
			s.Start = 2
		})
	}
	if s.duplicate != nil {
		w.withState(emit, "duplicate arrives", i, func(c *LeaseWorld, s *leaseSidecar) {
			c.controller.Report(c.clock, c.state, s.duplicate)
			s.duplicate = nil
		})
	}
	switch {
	case s.stage == idle && s.sentAt < w.clock && s.TableRev > 0:
		w.emitReport(emit, i)
	case s.stage == sent:
		w.withState(emit, "report arrives, response sent", i, (*LeaseWorld).respond)
	case s.stage == answered:
		w.emitResponse(emit, i)
	}
}

// emitReport emits the worlds in which sidecar i sends a report, with or without a later duplicate.
func (w *LeaseWorld) emitReport(emit func(string, explore.World), i int) {
	w.withState(emit, "report sent", i, func(c *LeaseWorld, s *leaseSidecar) {
		s.report, s.sentAt, s.stage = s.NextReport(nil), c.clock, sent
		// A delayed report matters only if the leader can still change. A delayed response always matters.
		if c.leaderChanges == 0 {
			c.respond(s)
		}
	})
	if w.duplicates > 0 {
		w.withSidecar(emit, "report sent, and a duplicate later", i, func(c *LeaseWorld, s *leaseSidecar) {
			c.duplicates--
			s.report, s.sentAt, s.stage = s.NextReport(nil), c.clock, sent
			duplicate := s.report
			s.duplicate = &duplicate
		})
	}
}

// emitResponse emits the worlds in which the response to sidecar i arrives or is lost.
func (w *LeaseWorld) emitResponse(emit func(string, explore.World), i int) {
	w.withSidecar(emit, "response arrives", i, func(c *LeaseWorld, s *leaseSidecar) {
		from := s.sentAt
		if c.Defect == LeaseFromResponse {
			from = c.clock
		}
		s.ApplyReportResponse(from, &route.ReportResponse{LeaseMS: s.leaseTerm})
		s.stage = idle
	})
	w.withSidecar(emit, "response lost", i, func(_ *LeaseWorld, s *leaseSidecar) { s.stage = idle })
}

// respond computes the response to a report, by the deposed leader if that has confirmed the report, otherwise by the
// current leader.
func (w *LeaseWorld) respond(s *leaseSidecar) {
	controller, state := w.controller, w.state
	if s.confirmed {
		controller, state = w.deposed, w.deposedState
	}
	response := controller.Report(w.clock, state, &s.report)
	s.leaseTerm, s.stage, s.confirmed = response.LeaseMS, answered, false
}
