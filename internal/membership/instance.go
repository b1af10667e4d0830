package membership

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

// maxIdleChanges is the size above which the map of changes is replaced once it is empty, to release its memory.
const maxIdleChanges = 64

// instance is one node of the library: one incarnation of this process. The library calls its methods
// (instance_delegate.go) from its own goroutines and under its own locks. They therefore take no lock but the
// instance's, hold it for moments, and never wait.
type instance struct {
	id        roster.ID
	meta      []byte
	networks  []netip.Prefix
	transport *instanceTransport
	library   *memberlist.Memberlist

	// Of the owner, safe for concurrent use.
	broadcasts *memberlist.TransmitLimitedQueue
	pushPull   *pushPullCache
	received   *messageQueue
	wake       chan<- struct{}
	countDrop  func(why string)

	mu sync.Mutex
	// alive holds the failure detector's verdicts by node name. It is a state and no stream, so none can be lost.
	alive      map[string]*aliveNode
	changed    map[roster.ID]string // names of the nodes that changed since the last takeChanges
	lastParsed *peer
	conflict   bool // another process claims this node's name
}

// aliveNode is a node that is alive or suspected. It is immutable.
type aliveNode struct {
	*peer
	suspected bool
}

// nodeChange is the new state of a node; a nil node is not alive.
type nodeChange struct {
	id   roster.ID
	node *aliveNode
}

// start starts the library under the instance's name.
func (i *instance) start(cfg *Config, transport memberlist.NodeAwareTransport, log *slog.Logger) error {
	i.alive, i.changed = map[string]*aliveNode{}, map[roster.ID]string{}
	i.transport = &instanceTransport{NodeAwareTransport: transport}
	conf := libraryConfig(cfg)
	conf.Name = nodeName(i.id)
	conf.Transport = i.transport
	conf.Delegate, conf.Events, conf.Alive, conf.Conflict, conf.Ping = i, i, i, i, i
	conf.Logger = newStandardLogger(newLibraryLog(log, i.markSuspected, i.countDrop))
	library, err := memberlist.Create(conf)
	if err != nil {
		i.transport.closed.Store(true)
		return fmt.Errorf("join as %s: %w", conf.Name, err)
	}
	i.library = library
	return nil
}

// libraryConfig scales the library's times by the interval between two probes.
func libraryConfig(cfg *Config) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Label = cfg.Fleet
	c.ProbeInterval, c.ProbeTimeout = cfg.Interval, cfg.Interval/2
	c.GossipInterval = cfg.Interval / 5
	c.PushPullInterval, c.GossipToTheDeadTime = 30*cfg.Interval, 30*cfg.Interval
	c.TCPTimeout = min(max(5*cfg.Interval, time.Second), 10*time.Second)
	c.EnableCompression = false // packets are small, and compression would cost more than the rest
	if cfg.Advertise != "" {
		if at, err := netip.ParseAddrPort(cfg.Advertise); err == nil {
			c.AdvertiseAddr, c.AdvertisePort = at.Addr().String(), int(at.Port())
		}
	}
	return c
}

// shutdown stops the library without a leave. Nothing is sent after that.
func (i *instance) shutdown() {
	i.transport.closed.Store(true)
	if i.library != nil {
		_ = i.library.Shutdown() // returns only nil, as the instance's transport closes no sockets
	}
}

// addr returns the address that the library has for this process.
func (i *instance) addr() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := i.alive[nodeName(i.id)]; n != nil {
		return n.addr
	}
	return ""
}

// takeChanges returns the state of the other nodes that may have changed since the last call.
func (i *instance) takeChanges() []nodeChange {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.changed) == 0 {
		return nil
	}
	changes := make([]nodeChange, 0, len(i.changed))
	for id, node := range i.changed {
		if id != i.id {
			changes = append(changes, nodeChange{id, i.alive[node]})
		}
	}
	if len(i.changed) > maxIdleChanges {
		i.changed = map[roster.ID]string{}
	}
	clear(i.changed)
	return changes
}

// markChanged has the next takeChanges return these nodes, too.
func (i *instance) markChanged(nodes map[roster.ID]*aliveNode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id := range nodes {
		i.changed[id] = nodeName(id)
	}
}

// takeConflict reports once that another process claims this node's name.
func (i *instance) takeConflict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	conflict := i.conflict
	i.conflict = false
	return conflict
}
