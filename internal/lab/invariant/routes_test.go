package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/audit"
	"marblelane/internal/lab/record"
)

// attemptAt is an attempt to a canary under a revision, at the time when the server received it.
func attemptAt(at int, id uint64, rev int64) record.Event {
	return record.Event{T: millis(at), Kind: record.FirstByte, Request: id, Server: 1, Attempt: 1, Rev: rev, Canary: true}
}

func replied(at int, id uint64, status int32) record.Event {
	return record.Event{T: millis(at), Kind: record.ResponseSent, Request: id, Server: 1, Attempt: 1, Status: status, Class: record.None}
}

func onServer(at int, id uint64, kind record.Kind) record.Event {
	return record.Event{T: millis(at), Kind: kind, Request: id, Server: 1, Attempt: 1, Class: record.None}
}

func phase(at int, rev int64, name string) record.Event {
	return record.Event{T: millis(at), Kind: record.RolloutPhase, Sidecar: record.None, Class: record.None, Rev: rev, Note: name}
}

func fraction(at int, rev int64, of float64) record.Event {
	return record.Event{T: millis(at), Kind: record.RolloutFraction, Sidecar: record.None, Class: record.None, Rev: rev, Work: of}
}

func revisionClosed(at int, rev int64) record.Event {
	return record.Event{T: millis(at), Kind: record.RevisionClosed, Sidecar: record.None, Class: record.None, Rev: rev}
}

// Each rule of rollouts detects its breach, and reports none for similar events without a breach.
func TestCheckRoutes_rules(t *testing.T) {
	const at = 1000
	other := attemptAt(at, 1, 20)
	other.Class = 1
	elsewhere := attemptAt(at, 1, 20)
	elsewhere.Server = 0
	stranger := attemptAt(at, 1, 20)
	stranger.Tenant = 2
	base := attemptAt(at, 1, 20)
	base.Canary = false
	turned := record.Event{T: millis(at + 1), Kind: record.Rejected, Request: 2, Server: 1, Attempt: 1, Status: 503, Class: record.None}
	gaveUp := record.Event{T: millis(at + 1), Kind: record.ClientDisconnected, Request: 2, Class: record.None, Server: record.None}
	// The second attempt ends without a response: its server hung until the connection was closed, or reset it.
	hung := func(between ...record.Event) []record.Event {
		all := append([]record.Event{process(0, Started), process(1, Serving), attemptAt(at, 1, 20), replied(at+1, 1, 500), attemptAt(at, 2, 20)},
			between...)
		return append(all, onServer(at+400, 2, record.SidecarClosed))
	}
	received := onServer(at+1, 2, record.LastByte)
	client := func(at int, kind record.Kind) record.Event {
		return record.Event{T: millis(at), Kind: kind, Request: 2, Class: record.None, Server: record.None}
	}
	two := func(between ...record.Event) []record.Event {
		all := append([]record.Event{attemptAt(at, 1, 20), replied(at+1, 1, 500), attemptAt(at, 2, 20)}, between...)
		return append(all, replied(at+9, 2, 500))
	}
	for name, c := range map[string]struct {
		events []record.Event
		broken string // empty: none
	}{
		"within the budget":                {[]record.Event{attemptAt(at, 1, 20), replied(at+1, 1, 500)}, ""},
		"over the budget":                  {two(), Budget},
		"the second was rejected":          {two(turned), Budget},
		"the second had no response":       {hung(received), Budget},
		"no response in its client's time": {hung(received, client(at+350, record.Overdue)), Budget},
		"it was not received completely":   {hung(), ""},
		"its client had left":              {hung(received, client(at+300, record.ClientDisconnected)), ""},
		"its client left at the same time": {append(hung(received), client(at+401, record.ClientDisconnected)), ""},
		"its client left long after":       {append(hung(received), client(at+600, record.ClientDisconnected)), Budget},
		"its sidecar ended":                {append(hung(received, process(at+399, Killed)), process(at+402, Ended)), ""},
		"its sidecar ended long after":     {append(hung(received), process(at+900, Killed), process(at+900, Ended)), Budget},
		"it is still in flight":            {hung(received)[:6], ""},
		"the second client had left":       {two(gaveUp), ""},
		"late responses are failures":      {[]record.Event{attemptAt(at, 1, 20), replied(at+101, 1, 200), attemptAt(at, 2, 20), replied(at+101, 2, 200)}, Budget},
		"timely responses are none":        {[]record.Event{attemptAt(at, 1, 20), replied(at+99, 1, 200), attemptAt(at, 2, 20), replied(at+99, 2, 200)}, ""},
		"before it is closed":              {[]record.Event{base, revisionClosed(at+500, 20)}, ""},
		"in flight when it is closed":      {[]record.Event{revisionClosed(at-50, 20), base}, ""},
		"after it is closed":               {[]record.Event{revisionClosed(at-60, 20), base}, RevClosed},
		"after a later one is closed":      {[]record.Event{revisionClosed(at-60, 25), base}, RevClosed},
		"an older one is closed":           {[]record.Event{revisionClosed(at-60, 19), base}, ""},
		"after it is closed, link cut":     {[]record.Event{revisionClosed(4000, 20), attemptAt(4700, 1, 20)}, ""},
		"of an excluded class":             {[]record.Event{other}, RouteFree},
		"at a server outside the canary":   {[]record.Event{elsewhere}, RouteFree},
		"of a tenant without a rollout":    {[]record.Event{stranger}, RouteFree},
		"before it was posted":             {[]record.Event{attemptAt(at, 1, 10)}, RouteFree},
		"without a lease":                  {[]record.Event{attemptAt(at, 1, 0)}, RouteFree},
		"after it was done":                {[]record.Event{phase(at-1, 30, "done"), attemptAt(at, 1, 30)}, RouteFree},
		"after it was rolled back":         {[]record.Event{phase(at-1, 30, "rolled-back"), attemptAt(at, 1, 31)}, RollbackFinal},
		"under the step before":            {[]record.Event{phase(at-1, 30, "rolled-back"), attemptAt(at, 1, 29)}, ""},
		"a replica that lags":              {[]record.Event{phase(at, 30, "rolled-back"), phase(at+1, 29, "running"), fraction(at+1, 29, 0.5)}, ""},
		"reported as running again":        {[]record.Event{phase(at, 30, "rolled-back"), phase(at+1, 31, "running")}, RollbackFinal},
		"a fraction again":                 {[]record.Event{phase(at, 30, "rolled-back"), fraction(at+1, 31, 0.5)}, RollbackFinal},
		"a fraction of zero":               {[]record.Event{phase(at, 30, "rolled-back"), fraction(at+1, 31, 0)}, ""},
		"another phase at the end":         {[]record.Event{phase(at, 30, "rolled-back"), {Kind: record.RoutesObserved, Note: "undone"}}, RollbackFinal},
		"of a rollout that was not posted": {[]record.Event{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			facts := &Routes{LinkFaults: []Span{{millis(4500), millis(4900)}}, Rollouts: []Rollout{
				{Name: "fresh", Classes: []bool{true, false}, Servers: []bool{false, true}, Budget: 1, After: 10,
					LatencyObjectives: []time.Duration{millis(100), millis(100)}},
				{Name: "never", Tenant: 2, After: -1},
			}}
			if n := len(c.events); n > 0 && c.events[n-1].Note == "undone" {
				facts.Rollouts[0].Final = "running"
			}
			broken := Check(c.events, Facts{NonIdempotent: []bool{false, false}, MaxAttempts: 3, Routes: facts}).Broken()
			if c.broken == "" {
				assert.Empty(t, broken)
			} else {
				assert.Equal(t, []string{c.broken}, broken)
			}
		})
	}
}

