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
	Name       string // name of the replica, unique among the replicas
	Listen     string // address of the HTTP API
	RaftListen string // address of raft
	Dir        string // data directory; empty: state is kept in memory only, for development
	// Advertise is the address at which other replicas reach raft. Empty: this replica's address in Peers, or
	// RaftListen.
	Advertise  string
	Peers      []listserver.Peer // all replicas of a new cluster, including this one; empty: a single replica, or Join
	Join       bool              // wait to be added to a cluster instead of bootstrapping one
	MaxHistory int               // minimum number of changes kept for watches that resume; 0: 10,000
	// HeartbeatInterval is the interval of raft's heartbeats, from which its timeouts are derived; 0: 200 ms.
	HeartbeatInterval time.Duration
	// SlowWriteThreshold is the duration from which a disk write counts as slow. A leader whose recent writes were all
	// slow transfers its leadership. 0: five heartbeat intervals.
	SlowWriteThreshold time.Duration
	Faults             *fault.Injector     // faults injected by the lab; nil: none
	Members            *membership.Config  // membership group; nil: off
	start              *retry.StartRetrier // start-up retries begun by LoadConfig; nil: Open begins its own

	listserver.Options

	reopened bool // the data directory was opened before, so one without a log belongs to another replica or is not mounted
}

// advertisedAddress returns the address at which other replicas reach raft: as configured, or as listed in Peers. It is
// empty if neither is set; then the listening address serves.
func (c *Config) advertisedAddress() string {
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
	members     *listserver.Members // membership group; nil: off
	http        *http.Server
	listen      net.Listener
	raftAddr    net.Addr       // address raft listens on
	store       *storage.Store // nil: state is kept in memory
	closers     []func() error // functions that close what Open opened, in the order of opening
	log         *slog.Logger
	// readyTerm is the last term in which this replica led and had applied every entry committed in earlier terms.
	readyTerm atomic.Uint64
}

// Open opens the storage, binds the addresses and starts raft. Call Run to serve requests.
func Open(cfg Config) (n *Node, err error) {
	cfg.SetDefaults()
	if cfg.MaxHistory == 0 {
		cfg.MaxHistory = 10_000
	}
	cfg.HeartbeatInterval = cmp.Or(cfg.HeartbeatInterval, 200*time.Millisecond)
	cfg.SlowWriteThreshold = cmp.Or(cfg.SlowWriteThreshold, 5*cfg.HeartbeatInterval)
	n = &Node{cfg: cfg, hub: listserver.NewHub(cfg.MaxHistory), log: cfg.Log}
	defer func(opened *Node) {
		if err != nil {
			opened.closeAll()
		}
	}(n)
	start := cfg.start
	if start == nil {
		start = retry.NewStartRetrier(context.Background(), cfg.Log)
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
		DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug)}
	return n, nil
}

// openRaft opens the storage and the transport, bootstraps the cluster if needed, and starts raft.
func (n *Node) openRaft(start *retry.StartRetrier) error {
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
		return fmt.Errorf("registry: start raft: %w", err)
	}
	n.transport.NeedsEntries = n.needsEntries
	n.closers = append(n.closers, func() error {
		shutdown := n.raft.Shutdown()
		n.transport.Stop() // the shutdown of raft waits for pending sends
		return shutdown.Error()
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
	c.HeartbeatTimeout, c.ElectionTimeout = 5*n.cfg.HeartbeatInterval, 5*n.cfg.HeartbeatInterval
	c.LeaderLeaseTimeout = 3 * n.cfg.HeartbeatInterval // a partitioned leader steps down before others elect one
	c.CommitTimeout = 10 * time.Millisecond
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = 30*time.Second, 8192, 4096
	// raft's own log messages are discarded: the replica's status and log report the relevant state.
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Error})
	return c
}

// raftStores holds the stores of raft: its log, its term and vote, and its snapshots.
type raftStores struct {
	logs   raft.LogStore
	stable raft.StableStore
	snaps  raft.SnapshotStore
}

// openStorage recovers and opens the data directory, or creates storage in memory if no directory is configured.
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
	file, err := storage.OpenStore(filepath.Join(n.cfg.Dir, storage.StoreFile), n.cfg.SlowWriteThreshold, n.cfg.Faults)
	if err != nil {
		return nil, fmt.Errorf("registry: open log: %w", err)
	}
	n.store = file
	file.OnFailure = func(err error) { n.log.Error("registry: disk write failed", "error", err) }
	n.closers = append(n.closers, file.Close)
	files, err := storage.OpenSnapshots(n.cfg.Dir, logger, n.log)
	if err != nil {
		return nil, fmt.Errorf("registry: open snapshots in %s: %w", n.cfg.Dir, err)
	}
	return &raftStores{file, storage.TermStore{Store: file}, files}, nil
}

