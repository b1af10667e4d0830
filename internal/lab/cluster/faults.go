package cluster

// This file plays faults in the copies of the list service, and judges how they come back.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/registry/listserver"
)

// injectFaults carries out the scenario's faults, each in its own time, and undoes them at the end of the run.
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
				c.Fail(fmt.Errorf("%s ends: %w", f.Fault.Kind, err))
			}
		})
	}
}

// InjectFault starts a fault, and gives the function that ends it.
func (c *Cluster) InjectFault(ctx context.Context, p *scenario.FaultPlan) (undo func() error, err error) {
	switch p.Fault.Kind {
	case "defect-stale-read":
		c.servesStaleReads.Store(true)
		return func() error { c.servesStaleReads.Store(false); return nil }, nil
	case "defect-fresh-claim":
		c.reportsZeroAge.Store(true)
		return func() error { c.reportsZeroAge.Store(false); return nil }, nil
	case "defect-skipped-line":
		c.dropsWatchLines.Store(true)
		return func() error { c.dropsWatchLines.Store(false); return nil }, nil
	}
	chosen := c.selectReplicas(ctx, p.Fault.Replicas)
	switch p.Fault.Kind {
	case "copy-kill":
		for _, replica := range chosen {
			p := replica.Process()
			p.Kill()
			replica.mu.Lock()
			replica.pastCPU += p.CPU()
			replica.mu.Unlock()
		}
		return func() error {
			start, cancel := context.WithTimeout(context.WithoutCancel(ctx), harness.StartTimeout)
			defer cancel()
			for _, replica := range chosen {
				if err := c.Launch(start, replica); err != nil {
					return err
				}
			}
			return c.catchUp(start, chosen)
		}, nil
	case "copy-freeze":
		signal := func(s syscall.Signal) error {
			for _, replica := range chosen {
				if err := replica.Process().Signal(s); err != nil {
					return err
				}
			}
			return nil
		}
		return func() error { return signal(syscall.SIGCONT) }, signal(syscall.SIGSTOP)
	case "copy-disk-full":
		failed, err := c.failDisks(chosen, func() error {
			for _, replica := range chosen {
				if err := replica.Process().FillDisk(4096); err != nil {
					return err
				}
			}
			return nil
		})
		return func() error { return c.healDisks(ctx, failed, func() error { return freeDisks(failed) }) }, err
	case "copy-disk-lost":
		for _, replica := range chosen {
			replica.Process().Kill()
			if err := os.RemoveAll(filepath.Join(replica.Spec.Dir, "data")); err != nil {
				return nil, err
			}
		}
		return func() error { return c.rejoinEmpty(ctx, chosen) }, nil
	case "copy-disk-slow":
		return c.writeFaults(chosen, fault.NewSet(0, time.Duration(p.Fault.Size*float64(time.Second)), ""))
	case "copy-clock":
		return c.writeFaults(chosen, fault.NewSet(time.Duration(p.Fault.Size*float64(time.Second)), 0, ""))
	case "copy-sync-kept", "copy-sync-lost", "defect-unheard-disk":
		syncFaults := map[string]fault.SyncFault{
			"copy-sync-kept":      fault.SyncErrorPersisted,
			"copy-sync-lost":      fault.SyncErrorLost,
			"defect-unheard-disk": fault.SyncSilentLoss,
		}
		var heal func() error
		failed, err := c.failDisks(chosen, func() (err error) {
			heal, err = c.writeFaults(chosen, fault.NewSet(0, 0, syncFaults[p.Fault.Kind]))
			return err
		})
		return func() error { return c.healDisks(ctx, failed, heal) }, err
	case "copy-cut":
		return func() error { return c.setPartition(chosen, p.Fault.Direction, false) }, c.setPartition(chosen, p.Fault.Direction, true)
	}
	return nil, fmt.Errorf("no such fault of the list service")
}

