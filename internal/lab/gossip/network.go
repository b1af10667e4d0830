// Package gossip simulates a network in memory for fleets of hundreds to thousands of members in one process. Each
// member's Port is a memberlist transport. The network simulates loss, delay, one-way and two-way cuts, partitions,
// hosts that are down, and addresses that refuse connections. It uses the clock of the process, so members run as they
// do on sockets.
//
// Each sender has its own random generator, derived from the network's seed. Which packets are lost or delayed depends
// only on the seed and on the order in which the sender sends.
//
// Limits: bandwidth is infinite. A stream that a cut blocks continues as soon as the cut ends, whereas TCP would wait
// for its next retransmission. There is one path between two ports, so only Jitter reorders packets.
package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Rules configure one direction between two ports. A connection also depends on the opposite direction.
type Rules struct {
	Loss        float64       // fraction of packets lost; on a stream, each loss costs a retransmission timeout
	Delay       time.Duration // one-way delay
	Jitter      time.Duration // maximum additional delay, uniformly distributed; 0 means none
	Cut         bool          // nothing passes
	RejectDials bool          // connections are refused although a port listens, as by a firewall
}

// link is the direction from one address to another.
type link struct{ from, to netip.AddrPort }

// Network connects ports. Its methods are safe for concurrent use.
type Network struct {
	seed uint64

	mu           sync.RWMutex
	defaultRules Rules
	links        map[link]Rules
	partitions   map[netip.AddrPort]int // partition number by address; 0 for addresses not in the map
	downHosts    map[netip.AddrPort]bool
	ports        map[netip.AddrPort]*Port
	openedPorts  uint64
	changed      chan struct{} // closed and replaced at each change, to wake blocked streams
}

// New returns a network without ports, with rules as the default for every direction.
func New(seed uint64, rules Rules) *Network {
	return &Network{seed: seed, defaultRules: rules, links: map[link]Rules{}, partitions: map[netip.AddrPort]int{},
		downHosts: map[netip.AddrPort]bool{},
		ports:     map[netip.AddrPort]*Port{}, changed: make(chan struct{})}
}

// Addr returns the simulated address of member n. n must be below 2^24.
func Addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7946)
}

// Open opens a port at an address. It fails if a port is already open at the address.
func (n *Network) Open(addr netip.AddrPort) (*Port, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ports[addr] != nil {
		return nil, fmt.Errorf("gossip: open port %v: address in use", addr)
	}
	n.openedPorts++
	p := &Port{net: n, addr: addr, rng: rand.New(rand.NewPCG(n.seed, n.openedPorts)), done: make(chan struct{}),
		packets: make(chan *memberlist.Packet, packetQueueSize), streams: make(chan net.Conn, backlog),
		openStreams: map[*Stream]struct{}{}}
	n.ports[addr] = p
	return p, nil
}

// update runs do with the lock held and wakes the goroutines that wait for a change of the network.
func (n *Network) update(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetDefault sets the rules for every direction without rules of its own.
func (n *Network) SetDefault(rules Rules) { n.update(func() { n.defaultRules = rules }) }

// SetLink sets the rules for the direction from one address to another.
func (n *Network) SetLink(from, to netip.AddrPort, rules Rules) {
	n.update(func() { n.links[link{from, to}] = rules })
}

// Partition assigns addresses to numbered partitions and replaces earlier assignments. Addresses of different
// partitions exchange nothing. An address that is not in the map is in partition 0.
func (n *Network) Partition(partitions map[netip.AddrPort]int) {
	n.update(func() {
		clear(n.partitions)
		for addr, k := range partitions {
			n.partitions[addr] = k
		}
	})
}

// Heal removes all partitions and all rules set by SetLink, including their cuts and refusals. Hosts that are down stay
// down.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.partitions)
		clear(n.links)
	})
}

// SetHostDown disconnects the host of an address from the network, or reconnects it. A host that is down exchanges
// nothing. Connections to it time out, whereas a host that is up without a port refuses them.
func (n *Network) SetHostDown(addr netip.AddrPort, down bool) {
	n.update(func() { n.downHosts[addr] = down })
}

// lookup returns the rules from one address to another, the port at the destination (nil if none is open), and a
// channel that is closed at the next change of the network.
func (n *Network) lookup(from, to netip.AddrPort) (r Rules, p *Port, changed <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	r, ok := n.links[link{from, to}]
	if !ok {
		r = n.defaultRules
	}
	if n.partitions[from] != n.partitions[to] || n.downHosts[from] || n.downHosts[to] {
		r.Cut = true
	}
	return r, n.ports[to], n.changed
}

// remove removes a closed port from the network.
func (n *Network) remove(p *Port) {
	n.update(func() {
		if n.ports[p.addr] == p {
			delete(n.ports, p.addr)
		}
	})
}
