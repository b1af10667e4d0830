// Package gossip is a network in memory for fleets of hundreds to thousands of members in one process. Each member's
// Port is a memberlist transport; between ports are loss, delay, cuts one way or both, splits into parts, hosts that
// vanish and addresses that refuse. Time is the process's own, so members run as they do on sockets.
//
// What is drawn comes from one generator for each sender, from the network's seed: the fate of its packets follows
// from the seed and from the order in which it sends.
//
// Not promised: bandwidth is without end; a stream that a cut holds up goes on as soon as the cut is over, where TCP
// would wait for its next retransmission; a port has no more than one path to another, so packets overtake each
// other only by Jitter.
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

// Rules say what happens to what one port sends another. A connection also needs the way back.
type Rules struct {
	Loss        float64       // share of packets lost; of a stream each loss costs a retransmission's time
	Delay       time.Duration // one way
	Jitter      time.Duration // at most so much more, drawn evenly
	Cut         bool          // nothing passes
	RejectDials bool          // connections are refused though a port listens, as by a firewall
}

// link is from one address to another.
type link struct{ from, to netip.AddrPort }

// Network joins ports. Its methods may be called at any time.
type Network struct {
	seed uint64

	mu      sync.RWMutex
	defaultRules     Rules
	links   map[link]Rules
	partitions    map[netip.AddrPort]int // 0 for those not in it
	downHosts    map[netip.AddrPort]bool
	ports   map[netip.AddrPort]*Port
	openedPorts  uint64
	changed chan struct{} // closed and replaced at each change, for streams that are held up
}

// New makes a network without ports, where rules hold between all.
func New(seed uint64, rules Rules) *Network {
	return &Network{seed: seed, defaultRules: rules, links: map[link]Rules{}, partitions: map[netip.AddrPort]int{},
		downHosts:  map[netip.AddrPort]bool{},
		ports: map[netip.AddrPort]*Port{}, changed: make(chan struct{})}
}

// Addr is an address of the network's own for member n, below 2^24.
func Addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7946)
}

// Open listens at an address. It fails where a port is open.
func (n *Network) Open(addr netip.AddrPort) (*Port, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ports[addr] != nil {
		return nil, fmt.Errorf("gossip: %v: a port is open there", addr)
	}
	n.openedPorts++
	p := &Port{net: n, addr: addr, rng: rand.New(rand.NewPCG(n.seed, n.openedPorts)), done: make(chan struct{}),
		packets: make(chan *memberlist.Packet, packetQueueSize), streams: make(chan net.Conn, backlog),
		openStreams: map[*Stream]struct{}{}}
	n.ports[addr] = p
	return p, nil
}

// update does something to the network and wakes the goroutines that wait for it.
func (n *Network) update(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetDefault gives the rules that hold between all that have none of their own.
func (n *Network) SetDefault(rules Rules) { n.update(func() { n.defaultRules = rules }) }

// SetLink gives the rules that hold from one address to another, that way only.
func (n *Network) SetLink(from, to netip.AddrPort, rules Rules) {
	n.update(func() { n.links[link{from, to}] = rules })
}

// Partition puts each address that is named in a part; those of different parts exchange nothing. An address that is not
// named is in part 0.
func (n *Network) Partition(partitions map[netip.AddrPort]int) {
	n.update(func() {
		clear(n.partitions)
		for addr, k := range partitions {
			n.partitions[addr] = k
		}
	})
}

// Heal ends cuts, refusals and splits, and takes away the rules of single ways; hosts that vanished stay away.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.partitions)
		clear(n.links)
	})
}

// SetHostDown takes the host of an address off the network, or puts it back: nothing goes in or out, and calls to it come
// to nothing, where those to a host without the process are refused.
func (n *Network) SetHostDown(addr netip.AddrPort, down bool) { n.update(func() { n.downHosts[addr] = down }) }

// lookup gives the rules from one address to another, who listens there, and a channel that is closed at the next
// change.
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

// remove takes a closed port out.
func (n *Network) remove(p *Port) {
	n.update(func() {
		if n.ports[p.addr] == p {
			delete(n.ports, p.addr)
		}
	})
}
