// Package members runs the gossip network of a run. It puts proxies with faults between the members, polls the
// membership view of each process, and computes the result from the recorded views.
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

// endpointAttempts is the maximum number of ports tried to find one that is free for both TCP and UDP.
const endpointAttempts = 3

// FleetLabel is the fleet name in the configuration of every member of a run.
const FleetLabel = "lab"

// Network connects the members of a run. Its parties are the sidecars, followed by the replicas of the registry. Each
// process binds an address of its own and advertises the address of an endpoint, which forwards packets and
// connections. An endpoint identifies the caller by its source address, so faults can be injected between any two
// parties.
type Network struct {
	run            *harness.Run
	registry       *cluster.Cluster // nil if no replica is a member
	partyCount     int
	partyByAddr    map[string]int        // party number by source IP address
	links          [][]*relay.Link       // links for connections, by calling and called party
	packetLinks    [][]*relay.PacketLink // links for packets, by sending and receiving party
	blockedPackets *relay.PacketLink     // drops packets from unknown addresses

	mu           sync.Mutex
	endpoints    [][]*Endpoint // endpoints by party, oldest first
	activeFaults []*scenario.FaultPlan
	lastSerial   uint64
	serials      map[*process.Child]uint64 // serial number of each polled process

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Endpoint is the proxy at the advertised address of a process. Successive processes of a party may share an endpoint.
type Endpoint struct {
	party       int
	bindAddr    string // address at which the process listens
	proxy       *relay.Port
	packetProxy *relay.PacketProxy
	process     *process.Child // the process behind the endpoint; nil before SetProcess
	reservedFD  int            // socket that reserves the port while the endpoint refuses connections; -1: none
	assigned    bool           // a process has been prepared for the endpoint
	down        bool           // no process is behind the endpoint, so connections are refused
}

// Addr returns the advertised address.
func (e *Endpoint) Addr() string { return e.proxy.Addr(e.party) }

// New opens an endpoint for the first process of each party, because the seed addresses must be known before any
// process starts.
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

// latencyBetween returns the one-way latency between two parties without faults. The replicas of the registry are
// treated as in the same zone as every party.
func (m *Network) latencyBetween(i, j int) time.Duration {
	s, n := m.run.Scenario, len(m.run.Plan.Sidecars)
	if i >= n || j >= n {
		return s.Network.SameZone.Duration()
	}
	return s.Network.Latency(m.run.Plan.Sidecars[i].Zone, m.run.Plan.Sidecars[j].Zone).Duration()
}

// openEndpoint opens an endpoint for a party. If down is set, it refuses connections until Prepare is called.
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
		if err != nil { // another socket has the UDP port
			endpoint.proxy.Close()
			continue
		}
		m.mu.Lock()
		m.endpoints[party] = append(m.endpoints[party], endpoint)
		err = m.updateListener(endpoint)
		m.mu.Unlock()
		return endpoint, err
	}
	return nil, fmt.Errorf("lab: open endpoint of member %d: no port free for both TCP and UDP: %w", party, err)
}

// newestEndpoint returns the endpoint that was opened last for a party.
func (m *Network) newestEndpoint(party int) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[party][len(m.endpoints[party])-1]
}

// Prepare returns the endpoint for the next process of a party and enables forwarding. It opens a new endpoint unless
// the party keeps its address.
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

// SetProcess sets the process behind an endpoint.
func (m *Network) SetProcess(endpoint *Endpoint, c *process.Child) {
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint.process = c
}

// ProcessEnded makes an endpoint refuse connections, as the host of an ended process does. It does nothing if a later
// process has taken over the endpoint.
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

// updateListener opens, closes or cuts the listener of an endpoint according to the active faults and the state of its
// process. The caller holds m.mu.
//
// A listener can only refuse the connections of all parties. While a party is cut off, a refusal would reach it through
// the cut, so refusing is deferred until no cut is active. Meanwhile, connections of other parties are accepted and
// reset, which is no proof to them that the process has ended.
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

// reservePort binds the port of an endpoint that does not listen, so that no other process gets the port and
// connections are still refused. While old connections linger, bind fails and is not needed.
func (e *Endpoint) reservePort() {
	if e.reservedFD >= 0 {
		return
	}
	_, port, _ := net.SplitHostPort(e.Addr()) // the proxy formatted the address
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

// releasePort undoes reservePort.
func (e *Endpoint) releasePort() {
	if e.reservedFD >= 0 {
		unix.Close(e.reservedFD)
		e.reservedFD = -1
	}
}

// rejectsCalls reports whether an active fault makes a party refuse connections. The caller holds m.mu.
func (m *Network) rejectsCalls(party int) bool {
	return slices.ContainsFunc(m.activeFaults, func(p *scenario.FaultPlan) bool {
		return p.Fault.Kind == "members-refuse" && slices.Contains(p.Sidecars, party)
	})
}

// SetFault starts a fault between members if on is set, and ends it otherwise.
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

// updateLinks applies all active faults to the links from party i to party j. The caller holds m.mu.
func (m *Network) updateLinks(i, j int) {
	var cut relay.Direction // directions cut, of connections from i to j
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
			if reject = reject || to; from { // the host refuses connections to the party; the party's own are cut
				cut = relay.Both
			}
		case f.Kind != "members-cut":
		case f.Direction == "in":
			if packetsCut = packetsCut || to; to {
				cut = relay.Both
			}
		default:
			// The cut drops what is sent to the cut-off parties, what they send, or both. For a connection, these are
			// its two directions.
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

// ConfigSection returns the [members] section of a party's configuration; nil if the party is not a member.
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

// StartReplicas enables membership in the running replicas of the registry. As an operator would, it adds the section
// to the configuration of one replica after another and restarts the replica.
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
			return fmt.Errorf("replica %s: marshal members section: %w", c.Name, err)
		}
		if err := c.AppendConfig(text); err != nil {
			return fmt.Errorf("replica %s: append members section: %w", c.Name, err)
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

// followReplica polls the successive processes of a registry replica, which faults of other kinds may restart.
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

// StopPolling stops the pollers and waits for them. The endpoints stay open.
func (m *Network) StopPolling() {
	m.stop()
	m.wg.Wait()
}

// Close stops the pollers and closes the endpoints.
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
