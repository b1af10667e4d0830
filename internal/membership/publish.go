package membership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"marblelane/internal/membership/roster"
)

// reportWithin is how long a report waits for the owner.
const reportWithin = 100 * time.Millisecond

// mark is how a process has stood.
type mark struct {
	state MemberState
	since time.Duration
	up    time.Duration // alive since, where it is alive
	heard time.Duration // last alive, where it is not; below 0: never
	twin  bool
	info  *meta // nil: it was never heard
	addr  string
	proof roster.Proof
	pass  uint64 // when it was there last
}

func (m *mark) alive() bool { return m.state == Alive || m.state == Suspected }

// publish says what has changed.
func (g *Group) publish(now time.Duration) {
	view := g.roster.View(now)
	if g.cfg.Defect == DefectNoAdmission && !g.left.Load() {
		view.Admitted = true
	}
	was := g.view.Swap(&view)
	changed := view != *was
	if g.due(now) {
		g.entries()
		g.stage(now)
		changed = g.stand(now) || changed
		g.stale, g.looked = false, now
	}
	if changed {
		g.mu.Lock()
		g.changes++
		close(g.changed)
		g.changed = make(chan struct{})
		g.mu.Unlock()
		g.toldAt = now - tellEvery
	}
	if now-g.toldAt >= tellEvery*9/10 {
		g.toldAt = now
		if g.cfg.Changed != nil {
			g.cfg.Changed(view)
		}
	}
}

// stage sets the scene for joiner and prober.
func (g *Group) stage(now time.Duration) {
	s := &peerSnapshot{silent: g.roster.Unreachable(), heard: make(map[string]bool, len(g.live))}
	for _, n := range g.live {
		s.heard[n.addr] = true
	}
	if len(g.live) == 0 {
		for _, e := range g.entries() {
			if e.Present() && idOf(e) != g.roster.Self() && e.Addr != "" {
				s.living = append(s.living, e)
			}
		}
	}
	before := g.peers.Swap(s)
	if len(s.silent) > len(before.silent) || len(s.heard) == 0 && len(before.heard) > 0 {
		signal(g.joinWake)
	}
	if len(s.silent) > 0 {
		signal(g.probeWake)
	}
}

// stand keeps how each process stands, and reports whether any stands otherwise than before.
func (g *Group) stand(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pass++
	changed := g.self != g.roster.Self()
	g.self = g.roster.Self()
	all, there := g.entries(), 0
	for _, e := range all {
		id := idOf(e)
		n, state := g.live[id], Alive
		switch {
		case !e.Present():
			state = Gone
		case id == g.self:
		case n == nil:
			state = Silent
		case n.suspected:
			state = Suspected
		}
		changed = g.mark(now, id, state, e, n) || changed
		there++
	}
	for id, n := range g.live { // what the roster has no room for, perhaps
		if m := g.marks[id]; m == nil || m.pass != g.pass {
			state := Alive
			if n.suspected {
				state = Suspected
			}
			changed = g.mark(now, id, state, roster.Entry{}, n) || changed
			there++
		}
	}
	if m := g.marks[g.self]; m == nil || m.pass != g.pass {
		changed = g.mark(now, g.self, Alive, roster.Entry{}, nil) || changed
		there++
	}
	if len(g.marks) > there {
		changed = true
		maps.DeleteFunc(g.marks, func(_ roster.ID, m *mark) bool { return m.pass != g.pass })
	}
	return g.twins(now, all) || changed
}

// mark keeps how one process stands, and reports whether that has changed.
func (g *Group) mark(now time.Duration, id roster.ID, state MemberState, e roster.Entry, n *liveNode) bool {
	m := g.marks[id]
	if m == nil {
		m = &mark{heard: -1, up: now}
		g.marks[id] = m
	}
	m.pass, m.addr, m.proof = g.pass, e.Addr, e.Proof
	changed := m.state != state
	if changed {
		if m.alive() {
			m.heard = now
		} else if state == Alive {
			m.up = now
		}
		m.state, m.since = state, now
	}
	info := m.info
	switch {
	case id == g.self:
		m.addr, info = g.addr, &g.meta
	case n != nil:
		m.addr, info = n.addr, &n.meta
	}
	if m.info != info {
		changed = changed || m.info == nil || *m.info != *info
		m.info = info
	}
	return changed
}

// twins keeps which processes of one name are there side by side for long, and reports whether that has changed. All are
// sorted by name.
func (g *Group) twins(now time.Duration, all []roster.Entry) bool {
	changed := false
	g.beside = false
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Name == all[0].Name {
			n++
		}
		one := all[:n]
		all = all[n:]
		if n == 1 && !g.marks[idOf(one[0])].twin {
			continue
		}
		alive, up := 0, 0
		for _, e := range one {
			if m := g.marks[idOf(e)]; m.alive() {
				alive++
				if now-m.up >= twinAfter {
					up++
				}
			}
		}
		g.beside = g.beside || alive > 1
		for _, e := range one {
			m := g.marks[idOf(e)]
			if twin := up > 1 && m.alive(); twin != m.twin {
				m.twin, changed = twin, true
				if twin {
					g.log.Warn("members: two processes of one name are there side by side", "name", e.Name, "start", e.Start)
				}
			}
		}
	}
	return changed
}

// Report says all that this process sees, now or, where its owner is busy, as of a moment ago.
func (g *Group) Report() Report {
	ctx, cancel := context.WithTimeout(context.Background(), reportWithin)
	defer cancel()
	_ = g.do(ctx, func() { // what was seen last is good enough
		if g.stale && !g.left.Load() {
			g.turnNow()
		}
	})
	r := Report{Fleet: g.cfg.Fleet, Self: g.current.Load().id, UnixMS: time.Now().UnixMilli(),
		Dropped: g.figures.droppedAll(), View: g.View()}
	if g.cfg.Believed != nil {
		r.Believed = g.cfg.Believed()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.Name != "" {
		r.Self = g.self
	}
	now := g.now()
	r.Changes, r.Members = g.changes, make([]Member, 0, len(g.marks))
	for id, m := range g.marks {
		mem := Member{Name: id.Name, Start: id.Start, Addr: m.addr, State: m.state, SinceMS: (now - m.since).Milliseconds(),
			HeardMS: -1, Twin: m.twin}
		if m.info != nil {
			mem.Zone, mem.Role, mem.Version = m.info.Zone, m.info.Role, m.info.Version
		}
		if m.alive() {
			mem.HeardMS = 0
		} else if m.heard >= 0 {
			mem.HeardMS = (now - m.heard).Milliseconds()
		}
		if m.state == Gone {
			mem.Proof = proofText(m.proof)
		}
		r.Members = append(r.Members, mem)
	}
	slices.SortFunc(r.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
	})
	return r
}

func proofText(p roster.Proof) string {
	if text, ok := map[roster.Proof]string{roster.ProofNone: "", roster.ProofRefused: "refused", roster.ProofAddressReused: "replaced",
		roster.ProofOperator: "told", roster.ProofLeft: "left"}[p]; ok {
		return text
	}
	return "proof-" + strconv.Itoa(int(p)) // a newer program's
}

// changedNow gives a channel that is closed at the next change.
func (g *Group) changedNow() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}
