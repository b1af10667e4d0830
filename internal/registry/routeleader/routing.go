// Package routeleader implements the leader of routes and rollouts. It answers reports and budget requests, replicates
// the controller's decisions, and serves routing tables, tenants' changes and the audit.
package routeleader

import (
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Limits of requests and responses.
const (
	maxBodyBytes         = 64 << 10  // maximum body size of a tenant's request
	maxReportBytes       = 512 << 10 // maximum body size of a report or budget request
	maxListedProcesses   = 20        // maximum number of processes that a rejection lists
	maxBudgetsPerRequest = 256       // maximum number of budgets in one budget request
	minListedRevs        = 16        // default minimum number of revisions in a report's counts, as in the client
	ClockSlackMS         = 10        // maximum error of a wall time converted to the leader's clock, including rounding
)

// Routing serves the routes API of a replica. Without an operators' file the API is off and its paths respond with 404.
type Routing struct {
	server    *listserver.Server
	list      stateReader
	replica   replica
	log       *slog.Logger
	name      string           // replica name
	createdAt time.Time        // time at which this Routing was created; monotonic
	wall      func() time.Time // returns the time of the wall clock
	defect    Defect
	rules     operators.Validator

	tables      *tables
	admit       *listserver.TokenBucket
	watches     atomic.Int64
	reportCalls chan reportCall
	budgetCalls chan budgetCall
	changing    chan struct{} // semaphore of one: changes are checked and replicated one at a time
	lead        atomic.Pointer[leadership]
	leaderships atomic.Int64 // leaderships started by this process
}

// stateReader gives access to the replicated state.
type stateReader interface {
	// Read calls f with the state, which f must not keep.
	Read(f func(*state.State))
}

// replica is the replicated log; its methods are those of registry.Node.
type replica interface {
	Apply(c *state.Command, wait time.Duration) (rev int64, err error)
	Confirm() error
	Leader() (me bool, address string)
	Staleness() time.Duration
	Term() uint64
}

// Config holds the fixed parameters of a Routing.
type Config struct {
	Name           string           // replica name
	Wall           func() time.Time // returns the time of the wall clock
	InjectedDefect string           // defect injected by the lab; empty for none
	Log            *slog.Logger
}

// New creates the routes API of a replica. It serves requests once its handlers are registered with Handle.
func New(server *listserver.Server, list stateReader, replicated replica, c Config) *Routing {
	return &Routing{server: server, list: list, replica: replicated, log: c.Log, name: c.Name, createdAt: time.Now(), wall: c.Wall,
		defect: Defect(c.InjectedDefect), tables: newTables(Defect(c.InjectedDefect)), rules: operators.NewValidator(),
		reportCalls: make(chan reportCall, maxWaitingCalls), budgetCalls: make(chan budgetCall, maxWaitingCalls), changing: make(chan struct{}, 1),
		admit: listserver.NewTokenBucket(server.Options().AdmissionBurst)}
}

// Handle registers the HTTP handlers of the routes API.
func (r *Routing) Handle(m *http.ServeMux) {
	m.HandleFunc("GET "+route.TablePath, r.table)
	m.HandleFunc("POST "+route.ReportPath, r.report)
	m.HandleFunc("POST "+route.BudgetsPath, r.handleBudgets)
	m.HandleFunc("GET "+routesRevPath, r.handleNewestRev)
	m.HandleFunc("GET /routes/processes", r.processes)
	m.HandleFunc("GET /routes/audit", r.handleAudit)
	m.HandleFunc("POST /routes/schema", r.schema)
	m.HandleFunc("GET /routes/{tenant}", r.show)
	m.HandleFunc("POST /routes/{tenant}/base", r.base)
	m.HandleFunc("POST /routes/{tenant}/rollouts/{name}", r.post)
	for _, op := range []rollout.Op{rollout.OpPause, rollout.OpResume, rollout.OpRollBack, rollout.OpStop} {
		m.HandleFunc("POST /routes/{tenant}/rollouts/{name}/"+string(op), func(w http.ResponseWriter, req *http.Request) { r.handleRolloutOp(w, req, op) })
	}
}

// wait queues a call for the leader's batch processing and writes the response.
func wait[Q, A any](r *Routing, w http.ResponseWriter, req *http.Request, in chan<- leaderCall[Q, A], what *Q) {
	type outcome struct {
		a   *A
		err error
	}
	done := make(chan outcome, 1)
	select {
	case in <- leaderCall[Q, A]{what, func(a *A, err error) { done <- outcome{a, err} }}:
	default:
		writeRejection(w, &Rejection{status: http.StatusServiceUnavailable, after: time.Second,
			Error: fmt.Sprintf("more than %d calls of this kind wait", maxWaitingCalls)})
		return
	}
	select {
	case <-req.Context().Done():
	case out := <-done:
		if out.err != nil {
			writeRejection(w, rejectionOf(out.err))
			return
		}
		writeJSON(w, out.a)
	}
}

// report handles a process's report, POST /routes/reports.
func (r *Routing) report(w http.ResponseWriter, req *http.Request) {
	if r.rejectIfOff(w) || !r.server.RequireLeader(w, req) {
		return
	}
	var p route.Report
	f := r.body(w, req, maxReportBytes, &p)
	if f == nil {
		f = checkProcess(&p.Process)
	}
	if f == nil {
		f = checkReport(&p)
	}
	if f != nil {
		writeRejection(w, f)
		return
	}
	wait(r, w, req, r.reportCalls, &p)
}

// handleBudgets handles a process's budget request, POST /routes/units.
func (r *Routing) handleBudgets(w http.ResponseWriter, req *http.Request) {
	if r.rejectIfOff(w) || !r.server.RequireLeader(w, req) {
		return
	}
	var a route.BudgetRequest
	f := r.body(w, req, maxReportBytes, &a)
	if f == nil {
		f = checkProcess(&a.Process)
	}
	if f == nil && len(a.Budgets) > maxBudgetsPerRequest {
		f = rejectf(http.StatusBadRequest, "purses", "are %d, more than %d", len(a.Budgets), maxBudgetsPerRequest)
	}
	for i, p := range a.Budgets {
		a.Budgets[i].Tenant = operators.StateTenantName(p.Tenant)
		if f == nil && (p.Spent < 0 || p.Returned < 0 || p.Granted < 0 || p.Wanted < 0 || max(p.Spent, p.Returned, p.Granted, p.Wanted) > math.MaxInt64/4) {
			f = rejectf(http.StatusBadRequest, fmt.Sprintf("purses[%d]", i), "granted, spent, returned and want are not all between 0 and 2^61")
		}
	}
	if f != nil {
		writeRejection(w, f)
		return
	}
	wait(r, w, req, r.budgetCalls, &a)
}

// leader returns this replica's leadership and the operators' file. If there is no leadership, it writes the response
// and returns nil.
func (r *Routing) leader(w http.ResponseWriter, req *http.Request) (*leadership, *operators.Operators) {
	if r.rejectIfOff(w) || !r.server.RequireLeader(w, req) {
		return nil, nil
	}
	l := r.current()
	if l == nil {
		writeRejection(w, &Rejection{status: http.StatusServiceUnavailable, after: time.Second, Error: "this copy has only just begun to lead"})
		return nil, nil
	}
	return l, r.server.Options().Operators
}

// tenant finds the tenant that a request names and checks the token of the request.
func (r *Routing) tenant(o *operators.Operators, req *http.Request) (*operators.Tenant, *Rejection) {
	t, ok := o.Tenant(req.PathValue("tenant"))
	switch {
	case !ok:
		return nil, rejectf(http.StatusNotFound, "tenant", "%q is not in the operators' file", clip(req.PathValue("tenant")))
	case !operators.TokenMatches(t.Token, req) && (o.Token == "" || !operators.TokenMatches(o.Token, req)):
		return nil, rejectf(http.StatusUnauthorized, "Authorization", "tenant %q needs its token: Authorization: Bearer TOKEN", t.Name)
	}
	return t, nil
}

// maxRolloutMetrics is the maximum number of rollouts that are exported as metrics.
const maxRolloutMetrics = 100
