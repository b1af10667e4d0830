package cluster

// This file injects faults into the replicas of the registry and checks their recovery.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/registry/listserver"
)

// injectFaults starts the scenario's faults at their planned times and ends each after its duration, or when ctx ends.
func (c *Cluster) injectFaults(ctx context.Context) {
	for i := range c.Plan.Faults {
		f := &c.Plan.Faults[i]
		c.Tasks.Go(func() {
			if !harness.Sleep(ctx, f.At-c.Elapsed()) {
				return
			}
			undo, err := c.InjectFault(ctx, f)
			if err != nil {
				c.Fail(fmt.Errorf("%s: %w", f.Fault.Kind, err))
				return
			}
			c.mu.Lock()
			c.faultStarts = append(c.faultStarts, c.Events.Now())
			c.mu.Unlock()
			c.Log.Info("lab: fault", "what", f.Fault.Kind, "copies", f.Fault.Replicas)
			harness.Sleep(ctx, f.Until-f.At)
			if err := undo(); err != nil {
				c.Fail(fmt.Errorf("end %s: %w", f.Fault.Kind, err))
			}
		})
	}
}

// injector starts a fault in the chosen replicas and returns the function that ends it.
type injector func(c *Cluster, ctx context.Context, f *scenario.FaultPlan, chosen []*Replica) (undo func() error, err error)

// injectors holds the faults of replicas and the planted defects of the registry, by kind.
var injectors = map[string]injector{
	"copy-kill":           (*Cluster).killReplicas,
	"copy-freeze":         (*Cluster).freezeReplicas,
	"copy-cut":            (*Cluster).partitionReplicas,
	"copy-disk-full":      (*Cluster).fillDisks,
	"copy-disk-lost":      (*Cluster).loseDisks,
	"copy-disk-slow":      (*Cluster).slowDisks,
	"copy-clock":          (*Cluster).stepClocks,
	"copy-sync-kept":      failSyncs(fault.SyncErrorPersisted),
	"copy-sync-lost":      failSyncs(fault.SyncErrorLost),
	"defect-unheard-disk": failSyncs(fault.SyncSilentLoss),
	"defect-stale-read":   plantDefect(func(c *Cluster) *atomic.Bool { return &c.servesStaleReads }),
	"defect-fresh-claim":  plantDefect(func(c *Cluster) *atomic.Bool { return &c.reportsZeroAge }),
	"defect-skipped-line": plantDefect(func(c *Cluster) *atomic.Bool { return &c.dropsWatchLines }),
}

// InjectFault starts a fault and returns the function that ends it.
func (c *Cluster) InjectFault(ctx context.Context, f *scenario.FaultPlan) (undo func() error, err error) {
	inject := injectors[f.Fault.Kind]
	if inject == nil {
		return nil, errors.New("unknown kind of fault for the list service")
	}
	var chosen []*Replica
	if f.Fault.Replicas != "" {
		chosen = c.selectReplicas(ctx, f.Fault.Replicas)
	}
	return inject(c, ctx, f, chosen)
}

// plantDefect returns the injector of a planted defect that a flag of the cluster turns on.
func plantDefect(flag func(*Cluster) *atomic.Bool) injector {
	return func(c *Cluster, _ context.Context, _ *scenario.FaultPlan, _ []*Replica) (func() error, error) {
		flag(c).Store(true)
		return func() error { flag(c).Store(false); return nil }, nil
	}
}

// killReplicas kills processes of replicas. Its undo restarts them.
func (c *Cluster) killReplicas(ctx context.Context, _ *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	for _, replica := range chosen {
		child := replica.Process()
		child.Kill()
		replica.mu.Lock()
		replica.pastCPU += child.CPU()
		replica.mu.Unlock()
	}
	return func() error { return c.restart(ctx, chosen) }, nil
}

// restart starts killed replicas and measures how long they take to catch up.
func (c *Cluster) restart(ctx context.Context, chosen []*Replica) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), harness.StartTimeout)
	defer cancel()
	for _, replica := range chosen {
		if err := c.Launch(ctx, replica); err != nil {
			return err
		}
	}
	return c.measureCatchUp(ctx, chosen)
}

