package model

import (
	"fmt"
	"slices"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/statekey"
	"marblelane/internal/testutil/explore"
)

// LeaseWorld is a world of canary leases: reports, one a tick, that are delayed, lost or duplicated; tables, closing, a
// restart, and a deposed leader that still answers what it confirmed before.
type LeaseWorld struct {
	Defect
	state           *rollout.State
	controller      *rollout.Controller
	deposed         *rollout.Controller // nil: it has nothing left to answer
	deposedState    *rollout.State
	sidecars        [fleetSize]leaseSidecar
	sidecarCount    int              // of sidecars that take part
	closing         *rollout.Command // not committed yet
	clock, maxClock int64
	tableChanges    int // that may still come

	crashes, leaderChanges, duplicates int // faults that may still come
}

type leaseSidecar struct {
	Sidecar
	stage     stage
	sentAt    int64 // of the newest report
	confirmed bool  // by the deposed leader, which has not answered yet
	report    route.Report
	leaseTerm int64         // of the answer
	duplicate *route.Report // arrives a second time
}

// NewLeaseWorld makes a world of so many sidecars, three at most, with a defect planted. The table changes tableChanges
// times, and the clock goes up to lastMS.
func NewLeaseWorld(d Defect, sidecars, tableChanges int, lastMS int64, f Faults) *LeaseWorld {
	w := &LeaseWorld{
		Defect: d, state: newPostedState(), controller: rollout.NewController(controllerOptions(), 0),
		sidecarCount: min(sidecars, fleetSize), maxClock: lastMS, tableChanges: tableChanges,
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
		b = statekey.AppendInts(b, max(s.sentAt+1, w.clock), s.report.AcknowledgedRev, statekey.Bit(s.confirmed))
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

// Check holds what is promised: no attempt begins under a closed revision.
func (w *LeaseWorld) Check() error {
	for i := range w.sidecars {
		if s := &w.sidecars[i]; s.MayUseCanary(w.clock) && s.TableRev <= w.state.Closed() {
			return fmt.Errorf("an attempt may begin under %d, and %d is closed", s.TableRev, w.state.Closed())
		}
	}
	return nil
}

// withState emits a copy whose state, controllers and sidecar i are changed by change.
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

// withSidecar emits a copy whose sidecar i is changed by change, which leaves state and controllers alone.
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

// changeTable moves the rollout forward; a last change after others rolls it back.
func (w *LeaseWorld) changeTable() {
	w.tableChanges--
	command := rollout.Command{Op: rollout.OpForward, Tenant: tenantID, Name: rolloutID}
	if w.tableChanges == 0 && w.state.Rev() != postedRev {
		command.Op = rollout.OpRollBack
	}
	_, _ = w.state.Apply(&command)
}

func (w *LeaseWorld) tick() {
	controller := w.controller
	if w.Defect == LeaseWhileClosing { // the controller does not remember what it has asked to close
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

// changeLeader begins with the next leader. If commands under way are committed, the deposed
// leader has confirmed all reports that were sent to it.
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

// emitExchanges emits what may happen to sidecar i.
func (w *LeaseWorld) emitExchanges(emit func(string, explore.World), i int) {
	s := &w.sidecars[i]
	if s.TableRev < w.state.Rev() {
		w.withSidecar(emit, "watch", i, func(c *LeaseWorld, s *leaseSidecar) {
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
		w.withState(emit, "report answered", i, (*LeaseWorld).respond)
	case s.stage == answered:
		w.emitResponse(emit, i)
	}
}

func (w *LeaseWorld) emitReport(emit func(string, explore.World), i int) {
	w.withState(emit, "report", i, func(c *LeaseWorld, s *leaseSidecar) {
		s.report, s.sentAt, s.stage = s.NextReport(nil), c.clock, sent
		if c.leaderChanges == 0 { // a delayed report matters only at a leader change; a delayed answer always does
			c.respond(s)
		}
	})
	if w.duplicates > 0 {
		w.withSidecar(emit, "report, and a duplicate later", i, func(c *LeaseWorld, s *leaseSidecar) {
			c.duplicates--
			s.report, s.sentAt, s.stage = s.NextReport(nil), c.clock, sent
			duplicate := s.report
			s.duplicate = &duplicate
		})
	}
}

func (w *LeaseWorld) emitResponse(emit func(string, explore.World), i int) {
	w.withSidecar(emit, "lease", i, func(c *LeaseWorld, s *leaseSidecar) {
		from := s.sentAt
		if c.Defect == LeaseFromResponse {
			from = c.clock
		}
		s.ApplyReportResponse(from, &route.ReportResponse{LeaseMS: s.leaseTerm})
		s.stage = idle
	})
	w.withSidecar(emit, "answer lost", i, func(_ *LeaseWorld, s *leaseSidecar) { s.stage = idle })
}

// respond has the leader respond a report, or the deposed one that has confirmed it.
func (w *LeaseWorld) respond(s *leaseSidecar) {
	controller, state := w.controller, w.state
	if s.confirmed {
		controller, state = w.deposed, w.deposedState
	}
	response := controller.Report(w.clock, state, &s.report)
	s.leaseTerm, s.stage, s.confirmed = response.LeaseMS, answered, false
}
