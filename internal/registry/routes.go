package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"marblelane/internal/audit"
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
	m.HandleFunc("POST "+route.UnitsPath, r.ask)
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

// refusal is why something is not done. Field names what is in the way: of the body, the path or the file of operators.
type refusal struct {
	status int
	after  time.Duration // when to come again; 0: not told

	Error     string          `json:"error"`
	Field     string          `json:"field,omitempty"`
	Findings  []route.Finding `json:"findings,omitempty"`  // what an older reader would read otherwise
	Processes []Seen          `json:"processes,omitempty"` // that are in the way
	Others    int             `json:"others,omitempty"`    // more of them
}

func refuse(w http.ResponseWriter, f *refusal) {
	if f.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(f.after.Seconds()), 'f', 0, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f) // a caller that is gone needs nothing
}

func refusef(status int, field, format string, args ...any) *refusal {
	text := fmt.Sprintf(format, args...)
	if field != "" {
		text = field + ": " + text
	}
	return &refusal{status: status, Field: field, Error: text}
}

// refusalOf turns an error of a write into what its caller is told.
func refusalOf(err error) *refusal {
	f := &refusal{status: http.StatusInternalServerError, Error: err.Error()}
	switch {
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrNoQuorum):
		f.status, f.after = http.StatusServiceUnavailable, time.Second
	case errors.Is(err, rollout.ErrConflict):
		f.status, f.Field = http.StatusConflict, "if"
	case errors.Is(err, rollout.ErrExists), errors.Is(err, rollout.ErrBusy), errors.Is(err, rollout.ErrOver):
		f.status = http.StatusConflict
	case errors.Is(err, rollout.ErrUnknown):
		f.status = http.StatusNotFound
	case errors.Is(err, rollout.ErrInvalid):
		f.status = http.StatusBadRequest
	}
	return f
}

// off answers where routes are off.
func (r *routing) off(w http.ResponseWriter) bool {
	if r.s.o.Load().Operators != nil {
		return false
	}
	refuse(w, refusef(http.StatusNotFound, "", "routes are off: this copy's file names no operators' file"))
	return true
}

func tell(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that is gone needs nothing
}

// body decodes a body strictly: no more than so many bytes, one value, no field that is not known.
func (r *routing) body(w http.ResponseWriter, req *http.Request, most int64, v any) *refusal {
	text, f := readBody(w, req, most)
	if f == nil && len(text) == 0 {
		f = refusef(http.StatusBadRequest, "", "the body has nothing in it")
	}
	if f != nil {
		return f
	}
	return r.decode(text, v)
}

// maybe is body for a call that needs none: one with nothing in it leaves v as it is. Whether there is one its length
// does not tell, which is not known of one that comes in chunks.
func (r *routing) maybe(w http.ResponseWriter, req *http.Request, most int64, v any) *refusal {
	text, f := readBody(w, req, most)
	if f != nil || len(text) == 0 {
		return f
	}
	return r.decode(text, v)
}

// readBody gives a body without the white space around it.
func readBody(w http.ResponseWriter, req *http.Request, most int64) ([]byte, *refusal) {
	text, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusef(http.StatusBadRequest, "", "the body has more than %d bytes", most)
	case err != nil:
		return nil, refusef(http.StatusBadRequest, "", "the body cannot be read: %v", err)
	}
	return bytes.TrimSpace(text), nil
}

func (r *routing) decode(text []byte, v any) *refusal {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return refusef(http.StatusBadRequest, kind.Field, "is a %s, not what it has to be", kind.Value)
		}
		text := strings.TrimPrefix(err.Error(), "json: ")
		field, _ := strings.CutPrefix(text, "unknown field ")
		if field == text {
			return refusef(http.StatusBadRequest, "", "the body is no JSON of this call: %s", clip(text))
		}
		return refusef(http.StatusBadRequest, strings.Trim(clip(field), `"`), "there is no such field")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return refusef(http.StatusBadRequest, "", "the body has something after its end")
	}
	if bad := r.rules.check(v); bad != nil {
		return refusef(http.StatusBadRequest, bad.Field, "%s", bad.Text)
	}
	return nil
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

