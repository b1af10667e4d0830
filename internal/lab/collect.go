package lab

import (
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/report"
)

func (r *run) report(all []record.Event, worked float64, lates, lag []time.Duration, delays report.ProcessorDelays) *report.Report {
	var routes *invariant.Routes
	if o := r.rollouts.Load(); o != nil {
		routes = o.facts()
	}
	rep := report.New(r.Plan, all, worked, routes, delays)
	if r.members != nil { // before the rules of routes ask which were held to some case
		facts := r.members.facts()
		invariant.CheckMembers(all, facts, rep.Verdict)
		rep.Members = membersResult(all, facts, r.Scenario)
	}
	if o := r.rollouts.Load(); o != nil {
		rep.Routes = o.result(all, routes, rep.Verdict)
	}
	rep.Lateness = report.NewLateness(lates, lag)
	if r.service != nil {
		r.service.rr.AddTo(rep.Verdict)
	}
	rep.CheckExpectations(r.Scenario)
	return rep
}
