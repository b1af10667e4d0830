package simulate

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// connectTimeout is the settings' limits.connect_timeout_ms, as Plan.Settings has it.
const connectTimeout = scenario.ConnectTimeoutMS

// ask is one request of a client with its retries, as the lab's clients make them.
type ask struct {
	w        *world
	number   int
	a        *scenario.Arrival
	rng      *rand.Rand
	deadline float64
	honours  bool
	tries    int
}

func (w *world) arrive(number int, a *scenario.Arrival) {
	k := &ask{w: w, number: number, a: a, rng: rand.New(rand.NewPCG(a.Seed, uint64(number)))}
	k.deadline = w.Now() + ms(w.s.Scaled(w.s.Classes[a.Class].Deadline))
	k.honours = k.rng.Float64() < w.s.Traffic.ObeysRetryAfter
	k.next()
}

// next makes the next try, if there is one.
func (k *ask) next() {
	w, s := k.w, k.w.s
	if k.tries > s.Traffic.Retries {
		return
	}
	k.tries++
	noise := 0.9 + 0.2*k.rng.Float64()
	left := k.deadline - w.Now()
	patience := math.Min(ms(s.Scaled(s.Classes[k.a.Class].Deadline))*math.Min(s.Traffic.AttemptTimeoutFraction*noise, 1), left)
	if s.Traffic.Retries == 0 {
		patience = left
	}
	early := 0.0
	if k.rng.Float64() < s.Traffic.EarlyLeaveFraction {
		early = patience * k.rng.Float64()
	}
	if patience < 1 {
		return
	}
	c := w.sidecars[k.a.Sidecar]
	if c.down {
		if c = w.members.another(k.rng); c == nil {
			k.again(0)
			return
		}
	}
	t := &try{ask: k, c: c, id: k.rng.Uint64()>>12 | 1, deadline: w.Now() + patience}
	c.tries[balance.RequestID(t.id)] = t
	t.note(record.Sent, record.Event{Attempt: int16(k.tries), Sum: 1})
	if early > 0 {
		w.After(early, func() {
			if t.client {
				return
			}
			t.client = true
			t.note(record.ClientLeft, record.Event{})
			t.end()
			t.c.tell(balance.ClientGone{Request: balance.RequestID(t.id)})
			k.again(0)
		})
	}
	w.After(patience, func() {
		if !t.client {
			t.client, t.late = true, true
			t.note(record.Overdue, record.Event{})
			k.again(0)
		}
	})
	w.After(patience+listen, func() {
		if t.late && !t.done {
			t.note(record.NoAnswer, record.Event{Note: "nothing"})
			t.end()
		}
	})
	c.tell(balance.Request{ID: balance.RequestID(t.id), Class: k.a.Class, Tenant: k.a.Tenant, Remaining: patience, ClientRetry: k.tries > 1})
}

// again lets the client come back after its pause.
func (k *ask) again(after float64) {
	wait := ms(k.w.s.Scaled(k.w.s.Traffic.Backoff))
	if k.honours && after > 0 {
		wait = after
	}
	k.w.After(wait, k.next)
}

// try is one try of a request at a sidecar: one id.
type try struct {
	ask      *ask
	c        *sidecar
	id       uint64
	deadline float64
	client   bool // its client does not wait for it any more, or has its answer
	late     bool // its client's time is over, and it listens on
	done     bool // it has its final answer, or nobody listens
	attempts []*attempt
}

func (t *try) note(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar, e.Server = k, t.id, int32(t.c.number), record.None
	e.Class, e.N = int16(t.ask.a.Class), int64(t.ask.number)
	t.ask.w.note(e)
}

// answered is the sidecar's final answer.
func (t *try) answered(status int, after float64) {
	if t == nil { // of a client that is gone
		return
	}
	e := record.Event{Status: int32(status)}
	if status == http.StatusOK {
		e.Sum, e.Want = 1, 1
	}
	again := !t.client && status != http.StatusOK
	if !t.done {
		t.note(record.Answered, e)
	}
	t.client = true
	t.end()
	if again {
		t.ask.again(after)
	}
}

// end forgets a try once nothing of it is out.
func (t *try) end() {
	t.done = true
	if !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return !a.told }) {
		delete(t.c.tries, balance.RequestID(t.id))
	}
}

// attempt is one send.
type attempt struct {
	t       *try
	s       *server
	number  int
	conn    int16
	from    float64
	task    *stock.Task
	kept    bool // over a connection that was open
	arrived bool // its server has it
	over    bool // the server has answered it or seen it closed
	told    bool // the balancer knows its end
}

func (a *attempt) note(k record.Kind, status int) {
	a.t.ask.w.note(record.Event{Kind: k, Request: a.t.id, Sidecar: int32(a.t.c.number), Server: int32(a.s.number), Attempt: a.conn,
		Status: int32(status), Class: record.None, Sum: 0})
}

