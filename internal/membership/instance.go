package membership

import (
	"bytes"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

// lease is a transport as one instance of the library has it. Ending the instance ends the lease and not the sockets: the
// next instance of this process goes on with them, under its new name.
type lease struct {
	memberlist.NodeAwareTransport
	over atomic.Bool
}

func (l *lease) WriteTo(b []byte, addr string) (time.Time, error) {
	return l.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (l *lease) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if l.over.Load() {
		return time.Time{}, net.ErrClosed
	}
	return l.NodeAwareTransport.WriteToAddress(b, a)
}

func (l *lease) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return l.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (l *lease) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if l.over.Load() {
		return nil, net.ErrClosed
	}
	return l.NodeAwareTransport.DialAddressTimeout(a, timeout)
}

func (l *lease) Shutdown() error {
	l.over.Store(true)
	return nil
}

// instance is one node of the library: this process under one start. The library calls its methods from its own goroutines
// and under its own locks, so they take no lock but the instance's, hold it for moments, and wait for nothing.
type instance struct {
	id       roster.ID
	meta     []byte
	networks []netip.Prefix
	lease    *lease
	list     *memberlist.Memberlist

	queue   *memberlist.TransmitLimitedQueue // entries to tell on
	told    *atomic.Pointer[knowledge]       // for push/pull
	ring    *ring
	wake    chan<- struct{}
	dropped func(why string)

	mu       sync.Mutex
	live     map[string]*liveNode // what the failure detector says; a state, not a stream: nothing of it can be lost
	dirty    map[roster.ID]string // nodes that stand otherwise than when changes was called last
	recent   *peer                // the node that was read last
	conflict bool                 // another process says that it is this node
}

// liveNode does not change; one that is suspected is another.
type liveNode struct {
	*peer
	suspected bool
}

// change is how a node stands now; nil: it is not alive.
type change struct {
	id   roster.ID
	node *liveNode
}

var (
	_ memberlist.Delegate         = (*instance)(nil)
	_ memberlist.EventDelegate    = (*instance)(nil)
	_ memberlist.AliveDelegate    = (*instance)(nil)
	_ memberlist.ConflictDelegate = (*instance)(nil)
	_ memberlist.PingDelegate     = (*instance)(nil)
)

// open starts the library under the instance's name.
func (i *instance) open(cfg *Config, inner memberlist.NodeAwareTransport, log *slog.Logger) error {
	i.live, i.dirty = map[string]*liveNode{}, map[roster.ID]string{}
	i.lease = &lease{NodeAwareTransport: inner}
	conf := libConfig(cfg)
	conf.Name = nodeName(i.id)
	conf.Transport = i.lease
	conf.Delegate, conf.Events, conf.Alive, conf.Conflict, conf.Ping = i, i, i, i, i
	conf.Logger = newLog(newLibLog(log, i.suspect, i.dropped))
	list, err := memberlist.Create(conf)
	if err != nil {
		i.lease.over.Store(true)
		return fmt.Errorf("join as %s: %w", conf.Name, err)
	}
	i.list = list
	return nil
}

// libConfig scales the library's times by the interval between probes.
func libConfig(cfg *Config) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Label = cfg.Fleet
	c.ProbeInterval, c.ProbeTimeout = cfg.Interval, cfg.Interval/2
	c.GossipInterval = cfg.Interval / 5
	c.PushPullInterval, c.GossipToTheDeadTime = 30*cfg.Interval, 30*cfg.Interval
	c.TCPTimeout = min(max(5*cfg.Interval, time.Second), 10*time.Second)
	c.EnableCompression = false // packets are small; it would cost more than all else
	if cfg.Advertise != "" {
		if at, err := netip.ParseAddrPort(cfg.Advertise); err == nil {
			c.AdvertiseAddr, c.AdvertisePort = at.Addr().String(), int(at.Port())
		}
	}
	return c
}

// end stops the library. It is not told to leave; nothing is sent any more.
func (i *instance) end() {
	i.lease.over.Store(true)
	if i.list != nil {
		_ = i.list.Shutdown() // gives nil only: the lease has no sockets to close
	}
}

// addr is where the library says this process is.
func (i *instance) addr() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := i.live[nodeName(i.id)]; n != nil {
		return n.addr
	}
	return ""
}

// changes gives how those nodes stand of which that may have changed since it was called last, this one left out.
func (i *instance) changes() []change {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.dirty) == 0 {
		return nil
	}
	out := make([]change, 0, len(i.dirty))
	for id, node := range i.dirty {
		if id != i.id {
			out = append(out, change{id, i.live[node]})
		}
	}
	if len(i.dirty) > 64 { // a map keeps its room
		i.dirty = map[roster.ID]string{}
	}
	clear(i.dirty)
	return out
}

// touch has changes give these nodes, too.
func (i *instance) touch(live map[roster.ID]*liveNode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id := range live {
		i.dirty[id] = nodeName(id)
	}
}

// takeConflict reports once that another process says it is this node.
func (i *instance) takeConflict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	was := i.conflict
	i.conflict = false
	return was
}

func (i *instance) notify() {
	select {
	case i.wake <- struct{}{}:
	default: // it has been woken and has not looked yet
	}
}

