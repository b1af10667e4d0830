package registry

import (
	"fmt"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Bounds of what is taken.
const (
	mostReport = 512 << 10 // bytes of a report or an ask for units
	mostInWay  = 20        // processes that a refusal names
	mostPurses = 256       // of one ask for units
	leastLists = 16        // revisions whose counts a process reports at least, if it does not say otherwise; package steer's
	clockSlack = 10        // ms by which wall times may be off as they are turned to the leader's clock, rounding included
)

// routing is a copy's part in routes. Without an operators' file it does nothing, and its paths are not there.
type routing struct {
	s       *Server
	name    string           // of the copy
	opened  time.Time        // monotonic
	wall    func() time.Time // wall clock
	planted defect
	rules   rules

	tables   *tables
	admit    bucket
	watches  atomic.Int64
	reports  chan reportAsk
	units    chan unitsAsk
	changing chan struct{} // has room for the one change that is checked and made at a time
	lead     atomic.Pointer[leadership]
	begun    atomic.Int64 // leaderships of this process
}

func newRouting(s *Server, o Options) *routing {
	r := &routing{s: s, opened: time.Now(), wall: (*fault.Plan)(nil).Now, planted: defect(o.Planted), tables: newTables(defect(o.Planted)), rules: newRules(),
		reports: make(chan reportAsk, mostAsks), units: make(chan unitsAsk, mostAsks), changing: make(chan struct{}, 1)}
	r.admit.level = float64(o.Burst)
	return r
}

// handle adds the paths of routes.
func (r *routing) handle(m *http.ServeMux) {
	m.HandleFunc("GET "+route.TablePath, r.table)
	m.HandleFunc("POST "+route.ReportPath, r.report)
	m.HandleFunc("POST "+route.BudgetsPath, r.ask)
	m.HandleFunc("GET "+routesRevPath, r.newest)
	m.HandleFunc("GET /routes/processes", r.processes)
	m.HandleFunc("GET /routes/audit", r.who)
	m.HandleFunc("POST /routes/schema", r.schema)
	m.HandleFunc("GET /routes/{tenant}", r.show)
	m.HandleFunc("POST /routes/{tenant}/base", r.base)
	m.HandleFunc("POST /routes/{tenant}/rollouts/{name}", r.post)
	for _, op := range []rollout.Op{rollout.OpPause, rollout.OpResume, rollout.OpRollBack, rollout.OpStop} {
		m.HandleFunc("POST /routes/{tenant}/rollouts/{name}/"+string(op), func(w http.ResponseWriter, req *http.Request) { r.move(w, req, op) })
	}
}

// wait hands a call to the leader's duties and answers with what they say.
func wait[Q, A any](r *routing, w http.ResponseWriter, req *http.Request, in chan<- ask[Q, A], what *Q) {
	type outcome struct {
		a   *A
		err error
	}
	done := make(chan outcome, 1)
	select {
	case in <- ask[Q, A]{what, func(a *A, err error) { done <- outcome{a, err} }}:
	default:
		refuse(w, &refusal{status: http.StatusServiceUnavailable, after: time.Second,
			Error: fmt.Sprintf("more than %d calls of this kind wait", mostAsks)})
		return
	}
	select {
	case <-req.Context().Done():
	case out := <-done:
		if out.err != nil {
			refuse(w, refusalOf(out.err))
			return
		}
		tell(w, out.a)
	}
}

// report answers a process's report, POST /routes/reports.
func (r *routing) report(w http.ResponseWriter, req *http.Request) {
	if r.off(w) || !r.s.leading(w, req) {
		return
	}
	var p route.Report
	f := r.body(w, req, mostReport, &p)
	if f == nil {
		f = checkProcess(&p.Process)
	}
	if f == nil {
		f = checkReport(&p)
	}
	if f != nil {
		refuse(w, f)
		return
	}
	wait(r, w, req, r.reports, &p)
}

// ask answers a process's ask for units, POST /routes/units.
func (r *routing) ask(w http.ResponseWriter, req *http.Request) {
	if r.off(w) || !r.s.leading(w, req) {
		return
	}
	var a route.BudgetRequest
	f := r.body(w, req, mostReport, &a)
	if f == nil {
		f = checkProcess(&a.Process)
	}
	if f == nil && len(a.Budgets) > mostPurses {
		f = refusef(http.StatusBadRequest, "purses", "are %d, more than %d", len(a.Budgets), mostPurses)
	}
	for i, p := range a.Budgets {
		a.Budgets[i].Tenant = inside(p.Tenant)
		if f == nil && (p.Spent < 0 || p.Returned < 0 || p.Granted < 0 || p.Wanted < 0 || max(p.Spent, p.Returned, p.Granted, p.Wanted) > math.MaxInt64/4) {
			f = refusef(http.StatusBadRequest, fmt.Sprintf("purses[%d]", i), "granted, spent, returned and want are not all between 0 and 2^61")
		}
	}
	if f != nil {
		refuse(w, f)
		return
	}
	wait(r, w, req, r.units, &a)
}

// leader gives this copy's leadership for a call that needs it, and the operators' file; nil: the call was answered.
func (r *routing) leader(w http.ResponseWriter, req *http.Request) (*leadership, *Operators) {
	if r.off(w) || !r.s.leading(w, req) {
		return nil, nil
	}
	l := r.current()
	if l == nil {
		refuse(w, &refusal{status: http.StatusServiceUnavailable, after: time.Second, Error: "this copy has only just begun to lead"})
		return nil, nil
	}
	return l, r.s.o.Load().Operators
}

// tenant finds the tenant that a call is for, and tells whether its caller may act for it.
func (r *routing) tenant(o *Operators, req *http.Request) (*Tenant, *refusal) {
	t, ok := o.tenant(req.PathValue("tenant"))
	switch {
	case !ok:
		return nil, refusef(http.StatusNotFound, "tenant", "%q is not in the operators' file", clip(req.PathValue("tenant")))
	case !admits(t.Token, req) && (o.Token == "" || !admits(o.Token, req)):
		return nil, refusef(http.StatusUnauthorized, "Authorization", "tenant %q needs its token: Authorization: Bearer TOKEN", t.Name)
	}
	return t, nil
}

// mostShown is how many rollouts have figures.
const mostShown = 100