// freezeReplicas stops processes of replicas by SIGSTOP. Its undo continues them.
func (c *Cluster) freezeReplicas(_ context.Context, _ *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	signal := func(s syscall.Signal) error {
		for _, replica := range chosen {
			if err := replica.Process().Signal(s); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return signal(syscall.SIGCONT) }, signal(syscall.SIGSTOP)
}

// partitionReplicas cuts the links between the chosen replicas and the others.
func (c *Cluster) partitionReplicas(_ context.Context, f *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	heal := func() error { return c.setPartition(chosen, f.Fault.Direction, false) }
	return heal, c.setPartition(chosen, f.Fault.Direction, true)
}

// fullDiskBytes is the free space of a full disk.
const fullDiskBytes = 4096

// fillDisks fills the disks of replicas. Its undo frees them and checks the replicas.
func (c *Cluster) fillDisks(ctx context.Context, _ *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	failures, err := c.failDisks(chosen, func() error {
		for _, replica := range chosen {
			if err := replica.Process().FillDisk(fullDiskBytes); err != nil {
				return err
			}
		}
		return nil
	})
	return func() error { return c.healDisks(ctx, failures, func() error { return freeDisks(failures) }) }, err
}

// loseDisks kills replicas and deletes their data. Its undo adds them again without data.
func (c *Cluster) loseDisks(ctx context.Context, _ *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	for _, replica := range chosen {
		replica.Process().Kill()
		if err := os.RemoveAll(replica.dataDir()); err != nil {
			return nil, err
		}
	}
	return func() error { return c.rejoinEmpty(ctx, chosen) }, nil
}

// slowDisks delays disk operations of replicas by the fault's size.
func (c *Cluster) slowDisks(_ context.Context, f *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	return c.writeFaults(chosen, fault.NewConfig(0, sizeAsDuration(f), ""))
}

// stepClocks steps the clocks of replicas by the fault's size.
func (c *Cluster) stepClocks(_ context.Context, f *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
	return c.writeFaults(chosen, fault.NewConfig(sizeAsDuration(f), 0, ""))
}

// sizeAsDuration returns the fault's size, which is in seconds.
func sizeAsDuration(f *scenario.FaultPlan) time.Duration {
	return time.Duration(f.Fault.Size * float64(time.Second))
}

// failSyncs returns the injector that makes the syncs of disks fail.
func failSyncs(kind fault.SyncFault) injector {
	return func(c *Cluster, ctx context.Context, _ *scenario.FaultPlan, chosen []*Replica) (func() error, error) {
		var heal func() error
		failures, err := c.failDisks(chosen, func() (err error) {
			heal, err = c.writeFaults(chosen, fault.NewConfig(0, 0, kind))
			return err
		})
		return func() error { return c.healDisks(ctx, failures, heal) }, err
	}
}

// measureCatchUp measures how long newly started replicas take to reach the revision that was the newest acknowledged
// at their start.
func (c *Cluster) measureCatchUp(ctx context.Context, chosen []*Replica) error {
	start, wantRev := c.Events.Now(), c.newestAcknowledged()
	for _, replica := range chosen {
		for {
			var status listserver.Status
			code, text, err := Call(ctx, "GET", "http://"+replica.Address+"/registry/status", nil)
			if err == nil && code == http.StatusOK && json.Unmarshal(text, &status) == nil && status.Rev >= wantRev {
				break
			}
			if !harness.Sleep(ctx, 5*time.Millisecond) {
				return fmt.Errorf("replica %s did not catch up to the newest acknowledged revision", replica.Name)
			}
		}
		c.mu.Lock()
		c.restartDelays = append(c.restartDelays, c.Events.Now()-start)
		c.mu.Unlock()
	}
	return nil
}

// writeFaults writes the faults files of replicas, which injects the faults into their processes.
func (c *Cluster) writeFaults(chosen []*Replica, config fault.Config) (undo func() error, err error) {
	writeAll := func(set fault.Config) error {
		for _, replica := range chosen {
			if err := set.Write(replica.faultsFile()); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return writeAll(fault.Config{}) }, writeAll(config)
}

// freeDisks frees the disks of replicas that fillDisks has filled.
func freeDisks(failures []*diskFailure) error {
	for _, f := range failures {
		if err := f.child.FreeDisk(); err != nil {
			return err
		}
	}
	return nil
}

// appliedRevision returns the revision that a replica has applied, or 0 if the replica does not report it.
func (c *Cluster) appliedRevision(replica *Replica) int64 {
	var status listserver.Status
	code, text, err := Call(context.Background(), "GET", "http://"+replica.Address+"/registry/status", nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(text, &status) != nil {
		return 0
	}
	return status.Rev
}

// diskRecoveryTimeout is how long a replica may take, from the end of its disk's fault, to reach the revision that was
// then the newest acknowledged.
const diskRecoveryTimeout = 10 * time.Second

// diskFailure is the state of a replica whose disk fails.
type diskFailure struct {
	*Replica
	child             *process.Child // the replica's process when the fault started
	loggedBefore      int            // disk failures in the replica's log before the fault started
	revisionAtFailure int64          // revision of the replica after the fault started
	revisionAtHeal    int64          // revision of the replica before the fault ended; 0 if not reported
}

// failDisks makes the disks of replicas fail and records the state of the replicas. It counts the logged disk failures
// before the fault starts, since a replica may detect it at once, and reads the revisions after.
func (c *Cluster) failDisks(chosen []*Replica, fail func() error) ([]*diskFailure, error) {
	var failures []*diskFailure
	for _, replica := range chosen {
		failures = append(failures, &diskFailure{Replica: replica, child: replica.Process(), loggedBefore: replica.loggedDiskFailures()})
	}
	if err := fail(); err != nil {
		return nil, err
	}
	for _, f := range failures {
		f.revisionAtFailure = c.appliedRevision(f.Replica)
	}
	return failures, nil
}

// loggedDiskFailures returns how often the replica's log reports a failed disk write.
func (replica *Replica) loggedDiskFailures() int {
	text, err := os.ReadFile(replica.Spec.LogPath())
	if err != nil {
		return 0 // the replica has logged nothing yet
	}
	return bytes.Count(text, []byte("disk write failed"))
}

// healDisks ends the faults of disks and checks the replicas. A replica that detected the fault must recover by itself
// within diskRecoveryTimeout. A replica that did not detect it must not have applied any revision during the fault.
func (c *Cluster) healDisks(ctx context.Context, failures []*diskFailure, heal func() error) error {
	for _, f := range failures {
		f.revisionAtHeal = c.appliedRevision(f.Replica)
	}
	healedAt := c.Events.Now()
	if err := heal(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), harness.StartTimeout)
	defer cancel()
	for _, f := range failures {
		if err := c.checkDiskFailure(ctx, f, healedAt); err != nil {
			return err
		}
	}
	return nil
}

// checkDiskFailure checks how a replica has handled a fault of its disk that has ended. It restarts a replica that
// ended or applied writes without detecting the fault.
func (c *Cluster) checkDiskFailure(ctx context.Context, f *diskFailure, healedAt time.Duration) error {
	if f.Process() != f.child || f.child.StopRequested() {
		return nil // another fault has killed the process in the meantime
	}
	c.mu.Lock()
	c.diskChecks++
	c.mu.Unlock()
	select {
	case <-f.child.Ended():
		c.recordBreach("disk-honest", fmt.Sprintf("replica %s ended when its disk failed: %v", f.Name, f.child.Err()))
		return c.Launch(ctx, f.Replica)
	default:
	}
	if f.loggedDiskFailures() > f.loggedBefore {
		c.awaitRecovery(ctx, f, healedAt)
		return nil
	}
	if f.revisionAtHeal > f.revisionAtFailure {
		c.recordBreach("disk-honest", fmt.Sprintf(
			"replica %s did not detect its failed disk: it applied revision %d during the fault, after %d",
			f.Name, f.revisionAtHeal, f.revisionAtFailure))
		f.child.Kill()
		return c.Launch(ctx, f.Replica)
	}
	// A replica that was sent no write during the fault cannot have detected it: the case does not count as checked.
	c.mu.Lock()
	c.diskChecks--
	c.mu.Unlock()
	c.Log.Warn("lab: replica was sent no write during its disk fault", "copy", f.Name)
	return nil
}

// awaitRecovery waits until a replica whose disk fault has ended reaches the newest acknowledged revision, and records
// how long it took. After diskRecoveryTimeout it records a breach.
func (c *Cluster) awaitRecovery(ctx context.Context, f *diskFailure, healedAt time.Duration) {
	wantRev := c.newestAcknowledged()
	for c.appliedRevision(f.Replica) < wantRev {
		timedOut := c.Events.Now()-healedAt > diskRecoveryTimeout
		if timedOut || !harness.Sleep(ctx, 5*time.Millisecond) {
			c.recordBreach("disk-honest", fmt.Sprintf("replica %s has not recovered %v after its disk fault ended", f.Name, diskRecoveryTimeout))
			return
		}
	}
	c.mu.Lock()
	c.diskRecoveries = append(c.diskRecoveries, c.Events.Now()-healedAt)
	c.mu.Unlock()
}

// newestAcknowledged returns the newest revision that was acknowledged to a writer.
func (c *Cluster) newestAcknowledged() (newest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acknowledged {
		newest = max(newest, a.rev)
	}
	return newest
}

// rejoinEmpty removes replicas that have lost their data from the cluster, starts them without data and adds them
// again, which is the procedure for operators in docs/registry.md.
func (c *Cluster) rejoinEmpty(ctx context.Context, chosen []*Replica) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), harness.StartTimeout)
	defer cancel()
	callLeader := func(method, path string, body []byte) error {
		for {
			if leader := c.Leader(ctx); leader != nil {
				code, text, err := Call(ctx, method, "http://"+leader.Address+path, body)
				if err == nil && code == http.StatusOK {
					return nil
				}
				c.Log.Debug("lab: change of replicas failed", "code", code, "answer", string(text), "err", err)
			}
			if !harness.Sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s %s: no leader accepted the request", method, path)
			}
		}
	}
	for _, replica := range chosen {
		if err := callLeader("DELETE", "/registry/copies/"+replica.Name, nil); err != nil {
			return err
		}
		text := fmt.Sprintf("name = %q\nlisten = %q\nraft = %q\nadvertise = %q\ndir = %q\nbeat = %q\njoin = true\n%s", replica.Name, replica.Address,
			replica.raftAddress, replica.raftProxy.Addr(0), filepath.Join(replica.Spec.Dir, "data"), c.config.HeartbeatInterval.Duration(), c.routesConfig())
		if err := os.WriteFile(filepath.Join(replica.Spec.Dir, "registry.toml"), []byte(text), 0o644); err != nil {
			return err
		}
		if err := c.Launch(ctx, replica); err != nil {
			return err
		}
		body, err := json.Marshal(listserver.Peer{Raft: replica.raftProxy.Addr(0), Serve: replica.Address})
		if err != nil {
			return err
		}
		if err := callLeader("POST", "/registry/copies/"+replica.Name, body); err != nil {
			return err
		}
	}
	return nil
}

