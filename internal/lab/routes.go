package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// rollouts is what tenants and operators do with the routes of a run, and what they are told. They reach the copies
// directly: faults between sidecars and the list service are not theirs.
type rollouts struct {
	r     *run
	began time.Duration
	epoch time.Time // the wall clock at the run's beginning

	mu      sync.Mutex
	newest  int64              // revision of any table told
	shut    int64              // the newest revision said to be closed
	revs    map[int64]bool     // of all tables told
	after   []int64            // by rollout: see invariant.Rollout; -1: it was not posted
	refused []string           // by rollout, why it was not taken; empty: it was
	phases  []rolloutView      // by rollout, the newest told
	final   []string           // by rollout, the phase as the leader has it at the end
	answers []invariant.Answer // of the audit
	asked   int                // questions that were answered
	missed  []string
	lagged  []invariant.Span

	turn atomic.Int64 // of the copy that is asked next
	wg   sync.WaitGroup
}

func newRollouts(r *run, began time.Duration) *rollouts {
	n := len(r.Scenario.Rollouts)
	o := &rollouts{r: r, began: began, epoch: time.Now().Add(began - r.Events.Now()), revs: map[int64]bool{}, after: make([]int64, n),
		refused: make([]string, n), phases: make([]rolloutView, n), final: make([]string, n)}
	for i := range o.after {
		o.after[i] = -1
	}
	return o
}

// lookEvery is how often a tenant looks after its rollouts.
const lookEvery = 50 * time.Millisecond

// play does what the scenario has of rollouts, orders and questions, until ctx ends.
func (o *rollouts) play(ctx context.Context) {
	o.wg.Go(func() { o.lag(ctx) })
	for _, c := range o.r.service.rr.Replicas {
		o.wg.Go(func() { o.listen(ctx, c) })
	}
	tenants := map[string]bool{}
	for i := range o.r.Scenario.Rollouts {
		post := &o.r.Scenario.Rollouts[i]
		o.wg.Go(func() { o.post(ctx, i, post) })
		if !tenants[post.Tenant] {
			tenants[post.Tenant] = true
			o.wg.Go(func() { o.look(ctx, post.Tenant) })
		}
	}
	for i := range o.r.Scenario.RouteCommands {
		o.wg.Go(func() { o.order(ctx, &o.r.Scenario.RouteCommands[i]) })
	}
	for _, a := range o.r.Scenario.AuditQueries {
		o.wg.Go(func() {
			if !o.until(ctx, a.At) {
				return
			}
			o.mu.Lock()
			newest := o.newest
			o.mu.Unlock()
			now := o.r.Events.Now() - o.began
			o.ask(ctx, newest, now-a.Window.Duration(), now)
		})
	}
	o.wg.Wait()
}

// tolerated is how late the lab's own timers may be without a word.
const tolerated = 20 * time.Millisecond

// lag notes when the lab itself was late, until ctx ends.
func (o *rollouts) lag(ctx context.Context) {
	const every = 5 * time.Millisecond
	for {
		due := o.r.Events.Now() + every
		if !harness.Sleep(ctx, every) {
			return
		}
		if now := o.r.Events.Now(); now > due+tolerated {
			o.mu.Lock()
			o.lagged = append(o.lagged, invariant.Span{From: due - o.began, To: now - o.began + tolerated})
			o.mu.Unlock()
		}
	}
}

func (o *rollouts) until(ctx context.Context, at scenario.Duration) bool {
	return harness.Sleep(ctx, o.began+at.Duration()-o.r.Events.Now())
}

func (o *rollouts) miss(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.missed = append(o.missed, fmt.Sprintf(format, args...))
}

// listen follows a copy's tables and writes down what each tells.
func (o *rollouts) listen(ctx context.Context, c *cluster.Replica) {
	after := int64(0)
	for ctx.Err() == nil {
		o.follow(ctx, c, &after)
		harness.Sleep(ctx, lookEvery)
	}
}

func (o *rollouts) follow(ctx context.Context, c *cluster.Replica, after *int64) {
	url := fmt.Sprintf("http://%s%s?watch=1&schema=%d&after=%d", c.Address, route.TablePath, route.Newest, *after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	for in := bufio.NewReader(resp.Body); ; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			*after = max(*after, o.told(c.Number, line))
		}
	}
}

// tableOf is what the lab itself reads of a table; it is lenient, so that the rules judge and not a reader.
type tableOf struct {
	Rev    int64 `json:"rev"`
	Closed int64 `json:"closed"`
	Routes []struct {
		Tenant  string  `json:"tenant"`
		Share   float64 `json:"share"`
		Rollout string  `json:"rollout"`
		Step    int     `json:"step"`
	} `json:"routes"`
}

