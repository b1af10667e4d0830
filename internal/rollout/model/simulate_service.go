package model

// This file is the list service of a simulation: one leader at a time, whose commands take a while to be committed.

import (
	"encoding/json"
	"fmt"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

type service struct {
	state          *rollout.State
	controller     *rollout.Controller // nil: there is no leader
	leaderTerm     int
	pending        []pendingRequest // in the order of arrival, until they are gathered
	batchScheduled bool
}

// pendingRequest is a budget request whose entries are not committed.
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

func (s *simulation) loseLeader() {
	s.service.controller, s.service.pending = nil, nil
	s.scheduleAfter(s.ElectionTime, s.electLeader)
}

// tick commits what the controller finds due.
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

// commitBatch makes one command of the pending requests, and answers them once it is committed.
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

func (s *simulation) respondToBatch(requests []pendingRequest) {
	for _, p := range requests {
		response := s.service.controller.BudgetResponse(s.service.state, &p.request)
		s.sendTo(p.sidecar, p.request.Start, func() { p.sidecar.ApplyBudgetResponse(&response) })
	}
}

// commit applies a command once it is on a majority, and calls then. With its leader the command is lost.
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
	_, _ = state.Apply(command) // one that comes too late is rejected, as it should be
	s.result.Commands++
	if command.Op == rollout.OpLedger {
		s.result.LedgerCommands++
		s.result.LedgerEntries += int64(len(command.Entries))
		data, _ := json.Marshal(command) // plain values, which cannot fail
		s.result.LedgerBytes += int64(len(data))
	}
	granted, _, returned := state.BudgetTotals(simTenant, simRollout)
	s.result.Overclaimed = s.result.Overclaimed || granted-returned > s.Budget
	if state.Rev() != before {
		s.tableChanged()
	}
}

// tableChanged notifies all sidecars.
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

// sendTable sends the table as it is when the message arrives.
func (s *simulation) sendTable(to *simSidecar) {
	s.sendTo(to, to.Start, func() {
		table := s.service.state.Table()
		to.ApplyTable(&table)
		s.recordCanaryStopped()
	})
}

// recordCanaryStopped notes when the last sidecar stops using the canary after a rollback.
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
