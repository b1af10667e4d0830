// Package rollouts drives the routes of a run as its tenants and operators do. It posts rollouts, route commands and
// audit queries, records the responses, and computes the result.
package rollouts

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

// Driver posts the rollouts of a scenario, sends the route commands of tenants and operators, and records the responses
// of the registry. It calls the replicas directly, not through the links whose faults affect sidecars.
type Driver struct {
	run      *harness.Run
	registry *cluster.Cluster
	epoch    time.Time // wall-clock time at the start of the run

	mu           sync.Mutex
	newestRev    int64                   // newest revision of the published tables
	newestClosed int64                   // newest revision reported as closed
	revisions    map[int64]bool          // revisions of all published tables
	postedAfter  []int64                 // by rollout: invariant.Rollout.After; -1 if not posted or rejected
	rejections   []string                // by rollout: reason of the rejection; empty: accepted
	rolloutViews []rolloutView           // by rollout: newest state reported
	finalPhases  []string                // by rollout: phase on the leader at the end
	auditAnswers []invariant.AuditResult // verdicts of the audit queries
	auditQueries int                     // number of audit queries with a response
	failures     []string                // unexpected responses of the registry
	stalls       []invariant.Span        // spans in which timers of the lab were late

	nextReplica atomic.Int64 // counter for calling the replicas in turn
	wg          sync.WaitGroup
}

// New returns a driver for a started run.
func New(r *harness.Run, registry *cluster.Cluster) *Driver {
	n := len(r.Scenario.Rollouts)
	driver := &Driver{run: r, registry: registry, epoch: time.Now().Add(-r.Elapsed()), revisions: map[int64]bool{}, postedAfter: make([]int64, n),
		rejections: make([]string, n), rolloutViews: make([]rolloutView, n), finalPhases: make([]string, n)}
	for i := range driver.postedAfter {
		driver.postedAfter[i] = -1
	}
	return driver
}

// pollInterval is the time between two polls of a tenant's rollouts, and between retries of a call.
const pollInterval = 50 * time.Millisecond

// Drive sends the rollouts, route commands and audit queries of the scenario at their times, until ctx ends.
func (d *Driver) Drive(ctx context.Context) {
	d.wg.Go(func() { d.recordStalls(ctx) })
	for _, c := range d.registry.Replicas {
		d.wg.Go(func() { d.watchReplica(ctx, c) })
	}
	tenants := map[string]bool{}
	for i := range d.run.Scenario.Rollouts {
		rollout := &d.run.Scenario.Rollouts[i]
		d.wg.Go(func() { d.postRollout(ctx, i, rollout) })
		if !tenants[rollout.Tenant] {
			tenants[rollout.Tenant] = true
			d.wg.Go(func() { d.pollTenant(ctx, rollout.Tenant) })
		}
	}
	for i := range d.run.Scenario.RouteCommands {
		d.wg.Go(func() { d.sendCommand(ctx, &d.run.Scenario.RouteCommands[i]) })
	}
	for _, a := range d.run.Scenario.AuditQueries {
		d.wg.Go(func() {
			if !d.sleepUntil(ctx, a.At) {
				return
			}
			d.mu.Lock()
			newest := d.newestRev
			d.mu.Unlock()
			now := d.run.Elapsed()
			d.queryAudit(ctx, newest, now-a.Window.Duration(), now)
		})
	}
	d.wg.Wait()
}

// maxTimerLag is the maximum lateness of a timer of the lab. A later timer is recorded as a stall.
const maxTimerLag = 20 * time.Millisecond

// recordStalls records the spans in which timers of the lab were late, until ctx ends.
func (d *Driver) recordStalls(ctx context.Context) {
	const every = 5 * time.Millisecond
	for {
		due := d.run.Events.Now() + every
		if !harness.Sleep(ctx, every) {
			return
		}
		if now := d.run.Events.Now(); now > due+maxTimerLag {
			d.mu.Lock()
			d.stalls = append(d.stalls, invariant.Span{From: due - d.run.StartedAt, To: now - d.run.StartedAt + maxTimerLag})
			d.mu.Unlock()
		}
	}
}

// sleepUntil sleeps until a time of the run. It returns false if ctx ends first.
func (d *Driver) sleepUntil(ctx context.Context, at scenario.Duration) bool {
	return harness.Sleep(ctx, at.Duration()-d.run.Elapsed())
}

// fail records a failure, which the result lists as a missed expectation.
func (d *Driver) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, fmt.Sprintf(format, args...))
}

// watchReplica watches the tables of a replica and records each table, until ctx ends.
func (d *Driver) watchReplica(ctx context.Context, c *cluster.Replica) {
	after := int64(0)
	for ctx.Err() == nil {
		d.watchOnce(ctx, c, &after)
		harness.Sleep(ctx, pollInterval)
	}
}