// told writes a table down.
func (o *rollouts) told(copyNumber int, line []byte) int64 {
	var t tableOf
	if json.Unmarshal(line, &t) != nil {
		return 0
	}
	e := record.Event{T: o.r.Events.Now(), Sidecar: record.None, Server: int32(copyNumber), Class: record.None, Rev: t.Rev}
	e.Kind = record.RoutesObserved
	o.r.Events.Add(e)
	o.closed(copyNumber, t.Closed)
	for _, one := range t.Routes {
		if n := o.number(one.Tenant, rollout.RolloutName(one.Rollout)); n >= 0 {
			e.Kind, e.Status, e.Work, e.Attempt = record.RolloutFraction, int32(n), one.Share, int16(one.Step)
			o.r.Events.Add(e)
		}
	}
	o.mu.Lock()
	o.newest = max(o.newest, t.Rev)
	o.revs[t.Rev] = true
	o.mu.Unlock()
	return t.Rev
}

// closed writes down that a revision was said to be closed.
func (o *rollouts) closed(copyNumber int, rev int64) {
	o.mu.Lock()
	news := rev > o.shut
	o.shut = max(o.shut, rev)
	o.mu.Unlock()
	if news {
		o.r.Events.Add(record.Event{Kind: record.RevisionClosed, Sidecar: record.None, Server: int32(copyNumber), Class: record.None, Rev: rev})
	}
}

// number finds a rollout of the plan.
func (o *rollouts) number(tenant, name string) int {
	return slices.IndexFunc(o.r.Scenario.Rollouts, func(p scenario.Rollout) bool { return p.Tenant == tenant && p.Name == name })
}

// posted is the form of a rollout on the wire.
type posted struct {
	To      string         `json:"to"`
	Classes []string       `json:"classes,omitempty"`
	Steps   []rollout.Step `json:"steps"`
	Budget  int64          `json:"budget"`
	Late    bool           `json:"late"`
	AtEnd   string         `json:"at_end"`
}

// call asks the leader, through each copy in turn, for as long as nobody answers; a refusal is an answer.
func (o *rollouts) call(ctx context.Context, method, path string, body any) (code int, text []byte) {
	data, err := json.Marshal(body)
	if err != nil || body == nil {
		data = nil
	}
	for {
		all := o.r.service.rr.Replicas
		c := all[int(o.turn.Add(1))%len(all)]
		code, text, err = cluster.Call(ctx, method, "http://"+c.Address+path, data)
		if err == nil && code < 500 && code != http.StatusTooManyRequests {
			return code, text
		}
		o.r.Log.Debug("lab: routes", "path", path, "code", code, "answer", string(text), "error", err)
		if !harness.Sleep(ctx, lookEvery) {
			return 0, nil
		}
	}
}

// post begins a rollout.
func (o *rollouts) post(ctx context.Context, n int, p *scenario.Rollout) {
	if !o.until(ctx, p.At) {
		return
	}
	body := posted{To: p.Subset, Classes: p.Classes, Budget: p.Budget, Late: p.CountLate, AtEnd: p.AtEnd}
	for _, st := range p.Steps {
		body.Steps = append(body.Steps, rollout.Step{CanaryFraction: st.Fraction, HoldMS: st.Hold.Duration().Milliseconds(), MinAttempts: st.MinRequests})
	}
	o.mu.Lock()
	o.after[n] = o.newest
	o.mu.Unlock()
	path := "/routes/" + p.Tenant + "/rollouts/" + p.Name
	times := 1
	if p.PostTwice {
		times = 2
	}
	for range times {
		code, text := o.call(ctx, http.MethodPost, path, body)
		if code == 0 {
			return
		}
		if code != http.StatusOK {
			o.mu.Lock()
			o.refused[n], o.after[n] = fmt.Sprintf("%d %s", code, strings.TrimSpace(string(text))), -1
			o.mu.Unlock()
			return
		}
	}
}

