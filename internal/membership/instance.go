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

// maxIdleChanges is the largest size of the map of changes that is kept for reuse. A larger map is replaced, to release
// its memory.
const maxIdleChanges = 64

// instance is one node of the library, which is one incarnation of this process. The library calls its methods
// (instance_delegate.go) from its own goroutines and under its own locks. They therefore take no lock but the
// instance's, hold it briefly, and never block.
type instance struct {
	id        roster.ID
	meta      []byte
	networks  []netip.Prefix
	transport *instanceTransport
	library   *memberlist.Memberlist

	// Fields of the owner, safe for concurrent use.
	broadcasts *memberlist.TransmitLimitedQueue
	pushPull   *pushPullCache
	received   *messageQueue
	wake       chan<- struct{}
	countDrop  func(why string)

	mu sync.Mutex
	// alive holds the nodes that the failure detector holds alive or suspects, by node name. The owner reads this state
	// instead of a stream of events, so no change is lost.
	alive      map[string]*aliveNode
	changed    map[roster.ID]string // names of the nodes that have changed since the last takeChanges
	lastParsed *peer                // result of the last successful parseNode
	conflict   bool                 // another process uses this node's name
}

// aliveNode is a node that is alive or suspected. It is immutable.
type aliveNode struct {
	*peer
	suspected bool
}

// nodeChange is the new state of a node. node is nil if it is no longer alive.
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
		return fmt.Errorf("start node %s: %w", conf.Name, err)
	}
	i.library = library
	return nil
}

// libraryConfig returns the library's configuration, with times in proportion to the interval between two probes.
func libraryConfig(cfg *Config) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Label = cfg.Fleet
	c.ProbeInterval, c.ProbeTimeout = cfg.Interval, cfg.Interval/2
	c.GossipInterval = cfg.Interval / 5
	c.PushPullInterval, c.GossipToTheDeadTime = 30*cfg.Interval, 30*cfg.Interval
	c.TCPTimeout = min(max(5*cfg.Interval, time.Second), 10*time.Second)
	c.EnableCompression = false // packets are small, and compressing them would use more CPU time than all else
	if cfg.Advertise != "" {
		if at, err := netip.ParseAddrPort(cfg.Advertise); err == nil {
			c.AdvertiseAddr, c.AdvertisePort = at.Addr().String(), int(at.Port())
		}
	}
	return c
}

// shutdown stops the library without leaving. Nothing is sent after that.
func (i *instance) shutdown() {
	i.transport.closed.Store(true)
	if i.library != nil {
		_ = i.library.Shutdown() // returns only nil, as the instance's transport closes no sockets
	}
}

// addr returns this process's address in the library's list of nodes, or "" if NotifyAlive has rejected it.
func (i *instance) addr() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := i.alive[nodeName(i.id)]; n != nil {
		return n.addr
	}
	return ""
}

// takeChanges returns the state of the other nodes whose state may have changed since the last call.
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

// markChanged adds nodes to the result of the next takeChanges.
func (i *instance) markChanged(nodes map[roster.ID]*aliveNode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id := range nodes {
		i.changed[id] = nodeName(id)
	}
}

// takeConflict reports whether a conflict over this node's name was found since the last call.
func (i *instance) takeConflict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	conflict := i.conflict
	i.conflict = false
	return conflict
}