// catchUp measures how long copies that have just been started take until they have the list of that moment.
func (c *Cluster) catchUp(ctx context.Context, chosen []*Replica) error {
	at, want := c.Events.Now(), c.newestAcknowledged()
	for _, replica := range chosen {
		for {
			var st listserver.Status
			code, text, err := Call(ctx, "GET", "http://"+replica.Address+"/registry/status", nil)
			if err == nil && code == http.StatusOK && json.Unmarshal(text, &st) == nil && st.Rev >= want {
				break
			}
			if !harness.Sleep(ctx, 5*time.Millisecond) {
				return fmt.Errorf("copy %s does not catch up", replica.Name)
			}
		}
		c.mu.Lock()
		c.restartDelays = append(c.restartDelays, c.Events.Now()-at)
		c.mu.Unlock()
	}
	return nil
}

// plant puts faults into copies.
func (c *Cluster) writeFaults(chosen []*Replica, set fault.Set) (undo func() error, err error) {
	all := func(set fault.Set) error {
		for _, replica := range chosen {
			if err := set.Write(replica.faultsFile()); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return all(fault.Set{}) }, all(set)
}

// makeRoom empties the disks of copies.
func freeDisks(failed []*diskFailure) error {
	for _, f := range failed {
		if err := f.child.FreeDisk(); err != nil {
			return err
		}
	}
	return nil
}

// revOf is the revision that a copy has applied; 0 where it does not say.
func (c *Cluster) revisionOf(replica *Replica) int64 {
	var st listserver.Status
	code, text, err := Call(context.Background(), "GET", "http://"+replica.Address+"/registry/status", nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(text, &st) != nil {
		return 0
	}
	return st.Rev
}

// diskRecoveryTimeout is how long a replica may take from when its disk works again until it has the list of that moment.
const diskRecoveryTimeout = 10 * time.Second

// diskFailure is a copy whose disk fails.
type diskFailure struct {
	*Replica
	child          *process.Child // as it ran when the disk began to fail
	loggedBefore   int            // how often its log had told of a failed disk before
	revisionFailed int64          // its revision once the disk failed
	revisionHealed int64          // its revision when the disk works again; 0: it did not say
}

// failDisks makes the disks of copies fail, and notes how the copies are: what their logs have said is from before, as
// they may notice at once, and their revisions are from after.
func (c *Cluster) failDisks(chosen []*Replica, fail func() error) ([]*diskFailure, error) {
	var out []*diskFailure
	for _, replica := range chosen {
		out = append(out, &diskFailure{Replica: replica, child: replica.Process(), loggedBefore: replica.loggedDiskFailures()})
	}
	if err := fail(); err != nil {
		return nil, err
	}
	for _, f := range out {
		f.revisionFailed = c.revisionOf(f.Replica)
	}
	return out, nil
}

// diskFailures is how often the copy's log tells of a disk that takes no more.
func (replica *Replica) loggedDiskFailures() int {
	text, err := os.ReadFile(replica.Spec.LogPath())
	if err != nil {
		return 0 // the copy has said nothing yet
	}
	return bytes.Count(text, []byte("the disk takes no more"))
}

// healDisks makes disks work again. Each copy that noticed has to be there by itself within diskHealWait; one that
// did not must not have written anything.
func (c *Cluster) healDisks(ctx context.Context, failed []*diskFailure, heal func() error) error {
	for _, f := range failed {
		f.revisionHealed = c.revisionOf(f.Replica)
	}
	healed := c.Events.Now()
	if err := heal(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), harness.StartTimeout)
	defer cancel()
	for _, f := range failed {
		if err := c.checkDiskFailure(ctx, f, healed); err != nil {
			return err
		}
	}
	return nil
}

// afterDiskFailure judges what a copy has made of a disk that failed and works again.
func (c *Cluster) checkDiskFailure(ctx context.Context, f *diskFailure, healed time.Duration) error {
	if f.Process() != f.child || f.child.StopRequested() {
		return nil // it was killed meanwhile, which is another fault's
	}
	c.mu.Lock()
	c.diskChecks++
	c.mu.Unlock()
	select {
	case <-f.child.Ended():
		c.breach("disk-honest", fmt.Sprintf("copy %s ended when its disk failed: %v", f.Name, f.child.Err()))
		return c.Launch(ctx, f.Replica)
	default:
	}
	if f.loggedDiskFailures() > f.loggedBefore {
		c.awaitRecovery(ctx, f, healed)
		return nil
	}
	if f.revisionHealed > f.revisionFailed {
		c.breach("disk-honest", fmt.Sprintf(
			"copy %s goes on although its disk takes no more: it has applied revision %d since, after %d",
			f.Name, f.revisionHealed, f.revisionFailed))
		f.child.Kill()
		return c.Launch(ctx, f.Replica)
	}
	// Who has been sent nothing since has written nothing, and cannot know.
	c.mu.Lock()
	c.diskChecks--
	c.mu.Unlock()
	c.Log.Warn("lab: a copy was sent nothing while its disk failed", "copy", f.Name)
	return nil
}

// comesBack waits for a copy whose disk works again, and measures how long it takes.
func (c *Cluster) awaitRecovery(ctx context.Context, f *diskFailure, healed time.Duration) {
	want := c.newestAcknowledged()
	for c.revisionOf(f.Replica) < want {
		late := c.Events.Now()-healed > diskRecoveryTimeout
		if late || !harness.Sleep(ctx, 5*time.Millisecond) {
			c.breach("disk-honest", fmt.Sprintf("copy %s is not back %v after its disk works again", f.Name, diskRecoveryTimeout))
			return
		}
	}
	c.mu.Lock()
	c.diskRecoveries = append(c.diskRecoveries, c.Events.Now()-healed)
	c.mu.Unlock()
}

// acknowledged is the newest revision that a writer was told.
func (c *Cluster) newestAcknowledged() (newest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acknowledged {
		newest = max(newest, a.rev)
	}
	return newest
}

// rejoin takes copies that have lost their disk out of the cluster, starts them empty, and adds them again: what
// docs/registry.md tells an operator to do.
func (c *Cluster) rejoinEmpty(ctx context.Context, chosen []*Replica) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), harness.StartTimeout)
	defer cancel()
	atLeader := func(method, path string, body []byte) error {
		for {
			if lead := c.Leader(ctx); lead != nil {
				code, text, err := Call(ctx, method, "http://"+lead.Address+path, body)
				if err == nil && code == http.StatusOK {
					return nil
				}
				c.Log.Debug("lab: copies change", "code", code, "answer", string(text), "error", err)
			}
			if !harness.Sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s %s: no leader takes it", method, path)
			}
		}
	}
	for _, replica := range chosen {
		if err := atLeader("DELETE", "/registry/copies/"+replica.Name, nil); err != nil {
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
		if err := atLeader("POST", "/registry/copies/"+replica.Name, body); err != nil {
			return err
		}
	}
	return nil
}

