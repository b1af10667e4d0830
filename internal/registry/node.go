package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"marblelane/internal/fault"
	"marblelane/internal/listener"
	"marblelane/internal/membership"
	"marblelane/internal/retry"
)

// Config is one copy of the service.
type Config struct {
	Name   string // its name among the copies
	Listen string // where it serves readers and writers
	Raft   string // where the copies talk to each other
	Dir    string // its folder; empty: it keeps nothing, for development alone
	// Advertise is where the other copies reach raft; empty: as the peers have it, or where it listens.
	Advertise string
	Peers     []Peer // all copies of a cluster that is founded now, itself too; empty: it founds one alone or joins later
	Join      bool   // wait to be added to a cluster, found none
	Keep      int    // changes kept for watchers that come back; 10,000
	// Beat is the time between a leader's heartbeats; elections follow after a few of them. 200 ms.
	Beat time.Duration
	// SlowDisk is how long a write may take; a leader whose writes all take longer gives its place up. Five beats.
	SlowDisk time.Duration
	Faults   *fault.Plan        // the lab's; nil: none
	Members  *membership.Config // nil: off
	start    *retry.Start       // what LoadConfig began; nil: nothing

	Options

	reopened bool // a copy was opened from the folder before: one without a log is not the copy's
}

// Peer is a copy as others know it.
type Peer struct {
	Name  string `toml:"name" json:"name"`
	Raft  string `toml:"raft" json:"raft"`
	Serve string `toml:"serve" json:"serve"`
}

// Node is one running copy.
type Node struct {
	cfg     Config
	raft    *raft.Raft
	wire    *transport
	notice  *noticing
	readers readers
	fresh   freshness
	hub     *hub
	server  *Server
	members *members // nil: off
	http    *http.Server
	listen  net.Listener
	raftAt  net.Addr // where raft listens
	kept    *store   // nil: nothing is kept
	close   []func() error
	log     *slog.Logger
	// settled is the last term in which this copy led and had applied all that was committed before it.
	settled atomic.Uint64
}

// Open starts the copy's raft and binds its address; Run serves.
func Open(cfg Config) (n *Node, err error) {
	cfg.defaults()
	if cfg.Keep == 0 {
		cfg.Keep = 10_000
	}
	orDuration(&cfg.Beat, 200*time.Millisecond)
	orDuration(&cfg.SlowDisk, 5*cfg.Beat)
	n = &Node{cfg: cfg, hub: newHub(cfg.Keep), log: cfg.Log}
	defer func(opened *Node) {
		if err != nil {
			opened.shut()
		}
	}(n)
	start := cfg.start
	if start == nil {
		start = retry.NewStart(context.Background(), cfg.Log)
	}
	var l net.Listener
	if err := start.Do("listen", func() (failed error) {
		l, failed = net.Listen("tcp", cfg.Listen)
		return failed
	}); err != nil {
		return nil, fmt.Errorf("registry: listen: %w", err)
	}
	n.listen = listener.Wrap(l, "registry", cfg.Log)
	n.close = append(n.close, n.listen.Close)
	n.server = newServer(n.hub, n, cfg.Options)
	if n.members = newMembers(cfg.Members, cfg.Options); n.members != nil {
		n.server.join(n.members)
	}
	n.server.routes.name, n.server.routes.wall = cfg.Name, cfg.Faults.Now
	if err := n.openRaft(start); err != nil {
		return nil, err
	}
	n.http = &http.Server{Handler: n.readers.watched(n.server.Handler()), ReadHeaderTimeout: 5 * time.Second,
		ErrorLog: slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug)}
	return n, nil
}