// The verdicts of the audit are checked against the lifetime of each process and the window of the query.
func TestCheckRoutes_audit(t *testing.T) {
	const epoch = int64(1e18)
	// Two processes: the first from 0 to 3 s, the second from 4 s on; attempts under 20 at 1 and 5 s.
	events := []record.Event{process(0, Started), process(1, Serving), attemptAt(1000, 1, 20), process(3000, Killed), process(3000, Ended),
		process(4000, Started), process(4001, Serving), attemptAt(5000, 2, 20)}
	first, second := epoch+int64(millis(5)), epoch+int64(millis(4005))
	for name, c := range map[string]struct {
		a      AuditResult
		broken bool
	}{
		"did":                              {AuditResult{From: 0, To: millis(3000), Start: first, Verdict: audit.Acted}, false},
		"did not, and it did":              {AuditResult{From: 0, To: millis(3000), Start: first, Verdict: audit.DidNotAct}, true},
		"cannot be known":                  {AuditResult{From: 0, To: millis(3000), Start: first, Verdict: audit.Unknown}, false},
		"did not, before":                  {AuditResult{From: 0, To: millis(999), Start: first, Verdict: audit.DidNotAct}, false},
		"did not, and it began before":     {AuditResult{From: millis(990), To: millis(2000), Start: first, Verdict: audit.DidNotAct}, false},
		"did not, the other process":       {AuditResult{From: millis(4100), To: millis(6000), Start: first, Verdict: audit.DidNotAct}, false},
		"did not, the second process":      {AuditResult{From: 0, To: millis(6000), Start: second, Verdict: audit.DidNotAct}, true},
		"did, and no attempt arrived":      {AuditResult{From: millis(1200), To: millis(4800), Start: first, Verdict: audit.Acted}, true},
		"did, under another revision":      {AuditResult{Rev: 21, From: 0, To: millis(3000), Start: first, Verdict: audit.Acted}, true},
		"did, and its attempt may be lost": {AuditResult{From: millis(7000), To: millis(8000), Start: second, Verdict: audit.Acted}, false},
		"a process that never ran":         {AuditResult{Start: epoch - 1, Verdict: audit.Unknown}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.a.Name = "n0"; c.a.Rev == 0 {
				c.a.Rev = 20
			}
			facts := &Routes{AuditResults: []AuditResult{c.a}, Epoch: epoch, Names: []string{"n0"}, LinkFaults: []Span{{millis(7500), millis(7600)}},
				Rollouts: []Rollout{{Classes: []bool{true}, Servers: []bool{false, true}, After: 10}}}
			v := Check(events, Facts{NonIdempotent: []bool{false}, MaxAttempts: 3, Routes: facts})
			if c.broken {
				assert.Equal(t, []string{AuditTrue}, v.Broken())
			} else {
				assert.Empty(t, v.Broken())
			}
			want := 1
			if c.a.Verdict == audit.Unknown {
				want = 0
			}
			assert.Equal(t, want, v.Checked[AuditTrue])
		})
	}
}