// send makes an attempt: over a kept connection, or a new one, which costs a round trip and may never come up.
func (t *try) send(s *server, dropAt float64) {
	c, w := t.c, t.c.w
	a := &attempt{t: t, s: s, number: len(t.attempts), from: w.Now()}
	t.attempts = append(t.attempts, a)
	w.sends = append(w.sends, Send{At: w.Now() - begin, Sidecar: c.number, Server: s.number, First: a.number == 0, Work: t.ask.a.Work})
	if dropAt <= 0 {
		dropAt = t.deadline
	}
	w.At(math.Min(dropAt, t.deadline), func() {
		if !a.told {
			a.cancelAtServer()
			a.lost(balance.TimedOut)
		}
	})
	kept := c.idle[s.number]
	for len(kept) > 0 {
		until := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		if until > w.Now() {
			c.idle[s.number] = kept
			a.kept = true
			w.After(w.latency(c, s), func() { a.arrive(0) })
			return
		}
	}
	c.idle[s.number] = kept
	w.sends[len(w.sends)-1].Opened = true
	l, once := w.link(c, s), w.latency(c, s)
	switch {
	case l.to || l.from: // the first packet, or the answer to it, is lost
		w.After(connectTimeout, func() { a.lost(balance.ConnectFailed) })
	case s.down || l.refuse:
		w.After(2*once, func() { a.lost(balance.ConnectFailed) })
	default:
		w.After(3*once, func() { a.arrive(w.s.Servers.HandshakeWork.Milliseconds() / w.s.Traffic.Speedup) })
	}
}

// arrive is when the request reaches its server, if it does.
func (a *attempt) arrive(extra float64) {
	w, s := a.t.ask.w, a.s
	l := w.link(a.t.c, s)
	if a.told || l.to {
		return
	}
	if s.down {
		result := balance.ConnectFailed
		if a.kept { // it was written, for all that the sidecar knows
			result = balance.Reset
		}
		a.answer(func() { a.lost(result) })
		return
	}
	s.conns++
	a.conn, a.arrived = s.conns, true
	a.note(record.FirstByte, 0)
	a.note(record.LastByte, 0)
	turn := func() {
		a.note(record.Rejected, 503)
		a.note(record.Replied, 503)
		a.over = true
		a.answer(func() { a.keep(); a.lost(balance.Rejected) })
	}
	if s.drain {
		turn()
		return
	}
	if s.fail > 0 && w.rng.Float64() < s.fail {
		a.note(record.WorkStarted, 0)
		a.note(record.Replied, 500)
		a.over = true
		a.answer(func() { a.keep(); a.lost(balance.Failed) })
		return
	}
	dropped := s.drop > 0 && w.rng.Float64() < s.drop || l.lose > 0 && w.rng.Float64() < l.lose
	w.advance(s.pod)
	work := a.t.ask.a.Work*w.s.Classes[a.t.ask.a.Class].AttemptWorkFactor(a.t.id, s.number) + extra
	if w.members != nil && w.members.topples(s) {
		a.topple()
		return
	}
	task, what := s.pod.farm.Offer(w.clock(), s.inPod, work, func() { a.note(record.WorkStarted, 0) }, func() {
		if a.over || dropped {
			return
		}
		a.over = true
		a.note(record.Replied, 200)
		a.answer(func() { a.keep(); a.served() })
	})
	switch what {
	case stock.Rejected:
		turn()
	case stock.Overloaded:
		a.topple()
	default:
		a.task = task
		w.advance(s.pod)
	}
}

// topple ends the server that this attempt is too much for.
func (a *attempt) topple() {
	w := a.t.ask.w
	w.note(record.Event{Kind: record.OverloadCrash, Request: a.t.id, Sidecar: int32(a.t.c.number), Server: int32(a.s.number),
		Class: record.None, Note: "sent more than it can bear while cold"})
	w.kill(a.s, true)
}

// answer brings the server's word to the sidecar, unless the way is cut.
func (a *attempt) answer(then func()) {
	w := a.t.ask.w
	if w.link(a.t.c, a.s).from {
		return
	}
	w.After(w.latency(a.t.c, a.s), func() {
		if !a.told && !w.link(a.t.c, a.s).from {
			then()
		}
	})
}

// keep leaves the connection open for the next request.
func (a *attempt) keep() {
	w := a.t.ask.w
	a.t.c.idle[a.s.number] = append(a.t.c.idle[a.s.number], w.Now()+w.s.Servers.IdleTimeout.Milliseconds()-2)
}

// served is a good answer.
func (a *attempt) served() {
	a.told = true
	took := a.t.ask.w.Now() - a.from
	a.t.answered(http.StatusOK, 0)
	a.t.c.tell(balance.Outcome{Request: balance.RequestID(a.t.id), Attempt: a.number, Server: balance.ServerID(a.s.number + 1),
		Result: balance.OK, Elapsed: took, Finished: true})
	a.t.settle()
}

// lost tells the balancer of an attempt that ended without an answer for the client.
func (a *attempt) lost(result balance.Result) {
	if a.told {
		return
	}
	a.told = true
	if a.arrived && !a.over {
		a.over = true
		a.note(record.SidecarClosed, 0)
	}
	a.t.c.tell(balance.Outcome{Request: balance.RequestID(a.t.id), Attempt: a.number, Server: balance.ServerID(a.s.number + 1),
		Result: result, Elapsed: a.t.ask.w.Now() - a.from})
	a.t.settle()
}

func (t *try) settle() {
	if t.done {
		t.end()
	}
}

// cancel gives an attempt up, as the balancer wants.
func (a *attempt) cancel() {
	w := a.t.ask.w
	w.After(0, func() { // never from inside the balancer's own call
		if !a.told {
			a.cancelAtServer()
			a.lost(balance.Cancelled)
		}
	})
}

// cancelAtServer lets the server see the close, unless the way is cut; then it works on in vain.
func (a *attempt) cancelAtServer() {
	w := a.t.ask.w
	if w.link(a.t.c, a.s).to {
		return
	}
	w.After(w.latency(a.t.c, a.s), func() {
		if a.task != nil && a.task.Cancel() {
			w.advance(a.s.pod)
		}
	})
}