// openRaft opens the log and the snapshots, and founds the cluster if this is the first start of a founder.
func (n *Node) openRaft(start *retry.Start) error {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.cfg.Name)
	c.HeartbeatTimeout, c.ElectionTimeout = 5*n.cfg.Beat, 5*n.cfg.Beat
	c.LeaderLeaseTimeout = 3 * n.cfg.Beat // a leader that is cut off steps down before others elect another
	c.CommitTimeout = 10 * time.Millisecond
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = 30*time.Second, 8192, 4096
	// raft logs through hclog; what matters of it is told as the copy's own state.
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Error})

	var logs raft.LogStore
	var stable raft.StableStore
	var snaps raft.SnapshotStore
	if n.cfg.Dir == "" {
		mem := raft.NewInmemStore()
		logs, stable, snaps = mem, mem, raft.NewInmemSnapshotStore()
	} else {
		if n.cfg.reopened {
			if _, err := os.Stat(filepath.Join(n.cfg.Dir, storeFile)); err != nil {
				return fmt.Errorf("registry: %w", err)
			}
		}
		release, err := takeDir(n.cfg.Dir)
		if err != nil {
			return fmt.Errorf("registry: %w", err)
		}
		n.close = append(n.close, release)
		if err := recoverDir(n.cfg.Dir, n.log); err != nil {
			return fmt.Errorf("registry: %w", err)
		}
		kept, err := openStore(filepath.Join(n.cfg.Dir, storeFile), n.cfg.SlowDisk, n.cfg.Faults)
		if err != nil {
			return fmt.Errorf("registry: log: %w", err)
		}
		n.kept = kept
		kept.say = func(err error) { n.log.Error("registry: the disk takes no more", "error", err) }
		n.close = append(n.close, kept.Close)
		files, err := openSnapshots(n.cfg.Dir, c.Logger, n.log)
		if err != nil {
			return fmt.Errorf("registry: snapshots in %s: %w", n.cfg.Dir, err)
		}
		logs, stable, snaps = kept, termStore{kept}, files
	}
	var streams *layer
	if err := start.Do("raft", func() (failed error) {
		streams, failed = listenRaft(n.cfg.Raft, n.cfg.advertised())
		return failed
	}); err != nil {
		return fmt.Errorf("registry: raft at %s: %w", n.cfg.Raft, err)
	}
	wire := newTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: streams, MaxPool: 3, Timeout: 10 * n.cfg.Beat, Logger: c.Logger}), n.cfg.Beat)
	n.raftAt = streams.Listener.Addr()
	n.wire, n.notice = wire, newNoticing(wire, n.log)
	n.close = append(n.close, func() error {
		wire.CloseStreams() // the other copies' ends of them end with it
		return wire.Close()
	})
	old, err := raft.HasExistingState(logs, stable, snaps)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if !old && !n.cfg.Join {
		// Before raft runs: a copy that has heard another one's election does not found any more.
		if err := raft.BootstrapCluster(c, logs, stable, snaps, wire, n.founders(wire)); err != nil {
			return fmt.Errorf("registry: found a cluster: %w", err)
		}
	}
	if old && !n.cfg.Join {
		half, err := halfFounded(logs, stable, snaps)
		if err == nil && half {
			err = foundOn(logs, n.founders(wire))
		}
		if err != nil {
			return fmt.Errorf("registry: found a cluster that was cut off: %w", err)
		}
	}
	if n.raft, err = raft.NewRaft(c, (*machine)(n), logs, stable, snaps, n.notice); err != nil {
		return fmt.Errorf("registry: raft: %w", err)
	}
	n.wire.wanted = n.follows
	n.close = append(n.close, func() error {
		ended := n.raft.Shutdown()
		n.wire.stop() // raft waits for what it sends
		return ended.Error()
	})
	if err := n.diskFailure(); err != nil {
		return &DiskError{Err: err}
	}
	return nil
}

// diskFailure is the first write that the copy's folder has refused; nil: none.
func (n *Node) diskFailure() error {
	if n.kept == nil {
		return nil
	}
	return n.kept.failure()
}

