// Package cluster runs real replicas of the registry as processes, with proxies between them. Other runs use a cluster
// as their discovery. NewRun runs the registry alone: writers continue through all faults and watchers reconnect to any
// replica. At the end, the history of the writers must be linearizable and all watchers must hold the leader's list.
package cluster

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/registry/listserver"
)

// Cluster is a registry whose replicas reach each other through proxies, so that the links between them can be cut. It
// also keeps the records of a run of the registry alone: the history of the writers, the lists read, and the breaches.
type Cluster struct {
	*harness.Run
	Replicas []*Replica
	config   *scenario.Registry
	links    [][]*relay.Link // links by number of the calling and of the called replica

	// The planted defects that are turned on.
	dropsWatchLines  atomic.Bool
	reportsZeroAge   atomic.Bool
	servesStaleReads atomic.Bool

	mu             sync.Mutex
	history        []operation
	acknowledged   []ackedWrite
	faultStarts    []time.Duration
	reads          []listRead
	failedReads    int // number of reads that no replica responded to
	restartDelays  []time.Duration
	diskRecoveries []time.Duration
	diskChecks     int              // number of replicas with a failed disk on which disk-honest was checked
	listHashes     map[int64]uint64 // hash of the first watcher's list at each revision
	breaches       []invariant.Breach
	breachCounts   map[string]int // number of breaches of each invariant

	watchLines atomic.Int64
	rewatches  atomic.Int64
	lastValue  atomic.Int64 // newest value written; each write takes the next, so that no two are equal
}

// listRead is a read of a whole list that a replica responded to.
type listRead struct {
	replica string
	called  time.Duration // time of the call since the start of the event log
	age     time.Duration // age of the list as the replica reported it
	rev     int64
}

// ackedWrite is an acknowledged write, or a revision that a watcher received. A watcher's has no call time.
type ackedWrite struct {
	rev                  int64
	called, acknowledged time.Duration
}

// Replica is one replica of the registry: its addresses and its process.
type Replica struct {
	Number      int
	Name        string
	Address     string       // address at which clients connect
	raftAddress string       // address at which the replica listens for the raft traffic of other replicas
	raftProxy   *relay.Port  // port at which other replicas connect; it forwards to raftAddress
	Spec        process.Spec // how the replica's process is started

	mu      sync.Mutex
	child   *process.Child
	pastCPU float64 // CPU seconds of the replica's killed processes
}

// URL returns the URL of a path of the replica's HTTP interface.
func (replica *Replica) URL(path string) string { return "http://" + replica.Address + path }

// faultsFile returns the path of the file with the faults to inject into the process.
func (replica *Replica) faultsFile() string { return filepath.Join(replica.Spec.Dir, "faults.toml") }

// configFile returns the path of the process's configuration.
func (replica *Replica) configFile() string { return filepath.Join(replica.Spec.Dir, "registry.toml") }

// dataDir returns the folder of the replica's stored data.
func (replica *Replica) dataDir() string { return filepath.Join(replica.Spec.Dir, "data") }

// Process returns the newest process, or nil if none has been started.
func (replica *Replica) Process() *process.Child {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.child
}

// New returns a cluster whose replicas have not been started.
func New(r *harness.Run, config *scenario.Registry) *Cluster {
	return &Cluster{Run: r, config: config, listHashes: map[int64]uint64{}, breachCounts: map[string]int{}}
}

