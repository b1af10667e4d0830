// Package cluster runs real replicas of the registry as processes, with proxies between them. Other runs use one as their
// discovery; Play runs the registry alone: writers go on through all faults, watchers come back wherever they can, and
// afterwards the history of the writers has to be linearizable and all watchers have to hold the leader's list.
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

// Cluster is a registry whose replicas reach each other through proxies, so that faults can be put between them. It also
// keeps what a run of the registry alone records: the history of the writers, the lists that were read, and the breaches.
type Cluster struct {
	*harness.Run
	Replicas []*Replica
	config   *scenario.Registry
	links    [][]*relay.Link // by calling and called replica

	// The planted defects.
	dropsWatchLines  atomic.Bool
	reportsZeroAge   atomic.Bool
	servesStaleReads atomic.Bool

	mu             sync.Mutex
	history        []operation
	acknowledged   []ackedWrite
	faultStarts    []time.Duration
	reads          []listRead
	failedReads    int // that no replica answered
	restartDelays  []time.Duration
	diskRecoveries []time.Duration
	diskChecks     int              // disks that failed under a replica
	listHashes     map[int64]uint64 // by revision, as the first watcher had the list
	breaches       []invariant.Breach
	breachCounts   map[string]int // by rule

	watchLines atomic.Int64
	rewatches  atomic.Int64
	lastValue  atomic.Int64 // that a writer has written
}

// listRead is a whole list that a replica gave.
type listRead struct {
	replica string
	called  time.Duration
	age     time.Duration // as the replica stated it
	rev     int64
}

// ackedWrite is a write that was acknowledged, or a revision that a watcher was sent.
type ackedWrite struct {
	rev                  int64
	called, acknowledged time.Duration
}

// Replica is one replica of the registry: its addresses and its process.
type Replica struct {
	Number      int
	Name        string
	Address     string       // where clients call it
	raftAddress string       // where it listens for other replicas
	raftProxy   *relay.Port  // where other replicas call it
	Spec        process.Spec // of its process

	mu      sync.Mutex
	child   *process.Child
	pastCPU float64 // seconds of processes that were killed
}

// URL is the address of a path of the replica's HTTP interface.
func (replica *Replica) URL(path string) string { return "http://" + replica.Address + path }

// faultsFile is the file of the faults that are injected into the process.
func (replica *Replica) faultsFile() string { return filepath.Join(replica.Spec.Dir, "faults.toml") }

// configFile is the configuration of the process.
func (replica *Replica) configFile() string { return filepath.Join(replica.Spec.Dir, "registry.toml") }

func (replica *Replica) dataDir() string { return filepath.Join(replica.Spec.Dir, "data") }

// Process is the newest process; nil: none has been started.
func (replica *Replica) Process() *process.Child {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.child
}

// New is a registry whose replicas have not been started.
func New(r *harness.Run, config *scenario.Registry) *Cluster {
	return &Cluster{Run: r, config: config, listHashes: map[int64]uint64{}, breachCounts: map[string]int{}}
}

// Start starts all replicas, and returns when one of them leads. Stop has to be called after it, also after an error.
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

// addReplica reserves the addresses of a replica until the run ends, so that others don't take them while it is down.
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

// openRaftProxy listens for the calls of other replicas, and passes them on by the link between both.
func (c *Cluster) openRaftProxy(replica *Replica) (err error) {
	replica.raftProxy, err = relay.ForwardBySource(func(caller int) *relay.Link {
		if caller >= len(c.links) {
			return nil
		}
		return c.links[caller][replica.Number]
	}, func() string { return replica.raftAddress })
	return err
}

// writeConfig writes the configuration of a replica that is in the cluster from the beginning.
func (c *Cluster) writeConfig(replica *Replica) error {
	dir := filepath.Join(c.Dir, replica.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	program := cmp.Or(c.config.Program, c.Options.Self)
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

// AppendConfig adds text to the configuration of a replica; its next process reads it.
func (replica *Replica) AppendConfig(text []byte) error {
	file, err := os.OpenFile(replica.configFile(), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(append([]byte("\n"), text...))
	return errors.Join(err, file.Close())
}

// Launch starts a process of a replica, and waits until it serves.
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

// Stop ends the replicas and the proxies between them.
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

// Call makes a call that a replica answers at once or not at all.
func Call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	code, _, text, err := CallWithHeader(ctx, method, url, body)
	return code, text, err
}

// CallWithHeader is Call, and also gives the header of the answer.
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

// Leader finds the replica that leads and has begun a history; nil: there is none.
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

// AwaitLeader waits until a replica leads.
func (c *Cluster) AwaitLeader(ctx context.Context) error {
	for c.Leader(ctx) == nil {
		if ctx.Err() != nil {
			return errors.New("the list service has no leader")
		}
	}
	return nil
}

// maxBreachTexts is how many breaches of each rule are kept with their text. All are counted.
const maxBreachTexts = 3

func (c *Cluster) recordBreach(rule, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breachCounts[rule]++; c.breachCounts[rule] <= maxBreachTexts {
		c.breaches = append(c.breaches, invariant.Breach{Rule: rule, At: c.Events.Now().Seconds(), Text: text})
	}
}