// founders are the copies of a cluster that is founded now.
func (n *Node) founders(wire *transport) (out raft.Configuration) {
	peers := n.cfg.Peers
	if len(peers) == 0 {
		peers = []Peer{{Name: n.cfg.Name, Raft: string(wire.LocalAddr()), Serve: n.Addr()}}
	}
	for _, p := range peers {
		out.Servers = append(out.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	return out
}

// advertised is where the other copies reach this one: as the peers have it, or where it listens.
func (c *Config) advertised() string {
	if c.Advertise != "" {
		return c.Advertise
	}
	for _, p := range c.Peers {
		if p.Name == c.Name {
			return p.Raft
		}
	}
	return ""
}

// layer carries raft over TCP. It calls from the address it listens at, so that a firewall can tell the copies apart.
type layer struct {
	net.Listener
	advertised net.Addr
	from       *net.TCPAddr
}

func listenRaft(listen, advertised string) (*layer, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	out := &layer{Listener: listener.Wrap(l, "raft", nil), advertised: l.Addr()}
	at := l.Addr().(*net.TCPAddr)
	if !at.IP.IsUnspecified() {
		out.from = &net.TCPAddr{IP: at.IP}
	} else if advertised == "" {
		return nil, errors.Join(errors.New("other copies need an address, not one for all interfaces: name this copy among the peers"), l.Close())
	}
	if advertised != "" {
		if out.advertised, err = net.ResolveTCPAddr("tcp", advertised); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return out, nil
}

// Addr is where other copies reach this one.
func (l *layer) Addr() net.Addr { return l.advertised }

// Dial calls another copy.
func (l *layer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if l.from != nil {
		d.LocalAddr = l.from
	}
	return d.Dial("tcp", string(address))
}

// Addr is where readers and writers come.
func (n *Node) Addr() string { return n.listen.Addr().String() }

// Server is what answers them.
func (n *Node) Server() *Server { return n.server }

// Run serves until ctx ends, or the folder refuses a write: then with a *DiskError, and all is closed.
func (n *Node) Run(ctx context.Context) error {
	defer n.shut()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { n.server.Run(ctx) })
	wg.Go(func() { n.lead(ctx) })
	wg.Go(func() { n.follow(ctx) })
	wg.Go(func() { n.heed(ctx) })
	if n.members != nil {
		wg.Go(func() { n.members.run(ctx) })
	}
	if n.kept != nil {
		wg.Go(func() { n.watchDisk(ctx) })
	}
	failed := make(chan error, 1)
	base, stop := context.WithCancel(ctx)
	defer stop()
	n.http.BaseContext = func(net.Listener) context.Context { return base } // ends watches
	wg.Go(func() { failed <- n.http.Serve(n.listen) })
	n.log.Info("registry: serves", "name", n.cfg.Name, "listen", n.Addr())
	var broken error
	var disk <-chan error
	if n.kept != nil {
		disk = n.kept.failed
	}
	select {
	case err := <-failed:
		return fmt.Errorf("registry: %w", err)
	case err := <-disk:
		broken = &DiskError{Err: err}
		n.log.Error("registry: ends", "error", broken)
	case <-ctx.Done():
	}
	stop()
	end, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	if err := n.http.Shutdown(end); err != nil {
		return errors.Join(broken, n.http.Close())
	}
	return broken
}

// shut closes in the order opposite to opening.
func (n *Node) shut() {
	for i := len(n.close) - 1; i >= 0; i-- {
		if err := n.close[i](); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.Debug("registry: close", "error", err)
		}
	}
	n.close = nil
}

// lead does what a new leader owes: it begins the history if there is none, and says where the copies serve.
func (n *Node) lead(ctx context.Context) {
	for {
		var leads bool
		select {
		case <-ctx.Done():
			return
		case leads = <-n.raft.LeaderCh():
		}
		if !leads {
			n.log.Info("registry: leads no more", "name", n.cfg.Name)
			continue
		}
		n.log.Info("registry: leads", "name", n.cfg.Name)
		// All that was committed before has to be applied first: whether there is a history shows only then.
		term := n.raft.CurrentTerm()
		if err := n.raft.Barrier(applyWait).Error(); err != nil {
			continue // it leads no more
		}
		if n.raft.CurrentTerm() == term {
			n.settled.Store(term)
		}
		commands := []*Command{}
		var rev int64
		var members map[string]string
		n.hub.read(func(s *State) { rev, members = s.Rev(), s.Members() })
		if rev == 0 {
			commands = append(commands, &Command{Op: OpBegin, Epoch: NextEpoch(n.cfg.Faults.Now(), 0)})
		}
		if members[n.cfg.Name] != n.Addr() {
			commands = append(commands, &Command{Op: OpMember, UID: n.cfg.Name, Address: n.Addr()})
		}
		for _, p := range n.cfg.Peers {
			if p.Name != n.cfg.Name && members[p.Name] == "" {
				commands = append(commands, &Command{Op: OpMember, UID: p.Name, Address: p.Serve})
			}
		}
		for _, c := range commands {
			if _, err := n.Apply(c, applyWait); err != nil {
				n.log.Warn("registry: a new leader's first writes", "error", err)
				break
			}
		}
	}
}

const (
	slowWrites = 3           // in a row, after which a leader's disk counts as slow
	yieldPause = time.Minute // between two tries to give the lead up: where all disks are slow it would only wander
)

// watchDisk gives the lead up while this copy's disk is slow: each write waits for the leader's own disk, and for the
// quickest of the others'. raft would let it lead on, as its heartbeats need no disk.
func (n *Node) watchDisk(ctx context.Context) {
	t := time.NewTicker(n.cfg.Beat)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n.kept.slowly.Load() < slowWrites || n.raft.State() != raft.Leader || !last.IsZero() && time.Since(last) < yieldPause {
			continue
		}
		last = time.Now()
		n.log.Warn("registry: the disk is slow, this copy gives the lead up", "name", n.cfg.Name, "write", n.DiskTook())
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			n.log.Warn("registry: nobody takes the lead over", "error", err)
		}
	}
}

