package model

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Options describe a play. Times are milliseconds.
type Options struct {
	Seed       uint64
	Sidecars   int
	For        int64   // length of the play
	Rate       float64 // requests a second and sidecar
	Takes      int64   // mean time of an attempt
	Canary     float64 // part of the attempts that fail, at the canary
	Base       float64 // likewise, at the base
	Budget     int64
	Steps      []rollout.Step
	Report     int64   // time between two reports
	Units      int64   // time between two asks for units; one that runs short asks at once, at most each Gather
	Want       int64   // units that a sidecar would like to hold
	Gather     int64   // asks of so long become one command
	Commit     int64   // until a command is on a majority
	Latency    int64   // mean time of a message, one way
	Loss       float64 // of messages, each way
	Twice      float64 // of messages that come twice, the second time later
	Kills      []int64 // at each time one sidecar is killed and another start of it begins
	Leaders    []int64 // at each time the leader is lost; commands that are not committed are lost with it
	Elect      int64   // until there is the next one
	Sum        int64   // the baseline sums its counters so often
	Controller rollout.Options
}

// Defaults are the figures of docs/routes.md, with a canary that fails a tenth.
func Defaults() Options {
	return Options{Seed: 1, Sidecars: 100, For: 60_000, Rate: 10, Takes: 30, Canary: 0.1, Base: 0.001, Budget: 50,
		Steps: []rollout.Step{{Share: 0.25, HoldMS: 1 << 30}}, Report: 1000, Units: 1000, Want: 2, Gather: 20, Commit: 5,
		Latency: 2, Elect: 1500, Sum: 1000, Controller: rollout.Defaults()}
}

// Result is what came of a play. Times are milliseconds from its beginning, -1 where it did not come to that.
type Result struct {
	Phase            rollout.Phase
	Why              string
	Attempts         int64 // to the canary
	Failures, Budget int64
	LastUnit         int64 // the failure that was the budget's last
	LastAttempt      int64 // to the canary
	RolledBack       int64 // on a majority
	AllActing        int64 // from then on each sidecar that lives acts on the rollback, or has no permission
	Ledger           int64 // ledger commands
	LedgerBytes      int64 // of their JSON
	Entries          int64
	Commands         int64 // all
	LedgerPerSecond  float64
	Share            float64 // of the requests before the rollback, that went to the canary
	Asks, Reports    int64
	// The baseline sees the same requests and outcomes. Its sidecars send to the canary until they are told otherwise;
	// the leader sums their counters.
	BaselineFailures, BaselineOver int64
	BaselineLastUnit               int64
	BaselineLastAttempt            int64
	Overclaimed                    bool // the ledger ever gave out more than the budget: a defect
}

const (
	tenantName  = "tenant"
	rolloutName = "canary"
)