// openTransport listens for raft and creates the transport. An address in use is retried until start gives up.
func (n *Node) openTransport(start *retry.StartRetrier, logger hclog.Logger) (*transport.Transport, error) {
	var streams *transport.StreamLayer
	if err := start.Do("raft", func() (failed error) {
		streams, failed = transport.Listen(n.cfg.RaftListen, n.cfg.advertisedAddress())
		return failed
	}); err != nil {
		return nil, fmt.Errorf("registry: listen for raft at %s: %w", n.cfg.RaftListen, err)
	}
	wire := transport.New(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: streams, MaxPool: 3, Timeout: 10 * n.cfg.HeartbeatInterval, Logger: logger}), n.cfg.HeartbeatInterval)
	n.raftAddr = streams.Listener.Addr()
	n.transport, n.regressions = wire, transport.NewRegressionDetector(wire, n.log)
	n.closers = append(n.closers, func() error {
		wire.CloseStreams() // also closes the connections that other replicas opened
		return wire.Close()
	})
	return wire, nil
}

// bootstrap writes the initial configuration at the first start of a new cluster's replica, or completes a bootstrap
// that was interrupted. It runs before raft starts: a replica that has taken part in an election must not bootstrap.
func (n *Node) bootstrap(c *raft.Config, st *raftStores, wire *transport.Transport) error {
	hasState, err := raft.HasExistingState(st.logs, st.stable, st.snaps)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if n.cfg.Join {
		return nil
	}
	if !hasState {
		if err := raft.BootstrapCluster(c, st.logs, st.stable, st.snaps, wire, n.initialConfiguration(wire)); err != nil {
			return fmt.Errorf("registry: bootstrap cluster: %w", err)
		}
		return nil
	}
	interrupted, err := bootstrapInterrupted(st.logs, st.stable, st.snaps)
	if err == nil && interrupted {
		err = completeBootstrap(st.logs, n.initialConfiguration(wire))
	}
	if err != nil {
		return fmt.Errorf("registry: complete interrupted bootstrap: %w", err)
	}
	return nil
}

// initialConfiguration returns the members of a new cluster.
func (n *Node) initialConfiguration(wire *transport.Transport) (out raft.Configuration) {
	peers := n.cfg.Peers
	if len(peers) == 0 {
		peers = []listserver.Peer{{Name: n.cfg.Name, Raft: string(wire.LocalAddr()), Serve: n.Addr()}}
	}
	for _, p := range peers {
		out.Servers = append(out.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	return out
}

// Addr returns the address of the HTTP API.
func (n *Node) Addr() string { return n.listen.Addr().String() }

// Server returns the HTTP API of the list.
func (n *Node) Server() *listserver.Server { return n.server }

// Run serves until ctx ends or a disk write fails, and then closes the replica. After a failed disk write it returns a
// *DiskError.
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
	n.http.BaseContext = func(net.Listener) context.Context { return base } // stop ends the watches
	wg.Go(func() { failed <- n.http.Serve(n.listen) })
	n.log.Info("registry: serving", "name", n.cfg.Name, "listen", n.Addr())
	var diskErr error
	var disk <-chan error
	if n.store != nil {
		disk = n.store.Failed
	}
	select {
	case err := <-failed:
		return fmt.Errorf("registry: %w", err)
	case err := <-disk:
		diskErr = &DiskError{Err: err}
		n.log.Error("registry: replica stopped", "error", diskErr)
	case <-ctx.Done():
	}
	stop()
	end, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	if err := n.http.Shutdown(end); err != nil {
		return errors.Join(diskErr, n.http.Close())
	}
	return diskErr
}

// closeAll closes everything in the reverse order of opening.
func (n *Node) closeAll() {
	for i := len(n.closers) - 1; i >= 0; i-- {
		if err := n.closers[i](); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.Debug("registry: failed to close the replica", "error", err)
		}
	}
	n.closers = nil
}

const (
	slowWritesToYield = 3           // consecutive slow writes after which a leader transfers the leadership
	minYieldInterval  = time.Minute // minimum time between two transfers, as with slow disks everywhere none would help
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

// maxConfirmAttempts is the maximum number of leadership checks of one Confirm. Each of eight other replicas may have
// one stale response in flight when the first check begins, which spoils one check.
const maxConfirmAttempts = 9

// Add adds a replica to the cluster as a voter. It fails on a follower.
func (n *Node) Add(p listserver.Peer) error {
	if err := n.raft.AddVoter(raft.ServerID(p.Name), raft.ServerAddress(p.Raft), 0, listserver.ApplyTimeout).Error(); err != nil {
		return fmt.Errorf("registry: add %s: %w", p.Name, err)
	}
	_, err := n.Apply(&state.Command{Op: state.OpReplicaAddress, UID: p.Name, Address: p.Serve}, listserver.ApplyTimeout)
	return err
}

// Remove removes a replica from the cluster. It fails on a follower.
func (n *Node) Remove(name string) error {
	if err := n.raft.RemoveServer(raft.ServerID(name), 0, listserver.ApplyTimeout).Error(); err != nil {
		return fmt.Errorf("registry: remove %s: %w", name, err)
	}
	_, err := n.Apply(&state.Command{Op: state.OpReplicaAddress, UID: name}, listserver.ApplyTimeout)
	return err
}