// selectReplicas returns the replicas that a fault's selector matches at this moment.
func (c *Cluster) selectReplicas(ctx context.Context, selector string) []*Replica {
	leader := c.Leader(ctx)
	var others []*Replica
	for _, replica := range c.Replicas {
		if replica != leader {
			others = append(others, replica)
		}
	}
	switch {
	case selector == "all":
		return c.Replicas
	case selector == "leader" && leader != nil:
		return []*Replica{leader}
	case selector == "majority":
		return c.Replicas[:len(c.Replicas)/2+1]
	case selector[0] == '#':
		i, _ := strconv.Atoi(selector[1:])
		return c.Replicas[i : i+1]
	}
	return others[:1] // a follower, or any replica if there is no leader
}

// setPartition starts (enable) or ends a partition between the chosen replicas and the others. The direction is "to"
// (traffic to the chosen replicas is cut), "from" (traffic from them), or "both".
func (c *Cluster) setPartition(chosen []*Replica, direction string, enable bool) error {
	isChosen := func(n int) bool {
		return slices.ContainsFunc(chosen, func(replica *Replica) bool { return replica.Number == n })
	}
	for from := range c.Replicas {
		for to := range c.Replicas {
			if isChosen(from) == isChosen(to) {
				continue
			}
			// A link carries requests in one direction and their responses in the other. A cut of the traffic to a
			// replica drops the requests to it and the responses to its own requests.
			cut := relay.Both
			if direction == "to" == isChosen(to) && direction != "both" {
				cut = relay.To
			} else if direction != "both" {
				cut = relay.From
			}
			c.links[from][to].Set(func(r *relay.Rules) {
				if r.Cut &^= cut; enable {
					r.Cut |= cut
				}
			})
			updateProxy := c.Replicas[to].raftProxy.Heal
			if c.links[from][to].Rules().Cut != 0 {
				updateProxy = c.Replicas[to].raftProxy.Cut
			}
			if err := updateProxy(from); err != nil {
				return err
			}
		}
	}
	return nil
}