// order says what a tenant or operator wants beside.
func (o *rollouts) order(ctx context.Context, d *scenario.RouteCommand) {
	if !o.until(ctx, d.At) {
		return
	}
	path, body := "", any(nil)
	switch d.Action {
	case "base":
		path, body = "/routes/"+d.Tenant+"/base", map[string]string{"to": d.Subset}
	case "schema":
		path, body = "/routes/schema", map[string]int{"least": d.MinSchema}
	default:
		i := slices.IndexFunc(o.r.Scenario.Rollouts, func(p scenario.Rollout) bool { return p.Name == d.Rollout })
		path = "/routes/" + o.r.Scenario.Rollouts[i].Tenant + "/rollouts/" + d.Rollout + "/" + d.Action
	}
	code, text := o.call(ctx, http.MethodPost, path, body)
	if code != 0 && (code != http.StatusOK) != d.ExpectRejected {
		o.miss("the order %s at %v is answered %d %s", d.Action, d.At.Duration(), code, strings.TrimSpace(string(text)))
	}
}

// tenantOf is what the lab reads of a tenant's routes.
type tenantOf struct {
	Closed   int64         `json:"closed"`
	Rollouts []rolloutView `json:"rollouts"`
}

type rolloutView struct {
	Name    string        `json:"name"`
	Phase   rollout.Phase `json:"phase"`
	Step    int           `json:"step"`
	Rev     int64         `json:"rev"`
	Why     string        `json:"why"`
	Left    int64         `json:"left"`
	Granted int64         `json:"granted"`
	Spent   int64         `json:"spent"`
}

// look asks after a tenant's rollouts, each copy in turn, and writes down what is new.
func (o *rollouts) look(ctx context.Context, tenant string) {
	for i := 0; harness.Sleep(ctx, lookEvery); i++ {
		c := o.r.service.rr.Replicas[i%len(o.r.service.rr.Replicas)]
		code, text, err := cluster.Call(ctx, http.MethodGet, "http://"+c.Address+"/routes/"+tenant, nil)
		if err == nil && code == http.StatusOK {
			o.state(c.Number, tenant, text)
		}
	}
}

// state writes down what is said of a tenant's rollouts.
func (o *rollouts) state(copyNumber int, tenant string, text []byte) {
	var t tenantOf
	if err := json.Unmarshal(text, &t); err != nil {
		o.miss("the routes of %s cannot be read: %v", tenant, err)
		return
	}
	o.closed(copyNumber, t.Closed)
	for _, one := range t.Rollouts {
		n := o.number(tenant, one.Name)
		if n < 0 {
			continue
		}
		o.mu.Lock()
		was := o.phases[n]
		o.phases[n] = one
		o.mu.Unlock()
		if was.Rev != one.Rev || was.Phase != one.Phase || was.Step != one.Step || one.Left < 0 {
			o.r.Events.Add(record.Event{Kind: record.RolloutPhase, Sidecar: record.None, Server: int32(copyNumber), Class: record.None,
				Rev: one.Rev, Status: int32(n), Attempt: int16(one.Step), N: one.Left, Note: string(one.Phase), Sum: uint64(one.Granted), Want: uint64(one.Spent)})
		}
	}
}

// ask asks the audit who acted on a revision between two times of the run, and keeps what it answers.
func (o *rollouts) ask(ctx context.Context, rev int64, from, to time.Duration) {
	from = max(from, 0)
	// Whole milliseconds, inwards: the answer is for no more than was asked.
	fromMS, toMS := o.epoch.Add(from).UnixMilli()+1, o.epoch.Add(to).UnixMilli()
	code, text := o.call(ctx, http.MethodGet, fmt.Sprintf("/routes/audit?rev=%d&from=%d&to=%d", rev, fromMS, toMS), nil)
	if code == 0 {
		return
	}
	var got struct {
		Answers []audit.Answer `json:"answers"`
	}
	if err := json.Unmarshal(text, &got); code != http.StatusOK || err != nil {
		o.miss("the audit of revision %d is answered %d %s, %v", rev, code, strings.TrimSpace(string(text)), err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	for _, a := range got.Answers {
		o.answers = append(o.answers, invariant.Answer{Rev: rev, From: time.UnixMilli(fromMS).Sub(o.epoch), To: time.UnixMilli(toMS).Sub(o.epoch),
			QueriedAt: o.r.Events.Now() - o.began, Name: a.Name, Start: a.Start, Verdict: a.Verdict, Reason: a.Reason})
	}
}

const (
	finishWait   = 15 * time.Second
	mostAudited  = 12 // revisions that are asked for at the end
	auditWindows = 6  // of each
)

// finish asks, with the traffic over and the sidecars still there, how the rollouts ended and who acted on what.
func (o *rollouts) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishWait)
	defer cancel()
	harness.Sleep(ctx, time.Second) // the last attempts are in the next report
	over := o.r.Events.Now() - o.began
	tenants := map[string]bool{}
	for i := range o.r.Scenario.Rollouts {
		tenants[o.r.Scenario.Rollouts[i].Tenant] = true
	}
	for _, tenant := range slices.Sorted(maps.Keys(tenants)) {
		o.end(ctx, tenant)
	}
	if broken := o.r.Scenario.Expect.MustBreak; len(broken) > 0 && !slices.Contains(broken, invariant.AuditTrue) {
		return // what is planted misleads the audit too
	}
	o.mu.Lock()
	revs := slices.Sorted(maps.Keys(o.revs))
	o.mu.Unlock()
	rng := rand.New(rand.NewPCG(o.r.Plan.Seed, 0x6175646974))
	for len(revs) > mostAudited {
		i := rng.IntN(len(revs))
		revs = slices.Delete(revs, i, i+1)
	}
	for _, rev := range revs {
		if rev == 0 {
			continue
		}
		o.ask(ctx, rev, 0, over)
		for range auditWindows {
			from := time.Duration(rng.Float64() * float64(over))
			o.ask(ctx, rev, from, from+time.Duration(rng.Float64()*float64(over-from)))
		}
	}
}