// DiskTook is how long the last write to the disk took; 0: there was none, or nothing is kept.
func (n *Node) DiskTook() time.Duration {
	if n.kept == nil {
		return 0
	}
	return time.Duration(n.kept.took.Load())
}

// DiskWrites is how often something was written to the disk since the start.
func (n *Node) DiskWrites() int64 {
	if n.kept == nil {
		return 0
	}
	return n.kept.writes.Load()
}

// result is what the machine gives back for a command.
type result struct {
	rev int64
	err error
}

// Apply carries out a command once a majority has it.
func (n *Node) Apply(c *Command, wait time.Duration) (int64, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("registry: %w", err)
	}
	f := n.raft.Apply(data, wait)
	if err := f.Error(); err != nil {
		switch {
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
			return 0, ErrNotLeader
		case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout):
			return 0, fmt.Errorf("%w; whether the write has happened is not known", ErrNoQuorum)
		case n.diskFailure() != nil:
			return 0, fmt.Errorf("%w: the disk takes no more; whether the write has happened is not known", ErrNoQuorum)
		}
		return 0, fmt.Errorf("registry: %w", err)
	}
	r := f.Response().(result)
	return r.rev, r.err
}

// Leader tells whether this copy leads, and where the one that does serves.
func (n *Node) Leader() (bool, string) {
	if n.raft.State() == raft.Leader {
		return true, n.Addr()
	}
	_, id := n.raft.LeaderWithID()
	if id == "" {
		return false, ""
	}
	var address string
	n.hub.read(func(s *State) { address = s.members[string(id)] })
	return false, address
}

// Heard is how old at most the list of this copy is: all that had been acknowledged by then is in it.
func (n *Node) Heard() time.Duration {
	var rev int64
	n.hub.read(func(s *State) { rev = s.Rev() })
	if at := n.fresh.since(rev); !at.IsZero() {
		return time.Since(at)
	}
	return time.Hour // never yet
}

