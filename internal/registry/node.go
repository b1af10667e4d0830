package registry

import (
	"cmp"
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"marblelane/internal/fault"
	"marblelane/internal/listener"
	"marblelane/internal/membership"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/routeleader"
	"marblelane/internal/registry/state"
	"marblelane/internal/registry/storage"
	"marblelane/internal/registry/transport"
	"marblelane/internal/retry"
)

// Config configures a replica.
type Config struct {
	Name   string // its name among the replicas
	Listen string // address of the HTTP API
	Raft   string // address of raft
	Dir    string // data directory; empty: storage is in memory, for development only
	// Advertise is where other replicas reach raft; empty: as listed among the peers, or where it listens.
	Advertise string
	Peers     []listserver.Peer // all replicas of a new cluster, this one included; empty: a cluster of one, or Join
	Join      bool              // wait to be added to a cluster instead of bootstrapping one
	Keep      int               // changes kept for watches that resume; 10,000
	// Beat is the heartbeat interval; the election timeout is a multiple of it. 200 ms.
	Beat time.Duration
	// SlowDisk is the duration from which a disk write is slow; a leader with slow writes only transfers the leadership.
	// Five heartbeat intervals.
	SlowDisk time.Duration
	Faults   *fault.Plan        // injected by the lab; nil: none
	Members  *membership.Config // nil: off
	start    *retry.Start       // retries begun by LoadConfig; nil: none

	listserver.Options

	reopened bool // the directory was open before: one without a log is not that of this replica
}

// advertised is where other replicas reach raft: as configured, or as listed among the peers; empty: where it listens.
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

// Node is one running replica.
type Node struct {
	cfg         Config
	raft        *raft.Raft
	transport   *transport.Transport
	regressions *transport.RegressionDetector
	readers     readerRevisions
	fresh       freshness
	hub         *listserver.Hub
	server      *listserver.Server
	routes      *routeleader.Routing
	members     *listserver.Members // nil: off
	http        *http.Server
	listen      net.Listener
	raftAt      net.Addr       // where raft listens
	store       *storage.Store // nil: storage is in memory
	closers     []func() error
	log         *slog.Logger
	// readyTerm is the last term in which this replica led and had applied all that was committed before it.
	readyTerm atomic.Uint64
}

// Open starts the replica's raft and binds its address; Run serves.
func Open(cfg Config) (n *Node, err error) {
	cfg.SetDefaults()
	if cfg.Keep == 0 {
		cfg.Keep = 10_000
	}
	cfg.Beat = cmp.Or(cfg.Beat, 200*time.Millisecond)
	cfg.SlowDisk = cmp.Or(cfg.SlowDisk, 5*cfg.Beat)
	n = &Node{cfg: cfg, hub: listserver.NewHub(cfg.Keep), log: cfg.Log}
	defer func(opened *Node) {
		if err != nil {
			opened.closeAll()
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
	n.closers = append(n.closers, n.listen.Close)
	n.server = listserver.New(n.hub, n, cfg.Options)
	n.routes = routeleader.New(n.server, n.hub, n, routeleader.Config{Name: cfg.Name, Wall: cfg.Faults.Now, InjectedDefect: cfg.InjectedDefect, Log: cfg.Log})
	n.server.Mount(n.routes)
	if n.members = listserver.NewMembers(cfg.Members, cfg.Options); n.members != nil {
		n.server.MountMembers(n.members)
	}
	if err := n.openRaft(start); err != nil {
		return nil, err
	}
	n.http = &http.Server{Handler: n.readers.observeRequests(n.server.Handler()), ReadHeaderTimeout: 5 * time.Second,
		ErrorLog: slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug)}
	return n, nil
}

// openRaft opens the storage and the transport, bootstraps the cluster at the first start of a founder, and starts raft.
func (n *Node) openRaft(start *retry.Start) error {
	c := n.raftConfig()
	st, err := n.openStorage(c.Logger)
	if err != nil {
		return err
	}
	wire, err := n.openTransport(start, c.Logger)
	if err != nil {
		return err
	}
	if err := n.bootstrap(c, st, wire); err != nil {
		return err
	}
	if n.raft, err = raft.NewRaft(c, (*stateMachine)(n), st.logs, st.stable, st.snaps, n.regressions); err != nil {
		return fmt.Errorf("registry: raft: %w", err)
	}
	n.transport.NeedsEntries = n.follows
	n.closers = append(n.closers, func() error {
		ended := n.raft.Shutdown()
		n.transport.Stop() // raft waits for pending sends
		return ended.Error()
	})
	if err := n.diskFailure(); err != nil {
		return &DiskError{Err: err}
	}
	return nil
}

// raftConfig derives raft's timeouts from the heartbeat interval.
func (n *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.cfg.Name)
	c.HeartbeatTimeout, c.ElectionTimeout = 5*n.cfg.Beat, 5*n.cfg.Beat
	c.LeaderLeaseTimeout = 3 * n.cfg.Beat // a partitioned leader steps down before the others elect a new one
	c.CommitTimeout = 10 * time.Millisecond
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = 30*time.Second, 8192, 4096
	// raft's own log is discarded; its relevant state is in this replica's status and log.
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Error})
	return c
}