// end asks the leader for a tenant's rollouts.
func (o *rollouts) end(ctx context.Context, tenant string) {
	for {
		if lead := o.r.service.rr.Leader(ctx); lead != nil {
			code, text, err := cluster.Call(ctx, http.MethodGet, "http://"+lead.Address+"/routes/"+tenant, nil)
			if err == nil && code == http.StatusOK {
				o.state(lead.Number, tenant, text)
				var t tenantOf
				_ = json.Unmarshal(text, &t) // said above
				for _, one := range t.Rollouts {
					if n := o.number(tenant, one.Name); n >= 0 {
						o.final[n] = string(one.Phase)
					}
				}
				return
			}
		}
		if !harness.Sleep(ctx, lookEvery) {
			return
		}
	}
}

// hindering are the faults under which what a sidecar sends may come late or never.
func hindering(f *scenario.Fault) bool {
	switch f.Kind {
	case "cut", "latency", "bandwidth", "lose", "reset", "refuse", "half-close", "break", "accept-late":
		return f.Link == "servers"
	case "kill", "restart", "drain", "replace", "vanish", "hang", "idle-close", "reset-begun", "drop":
		return true
	}
	return false
}

// afterFault is how long after a fault what it held back may still come.
const afterFault = time.Second

// facts are what the rules hold the run against.
func (o *rollouts) facts() *invariant.Routes {
	p, s := o.r.Plan, o.r.Scenario
	f := &invariant.Routes{Answers: o.answers, LabStalls: o.lagged, Epoch: o.epoch.UnixNano(),
		Latency: time.Duration(float64(max(s.Network.CrossZone, s.Network.CrossRegion)) * (1 + s.Network.Jitter))}
	if len(s.Network.Regions) == 0 {
		f.Latency = time.Duration(float64(max(s.Network.CrossZone, s.Network.SameZone)) * (1 + s.Network.Jitter))
	}
	for i := range p.Sidecars {
		f.Names = append(f.Names, p.Sidecars[i].Name)
	}
	for i := range p.Faults {
		if one := &p.Faults[i]; hindering(&one.Fault) {
			f.LinkFaults = append(f.LinkFaults, invariant.Span{From: one.At, To: one.Until + afterFault})
		}
	}
	for i := range s.Rollouts {
		one := &s.Rollouts[i]
		r := invariant.Rollout{Name: one.Name, Budget: one.Budget, After: o.after[i], Final: o.final[i],
			Tenant: slices.IndexFunc(s.Tenants, func(t scenario.Tenant) bool { return t.Name == one.Tenant })}
		for k := range s.Classes {
			r.Classes = append(r.Classes, len(one.Classes) == 0 || slices.Contains(one.Classes, s.Classes[k].Name))
			if one.CountLate {
				r.LatencyObjectives = append(r.LatencyObjectives, s.Scaled(s.Classes[k].Objective))
			}
		}
		for k := range p.Servers {
			r.Servers = append(r.Servers, p.InSubset(one.Subset, k))
		}
		f.Rollouts = append(f.Rollouts, r)
	}
	return f
}

// passRoutes hands what the list service says of routes on to a sidecar, and writes down what it says is closed.
func (s *service) passRoutes(line []byte) []byte {
	var t tableOf
	if o := s.r.rollouts.Load(); o != nil && json.Unmarshal(line, &t) == nil {
		o.closed(record.None, t.Closed)
	}
	if undone := s.undone.Load(); undone != nil {
		return undone.tell(line)
	}
	return line
}