// watchOnce watches the tables of a replica until the connection fails. It sets after to the newest revision recorded.
func (d *Driver) watchOnce(ctx context.Context, c *cluster.Replica, after *int64) {
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
			*after = max(*after, d.recordTable(c.Number, line))
		}
	}
}

// routeTable has the fields of a route table that the lab reads. Decoding is lenient, so that bad values reach the
// invariants instead of failing here.
type routeTable struct {
	Rev    int64 `json:"rev"`
	Closed int64 `json:"closed"`
	Routes []struct {
		Tenant   string  `json:"tenant"`
		Fraction float64 `json:"share"`
		Rollout  string  `json:"rollout"`
		Step     int     `json:"step"`
	} `json:"routes"`
}

// recordTable records a table with its canary fractions and returns its revision; 0 if it cannot be decoded.
func (d *Driver) recordTable(replica int, line []byte) int64 {
	var table routeTable
	if json.Unmarshal(line, &table) != nil {
		return 0
	}
	e := record.Event{T: d.run.Events.Now(), Sidecar: record.None, Server: int32(replica), Class: record.None, Rev: table.Rev}
	e.Kind = record.RoutesObserved
	d.run.Events.Add(e)
	d.recordClosed(replica, table.Closed)
	for _, one := range table.Routes {
		if n := d.rolloutIndex(one.Tenant, rollout.RolloutName(one.Rollout)); n >= 0 {
			e.Kind, e.Status, e.Work, e.Attempt = record.RolloutFraction, int32(n), one.Fraction, int16(one.Step)
			d.run.Events.Add(e)
		}
	}
	d.mu.Lock()
	d.newestRev = max(d.newestRev, table.Rev)
	d.revisions[table.Rev] = true
	d.mu.Unlock()
	return table.Rev
}

// recordClosed records that a replica reported a revision as closed, if no newer one was reported before.
func (d *Driver) recordClosed(replica int, rev int64) {
	d.mu.Lock()
	isNew := rev > d.newestClosed
	d.newestClosed = max(d.newestClosed, rev)
	d.mu.Unlock()
	if isNew {
		d.run.Events.Add(record.Event{Kind: record.RevisionClosed, Sidecar: record.None, Server: int32(replica), Class: record.None, Rev: rev})
	}
}

// rolloutIndex returns the index of a rollout in the scenario; -1 if the scenario does not have it.
func (d *Driver) rolloutIndex(tenant, name string) int {
	return slices.IndexFunc(d.run.Scenario.Rollouts, func(p scenario.Rollout) bool { return p.Tenant == tenant && p.Name == name })
}

// Request is the body of a request that starts a rollout.
type Request struct {
	To      string         `json:"to"`
	Classes []string       `json:"classes,omitempty"`
	Steps   []rollout.Step `json:"steps"`
	Budget  int64          `json:"budget"`
	Late    bool           `json:"late"`
	AtEnd   string         `json:"at_end"`
}

// call sends a request to each replica in turn until one responds. A rejection counts as a response, status codes 429
// and from 500 on do not. It returns code 0 if ctx ends first.
func (d *Driver) call(ctx context.Context, method, path string, body any) (code int, text []byte) {
	data, err := json.Marshal(body)
	if err != nil || body == nil {
		data = nil
	}
	for {
		all := d.registry.Replicas
		c := all[int(d.nextReplica.Add(1))%len(all)]
		code, text, err = cluster.Call(ctx, method, c.URL(path), data)
		if err == nil && code < 500 && code != http.StatusTooManyRequests {
			return code, text
		}
		d.run.Log.Debug("lab: request to the route service failed", "path", path, "code", code, "answer", string(text), "err", err)
		if !harness.Sleep(ctx, pollInterval) {
			return 0, nil
		}
	}
}

// postRollout posts a rollout at its scheduled time.
func (d *Driver) postRollout(ctx context.Context, n int, p *scenario.Rollout) {
	if !d.sleepUntil(ctx, p.At) {
		return
	}
	body := Request{To: p.Subset, Classes: p.Classes, Budget: p.Budget, Late: p.CountLate, AtEnd: p.AtEnd}
	for _, st := range p.Steps {
		body.Steps = append(body.Steps, rollout.Step{CanaryFraction: st.Fraction, HoldMS: st.Hold.Duration().Milliseconds(), MinAttempts: st.MinRequests})
	}
	d.mu.Lock()
	d.postedAfter[n] = d.newestRev
	d.mu.Unlock()
	path := "/routes/" + p.Tenant + "/rollouts/" + p.Name
	times := 1
	if p.PostTwice {
		times = 2
	}
	for range times {
		code, text := d.call(ctx, http.MethodPost, path, body)
		if code == 0 {
			return
		}
		if code != http.StatusOK {
			d.mu.Lock()
			d.rejections[n], d.postedAfter[n] = fmt.Sprintf("%d %s", code, strings.TrimSpace(string(text))), -1
			d.mu.Unlock()
			return
		}
	}
}

