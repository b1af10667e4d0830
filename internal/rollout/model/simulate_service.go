package model

// This file models the list service of a simulation. It has at most one leader at a time, and a command takes
// CommitTime to be committed.

import (
	"encoding/json"
	"fmt"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

type service struct {
	state          *rollout.State
	controller     *rollout.Controller // nil while there is no leader
	leaderTerm     int
	pending        []pendingRequest // budget requests of the next batch, in order of arrival
	batchScheduled bool
}

// pendingRequest is a budget request with its uncommitted ledger entries.
type pendingRequest struct {
	sidecar *simSidecar
	request route.BudgetRequest
	entries []rollout.LedgerEntry
}

func (s *simulation) electLeader() {
	s.service.leaderTerm++
	options := s.Options.Controller
	options.Leader = fmt.Sprint("leader", s.service.leaderTerm)
	s.service.controller = rollout.NewController(options, s.now)
}

// loseLeader removes the leader with its pending requests and schedules the next election.
func (s *simulation) loseLeader() {
	s.service.controller, s.service.pending = nil, nil
	s.scheduleAfter(s.ElectionTime, s.electLeader)
}

// tick proposes the commands that the controller finds due.
func (s *simulation) tick() {
	if s.service.controller == nil {
		return
	}
	commands, _ := s.service.controller.Tick(s.now, s.service.state, oneServerReady)
	for i := range commands {
		s.commit(&commands[i], nil)
	}
	s.recordCanaryStopped()
}

// receiveBudgetRequest adds a budget request to the next batch. Without a leader the request is lost.
func (s *simulation) receiveBudgetRequest(from *simSidecar, request route.BudgetRequest) {
	if s.service.controller == nil {
		return
	}
	s.result.BudgetRequests++
	entries := s.service.controller.BudgetEntries(s.now, s.service.state, &request)
	s.service.pending = append(s.service.pending, pendingRequest{from, request, entries})
	if !s.service.batchScheduled {
		s.service.batchScheduled = true
		s.scheduleAfter(s.BatchTime, s.commitBatch)
	}
}

// commitBatch combines the entries of the pending requests into one command and responds to the requests once it is
// committed. Without entries it responds at once.
func (s *simulation) commitBatch() {
	s.service.batchScheduled = false
	batch := s.service.pending
	s.service.pending = nil
	command := &rollout.Command{Op: rollout.OpLedger}
	for i := range batch {
		command.Entries = append(command.Entries, batch[i].entries...)
	}
	if len(command.Entries) > 0 {
		s.commit(command, func() { s.respondToBatch(batch) })
	} else if s.service.controller != nil {
		s.respondToBatch(batch)
	}
}

// respondToBatch sends the responses to committed budget requests.
func (s *simulation) respondToBatch(requests []pendingRequest) {
	for _, p := range requests {
		response := s.service.controller.BudgetResponse(s.service.state, &p.request)
		s.sendTo(p.sidecar, p.request.Start, func() { p.sidecar.ApplyBudgetResponse(&response) })
	}
}

// commit applies a command after CommitTime and then calls onCommit, which may be nil. The command is lost if its
// leader fails before that.
func (s *simulation) commit(command *rollout.Command, onCommit func()) {
	term := s.service.leaderTerm
	s.scheduleAfter(s.CommitTime, func() {
		if s.service.controller == nil || s.service.leaderTerm != term {
			return
		}
		s.apply(command)
		if onCommit != nil {
			onCommit()
		}
	})
}

func (s *simulation) apply(command *rollout.Command) {
	state := s.service.state
	before := state.Rev()
	_, _ = state.Apply(command) // a command that is no longer valid is rejected, which is intended
	s.result.Commands++
	if command.Op == rollout.OpLedger {
		s.result.LedgerCommands++
		s.result.LedgerEntries += int64(len(command.Entries))
		data, _ := json.Marshal(command) // encoding plain values cannot fail
		s.result.LedgerBytes += int64(len(data))
	}
	granted, _, returned := state.BudgetTotals(simTenant, simRollout)
	s.result.Overclaimed = s.result.Overclaimed || granted-returned > s.Budget
	if state.Rev() != before {
		s.tableChanged()
	}
}

// tableChanged records the new step or the rollback and sends the table to all sidecars.
func (s *simulation) tableChanged() {
	r, _ := s.service.state.Rollout(simTenant, simRollout)
	s.canaryFraction = s.Steps[r.Step].CanaryFraction
	if r.Phase == rollout.RolledBack && s.result.RolledBack < 0 {
		s.result.RolledBack = s.now
	}
	for _, sidecar := range s.sidecars {
		s.sendTable(sidecar)
	}
}

// sendTable notifies a sidecar, which reads the table as it is when the message arrives.
func (s *simulation) sendTable(to *simSidecar) {
	s.sendTo(to, to.Start, func() {
		table := s.service.state.Table()
		to.ApplyTable(&table)
		s.recordCanaryStopped()
	})
}

// recordCanaryStopped records the first time after a rollback at which no sidecar may use the canary.
func (s *simulation) recordCanaryStopped() {
	if s.result.RolledBack < 0 || s.result.CanaryStopped >= 0 {
		return
	}
	for _, sidecar := range s.sidecars {
		if sidecar.MayUseCanary(s.now) {
			return
		}
	}
	s.result.CanaryStopped = s.now
}