func checkProcess(p *route.Process) *refusal {
	switch {
	case p.Name == "" || len(p.Name) > 200:
		return refusef(http.StatusBadRequest, "name", "has %d bytes, not 1 to 200", len(p.Name))
	case p.Start <= 0:
		return refusef(http.StatusBadRequest, "start", "%d is not above 0", p.Start)
	}
	return nil
}

func checkReport(p *route.Report) *refusal {
	if err := audit.Check(p); err != nil {
		return refusef(http.StatusBadRequest, "", "%v", err)
	}
	if len(p.Schemas) == 0 || len(p.Schemas) > mostReads {
		return refusef(http.StatusBadRequest, "schemas", "are %d, not 1 to %d", len(p.Schemas), mostReads)
	}
	for i, c := range p.Counts {
		p.Counts[i].Tenant = inside(c.Tenant)
		if c.Ended < 0 || c.Failed < 0 || c.Late < 0 || c.Failed+c.Late > c.Ended || len(c.Tenant) > 200 {
			return refusef(http.StatusBadRequest, fmt.Sprintf("counts[%d]", i),
				"ended, failed and late are negative, more failed and were late than ended, or tenant has more than 200 bytes")
		}
	}
	return nil
}

// ask answers a process's ask for units, POST /routes/units.
func (r *routing) ask(w http.ResponseWriter, req *http.Request) {
	if r.off(w) || !r.s.leading(w, req) {
		return
	}
	var a route.UnitsAsk
	f := r.body(w, req, mostReport, &a)
	if f == nil {
		f = checkProcess(&a.Process)
	}
	if f == nil && len(a.Purses) > mostPurses {
		f = refusef(http.StatusBadRequest, "purses", "are %d, more than %d", len(a.Purses), mostPurses)
	}
	for i, p := range a.Purses {
		a.Purses[i].Tenant = inside(p.Tenant)
		if f == nil && (p.Spent < 0 || p.Returned < 0 || p.Granted < 0 || p.Want < 0 || max(p.Spent, p.Returned, p.Granted, p.Want) > math.MaxInt64/4) {
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

// Wish is a rollout as a tenant posts it.
type Wish struct {
	To      string   `json:"to" validate:"required,bytes=100"`
	Classes []string `json:"classes" validate:"max=100,unique,dive,min=1,bytes=200"`
	Steps   []Stride `json:"steps" validate:"min=1,max=20,dive"`
	Budget  int64    `json:"budget" validate:"gte=1"`
	Late    bool     `json:"late"`
	AtEnd   string   `json:"at_end" validate:"oneof=keep return"`
	Note    string   `json:"note" validate:"bytes=1000"`
}

// Stride is a step as it is posted.
type Stride struct {
	Share    float64 `json:"share" validate:"gt=0,lte=1"`
	HoldMS   int64   `json:"hold_ms" validate:"gte=0,lte=2592000000"`
	Requests int64   `json:"requests" validate:"gte=0,lte=1000000000000"`
}

func (r *routing) post(w http.ResponseWriter, req *http.Request) {
	r.make(w, req, func(o *Operators, t *Tenant) (*rollout.Command, *refusal) {
		var wish Wish
		if f := r.body(w, req, mostBody, &wish); f != nil {
			return nil, f
		}
		spec, f := t.spec(o, req.PathValue("name"), &wish)
		return &rollout.Command{Op: rollout.OpPost, Tenant: inside(t.Name), Spec: spec}, f
	})
}

// spec is a wish with what its names stand for, if it is within the tenant's bounds.
func (t *Tenant) spec(o *Operators, name string, wish *Wish) (*rollout.Spec, *refusal) {
	if name == "" || len(name) > rollout.MaxRollout {
		return nil, refusef(http.StatusBadRequest, "name", "has %d bytes, not 1 to %d", len(name), rollout.MaxRollout)
	}
	s := &rollout.Spec{Tenant: inside(t.Name), Name: name, To: wish.To, Classes: wish.Classes, Budget: wish.Budget, Late: wish.Late,
		AtEnd: wish.AtEnd, Note: wish.Note}
	for i, st := range wish.Steps {
		if st.Share > *t.MaxShare {
			return nil, refusef(http.StatusForbidden, fmt.Sprintf("steps[%d].share", i), "%v is above max_share of tenant %q, %v", st.Share, t.Name, *t.MaxShare)
		}
		s.Steps = append(s.Steps, rollout.Step(st))
	}
	if wish.Budget > t.MaxBudget {
		return nil, refusef(http.StatusForbidden, "budget", "%d is above max_budget of tenant %q, %d", wish.Budget, t.Name, t.MaxBudget)
	}
	var f *refusal
	s.Canary, f = t.canary(o, wish.To)
	return s, f
}

func (t *Tenant) canary(o *Operators, name string) (route.Subset, *refusal) {
	sub, known := o.subset(name)
	if !known || !slices.Contains(t.Subsets, name) {
		return sub, refusef(http.StatusForbidden, "to", "%q is not among subsets of tenant %q, %v", clip(name), t.Name, t.Subsets)
	}
	return sub, nil
}

func (r *routing) base(w http.ResponseWriter, req *http.Request) {
	r.make(w, req, func(o *Operators, t *Tenant) (*rollout.Command, *refusal) {
		var wish struct {
			To string `json:"to" validate:"bytes=100"` // empty: all servers
		}
		if f := r.body(w, req, mostBody, &wish); f != nil {
			return nil, f
		}
		c := &rollout.Command{Op: rollout.OpBase, Tenant: inside(t.Name)}
		var f *refusal
		if wish.To != "" {
			c.Base, f = t.canary(o, wish.To)
		}
		return c, f
	})
}

// move pauses, resumes, rolls back or stops a rollout.
func (r *routing) move(w http.ResponseWriter, req *http.Request, op rollout.Op) {
	r.make(w, req, func(_ *Operators, t *Tenant) (*rollout.Command, *refusal) {
		wish := struct {
			Why string `json:"why" validate:"bytes=200"`
		}{"by command"}
		if f := r.maybe(w, req, mostBody, &wish); f != nil {
			return nil, f
		}
		if op != rollout.OpStop && req.URL.Query().Has("if") {
			return nil, refusef(http.StatusBadRequest, "if", "is for post, base and stop alone")
		}
		return &rollout.Command{Op: op, Tenant: inside(t.Name), Name: req.PathValue("name"), Why: wish.Why}, nil
	})
}

// make makes a tenant's change, once it is within all bounds and is read alike by all processes that count.
func (r *routing) make(w http.ResponseWriter, req *http.Request, build func(*Operators, *Tenant) (*rollout.Command, *refusal)) {
	l, o := r.leader(w, req)
	if l == nil {
		return
	}
	rev, f := r.made(l, o, req, build)
	if f != nil {
		refuse(w, f)
		return
	}
	r.s.note(w, 0, r.s.replica.Heard())
	tell(w, struct {
		Rev int64 `json:"rev"`
	}{rev})
}

func (r *routing) made(l *leadership, o *Operators, req *http.Request, build func(*Operators, *Tenant) (*rollout.Command, *refusal)) (int64, *refusal) {
	t, f := r.tenant(o, req)
	if f != nil {
		return 0, f
	}
	c, f := build(o, t)
	if f != nil {
		return 0, f
	}
	if text := req.URL.Query().Get("if"); text != "" {
		rev, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, refusef(http.StatusBadRequest, "if", "%q is no revision", clip(text))
		}
		c.If = &rev
	}
	// One change is tried and made at a time, so that what is checked is what is made.
	select {
	case r.changing <- struct{}{}:
		defer func() { <-r.changing }()
	case <-time.After(applyWait):
		return 0, &refusal{status: http.StatusServiceUnavailable, after: time.Second, Error: "other changes are under way"}
	case <-req.Context().Done():
		return 0, &refusal{status: http.StatusServiceUnavailable, Error: "the caller is gone"}
	}
	c.AtMS = l.wall(time.Now())
	anew, f := r.try(l, c, t)
	if f != nil {
		return 0, f
	}
	if limited := c.Op == rollout.OpPost || c.Op == rollout.OpBase || c.Op == rollout.OpResume; anew && limited {
		if wait := l.limit(t); wait > 0 {
			return 0, &refusal{status: http.StatusTooManyRequests, after: wait, Field: "changes_per_minute",
				Error: fmt.Sprintf("changes_per_minute: tenant %q has made its %v", t.Name, t.Changes)}
		}
	}
	rev, err := r.change(l, c)
	if err != nil {
		return 0, refusalOf(err)
	}
	return rev, nil
}

// try makes a change on a copy of the state. It tells whether it changes anything, and what stands in its way.
func (r *routing) try(l *leadership, c *rollout.Command, t *Tenant) (anew bool, f *refusal) {
	var table route.Table
	var err error
	under := 0
	r.s.hub.read(func(s *State) {
		if _, live := s.routes.LiveOf(inside(t.Name)); live {
			under = 1
		}
		table, anew, err = s.routes.Try(c)
	})
	switch {
	case err != nil:
		return false, refusalOf(err)
	case !anew:
		return false, nil
	}
	if c.Op == rollout.OpPost && under >= *t.Rollouts {
		return true, refusef(http.StatusForbidden, "rollouts", "tenant %q has %d under way, and may have %d", t.Name, under, *t.Rollouts)
	}
	if c.Op != rollout.OpPost && c.Op != rollout.OpBase && c.Op != rollout.OpResume {
		return true, nil // what takes a canary away is never refused
	}
	return true, r.compare(l, &table)
}

// compare tells whether all processes that count read a table alike.
func (r *routing) compare(l *leadership, table *route.Table) *refusal {
	alike := true
	for schema := 1; schema < route.Newest; schema++ {
		_, v, _ := route.Choose(r.planted.meant(table, []int{schema}), []int{schema})
		alike = alike && v <= route.AlikeWritten
	}
	if alike { // whoever there is
		return nil
	}
	all, wait := r.present(l)
	if wait > 0 {
		return &refusal{status: http.StatusServiceUnavailable, after: wait,
			Error: "this copy has only just begun to lead and does not know yet which schemas the processes read"}
	}
	out := &refusal{status: http.StatusConflict}
	for _, p := range all {
		reads := known(p.Schemas)
		if _, v, findings := route.Choose(r.planted.meant(table, reads), reads); v > route.AlikeWritten {
			if len(out.Processes) == 0 {
				out.Findings = findings
				out.Error = fmt.Sprintf("the routes would be %s by processes that are present or were within %v", v, l.remember())
				if len(findings) > 0 {
					out.Field = findings[0].Field
					out.Error = findings[0].Path + ": " + findings[0].Effect + "; " + out.Error
				}
			}
			if len(out.Processes) < mostInWay {
				out.Processes = append(out.Processes, p)
			} else {
				out.Others++
			}
		}
	}
	if len(out.Processes) == 0 {
		return nil
	}
	return out
}

// limit takes one change from what a tenant may make, or says how long to wait.
func (l *leadership) limit(t *Tenant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	per, burst := rate.Limit(t.Changes/60), max(1, int(t.Changes))
	lim := l.limits[t.Name]
	if lim == nil {
		lim = rate.NewLimiter(per, burst)
		l.limits[t.Name] = lim
	}
	now := time.Now()
	if lim.Limit() != per || lim.Burst() != burst {
		lim.SetLimitAt(now, per)
		lim.SetBurstAt(now, burst)
	}
	got := lim.ReserveN(now, 1)
	wait := got.DelayFrom(now)
	if wait > 0 {
		got.CancelAt(now)
	}
	return wait
}

// schema shuts out the processes that do not read a schema, POST /routes/schema.
func (r *routing) schema(w http.ResponseWriter, req *http.Request) {
	l, o := r.leader(w, req)
	if l == nil {
		return
	}
	if !admits(o.Token, req) {
		refuse(w, refusef(http.StatusUnauthorized, "Authorization", "this needs operator_token: Authorization: Bearer TOKEN"))
		return
	}
	var wish struct {
		Least int `json:"least"`
	}
	f := r.body(w, req, mostBody, &wish)
	if f == nil && (wish.Least < 1 || wish.Least > route.Newest) {
		f = refusef(http.StatusBadRequest, "least", "%d is not between 1 and %d", wish.Least, route.Newest)
	}
	if f != nil {
		refuse(w, f)
		return
	}
	rev, err := r.change(l, &rollout.Command{Op: rollout.OpSchema, AtMS: l.wall(time.Now()), Schema: wish.Least})
	if err != nil {
		refuse(w, refusalOf(err))
		return
	}
	var least int
	r.s.hub.read(func(s *State) { least = s.routes.MinSchema() })
	tell(w, struct {
		Rev   int64 `json:"rev"`
		Least int   `json:"least"`
	}{rev, least})
}

// RolloutView is a rollout as it is shown.
type RolloutView struct {
	Name     string        `json:"name"`
	To       string        `json:"to"`
	Phase    rollout.Phase `json:"phase"`
	Step     int           `json:"step"`
	Steps    int           `json:"steps"`
	Share    float64       `json:"share"` // of the tenant's requests, at this moment
	Rev      int64         `json:"rev"`
	SinceMS  int64         `json:"since_ms"`
	Why      string        `json:"why,omitempty"`
	Budget   int64         `json:"budget"`
	Granted  int64         `json:"granted"` // to processes, in all
	Spent    int64         `json:"spent"`
	Returned int64         `json:"returned"`
	Left     int64         `json:"left"`     // that nobody holds or has spent
	Evidence float64       `json:"evidence"` // against the canary; it is rolled back at 1/alpha
	Note     string        `json:"note,omitempty"`
}

// TenantView is a tenant's routes as they are shown.
type TenantView struct {
	Tenant   string        `json:"tenant"`
	Rev      int64         `json:"rev"` // of its last change, for ?if=
	Table    int64         `json:"table_rev"`
	Closed   int64         `json:"closed"`
	Base     route.Subset  `json:"base"`
	Rollouts []RolloutView `json:"rollouts"`
}

// show answers GET /routes/{tenant}.
func (r *routing) show(w http.ResponseWriter, req *http.Request) {
	l, o := r.leader(w, req)
	if l == nil {
		return
	}
	t, f := r.tenant(o, req)
	if f != nil {
		refuse(w, f)
		return
	}
	if err := r.s.replica.Confirm(); err != nil {
		refuse(w, refusalOf(err))
		return
	}
	tell(w, r.view(l, t.Name))
}

func (r *routing) view(l *leadership, tenant string) TenantView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := TenantView{Tenant: tenant, Rollouts: []RolloutView{}}
	tenant = inside(tenant)
	r.s.hub.read(func(s *State) {
		table := s.routes.Table()
		v.Rev, v.Table, v.Closed = s.routes.TenantRev(tenant), table.Rev, table.Closed
		share := map[string]float64{}
		for _, one := range table.Routes {
			if one.Tenant == tenant {
				v.Base, share[rollout.NameOf(one.Rollout)] = one.Base, one.Share
			}
		}
		for _, one := range s.routes.RolloutsOf(tenant) {
			g, spent, back := s.routes.Held(tenant, one.Spec.Name)
			v.Rollouts = append(v.Rollouts, RolloutView{Name: one.Spec.Name, To: one.Spec.To, Phase: one.Phase, Step: one.Step,
				Steps: len(one.Spec.Steps), Share: share[one.Spec.Name], Rev: one.Rev, SinceMS: one.SinceMS, Why: one.Why,
				Budget: one.Spec.Budget, Granted: g, Spent: spent, Returned: back, Left: one.Spec.Budget - (g - back),
				Evidence: min(l.controller.Evidence(tenant, one.Spec.Name), math.MaxFloat64), Note: one.Spec.Note})
		}
	})
	return v
}

// processes answers GET /routes/processes.
func (r *routing) processes(w http.ResponseWriter, req *http.Request) {
	l, _ := r.leader(w, req)
	if l == nil {
		return
	}
	tell(w, struct {
		Leader    string                  `json:"leader"`
		Processes []rollout.ProcessStatus `json:"processes"`
	}{l.id, r.heard(l)})
}

// heard is what the controller knows of processes.
func (r *routing) heard(l *leadership) []rollout.ProcessStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Processes(l.floor(time.Now()))
}