// event is something due; of one time, in the order in which they were set.
type event struct {
	at, order int64
	do        func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// attemptCounts counts a sidecar's attempts under one revision.
type attemptCounts struct{ rev, canary, base, canaryFailed, baseFailed int64 }

type node struct {
	Sidecar
	alive    bool
	asking   bool
	asked    int64
	tallies  []attemptCounts // newest last, those of the rollout's revisions
	baseline baseline
}

// baseline is a sidecar that counts.
type baseline struct {
	off    bool
	failed int64
}

type play struct {
	Options
	rng        *rand.Rand
	now        int64
	order      int64
	due        queue
	state      *rollout.State
	controller *rollout.Controller // none while there is no leader
	gen        int                 // of the leader
	nodes      []*node
	waiting    []waiting // asks that are gathered
	flush      bool      // is due
	sums       []int64   // the baseline leader's, by sidecar
	baseEnded  bool
	requests   int64
	share      float64 // of the step
	res        Result
}

type waiting struct {
	n       *node
	ask     route.UnitsAsk
	entries []rollout.Entry
}

// Play plays. The same options give the same result.
func Play(o Options) (Result, error) {
	if o.Sidecars < 1 || o.Sidecars > 5000 || o.For < 1 || o.Rate <= 0 || o.Report < 1 || o.Units < 1 || o.Sum < 1 {
		return Result{}, fmt.Errorf("model: sidecars are not 1 to 5000, or for, rate, report, units or sum is not above 0")
	}
	p := &play{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), state: rollout.NewState(), sums: make([]int64, o.Sidecars)}
	p.res = Result{Budget: o.Budget, LastUnit: -1, LastAttempt: -1, RolledBack: -1, AllActing: -1, BaselineLastUnit: -1,
		BaselineLastAttempt: -1}
	p.state.Begin(1)
	spec := &rollout.Spec{Tenant: tenantName, Name: rolloutName, To: "b", Canary: route.Subset{Model: []string{"b"}},
		Steps: o.Steps, Budget: o.Budget, AtEnd: rollout.Return}
	if _, err := p.state.Apply(&rollout.Command{Op: rollout.OpPost, Spec: spec}); err != nil {
		return Result{}, fmt.Errorf("model: %w", err)
	}
	p.share = p.Steps[0].Share
	p.begin()
	for len(p.due) > 0 && p.due[0].at <= o.For {
		e := heap.Pop(&p.due).(event)
		p.now = e.at
		e.do()
	}
	return p.result(), nil
}

func (p *play) begin() {
	p.lead()
	for i := range p.Sidecars {
		n := &node{alive: true}
		n.Sidecar = Sidecar{Process: route.Process{Name: fmt.Sprintf("s%04d", i), Start: 1}, Tenant: tenantName, Rollout: rolloutName}
		p.nodes = append(p.nodes, n)
		p.start(n, i)
		p.request(i)
		p.sum(i)
	}
	for _, at := range p.Kills {
		p.at(at, p.kill)
	}
	for _, at := range p.Leaders {
		p.at(at, p.loseLeader)
	}
	p.every(100, p.tick)
	p.every(p.Sum, p.sumUp)
}

func (p *play) at(at int64, do func()) {
	p.order++
	heap.Push(&p.due, event{at, p.order, do})
}

func (p *play) after(d int64, do func()) { p.at(p.now+d, do) }

func (p *play) every(d int64, do func()) {
	p.after(d, func() { do(); p.every(d, do) })
}

// around is a time with this mean, at least 1.
func (p *play) around(mean int64) int64 { return 1 + int64(p.rng.ExpFloat64()*float64(mean)) }

// send carries a message: it may be lost, or come twice.
func (p *play) send(do func()) {
	if p.rng.Float64() >= p.Loss {
		p.after(p.around(p.Latency), do)
	}
	if p.rng.Float64() < p.Twice {
		p.after(p.around(20*p.Latency), do)
	}
}

// start begins a process's duties. The first is somewhere within its period, so that those of a fleet are spread.
func (p *play) start(n *node, i int) {
	start := n.Start
	var report, units func()
	report = func() {
		if n.alive && n.Start == start {
			p.report(n)
			p.after(p.Report, report)
		}
	}
	units = func() {
		if n.alive && n.Start == start {
			p.askUnits(n)
			p.after(p.Units, units)
		}
	}
	p.after(1+p.rng.Int64N(p.Report), report)
	p.after(1+p.rng.Int64N(p.Units), units)
	p.tell(n)
}

// tell sends the table as it is when it arrives.
func (p *play) tell(n *node) {
	start := n.Start
	p.send(func() {
		if n.alive && n.Start == start {
			t := p.state.Table()
			n.Told(&t)
			p.acting()
		}
	})
}

// acting notes when the last sidecar acts on a rollback.
func (p *play) acting() {
	if p.res.RolledBack < 0 || p.res.AllActing >= 0 {
		return
	}
	for _, n := range p.nodes {
		if n.alive && n.May(p.now) {
			return
		}
	}
	p.res.AllActing = p.now
}