// choose finds the copies that a fault means, at the moment it happens.
func (c *Cluster) selectReplicas(ctx context.Context, pick string) []*Replica {
	lead := c.Leader(ctx)
	var others []*Replica
	for _, replica := range c.Replicas {
		if replica != lead {
			others = append(others, replica)
		}
	}
	switch {
	case pick == "all":
		return c.Replicas
	case pick == "leader" && lead != nil:
		return []*Replica{lead}
	case pick == "majority":
		return c.Replicas[:len(c.Replicas)/2+1]
	case pick[0] == '#':
		i, _ := strconv.Atoi(pick[1:])
		return c.Replicas[i : i+1]
	}
	return others[:1] // a follower; or whoever, if nobody leads at this moment
}

// cutOff cuts copies from the others: what comes to them ("to"), what goes out from them ("from"), or both.
func (c *Cluster) setPartition(chosen []*Replica, way string, on bool) error {
	inside := func(n int) bool {
		return slices.ContainsFunc(chosen, func(replica *Replica) bool { return replica.Number == n })
	}
	for from := range c.Replicas {
		for to := range c.Replicas {
			if inside(from) == inside(to) {
				continue
			}
			// A link carries calls one way and their answers the other; a cut of what comes to a copy silences the
			// calls to it and the answers to its own calls.
			cut := relay.Both
			if way == "to" == inside(to) && way != "both" {
				cut = relay.To
			} else if way != "both" {
				cut = relay.From
			}
			c.links[from][to].Set(func(r *relay.Rules) {
				if r.Cut &^= cut; on {
					r.Cut |= cut
				}
			})
			do := c.Replicas[to].raftProxy.Heal
			if c.links[from][to].Rules().Cut != 0 {
				do = c.Replicas[to].raftProxy.Cut
			}
			if err := do(from); err != nil {
				return err
			}
		}
	}
	return nil
}