// who answers GET /routes/audit: who acted on a revision within a time.
func (r *routing) who(w http.ResponseWriter, req *http.Request) {
	l, _ := r.leader(w, req)
	if l == nil {
		return
	}
	var n [3]int64
	for i, name := range []string{"rev", "from", "to"} {
		text := req.URL.Query().Get(name)
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil || v < 0 || v > 1<<53 {
			refuse(w, refusef(http.StatusBadRequest, name, "%q is no whole number from 0 to 2^53; from and to are Unix milliseconds", clip(text)))
			return
		}
		n[i] = v
	}
	if n[1] > n[2] {
		refuse(w, refusef(http.StatusBadRequest, "from", "%d is after to, %d", n[1], n[2]))
		return
	}
	if err := r.s.replica.Confirm(); err != nil {
		refuse(w, refusalOf(err))
		return
	}
	out, f := r.asked(l, n[0], n[1], n[2])
	if f != nil {
		refuse(w, f)
		return
	}
	tell(w, out)
}

func (r *routing) asked(l *leadership, rev, from, to int64) (out audit.Summary, f *refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(wall int64) int64 { return wall - l.wallMS + l.floor(l.began) }
	now := time.Now()
	committed, closed := r.tables.when(rev)
	q := audit.Query{Rev: rev, From: ms(from), To: ms(to), Committed: math.MinInt64, ClosedKnown: !closed.IsZero(), Now: l.ceil(now),
		Slack: clockSlack, Ahead: l.ceil(r.opened)}
	if !committed.IsZero() {
		q.Committed = l.floor(committed)
	}
	if q.ClosedKnown {
		q.Closed = l.ceil(closed)
	}
	r.s.hub.read(func(s *State) {
		if newest := s.routes.Rev(); rev > newest {
			f = refusef(http.StatusNotFound, "rev", "%d is not committed; the newest is %d", rev, newest)
			return
		}
		out = l.book.Who(q, s.audit)
	})
	out.Answers = r.planted.answers(out.Answers)
	return out, f
}

