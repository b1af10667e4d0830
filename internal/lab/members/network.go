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
	packetLinks     [][]*relay.PacketLink // of packets, by sending and called party
	blockedPackets     *relay.PacketLink

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
func (e *Endpoint) Addr() string { return e.proxy.Addr(e.party) }

// New opens an endpoint for the first process of each party, as the address of every seed is known before it starts.
func New(r *harness.Run) (*Network, error) {
	network := &Network{run: r, partyCount: len(r.Plan.Sidecars) + r.Scenario.Discovery.RegistryReplicas, partyByAddr: map[string]int{},
		blockedPackets: relay.NewPacketLink(relay.PacketRules{Cut: relay.Both}, 0), serials: map[*process.Child]uint64{}}
	network.ctx, network.stop = context.WithCancel(context.Background())
	network.endpoints = make([][]*Endpoint, network.partyCount)
	for i := range network.partyCount {
		network.partyByAddr[relay.CallerAddr(i)] = i
		var links []*relay.Link
		var packets []*relay.PacketLink
		for j := range network.partyCount {
			seed := r.Plan.Seed ^ uint64(i*network.partyCount+j)<<20
			rules := relay.Rules{Latency: network.latencyBetween(i, j), Jitter: r.Scenario.Network.Jitter}
			links = append(links, relay.NewLink(rules, seed))
			packets = append(packets, relay.NewPacketLink(relay.PacketRules{Latency: rules.Latency, Jitter: rules.Jitter}, seed))
		}
		network.links, network.packetLinks = append(network.links, links), append(network.packetLinks, packets)
	}
	for i := range network.partyCount {
		if _, err := network.openEndpoint(i, true); err != nil {
			network.Close()
			return nil, err
		}
	}
	return network, nil
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
func (m *Network) openEndpoint(party int, down bool) (*Endpoint, error) {
	var err error
	for range endpointAttempts {
		endpoint := &Endpoint{party: party, down: down, reservedFD: -1}
		if endpoint.bindAddr, err = harness.FreeMemberAddr(relay.CallerAddr(party)); err != nil {
			return nil, err
		}
		endpoint.proxy, err = relay.ForwardBySource(func(from int) *relay.Link {
			if from >= m.partyCount {
				return nil
			}
			return m.links[from][party]
		}, func() string { return endpoint.bindAddr })
		if err != nil {
			return nil, err
		}
		endpoint.packetProxy, err = relay.ForwardPackets(endpoint.Addr(), endpoint.bindAddr, func(from *net.UDPAddr) *relay.PacketLink {
			if n, ok := m.partyByAddr[from.IP.String()]; ok {
				return m.packetLinks[n][party]
			}
			return m.blockedPackets
		})
		if err != nil { // somebody has the port for packets
			endpoint.proxy.Close()
			continue
		}
		m.mu.Lock()
		m.endpoints[party] = append(m.endpoints[party], endpoint)
		err = m.updateListener(endpoint)
		m.mu.Unlock()
		return endpoint, err
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
	endpoint := m.newestEndpoint(party)
	m.mu.Lock()
	usable := endpoint.down && (!endpoint.assigned || m.run.Scenario.Members != nil && m.run.Scenario.Members.KeepAddress || party >= len(m.run.Plan.Sidecars))
	m.mu.Unlock()
	if !usable {
		var err error
		if endpoint, err = m.openEndpoint(party, false); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint.assigned, endpoint.down, endpoint.process = true, false, nil
	return endpoint, m.updateListener(endpoint)
}

// SetProcess says which process is behind an endpoint.
func (m *Network) SetProcess(endpoint *Endpoint, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint.process = c
}

// ProcessEnded lets an endpoint refuse connections, as the host of a process that has ended does. Nothing changes where a
// later process has the endpoint by now.
func (m *Network) ProcessEnded(endpoint *Endpoint, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if endpoint.process != c {
		return
	}
	endpoint.down = true
	if err := m.updateListener(endpoint); err != nil {
		m.run.Fail(err)
	}
}

// updateListener opens, closes or cuts the listener of an endpoint as the faults and its process demand; m.mu is held.
//
// Only a whole listener can refuse, so a refusal waits while somebody is cut off from the endpoint: it would reach through
// the cut. Others are accepted and reset meanwhile, which proves nothing to them.
func (m *Network) updateListener(endpoint *Endpoint) error {
	if m.ctx.Err() != nil {
		return nil
	}
	var cut []int
	for i := range m.partyCount {
		if m.links[i][endpoint.party].Rules().Cut != 0 {
			cut = append(cut, i)
		}
	}
	if (endpoint.down || m.rejectsCalls(endpoint.party)) && len(cut) == 0 {
		endpoint.proxy.Kill()
		endpoint.reservePort()
		return nil
	}
	endpoint.releasePort()
	if err := endpoint.proxy.Open(); err != nil {
		return err
	}
	for i := range m.partyCount {
		apply := endpoint.proxy.Heal
		if slices.Contains(cut, i) {
			apply = endpoint.proxy.Cut
		}
		if err := apply(i); err != nil {
			return err
		}
	}
	return nil
}

// reservePort keeps the port of an endpoint that does not listen: calls are refused as before. While old connections
// linger it cannot be kept, and need not be.
func (e *Endpoint) reservePort() {
	if e.reservedFD >= 0 {
		return
	}
	_, port, _ := net.SplitHostPort(e.Addr()) // it was formatted by the proxy
	n, _ := strconv.Atoi(port)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	if unix.Bind(fd, &unix.SockaddrInet4{Port: n}) != nil {
		unix.Close(fd)
		return
	}
	e.reservedFD = fd
}

func (e *Endpoint) releasePort() {
	if e.reservedFD >= 0 {
		unix.Close(e.reservedFD)
		e.reservedFD = -1
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
	var cut relay.Direction // that are silent, of connections from i to j
	packetsCut, reject := false, false
	packetLoss, extraLatency := 0.0, time.Duration(0)
	for _, p := range m.activeFaults {
		from, to := slices.Contains(p.Sidecars, i), slices.Contains(p.Sidecars, j)
		switch f := p.Fault; {
		case f.Kind == "members-lose" && (from || to):
			packetLoss = max(packetLoss, f.Size)
		case f.Kind == "members-slow" && (from || to):
			extraLatency = max(extraLatency, f.Latency.Duration())
		case from == to:
		case f.Kind == "members-refuse":
			packetsCut = true
			if reject = reject || to; from { // only the host itself refuses: the process behind it gets nothing
				cut = relay.Both
			}
		case f.Kind != "members-cut":
		case f.Direction == "in":
			if packetsCut = packetsCut || to; to {
				cut = relay.Both
			}
		default:
			// What comes to those who are cut off is lost, or what they send, or both; of a connection that is its
			// one way or the other.
			if to && f.Direction != "from" || from && f.Direction != "to" {
				packetsCut, cut = true, cut|relay.To
			}
			if to && f.Direction != "to" || from && f.Direction != "from" {
				cut |= relay.From
			}
		}
	}
	m.links[i][j].Set(func(r *relay.Rules) {
		r.Cut, r.Reject, r.Latency = cut, reject, m.latencyBetween(i, j)+extraLatency
	})
	m.packetLinks[i][j].Set(func(r *relay.PacketRules) {
		if r.Cut, r.PacketLoss, r.Latency = 0, packetLoss, m.latencyBetween(i, j)+extraLatency; packetsCut {
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
	endpoint := m.newestEndpoint(party)
	section := map[string]any{"fleet": FleetLabel, "bind": endpoint.bindAddr, "advertise": endpoint.Addr()}
	var seeds []string
	for _, i := range m.run.Plan.Seeds {
		if i != party {
			seeds = append(seeds, m.newestEndpoint(i).Addr())
		}
	}
	if len(seeds) > 0 {
		section["seeds"] = seeds
	}
	if s.Members.ProbeInterval > 0 {
		section["interval"] = s.Members.ProbeInterval.Duration().String()
	}
	if s.Members.AdmitWithin > 0 {
		section["admit_within"] = s.Members.AdmitWithin.Duration().String()
	}
	if s.Members.TrustRefusals != nil {
		section["believe_refused"] = *s.Members.TrustRefusals
	}
	if d := s.Members.Defect; d != "" && party < len(m.run.Plan.Sidecars) {
		section["defect"] = d
	}
	return section
}

// StartReplicas turns membership on in the replicas of the registry, which run already: one after another is started again
// with its section, as an operator would do it.
func (m *Network) StartReplicas(ctx context.Context, registry *cluster.Cluster) error {
	m.registry = registry
	for k, c := range m.registry.Replicas {
		party := len(m.run.Plan.Sidecars) + k
		endpoint, err := m.Prepare(party)
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
		m.wg.Go(func() { m.followReplica(endpoint, c) })
	}
	return nil
}

// followReplica polls the processes of a replica of the registry, which faults of other kinds end and start.
func (m *Network) followReplica(endpoint *Endpoint, c *cluster.Replica) {
	var last *process.Child
	for m.ctx.Err() == nil {
		p := c.Process()
		if p == last {
			harness.Sleep(m.ctx, 20*time.Millisecond)
			continue
		}
		m.mu.Lock()
		down := endpoint.down
		m.mu.Unlock()
		if last = p; down {
			var err error
			if endpoint, err = m.Prepare(endpoint.party); err != nil {
				m.run.Fail(err)
				return
			}
		}
		m.SetProcess(endpoint, p)
		m.pollProcess(endpoint, p, c.Address)
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