// sendCommand sends a route command of a tenant or operator at its scheduled time.
func (d *Driver) sendCommand(ctx context.Context, command *scenario.RouteCommand) {
	if !d.sleepUntil(ctx, command.At) {
		return
	}
	path, body := "", any(nil)
	switch command.Action {
	case "base":
		path, body = "/routes/"+command.Tenant+"/base", map[string]string{"to": command.Subset}
	case "schema":
		path, body = "/routes/schema", map[string]int{"least": command.MinSchema}
	default:
		i := slices.IndexFunc(d.run.Scenario.Rollouts, func(p scenario.Rollout) bool { return p.Name == command.Rollout })
		path = "/routes/" + d.run.Scenario.Rollouts[i].Tenant + "/rollouts/" + command.Rollout + "/" + command.Action
	}
	code, text := d.call(ctx, http.MethodPost, path, body)
	if code != 0 && (code != http.StatusOK) != command.ExpectRejected {
		d.fail("route command %s at %v: unexpected response %d %s", command.Action, command.At.Duration(), code, strings.TrimSpace(string(text)))
	}
}

// tenantView has the fields of a tenant's routes that the lab reads.
type tenantView struct {
	Closed   int64         `json:"closed"`
	Rollouts []rolloutView `json:"rollouts"`
}

// rolloutView has the fields of a rollout's state that the lab reads.
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

// pollTenant polls the rollouts of a tenant at each replica in turn and records their changes, until ctx ends.
func (d *Driver) pollTenant(ctx context.Context, tenant string) {
	for i := 0; harness.Sleep(ctx, pollInterval); i++ {
		c := d.registry.Replicas[i%len(d.registry.Replicas)]
		code, text, err := cluster.Call(ctx, http.MethodGet, c.URL("/routes/"+tenant), nil)
		if err == nil && code == http.StatusOK {
			d.recordTenant(c.Number, tenant, text)
		}
	}
}

// recordTenant records the changed rollouts in a replica's response about a tenant.
func (d *Driver) recordTenant(replica int, tenant string, text []byte) {
	var view tenantView
	if err := json.Unmarshal(text, &view); err != nil {
		d.fail("decode routes of tenant %s: %v", tenant, err)
		return
	}
	d.recordClosed(replica, view.Closed)
	for _, one := range view.Rollouts {
		n := d.rolloutIndex(tenant, one.Name)
		if n < 0 {
			continue
		}
		d.mu.Lock()
		previous := d.rolloutViews[n]
		d.rolloutViews[n] = one
		d.mu.Unlock()
		if previous.Rev != one.Rev || previous.Phase != one.Phase || previous.Step != one.Step || one.Left < 0 {
			d.run.Events.Add(record.Event{Kind: record.RolloutPhase, Sidecar: record.None, Server: int32(replica), Class: record.None,
				Rev: one.Rev, Status: int32(n), Attempt: int16(one.Step), N: one.Left, Note: string(one.Phase), Sum: uint64(one.Granted), Want: uint64(one.Spent)})
		}
	}
}