// Describe says nothing: what is shown depends on the rollouts that there are.
func (r *routing) Describe(chan<- *prometheus.Desc) {}

// mostShown is how many rollouts have figures.
const mostShown = 100

// Collect gives the figures of routes; none where they are off.
func (r *routing) Collect(out chan<- prometheus.Metric) {
	if r.s.o.Load().Operators == nil {
		return
	}
	gauge := func(name, help string, v float64, labels ...string) {
		var names, values []string
		for i := 0; i < len(labels); i += 2 {
			names, values = append(names, labels[i]), append(values, labels[i+1])
		}
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, names, nil), prometheus.GaugeValue, v, values...)
	}
	r.s.hub.read(func(s *State) {
		gauge("routes_revision", "Revision of the routes' last change.", float64(s.routes.Rev()))
		gauge("routes_closed", "Newest revision of routes under which no attempt begins any more.", float64(s.routes.Closed()))
		gauge("audit_transitions", "Transitions of processes that are kept.", float64(s.audit.Len()))
		for i, one := range s.routes.Live() {
			if i == mostShown {
				break
			}
			granted, _, returned := s.routes.Held(one.Tenant, one.Name)
			gauge("routes_units_left", "Units of a rollout's budget that nobody holds or has spent; of 100 rollouts at most.",
				float64(one.Budget-(granted-returned)), "tenant", one.Tenant, "rollout", one.Name)
		}
	})
	gauge("routes_watches", "Watches of the table of routes that are open.", float64(r.watches.Load()))
	l := r.current()
	if l == nil {
		return
	}
	counts := map[string]float64{"permitted": 0, "unpermitted": 0, "shut out": 0, "gone": 0}
	now := l.floor(time.Now())
	for _, p := range r.heard(l) {
		switch {
		case p.Gone:
			counts["gone"]++
		case p.ShutOut:
			counts["shut out"]++
		case p.Until > now:
			counts["permitted"]++
		default:
			counts["unpermitted"]++
		}
	}
	for standing, n := range counts {
		gauge("routes_processes", "Processes that this leader knows, by what they may do.", n, "standing", standing)
	}
}