// raftStores is what raft persists: its log, its term and vote, and snapshots.
type raftStores struct {
	logs   raft.LogStore
	stable raft.StableStore
	snaps  raft.SnapshotStore
}

// openStorage opens the data directory, after recovery, or storage in memory if none is configured.
func (n *Node) openStorage(logger hclog.Logger) (*raftStores, error) {
	if n.cfg.Dir == "" {
		mem := raft.NewInmemStore()
		return &raftStores{mem, mem, raft.NewInmemSnapshotStore()}, nil
	}
	if n.cfg.reopened {
		if _, err := os.Stat(filepath.Join(n.cfg.Dir, storage.StoreFile)); err != nil {
			return nil, fmt.Errorf("registry: %w", err)
		}
	}
	release, err := storage.LockDir(n.cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	n.closers = append(n.closers, release)
	if err := storage.Recover(n.cfg.Dir, n.log); err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	file, err := storage.OpenStore(filepath.Join(n.cfg.Dir, storage.StoreFile), n.cfg.SlowDisk, n.cfg.Faults)
	if err != nil {
		return nil, fmt.Errorf("registry: log: %w", err)
	}
	n.store = file
	file.OnFailure = func(err error) { n.log.Error("registry: the disk takes no more", "error", err) }
	n.closers = append(n.closers, file.Close)
	files, err := storage.OpenSnapshots(n.cfg.Dir, logger, n.log)
	if err != nil {
		return nil, fmt.Errorf("registry: snapshots in %s: %w", n.cfg.Dir, err)
	}
	return &raftStores{file, storage.TermStore{Store: file}, files}, nil
}

// openTransport listens for raft and sets up the transport; a busy address is retried until start gives up.
func (n *Node) openTransport(start *retry.Start, logger hclog.Logger) (*transport.Transport, error) {
	var streams *transport.StreamLayer
	if err := start.Do("raft", func() (failed error) {
		streams, failed = transport.Listen(n.cfg.Raft, n.cfg.advertised())
		return failed
	}); err != nil {
		return nil, fmt.Errorf("registry: raft at %s: %w", n.cfg.Raft, err)
	}
	wire := transport.New(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: streams, MaxPool: 3, Timeout: 10 * n.cfg.Beat, Logger: logger}), n.cfg.Beat)
	n.raftAt = streams.Listener.Addr()
	n.transport, n.regressions = wire, transport.NewRegressionDetector(wire, n.log)
	n.closers = append(n.closers, func() error {
		wire.CloseStreams() // closes the other replicas' ends, too
		return wire.Close()
	})
	return wire, nil
}