// Start starts all replicas and returns when one of them leads. The caller must call Stop, also after an error.
func (c *Cluster) Start(ctx context.Context) error {
	for i := range c.config.Replicas {
		if err := c.addReplica(i); err != nil {
			return err
		}
	}
	for _, replica := range c.Replicas {
		if err := c.openRaftProxy(replica); err != nil {
			return err
		}
	}
	if err := c.writeOperatorsFile(); err != nil {
		return err
	}
	for _, replica := range c.Replicas {
		if err := c.writeConfig(replica); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	for _, replica := range c.Replicas {
		if err := c.Launch(ctx, replica); err != nil {
			return err
		}
	}
	return c.AwaitLeader(ctx)
}

// addReplica adds a replica and reserves its addresses until the run ends, so that no other process binds them while
// the replica is down.
func (c *Cluster) addReplica(number int) error {
	n := c.config.Replicas
	var links []*relay.Link
	for j := range n {
		links = append(links, relay.NewLink(relay.Rules{}, c.Plan.Seed^uint64(number*n+j)))
	}
	c.links = append(c.links, links)
	replica := &Replica{Number: number, Name: fmt.Sprint("r", number)}
	for _, addr := range []*string{&replica.Address, &replica.raftAddress} {
		var err error
		if *addr, err = c.ReserveAddr(relay.CallerAddr(number)); err != nil {
			return err
		}
	}
	c.Replicas = append(c.Replicas, replica)
	return nil
}

// openRaftProxy listens for the connections of other replicas and forwards each through the link between the two.
func (c *Cluster) openRaftProxy(replica *Replica) (err error) {
	replica.raftProxy, err = relay.ForwardBySource(func(caller int) *relay.Link {
		if caller >= len(c.links) {
			return nil
		}
		return c.links[caller][replica.Number]
	}, func() string { return replica.raftAddress })
	return err
}

// writeConfig writes the configuration of an initial member of the cluster.
func (c *Cluster) writeConfig(replica *Replica) error {
	dir := filepath.Join(c.Dir, replica.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	program := cmp.Or(c.config.Program, c.Options.RegistryProgram)
	replica.Spec = process.Spec{Name: replica.Name, Path: program, Dir: dir, Env: os.Environ()}
	replica.Spec.Args = []string{"--log-level", "info", "registry", "serve", "--config", replica.configFile()}
	text := fmt.Sprintf("name = %q\nlisten = %q\nraft = %q\ndir = %q\nbeat = %q\nmost_stale = %q\nlab_faults = %q\n%s",
		replica.Name, replica.Address, replica.raftAddress, replica.dataDir(), c.config.HeartbeatInterval.Duration(),
		c.config.MaxStaleness.Duration(), replica.faultsFile(), c.routesConfig())
	for _, peer := range c.Replicas {
		text += fmt.Sprintf("[[peer]]\nname = %q\nraft = %q\nserve = %q\n", peer.Name, peer.raftProxy.Addr(0), peer.Address)
	}
	return os.WriteFile(replica.configFile(), []byte(text), 0o644)
}

// AppendConfig appends text to the configuration of a replica. The next process of the replica reads it.
func (replica *Replica) AppendConfig(text []byte) error {
	file, err := os.OpenFile(replica.configFile(), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(append([]byte("\n"), text...))
	return errors.Join(err, file.Close())
}

// Launch starts a process of a replica and waits until it logs that it is ready.
func (c *Cluster) Launch(ctx context.Context, replica *Replica) error {
	child, err := c.Processes.Start(replica.Spec)
	if err != nil {
		return err
	}
	replica.mu.Lock()
	replica.child = child
	replica.mu.Unlock()
	_, err = child.AwaitLog(ctx, harness.ReadyText)
	return err
}

// Stop kills the replicas and closes the proxies between them.
func (c *Cluster) Stop() {
	for _, replica := range c.Replicas {
		if p := replica.Process(); p != nil {
			p.Kill()
		}
	}
	for _, replica := range c.Replicas {
		if replica.raftProxy != nil {
			replica.raftProxy.Close()
		}
	}
}

// Call sends a request to a replica, with a timeout of 1 s, and returns the status code and body of the response.
func Call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	code, _, text, err := CallWithHeader(ctx, method, url, body)
	return code, text, err
}

// CallWithHeader is like Call and also returns the header of the response.
func CallWithHeader(ctx context.Context, method, url string, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, text, err
}

// Leader returns the replica that reports to be the leader and to have a list (a revision above 0), or nil.
func (c *Cluster) Leader(ctx context.Context) *Replica {
	var leader *Replica
	for _, replica := range c.Replicas {
		var status listserver.Status
		code, text, err := Call(ctx, http.MethodGet, replica.URL("/registry/status"), nil)
		if err == nil && code == http.StatusOK && json.Unmarshal(text, &status) == nil && status.Leads && status.Rev > 0 {
			leader = replica
		}
	}
	return leader
}

// AwaitLeader waits until a replica leads or ctx ends.
func (c *Cluster) AwaitLeader(ctx context.Context) error {
	for c.Leader(ctx) == nil {
		if ctx.Err() != nil {
			return errors.New("await leader: no replica of the list service leads")
		}
	}
	return nil
}

// maxBreachTexts is the number of breaches of each invariant that are kept with their text. All are counted.
const maxBreachTexts = 3

// recordBreach counts a breach of an invariant.
func (c *Cluster) recordBreach(rule, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breachCounts[rule]++; c.breachCounts[rule] <= maxBreachTexts {
		c.breaches = append(c.breaches, invariant.Breach{Rule: rule, At: c.Events.Now().Seconds(), Text: text})
	}
}