func (p *play) request(i int) {
	p.after(1+int64(p.rng.ExpFloat64()*1000/p.Rate), func() {
		p.attempt(p.nodes[i])
		p.request(i)
	})
}

// attempt is one request in both worlds, with one draw of the side and one outcome.
func (p *play) attempt(n *node) {
	side, luck, takes := p.rng.Float64(), p.rng.Float64(), p.around(p.Takes)
	if !n.alive {
		return
	}
	if side < p.share && !n.baseline.off {
		p.res.BaselineLastAttempt = p.now
		p.after(takes, func() {
			if luck < p.Canary {
				n.baseline.failed++
				if p.res.BaselineFailures++; p.res.BaselineFailures == p.Budget {
					p.res.BaselineLastUnit = p.now
				}
			}
		})
	}
	canary := false
	if n.May(p.now) {
		p.requests++
		if canary = side < p.share && n.Purse.Reserve(); side < p.share && !canary {
			p.askSoon(n)
		}
	}
	if canary {
		p.res.Attempts++
		p.res.LastAttempt = p.now
	}
	rev, start := int64(0), n.Start
	if p.now < n.Until {
		rev = n.Have
	}
	p.after(takes, func() { p.ended(n, start, rev, canary, luck) })
}

func (p *play) ended(n *node, start, rev int64, canary bool, luck float64) {
	failed := luck < p.Base
	if canary {
		if failed = luck < p.Canary; failed {
			if p.res.Failures++; p.res.Failures == p.Budget {
				p.res.LastUnit = p.now
			}
		}
	}
	if n.Start != start {
		return // its process was killed; what it cost was counted
	}
	if canary {
		n.Purse.Settle(failed)
	}
	n.count(rev, canary, failed)
}

func (n *node) count(rev int64, canary, failed bool) {
	if rev == 0 {
		return
	}
	if len(n.tallies) == 0 || n.tallies[len(n.tallies)-1].rev < rev {
		n.tallies = append(n.tallies, attemptCounts{rev: rev})
	}
	for i := range n.tallies {
		t := &n.tallies[i]
		if t.rev != rev {
			continue
		}
		one := int64(0)
		if failed {
			one = 1
		}
		if canary {
			t.canary, t.canaryFailed = t.canary+1, t.canaryFailed+one
		} else {
			t.base, t.baseFailed = t.base+1, t.baseFailed+one
		}
	}
}

func (n *node) counts() []route.Count {
	var out []route.Count
	for _, t := range n.tallies {
		out = append(out,
			route.Count{Rev: t.rev, Tenant: tenantName, Canary: true, Begun: t.canary, Ended: t.canary, Failed: t.canaryFailed},
			route.Count{Rev: t.rev, Tenant: tenantName, Begun: t.base, Ended: t.base, Failed: t.baseFailed})
	}
	return out
}

func (p *play) report(n *node) {
	asked, start, r := p.now, n.Start, n.Report(n.counts())
	p.send(func() {
		if p.controller == nil {
			return
		}
		p.res.Reports++
		a := p.controller.Report(p.now, p.state, &r)
		t := p.state.Table()
		p.send(func() {
			if !n.alive || n.Start != start {
				return
			}
			n.Answered(asked, &a)
			if a.Anew {
				n.Told(&t)
				p.acting()
			}
		})
	})
}

// askSoon asks for units ahead of time, for one that has none.
func (p *play) askSoon(n *node) {
	if !n.asking && p.now-n.asked >= max(p.Gather, 1) {
		p.askUnits(n)
	}
}

func (p *play) askUnits(n *node) {
	n.asked = p.now
	ask := n.Ask(p.Want)
	p.send(func() {
		if p.controller == nil {
			return
		}
		p.res.Asks++
		p.waiting = append(p.waiting, waiting{n, ask, p.controller.Settle(p.now, p.state, &ask)})
		if !p.flush {
			p.flush = true
			p.after(p.Gather, p.gathered)
		}
	})
}