// queryAudit queries the audit for the processes that acted on a revision between two times of the run, and stores the
// verdicts.
func (d *Driver) queryAudit(ctx context.Context, rev int64, from, to time.Duration) {
	from = max(from, 0)
	// Round inwards to whole milliseconds, so that the query covers no more than the given span.
	fromMS, toMS := d.epoch.Add(from).UnixMilli()+1, d.epoch.Add(to).UnixMilli()
	code, text := d.call(ctx, http.MethodGet, fmt.Sprintf("/routes/audit?rev=%d&from=%d&to=%d", rev, fromMS, toMS), nil)
	if code == 0 {
		return
	}
	var got struct {
		Answers []audit.ProcessVerdict `json:"answers"`
	}
	if err := json.Unmarshal(text, &got); code != http.StatusOK || err != nil {
		d.fail("audit of revision %d: unexpected response %d %s, decode error: %v", rev, code, strings.TrimSpace(string(text)), err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.auditQueries++
	for _, a := range got.Answers {
		d.auditAnswers = append(d.auditAnswers, invariant.AuditResult{Rev: rev, From: time.UnixMilli(fromMS).Sub(d.epoch), To: time.UnixMilli(toMS).Sub(d.epoch),
			QueriedAt: d.run.Elapsed(), Name: a.Name, Start: a.Start, Verdict: a.Verdict, Reason: a.Reason})
	}
}

const (
	collectTimeout      = 15 * time.Second // timeout of all requests of Collect together
	maxAuditedRevisions = 12               // maximum revisions audited at the end
	auditWindows        = 6                // random time windows queried for each revision
)

// Collect reads the final phases of the rollouts and queries the audit. The traffic must have ended, the sidecars not.
func (d *Driver) Collect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	harness.Sleep(ctx, time.Second) // the next load report covers the last attempts
	endedAt := d.run.Elapsed()
	tenants := map[string]bool{}
	for i := range d.run.Scenario.Rollouts {
		tenants[d.run.Scenario.Rollouts[i].Tenant] = true
	}
	for _, tenant := range slices.Sorted(maps.Keys(tenants)) {
		d.readFinalPhases(ctx, tenant)
	}
	if broken := d.run.Scenario.Expect.MustBreak; len(broken) > 0 && !slices.Contains(broken, invariant.AuditTrue) {
		return // the planted defect misleads the audit too
	}
	d.mu.Lock()
	revs := slices.Sorted(maps.Keys(d.revisions))
	d.mu.Unlock()
	rng := rand.New(rand.NewPCG(d.run.Plan.Seed, 0x6175646974))
	for len(revs) > maxAuditedRevisions {
		i := rng.IntN(len(revs))
		revs = slices.Delete(revs, i, i+1)
	}
	for _, rev := range revs {
		if rev == 0 {
			continue
		}
		d.queryAudit(ctx, rev, 0, endedAt)
		for range auditWindows {
			from := time.Duration(rng.Float64() * float64(endedAt))
			d.queryAudit(ctx, rev, from, from+time.Duration(rng.Float64()*float64(endedAt-from)))
		}
	}
}

// readFinalPhases reads the phases of a tenant's rollouts from the leader and retries until it responds or ctx ends.
func (d *Driver) readFinalPhases(ctx context.Context, tenant string) {
	for {
		if leader := d.registry.Leader(ctx); leader != nil {
			code, text, err := cluster.Call(ctx, http.MethodGet, leader.URL("/routes/"+tenant), nil)
			if err == nil && code == http.StatusOK {
				d.recordTenant(leader.Number, tenant, text)
				var t tenantView
				_ = json.Unmarshal(text, &t) // recordTenant reported the error
				for _, one := range t.Rollouts {
					if n := d.rolloutIndex(tenant, one.Name); n >= 0 {
						d.finalPhases[n] = string(one.Phase)
					}
				}
				return
			}
		}
		if !harness.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// delaysTraffic reports whether a fault may delay or lose messages of a sidecar.
func delaysTraffic(fault *scenario.Fault) bool {
	switch fault.Kind {
	case "cut", "latency", "bandwidth", "lose", "reset", "refuse", "half-close", "break", "accept-late":
		return fault.Link == "servers"
	case "kill", "restart", "drain", "replace", "vanish", "hang", "idle-close", "reset-begun", "drop":
		return true
	}
	return false
}

// faultRecovery is the time after the end of a fault during which a delayed message may still arrive.
const faultRecovery = time.Second

// Facts returns the properties of the run that the invariants are checked with.
func (d *Driver) Facts() *invariant.Routes {
	p, s := d.run.Plan, d.run.Scenario
	facts := &invariant.Routes{AuditResults: d.auditAnswers, LabStalls: d.stalls, Epoch: d.epoch.UnixNano(),
		Latency: time.Duration(float64(max(s.Network.CrossZone, s.Network.CrossRegion)) * (1 + s.Network.Jitter))}
	if len(s.Network.Regions) == 0 {
		facts.Latency = time.Duration(float64(max(s.Network.CrossZone, s.Network.SameZone)) * (1 + s.Network.Jitter))
	}
	for i := range p.Sidecars {
		facts.Names = append(facts.Names, p.Sidecars[i].Name)
	}
	for i := range p.Faults {
		if one := &p.Faults[i]; delaysTraffic(&one.Fault) {
			facts.LinkFaults = append(facts.LinkFaults, invariant.Span{From: one.At, To: one.Until + faultRecovery})
		}
	}
	for i := range s.Rollouts {
		one := &s.Rollouts[i]
		r := invariant.Rollout{Name: one.Name, Budget: one.Budget, After: d.postedAfter[i], Final: d.finalPhases[i],
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
		facts.Rollouts = append(facts.Rollouts, r)
	}
	return facts
}

// RecordSentTable records the closed revision of a table that was sent to a sidecar.
func (d *Driver) RecordSentTable(line []byte) {
	var table routeTable
	if json.Unmarshal(line, &table) == nil {
		d.recordClosed(record.None, table.Closed)
	}
}