// bootstrap writes the founding configuration at the first start of a founder, or completes one that was interrupted.
// It runs before raft does: a replica that has taken part in an election must not bootstrap any more.
func (n *Node) bootstrap(c *raft.Config, st *raftStores, wire *transport.Transport) error {
	old, err := raft.HasExistingState(st.logs, st.stable, st.snaps)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if n.cfg.Join {
		return nil
	}
	if !old {
		if err := raft.BootstrapCluster(c, st.logs, st.stable, st.snaps, wire, n.founders(wire)); err != nil {
			return fmt.Errorf("registry: found a cluster: %w", err)
		}
		return nil
	}
	half, err := bootstrapInterrupted(st.logs, st.stable, st.snaps)
	if err == nil && half {
		err = completeBootstrap(st.logs, n.founders(wire))
	}
	if err != nil {
		return fmt.Errorf("registry: found a cluster that was cut off: %w", err)
	}
	return nil
}

// founders is the initial configuration of a new cluster.
func (n *Node) founders(wire *transport.Transport) (out raft.Configuration) {
	peers := n.cfg.Peers
	if len(peers) == 0 {
		peers = []listserver.Peer{{Name: n.cfg.Name, Raft: string(wire.LocalAddr()), Serve: n.Addr()}}
	}
	for _, p := range peers {
		out.Servers = append(out.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	return out
}

// Addr is the address of the HTTP API.
func (n *Node) Addr() string { return n.listen.Addr().String() }

// Server is the HTTP API of the list.
func (n *Node) Server() *listserver.Server { return n.server }

// Run serves until ctx ends or a disk write fails; then it closes the replica and returns a *DiskError.
func (n *Node) Run(ctx context.Context) error {
	defer n.closeAll()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { n.server.Run(ctx) })
	wg.Go(func() { n.handleNewLeadership(ctx) })
	wg.Go(func() { n.trackStaleness(ctx) })
	wg.Go(func() { n.watchReaderRevisions(ctx) })
	if n.members != nil {
		wg.Go(func() { n.members.Run(ctx) })
	}
	if n.store != nil {
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
	if n.store != nil {
		disk = n.store.Failed
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

// closeAll closes everything in the reverse order of opening.
func (n *Node) closeAll() {
	for i := len(n.closers) - 1; i >= 0; i-- {
		if err := n.closers[i](); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.Debug("registry: close", "error", err)
		}
	}
	n.closers = nil
}

const (
	slowWritesToYield = 3           // consecutive slow writes after which a leader transfers the leadership
	minYieldInterval  = time.Minute // between two transfers: with slow disks everywhere the leadership would only wander
)

// result is the outcome of an applied command.
type result struct {
	rev int64
	err error
}

// Apply replicates a command to a quorum and applies it.
func (n *Node) Apply(c *state.Command, wait time.Duration) (int64, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("registry: %w", err)
	}
	f := n.raft.Apply(data, wait)
	if err := f.Error(); err != nil {
		switch {
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
			return 0, listserver.ErrNotLeader
		case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout):
			return 0, fmt.Errorf("%w; whether the write has happened is not known", listserver.ErrNoQuorum)
		case n.diskFailure() != nil:
			return 0, fmt.Errorf("%w: the disk takes no more; whether the write has happened is not known", listserver.ErrNoQuorum)
		}
		return 0, fmt.Errorf("registry: %w", err)
	}
	r := f.Response().(result)
	return r.rev, r.err
}

// maxConfirmAttempts covers one stale answer, in flight when the first attempt began, of each of eight other replicas.
const maxConfirmAttempts = 9

// Add adds a replica to the cluster as a voter. Only the leader can.
func (n *Node) Add(p listserver.Peer) error {
	if err := n.raft.AddVoter(raft.ServerID(p.Name), raft.ServerAddress(p.Raft), 0, listserver.ApplyTimeout).Error(); err != nil {
		return fmt.Errorf("registry: add %s: %w", p.Name, err)
	}
	_, err := n.Apply(&state.Command{Op: state.OpMember, UID: p.Name, Address: p.Serve}, listserver.ApplyTimeout)
	return err
}

// Remove removes a replica from the cluster. Only the leader can.
func (n *Node) Remove(name string) error {
	if err := n.raft.RemoveServer(raft.ServerID(name), 0, listserver.ApplyTimeout).Error(); err != nil {
		return fmt.Errorf("registry: remove %s: %w", name, err)
	}
	_, err := n.Apply(&state.Command{Op: state.OpMember, UID: name}, listserver.ApplyTimeout)
	return err
}