// NotifyAlive refuses nodes that are not what this package makes them.
func (i *instance) NotifyAlive(n *memberlist.Node) error {
	if _, err := i.read(n); err != nil {
		i.dropped("node")
		return err
	}
	i.doubt(n.Name, false)
	return nil
}

// read checks a node. The library tells of the same one many times, so what was read is kept while it lives, and
// between NotifyAlive and NotifyJoin.
func (i *instance) read(n *memberlist.Node) (*peer, error) {
	i.mu.Lock()
	live, recent := i.live[n.Name], i.recent
	i.mu.Unlock()
	if live != nil && live.is(n) {
		return live.peer, nil
	}
	if recent != nil && nodeName(recent.id) == n.Name && recent.is(n) {
		return recent, nil
	}
	p, err := readNode(n, i.networks)
	if err != nil {
		return nil, err
	}
	i.mu.Lock()
	i.recent = &p
	i.mu.Unlock()
	return &p, nil
}

// NotifyJoin takes in that a node is alive.
func (i *instance) NotifyJoin(n *memberlist.Node) {
	p, err := i.read(n)
	if err != nil {
		return // NotifyAlive has refused it
	}
	i.mu.Lock()
	i.live[n.Name] = &liveNode{peer: p}
	i.dirty[p.id] = n.Name
	i.mu.Unlock()
	i.notify()
}

// NotifyUpdate takes in that a node says something else of itself.
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.NotifyJoin(n) }

// NotifyLeave takes in that a node is taken for dead, or has left.
func (i *instance) NotifyLeave(n *memberlist.Node) {
	i.mu.Lock()
	if was := i.live[n.Name]; was != nil {
		i.dirty[was.id] = n.Name
		delete(i.live, n.Name)
	}
	i.mu.Unlock()
	i.notify()
}

// NotifyConflict takes in that a node is said to be at two addresses. The library keeps to the first.
func (i *instance) NotifyConflict(existing, _ *memberlist.Node) {
	i.dropped("conflict")
	if existing.Name == nodeName(i.id) {
		i.mu.Lock()
		i.conflict = true
		i.mu.Unlock()
		i.notify()
	}
}

// suspect takes in that this process suspects a node.
func (i *instance) suspect(node string) { i.doubt(node, true) }

func (i *instance) doubt(node string, suspected bool) {
	i.mu.Lock()
	n := i.live[node]
	changed := n != nil && n.suspected != suspected
	if changed {
		i.live[node] = &liveNode{n.peer, suspected}
		i.dirty[n.id] = node
	}
	i.mu.Unlock()
	if changed {
		i.notify()
	}
}

// AckPayload adds nothing to an answer to a ping.
func (i *instance) AckPayload() []byte { return nil }

// NotifyPingComplete takes in that a node answered: it is suspected no longer.
func (i *instance) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	i.doubt(n.Name, false)
}

// NodeMeta gives the metadata, which is within the library's limit (meta.encode).
func (i *instance) NodeMeta(int) []byte { return i.meta }

// NotifyMsg takes in a user message.
func (i *instance) NotifyMsg(b []byte) { i.take(b) }

// MergeRemoteState takes in what the other end of a push/pull knows. Mostly it is what this one knows.
func (i *instance) MergeRemoteState(b []byte, _ bool) {
	if all := i.told.Load(); all != nil && bytes.Equal(b, all.bytes()) {
		return
	}
	i.take(b)
}

func (i *instance) take(b []byte) {
	if i.lease.over.Load() {
		return
	}
	m, err := decodeMessage(b, i.networks)
	if err != nil {
		i.dropped("message")
		return
	}
	for range i.ring.push(m) {
		i.dropped("ring")
	}
	i.notify()
}

// GetBroadcasts gives entries to tell on.
func (i *instance) GetBroadcasts(overhead, limit int) [][]byte {
	return i.queue.GetBroadcasts(overhead, limit)
}

// LocalState gives what a push/pull is to say beside the library's own list of nodes.
func (i *instance) LocalState(bool) []byte {
	all := i.told.Load()
	if all == nil {
		return nil
	}
	return all.bytes()
}

// knowledge is all entries of one time, and once anybody wants it, what is told of them: not who is alive, as the
// library's list says that. It is passed over by who does not know a node that the list calls suspected; such a one
// learns of it when it is alive again, or silent.
type knowledge struct {
	entries []roster.Entry
	rest    []roster.Entry // those that the library does not tell
	once    sync.Once
	text    []byte
}

func (k *knowledge) bytes() []byte {
	k.once.Do(func() {
		k.text = encodeEntries(kindEntries, k.rest[:min(len(k.rest), maxEntries)]...).bytes()
	})
	return k.text
}

// broadcastMessage is an entry to tell on. A newer one of the same name takes its place.
type broadcastMessage struct {
	name string
	text []byte
}

// Name is the entry's.
func (n *broadcastMessage) Name() string { return n.name }

// Invalidates reports whether it says all that another one does, and more.
func (n *broadcastMessage) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcastMessage)
	return ok && o.name == n.name
}

// Message is what is sent.
func (n *broadcastMessage) Message() []byte { return n.text }

// Finished is called when it was sent often enough.
func (n *broadcastMessage) Finished() {}

func newLog(l *libLog) *log.Logger { return log.New(l, "", 0) }