// gathered makes one command of the asks since, and answers them once it is committed.
func (p *play) gathered() {
	p.flush = false
	all := p.waiting
	p.waiting = nil
	c := &rollout.Command{Op: rollout.OpLedger}
	for i := range all {
		c.Entries = append(c.Entries, all[i].entries...)
	}
	answer := func() {
		for _, w := range all {
			a, start := p.controller.Grants(p.state, &w.ask), w.ask.Start
			p.send(func() {
				if w.n.alive && w.n.Start == start {
					w.n.Granted(&a)
				}
			})
		}
	}
	if len(c.Entries) == 0 {
		if p.controller != nil {
			answer()
		}
		return
	}
	p.commit(c, answer)
}

// commit carries a command out once it is on a majority; it is lost with its leader.
func (p *play) commit(c *rollout.Command, then func()) {
	gen := p.gen
	p.after(p.Commit, func() {
		if p.controller == nil || p.gen != gen {
			return
		}
		before := p.state.Rev()
		_, _ = p.state.Apply(c) // one that comes too late is refused, and that is right
		p.res.Commands++
		if c.Op == rollout.OpLedger {
			p.res.Ledger++
			p.res.Entries += int64(len(c.Entries))
			data, _ := json.Marshal(c) // plain values, which cannot fail
			p.res.LedgerBytes += int64(len(data))
		}
		granted, _, returned := p.state.Held(tenantName, rolloutName)
		p.res.Overclaimed = p.res.Overclaimed || granted-returned > p.Budget
		if p.state.Rev() != before {
			p.moved()
		}
		if then != nil {
			then()
		}
	})
}

func (p *play) moved() {
	r, _ := p.state.Rollout(tenantName, rolloutName)
	p.share = p.Steps[r.Step].Share
	if r.Phase == rollout.RolledBack && p.res.RolledBack < 0 {
		p.res.RolledBack = p.now
	}
	for _, n := range p.nodes {
		p.tell(n)
	}
}

func (p *play) tick() {
	if p.controller == nil {
		return
	}
	commands, _ := p.controller.Tick(p.now, p.state, func(route.Subset) int { return 1 })
	for i := range commands {
		p.commit(&commands[i], nil)
	}
	p.acting()
}

func (p *play) lead() {
	p.gen++
	o := p.Options.Controller
	o.Leader = fmt.Sprint("leader", p.gen)
	p.controller = rollout.NewController(o, p.now)
}

func (p *play) loseLeader() {
	p.controller, p.waiting = nil, nil
	p.after(p.Elect, p.lead)
}

// kill ends a process, and another start of it begins with nothing.
func (p *play) kill() {
	i := p.rng.IntN(len(p.nodes))
	n := p.nodes[i]
	n.Sidecar = Sidecar{Process: route.Process{Name: n.Name, Start: n.Start + 1}, Tenant: tenantName, Rollout: rolloutName}
	n.tallies = nil
	p.start(n, i)
}

// sum reports a baseline's counter with each period.
func (p *play) sum(i int) {
	p.after(1+p.rng.Int64N(p.Report), func() {
		p.every(p.Report, func() {
			failed := p.nodes[i].baseline.failed
			p.send(func() { p.sums[i] = max(p.sums[i], failed) })
		})
	})
}

func (p *play) sumUp() {
	total := int64(0)
	for _, n := range p.sums {
		total += n
	}
	if total < p.Budget || p.baseEnded {
		return
	}
	p.baseEnded = true
	for _, n := range p.nodes {
		p.after(p.Commit+p.around(p.Latency), func() { n.baseline.off = true })
	}
}

func (p *play) result() Result {
	r, _ := p.state.Rollout(tenantName, rolloutName)
	out := p.res
	out.Phase, out.Why = r.Phase, r.Why
	out.LedgerPerSecond = float64(out.Ledger) / (float64(p.For) / 1000)
	if p.requests > 0 {
		out.Share = float64(out.Attempts) / float64(p.requests)
	}
	out.BaselineOver = max(0, out.BaselineFailures-p.Budget)
	return out
}