// follows tells whether this copy still leads in a term, with another as a member.
func (n *Node) follows(id raft.ServerID, term uint64) bool {
	if n.raft.State() != raft.Leader || n.raft.CurrentTerm() != term {
		return false
	}
	f := n.raft.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == id })
}

// Term numbers the lead of this copy.
func (n *Node) Term() uint64 {
	if term := n.settled.Load(); n.raft.State() == raft.Leader && n.raft.CurrentTerm() == term {
		return term
	}
	return 0
}

// Confirm asks a majority whether this copy still leads.
func (n *Node) Confirm() error {
	// A new leader may not have applied yet what its predecessors acknowledged.
	at, term := time.Now(), n.raft.CurrentTerm()
	if n.settled.Load() != term {
		return ErrNotLeader
	}
	for range confirmTries {
		if err := n.raft.VerifyLeader().Error(); err != nil {
			return ErrNotLeader
		}
		if n.confirmedSince(at, term) {
			return nil
		}
	}
	return ErrNotLeader
}

// confirmTries is enough for one answer of each of eight other copies that was under way when the first try began.
const confirmTries = 9

// confirmedSince tells whether a majority has acknowledged what this copy has sent as leader of a term after a time.
func (n *Node) confirmedSince(at time.Time, term uint64) bool {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return false
	}
	voters, with := 0, 0
	for _, s := range f.Configuration().Servers {
		if s.Suffrage != raft.Voter {
			continue
		}
		voters++
		if s.ID == raft.ServerID(n.cfg.Name) || n.wire.follows(s.ID, term, at) {
			with++
		}
	}
	return 2*with > voters
}

// Add makes another copy a member of the cluster, a voter. It is the leader's to do.
func (n *Node) Add(p Peer) error {
	if err := n.raft.AddVoter(raft.ServerID(p.Name), raft.ServerAddress(p.Raft), 0, applyWait).Error(); err != nil {
		return fmt.Errorf("registry: add %s: %w", p.Name, err)
	}
	_, err := n.Apply(&Command{Op: OpMember, UID: p.Name, Address: p.Serve}, applyWait)
	return err
}

// Remove takes a copy out of the cluster. It is the leader's to do.
func (n *Node) Remove(name string) error {
	if err := n.raft.RemoveServer(raft.ServerID(name), 0, applyWait).Error(); err != nil {
		return fmt.Errorf("registry: remove %s: %w", name, err)
	}
	_, err := n.Apply(&Command{Op: OpMember, UID: name}, applyWait)
	return err
}

// machine is the node as raft drives it.
type machine Node

// Apply carries out a committed command.
func (m *machine) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{err: fmt.Errorf("registry: log entry %d: %w", l.Index, err)}
	}
	var r result
	if c.Term != 0 && c.Term != l.Term {
		return result{err: ErrNotLeader} // decided in an earlier lead
	}
	m.hub.read(func(s *State) {
		r.rev, r.err = s.Apply(&c)
		m.server.routes.tables.follow(s.routes, l.Term, time.Now())
	})
	m.server.stir()
	return r
}

// Snapshot takes a copy of the state, which is written out later.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	var s *saved
	var err error
	m.hub.read(func(st *State) { s, err = st.save() })
	return snapshot{s}, err
}

// Restore puts a snapshot in the state's place.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var in saved
	if err := json.NewDecoder(from).Decode(&in); err != nil {
		return fmt.Errorf("registry: snapshot: %w", err)
	}
	s := NewState(m.cfg.Keep)
	if err := s.load(&in); err != nil {
		return err
	}
	m.server.routes.tables.follow(s.routes, 0, time.Now())
	return m.hub.replace(s)
}

type snapshot struct{ s *saved }

// Persist writes the snapshot whole or not at all.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.s); err != nil {
		return errors.Join(fmt.Errorf("registry: snapshot: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the snapshot is this program's own copy.
func (snapshot) Release() {}
