package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

// memberFleet is the label of the members of a run.
const memberFleet = "lab"

// members is what lies between the members of a run: sidecars, and after them the copies of the list service. Each
// process binds an address of its own and tells others that of a front, which passes packets and connections on. A
// front tells who calls by the address it is called from, so faults can be put between any two parties.
type members struct {
	r       *run
	parties int
	callers map[string]int        // by the address that a party calls from
	links   [][]*relay.Link       // of connections, by calling and called party
	packets [][]*relay.PacketLink // of packets, by sending and called party
	nobody  *relay.PacketLink

	mu     sync.Mutex
	fronts [][]*front // of each party, the newest last
	ills   []*scenario.FaultPlan
	serial uint64
	procs  map[*process.Child]uint64 // their numbers

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// front is where one process is called, or several after each other that have the same address.
type front struct {
	party int
	bind  string // where the process itself listens
	port  *relay.Port
	udp   *relay.PacketProxy
	owner *process.Child // the process behind it
	held  int            // while it refuses: a socket that keeps its port, so that nobody else listens there; -1: none
	used  bool           // some process has had it
	dead  bool           // no process is behind it: its host refuses connections
}

func (f *front) addr() string { return f.port.Addr(f.party) }

// newMembers opens a front for the first process of each party, as every seed's address is known before it starts.
func newMembers(r *run) (*members, error) {
	m := &members{r: r, parties: len(r.plan.Sidecars) + r.s.Discovery.RegistryReplicas, callers: map[string]int{},
		nobody: relay.NewPacketLink(relay.PacketRules{Cut: relay.Both}, 0), procs: map[*process.Child]uint64{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.fronts = make([][]*front, m.parties)
	for i := range m.parties {
		m.callers[relay.CallerAddr(i)] = i
		var links []*relay.Link
		var packets []*relay.PacketLink
		for j := range m.parties {
			seed := r.plan.Seed ^ uint64(i*m.parties+j)<<20
			rules := relay.Rules{Latency: m.between(i, j), Jitter: r.s.Network.Jitter}
			links = append(links, relay.NewLink(rules, seed))
			packets = append(packets, relay.NewPacketLink(relay.PacketRules{Latency: rules.Latency, Jitter: rules.Jitter}, seed))
		}
		m.links, m.packets = append(m.links, links), append(m.packets, packets)
	}
	for i := range m.parties {
		if _, err := m.open(i, true); err != nil {
			m.close()
			return nil, err
		}
	}
	return m, nil
}

// between is the time one way between two parties when nothing is wrong; copies of the list service are near all.
func (m *members) between(i, j int) time.Duration {
	s, n := m.r.s, len(m.r.plan.Sidecars)
	if i >= n || j >= n {
		return s.Network.SameZone.Duration()
	}
	return s.Network.Latency(m.r.plan.Sidecars[i].Zone, m.r.plan.Sidecars[j].Zone).Duration()
}

// open makes a front. It is dead until a process is about to be there.
func (m *members) open(party int, dead bool) (*front, error) {
	var err error
	for range portTrials {
		f := &front{party: party, dead: dead, held: -1}
		if f.bind, err = freeForBoth(relay.CallerAddr(party)); err != nil {
			return nil, err
		}
		f.port, err = relay.ForwardBySource(func(from int) *relay.Link {
			if from >= m.parties {
				return nil
			}
			return m.links[from][party]
		}, func() string { return f.bind })
		if err != nil {
			return nil, err
		}
		f.udp, err = relay.ForwardPackets(f.addr(), f.bind, func(from *net.UDPAddr) *relay.PacketLink {
			if n, ok := m.callers[from.IP.String()]; ok {
				return m.packets[n][party]
			}
			return m.nobody
		})
		if err != nil { // somebody has the port for packets
			f.port.Close()
			continue
		}
		m.mu.Lock()
		m.fronts[party] = append(m.fronts[party], f)
		err = m.settle(f)
		m.mu.Unlock()
		return f, err
	}
	return nil, fmt.Errorf("lab: no address for member %d: %w", party, err)
}

// freeForBoth finds a port on a loopback address that is free for connections and packets. It lies below those at which
// relays listen on all addresses, as one of them could take it before the process binds it.
func freeForBoth(host string) (string, error) {
	var last error
	for range 64 {
		addr := net.JoinHostPort(host, strconv.Itoa(2048+rand.IntN(8192)))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			last = err
			continue
		}
		c, err := net.ListenPacket("udp4", addr)
		if l.Close(); err == nil {
			return addr, c.Close()
		}
		last = err
	}
	return "", fmt.Errorf("lab: no address: %w", last)
}

// newest is the front of a party's newest process.
func (m *members) newest(party int) *front {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fronts[party][len(m.fronts[party])-1]
}

// prepare gives the front for a party's next process and has it pass on what comes.
func (m *members) prepare(party int) (*front, error) {
	f := m.newest(party)
	m.mu.Lock()
	usable := f.dead && (!f.used || m.r.s.Members != nil && m.r.s.Members.KeepAddress || party >= len(m.r.plan.Sidecars))
	m.mu.Unlock()
	if !usable {
		var err error
		if f, err = m.open(party, false); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f.used, f.dead, f.owner = true, false, nil
	return f, m.settle(f)
}

// has says which process is behind a front.
func (m *members) has(f *front, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.owner = c
}

// die has a front refuse what comes, as the host of a process that has ended does. A later process may have it by now.
func (m *members) die(f *front, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.owner != c {
		return
	}
	f.dead = true
	if err := m.settle(f); err != nil {
		m.r.fail(err)
	}
}

// settle has a front do what the faults and its process want; m.mu is held.
//
// Only a whole listener can refuse, so a refusal waits while somebody is cut off from the front: it would reach through
// the cut. Others are accepted and reset meanwhile, which proves nothing to them.
func (m *members) settle(f *front) error {
	if m.ctx.Err() != nil {
		return nil
	}
	var cut []int
	for i := range m.parties {
		if m.links[i][f.party].Rules().Cut != 0 {
			cut = append(cut, i)
		}
	}
	if (f.dead || m.refuses(f.party)) && len(cut) == 0 {
		f.port.Kill()
		f.hold()
		return nil
	}
	f.release()
	if err := f.port.Open(); err != nil {
		return err
	}
	for i := range m.parties {
		do := f.port.Heal
		if slices.Contains(cut, i) {
			do = f.port.Cut
		}
		if err := do(i); err != nil {
			return err
		}
	}
	return nil
}

// hold keeps the port of a front that does not listen: calls are refused as before. While old connections linger it
// cannot be kept, and need not be.
func (f *front) hold() {
	if f.held >= 0 {
		return
	}
	_, port, _ := net.SplitHostPort(f.addr()) // the port's own words
	n, _ := strconv.Atoi(port)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	if unix.Bind(fd, &unix.SockaddrInet4{Port: n}) != nil {
		unix.Close(fd)
		return
	}
	f.held = fd
}

func (f *front) release() {
	if f.held >= 0 {
		unix.Close(f.held)
		f.held = -1
	}
}

func (m *members) refuses(party int) bool {
	return slices.ContainsFunc(m.ills, func(p *scenario.FaultPlan) bool {
		return p.Fault.Kind == "members-refuse" && slices.Contains(p.Sidecars, party)
	})
}

// ill begins or ends a fault between members.
func (m *members) ill(p *scenario.FaultPlan, on bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ills = slices.DeleteFunc(m.ills, func(one *scenario.FaultPlan) bool { return one == p })
	if on {
		m.ills = append(m.ills, p)
	}
	for i := range m.parties {
		for j := range m.parties {
			if i != j {
				m.relink(i, j)
			}
		}
	}
	var failed error
	for _, all := range m.fronts {
		for _, f := range all {
			failed = errors.Join(failed, m.settle(f))
		}
	}
	return failed
}

// relink gives the links from one party to another what all faults of the moment make of them; m.mu is held.
func (m *members) relink(i, j int) {
	var calls relay.Direction // that are silent, of connections from i to j
	lost, refuse := false, false
	lose, slow := 0.0, time.Duration(0)
	for _, p := range m.ills {
		from, to := slices.Contains(p.Sidecars, i), slices.Contains(p.Sidecars, j)
		switch f := p.Fault; {
		case f.Kind == "members-lose" && (from || to):
			lose = max(lose, f.Size)
		case f.Kind == "members-slow" && (from || to):
			slow = max(slow, f.Latency.Duration())
		case from == to:
		case f.Kind == "members-refuse":
			lost = true
			if refuse = refuse || to; from { // nobody but the host itself refuses: who is behind it hears nothing
				calls = relay.Both
			}
		case f.Kind != "members-cut":
		case f.Direction == "in":
			if lost = lost || to; to {
				calls = relay.Both
			}
		default:
			// What comes to those who are cut off is lost, or what they send, or both; of a connection that is its
			// one way or the other.
			if to && f.Direction != "from" || from && f.Direction != "to" {
				lost, calls = true, calls|relay.To
			}
			if to && f.Direction != "to" || from && f.Direction != "from" {
				calls |= relay.From
			}
		}
	}
	m.links[i][j].Set(func(r *relay.Rules) {
		r.Cut, r.Reject, r.Latency = calls, refuse, m.between(i, j)+slow
	})
	m.packets[i][j].Set(func(r *relay.PacketRules) {
		if r.Cut, r.PacketLoss, r.Latency = 0, lose, m.between(i, j)+slow; lost {
			r.Cut = relay.Both
		}
	})
}

// section is the section members of a party's configuration; nil: it has none.
func (m *members) section(party int) map[string]any {
	s := m.r.s
	if party < len(m.r.plan.Sidecars) && !s.InMembership(party) {
		return nil
	}
	f := m.newest(party)
	out := map[string]any{"fleet": memberFleet, "bind": f.bind, "advertise": f.addr()}
	var seeds []string
	for _, i := range m.r.plan.Seeds {
		if i != party {
			seeds = append(seeds, m.newest(i).addr())
		}
	}
	if len(seeds) > 0 {
		out["seeds"] = seeds
	}
	if s.Members.ProbeInterval > 0 {
		out["interval"] = s.Members.ProbeInterval.Duration().String()
	}
	if s.Members.AdmitWithin > 0 {
		out["admit_within"] = s.Members.AdmitWithin.Duration().String()
	}
	if s.Members.TrustRefusals != nil {
		out["believe_refused"] = *s.Members.TrustRefusals
	}
	if d := s.Members.Defect; d != "" && party < len(m.r.plan.Sidecars) {
		out["defect"] = d
	}
	return out
}

// startService turns membership on in the copies of the list service, which run already: one after another is started
// again with its section, as an operator would do it.
func (m *members) startService(ctx context.Context) error {
	for k, c := range m.r.service.rr.copies {
		party := len(m.r.plan.Sidecars) + k
		f, err := m.prepare(party)
		if err != nil {
			return err
		}
		text, err := toml.Marshal(map[string]any{"members": m.section(party)})
		if err != nil {
			return fmt.Errorf("copy %s: %w", c.name, err)
		}
		file, err := os.OpenFile(filepath.Join(c.spec.Dir, "registry.toml"), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return fmt.Errorf("copy %s: %w", c.name, err)
		}
		_, err = file.Write(append([]byte("\n"), text...))
		if err := errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("copy %s: %w", c.name, err)
		}
		c.process().Kill()
		if err := m.r.service.rr.launch(ctx, c); err != nil {
			return err
		}
		for m.r.service.rr.leader(ctx) == nil {
			if ctx.Err() != nil {
				return errors.New("the list service has no leader")
			}
		}
		m.wg.Go(func() { m.followCopy(f, c) })
	}
	return nil
}

// followCopy follows the processes of a copy of the list service, which the faults of its own kinds end and start.
func (m *members) followCopy(f *front, c *registryCopy) {
	var last *process.Child
	for m.ctx.Err() == nil {
		p := c.process()
		if p == last {
			sleep(m.ctx, 20*time.Millisecond)
			continue
		}
		m.mu.Lock()
		dead := f.dead
		m.mu.Unlock()
		if last = p; dead {
			var err error
			if f, err = m.prepare(f.party); err != nil {
				m.r.fail(err)
				return
			}
		}
		m.has(f, p)
		m.follow(f, p, c.serve)
	}
}

// lateSteps start the sidecars that start late.
func (m *members) lateSteps() []step {
	var late []int
	for i := range m.r.plan.Sidecars {
		if m.r.s.StartsLate(i) {
			late = append(late, i)
		}
	}
	if len(late) == 0 {
		return nil
	}
	return []step{{m.r.s.Members.LateStart.Duration(), fmt.Sprintf("sidecars %v start", late), 0, func(ctx context.Context) error {
		return m.r.each(late, func(i int) error { return m.r.sidecars[i].begin(ctx) })
	}}}
}

// end stops asking the members; the fronts stay.
func (m *members) end() {
	m.stop()
	m.wg.Wait()
}

func (m *members) close() {
	m.end()
	for _, all := range m.fronts {
		for _, f := range all {
			f.port.Close()
			f.udp.Close()
			f.release()
		}
	}
}
