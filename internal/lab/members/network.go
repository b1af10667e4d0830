// Package members is the membership of a run: the proxies between the members, the faults that are injected into them, a
// poller for the view of each process, and the result of what the members knew of each other.
package members

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

// endpointAttempts is how often an address is tried that is free for connections and packets.
const endpointAttempts = 3

// FleetLabel is the fleet that the members of a run belong to.
const FleetLabel = "lab"

// Network is what lies between the members of a run: the sidecars, and after them the replicas of the registry. Each
// process binds an address of its own and advertises that of an endpoint, which forwards packets and connections. An
// endpoint knows the caller by its address, so faults can be injected between any two parties.
type Network struct {
	run         *harness.Run
	registry    *cluster.Cluster // nil: none of its replicas is a member
	partyCount  int
	partyByAddr map[string]int        // by the address that a party calls from
	links       [][]*relay.Link       // of connections, by calling and called party
	packets     [][]*relay.PacketLink // of packets, by sending and called party
	blocked     *relay.PacketLink

	mu           sync.Mutex
	endpoints    [][]*Endpoint // of each party, the newest last
	activeFaults []*scenario.FaultPlan
	lastSerial   uint64
	serials      map[*process.Child]uint64 // their numbers

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Endpoint is the advertised address of a process, or of several after each other that keep it.
type Endpoint struct {
	party       int
	bindAddr    string // where the process itself listens
	proxy       *relay.Port
	packetProxy *relay.PacketProxy
	process     *process.Child // the process behind it
	reservedFD  int            // while it refuses: a socket that keeps its port from other processes; -1: none
	assigned    bool           // some process has had it
	down        bool           // no process is behind it: its host refuses connections
}

// Addr is the advertised address.
func (f *Endpoint) Addr() string { return f.proxy.Addr(f.party) }

// New opens an endpoint for the first process of each party, as the address of every seed is known before it starts.
func New(r *harness.Run) (*Network, error) {
	m := &Network{run: r, partyCount: len(r.Plan.Sidecars) + r.Scenario.Discovery.RegistryReplicas, partyByAddr: map[string]int{},
		blocked: relay.NewPacketLink(relay.PacketRules{Cut: relay.Both}, 0), serials: map[*process.Child]uint64{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.endpoints = make([][]*Endpoint, m.partyCount)
	for i := range m.partyCount {
		m.partyByAddr[relay.CallerAddr(i)] = i
		var links []*relay.Link
		var packets []*relay.PacketLink
		for j := range m.partyCount {
			seed := r.Plan.Seed ^ uint64(i*m.partyCount+j)<<20
			rules := relay.Rules{Latency: m.latencyBetween(i, j), Jitter: r.Scenario.Network.Jitter}
			links = append(links, relay.NewLink(rules, seed))
			packets = append(packets, relay.NewPacketLink(relay.PacketRules{Latency: rules.Latency, Jitter: rules.Jitter}, seed))
		}
		m.links, m.packets = append(m.links, links), append(m.packets, packets)
	}
	for i := range m.partyCount {
		if _, err := m.openEndpoint(i, true); err != nil {
			m.Close()
			return nil, err
		}
	}
	return m, nil
}

// latencyBetween is the time one way between two parties without faults. The replicas of the registry are near all.
func (m *Network) latencyBetween(i, j int) time.Duration {
	s, n := m.run.Scenario, len(m.run.Plan.Sidecars)
	if i >= n || j >= n {
		return s.Network.SameZone.Duration()
	}
	return s.Network.Latency(m.run.Plan.Sidecars[i].Zone, m.run.Plan.Sidecars[j].Zone).Duration()
}

// openEndpoint makes an endpoint. One that is down refuses connections until a process has been prepared.
func (m *Network) openEndpoint(party int, dead bool) (*Endpoint, error) {
	var err error
	for range endpointAttempts {
		f := &Endpoint{party: party, down: dead, reservedFD: -1}
		if f.bindAddr, err = harness.FreeMemberAddr(relay.CallerAddr(party)); err != nil {
			return nil, err
		}
		f.proxy, err = relay.ForwardBySource(func(from int) *relay.Link {
			if from >= m.partyCount {
				return nil
			}
			return m.links[from][party]
		}, func() string { return f.bindAddr })
		if err != nil {
			return nil, err
		}
		f.packetProxy, err = relay.ForwardPackets(f.Addr(), f.bindAddr, func(from *net.UDPAddr) *relay.PacketLink {
			if n, ok := m.partyByAddr[from.IP.String()]; ok {
				return m.packets[n][party]
			}
			return m.blocked
		})
		if err != nil { // somebody has the port for packets
			f.proxy.Close()
			continue
		}
		m.mu.Lock()
		m.endpoints[party] = append(m.endpoints[party], f)
		err = m.updateListener(f)
		m.mu.Unlock()
		return f, err
	}
	return nil, fmt.Errorf("lab: no address for member %d: %w", party, err)
}

// newestEndpoint is that of the newest process of a party.
func (m *Network) newestEndpoint(party int) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[party][len(m.endpoints[party])-1]
}

// Prepare gives the endpoint for the next process of a party, and lets it forward.
func (m *Network) Prepare(party int) (*Endpoint, error) {
	f := m.newestEndpoint(party)
	m.mu.Lock()
	usable := f.down && (!f.assigned || m.run.Scenario.Members != nil && m.run.Scenario.Members.KeepAddress || party >= len(m.run.Plan.Sidecars))
	m.mu.Unlock()
	if !usable {
		var err error
		if f, err = m.openEndpoint(party, false); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f.assigned, f.down, f.process = true, false, nil
	return f, m.updateListener(f)
}

// SetProcess says which process is behind an endpoint.
func (m *Network) SetProcess(f *Endpoint, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.process = c
}

// ProcessEnded lets an endpoint refuse connections, as the host of a process that has ended does. Nothing changes where a
// later process has the endpoint by now.
func (m *Network) ProcessEnded(f *Endpoint, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.process != c {
		return
	}
	f.down = true
	if err := m.updateListener(f); err != nil {
		m.run.Fail(err)
	}
}

// updateListener opens, closes or cuts the listener of an endpoint as the faults and its process demand; m.mu is held.
//
// Only a whole listener can refuse, so a refusal waits while somebody is cut off from the endpoint: it would reach through
// the cut. Others are accepted and reset meanwhile, which proves nothing to them.
func (m *Network) updateListener(f *Endpoint) error {
	if m.ctx.Err() != nil {
		return nil
	}
	var cut []int
	for i := range m.partyCount {
		if m.links[i][f.party].Rules().Cut != 0 {
			cut = append(cut, i)
		}
	}
	if (f.down || m.rejectsCalls(f.party)) && len(cut) == 0 {
		f.proxy.Kill()
		f.reservePort()
		return nil
	}
	f.releasePort()
	if err := f.proxy.Open(); err != nil {
		return err
	}
	for i := range m.partyCount {
		do := f.proxy.Heal
		if slices.Contains(cut, i) {
			do = f.proxy.Cut
		}
		if err := do(i); err != nil {
			return err
		}
	}
	return nil
}

// reservePort keeps the port of an endpoint that does not listen: calls are refused as before. While old connections
// linger it cannot be kept, and need not be.
func (f *Endpoint) reservePort() {
	if f.reservedFD >= 0 {
		return
	}
	_, port, _ := net.SplitHostPort(f.Addr()) // it was formatted by the proxy
	n, _ := strconv.Atoi(port)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	if unix.Bind(fd, &unix.SockaddrInet4{Port: n}) != nil {
		unix.Close(fd)
		return
	}
	f.reservedFD = fd
}

func (f *Endpoint) releasePort() {
	if f.reservedFD >= 0 {
		unix.Close(f.reservedFD)
		f.reservedFD = -1
	}
}

func (m *Network) rejectsCalls(party int) bool {
	return slices.ContainsFunc(m.activeFaults, func(p *scenario.FaultPlan) bool {
		return p.Fault.Kind == "members-refuse" && slices.Contains(p.Sidecars, party)
	})
}

// SetFault begins or ends a fault between members.
func (m *Network) SetFault(p *scenario.FaultPlan, on bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeFaults = slices.DeleteFunc(m.activeFaults, func(one *scenario.FaultPlan) bool { return one == p })
	if on {
		m.activeFaults = append(m.activeFaults, p)
	}
	for i := range m.partyCount {
		for j := range m.partyCount {
			if i != j {
				m.updateLinks(i, j)
			}
		}
	}
	var failed error
	for _, all := range m.endpoints {
		for _, f := range all {
			failed = errors.Join(failed, m.updateListener(f))
		}
	}
	return failed
}

// updateLinks sets the links from one party to another by all active faults; m.mu is held.
func (m *Network) updateLinks(i, j int) {
	var calls relay.Direction // that are silent, of connections from i to j
	lost, reject := false, false
	lose, slow := 0.0, time.Duration(0)
	for _, p := range m.activeFaults {
		from, to := slices.Contains(p.Sidecars, i), slices.Contains(p.Sidecars, j)
		switch f := p.Fault; {
		case f.Kind == "members-lose" && (from || to):
			lose = max(lose, f.Size)
		case f.Kind == "members-slow" && (from || to):
			slow = max(slow, f.Latency.Duration())
		case from == to:
		case f.Kind == "members-refuse":
			lost = true
			if reject = reject || to; from { // only the host itself refuses: the process behind it gets nothing
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
		r.Cut, r.Reject, r.Latency = calls, reject, m.latencyBetween(i, j)+slow
	})
	m.packets[i][j].Set(func(r *relay.PacketRules) {
		if r.Cut, r.PacketLoss, r.Latency = 0, lose, m.latencyBetween(i, j)+slow; lost {
			r.Cut = relay.Both
		}
	})
}

// ConfigSection is the section members of the configuration of a party; nil: it has none.
func (m *Network) ConfigSection(party int) map[string]any {
	s := m.run.Scenario
	if party < len(m.run.Plan.Sidecars) && !s.InMembership(party) {
		return nil
	}
	f := m.newestEndpoint(party)
	out := map[string]any{"fleet": FleetLabel, "bind": f.bindAddr, "advertise": f.Addr()}
	var seeds []string
	for _, i := range m.run.Plan.Seeds {
		if i != party {
			seeds = append(seeds, m.newestEndpoint(i).Addr())
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
	if d := s.Members.Defect; d != "" && party < len(m.run.Plan.Sidecars) {
		out["defect"] = d
	}
	return out
}

// StartReplicas turns membership on in the replicas of the registry, which run already: one after another is started again
// with its section, as an operator would do it.
func (m *Network) StartReplicas(ctx context.Context, registry *cluster.Cluster) error {
	m.registry = registry
	for k, c := range m.registry.Replicas {
		party := len(m.run.Plan.Sidecars) + k
		f, err := m.Prepare(party)
		if err != nil {
			return err
		}
		text, err := toml.Marshal(map[string]any{"members": m.ConfigSection(party)})
		if err != nil {
			return fmt.Errorf("copy %s: %w", c.Name, err)
		}
		if err := c.AppendConfig(text); err != nil {
			return fmt.Errorf("copy %s: %w", c.Name, err)
		}
		c.Process().Kill()
		if err := m.registry.Launch(ctx, c); err != nil {
			return err
		}
		if err := m.registry.AwaitLeader(ctx); err != nil {
			return err
		}
		m.wg.Go(func() { m.followReplica(f, c) })
	}
	return nil
}

// followReplica polls the processes of a replica of the registry, which faults of other kinds end and start.
func (m *Network) followReplica(f *Endpoint, c *cluster.Replica) {
	var last *process.Child
	for m.ctx.Err() == nil {
		p := c.Process()
		if p == last {
			harness.Sleep(m.ctx, 20*time.Millisecond)
			continue
		}
		m.mu.Lock()
		dead := f.down
		m.mu.Unlock()
		if last = p; dead {
			var err error
			if f, err = m.Prepare(f.party); err != nil {
				m.run.Fail(err)
				return
			}
		}
		m.SetProcess(f, p)
		m.pollProcess(f, p, c.Address)
	}
}

// StopPolling stops the pollers. The endpoints stay.
func (m *Network) StopPolling() {
	m.stop()
	m.wg.Wait()
}

// Close ends the pollers and closes the endpoints.
func (m *Network) Close() {
	m.StopPolling()
	for _, all := range m.endpoints {
		for _, f := range all {
			f.proxy.Close()
			f.packetProxy.Close()
			f.releasePort()
		}
	}
}
