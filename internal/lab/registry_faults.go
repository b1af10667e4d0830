package lab

// This file plays faults in the copies of the list service, and judges how they come back.

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
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/registry/listserver"
)

// faults carries out the scenario's faults, each in its own time, and undoes them at the end of the run.
func (rr *registryRun) faults(ctx context.Context, began time.Duration) {
	for i := range rr.plan.Faults {
		f := &rr.plan.Faults[i]
		rr.wg.Go(func() {
			if !sleep(ctx, began+f.At-rr.log.Now()) {
				return
			}
			undo, err := rr.begin(ctx, f)
			if err != nil {
				rr.fail(fmt.Errorf("%s: %w", f.Fault.Kind, err))
				return
			}
			rr.mu.Lock()
			rr.marks = append(rr.marks, rr.log.Now())
			rr.mu.Unlock()
			rr.out.Info("lab: fault", "what", f.Fault.Kind, "copies", f.Fault.Copies)
			sleep(ctx, f.Until-f.At)
			if err := undo(); err != nil {
				rr.fail(fmt.Errorf("%s ends: %w", f.Fault.Kind, err))
			}
		})
	}
}

// begin starts a fault and gives what undoes it.
func (rr *registryRun) begin(ctx context.Context, p *scenario.FaultPlan) (undo func() error, err error) {
	switch p.Fault.Kind {
	case "defect-stale-read":
		rr.lying.Store(true)
		return func() error { rr.lying.Store(false); return nil }, nil
	case "defect-fresh-claim":
		rr.boasting.Store(true)
		return func() error { rr.boasting.Store(false); return nil }, nil
	case "defect-skipped-line":
		rr.skipping.Store(true)
		return func() error { rr.skipping.Store(false); return nil }, nil
	}
	chosen := rr.choose(ctx, p.Fault.Copies)
	switch p.Fault.Kind {
	case "copy-kill":
		for _, c := range chosen {
			p := c.process()
			p.Kill()
			c.mu.Lock()
			c.past += p.CPU()
			c.mu.Unlock()
		}
		return func() error {
			start, cancel := context.WithTimeout(context.WithoutCancel(ctx), startWait)
			defer cancel()
			for _, c := range chosen {
				if err := rr.launch(start, c); err != nil {
					return err
				}
			}
			return rr.catchUp(start, chosen)
		}, nil
	case "copy-freeze":
		signal := func(s syscall.Signal) error {
			for _, c := range chosen {
				if err := c.process().Signal(s); err != nil {
					return err
				}
			}
			return nil
		}
		return func() error { return signal(syscall.SIGCONT) }, signal(syscall.SIGSTOP)
	case "copy-disk-full":
		failed, err := rr.failDisks(chosen, func() error {
			for _, c := range chosen {
				if err := c.process().FillDisk(4096); err != nil {
					return err
				}
			}
			return nil
		})
		return func() error { return rr.healDisks(ctx, failed, func() error { return makeRoom(failed) }) }, err
	case "copy-disk-lost":
		for _, c := range chosen {
			c.process().Kill()
			if err := os.RemoveAll(filepath.Join(c.spec.Dir, "data")); err != nil {
				return nil, err
			}
		}
		return func() error { return rr.rejoin(ctx, chosen) }, nil
	case "copy-disk-slow":
		return rr.plant(chosen, fault.NewSet(0, time.Duration(p.Fault.Size*float64(time.Second)), ""))
	case "copy-clock":
		return rr.plant(chosen, fault.NewSet(time.Duration(p.Fault.Size*float64(time.Second)), 0, ""))
	case "copy-sync-kept", "copy-sync-lost", "defect-unheard-disk":
		syncFaults := map[string]fault.SyncFault{
			"copy-sync-kept":      fault.SyncErrorPersisted,
			"copy-sync-lost":      fault.SyncErrorLost,
			"defect-unheard-disk": fault.SyncSilentLoss,
		}
		var heal func() error
		failed, err := rr.failDisks(chosen, func() (err error) {
			heal, err = rr.plant(chosen, fault.NewSet(0, 0, syncFaults[p.Fault.Kind]))
			return err
		})
		return func() error { return rr.healDisks(ctx, failed, heal) }, err
	case "copy-cut":
		return func() error { return rr.cutOff(chosen, p.Fault.Way, false) }, rr.cutOff(chosen, p.Fault.Way, true)
	}
	return nil, fmt.Errorf("no such fault of the list service")
}

// catchUp measures how long copies that have just been started take until they have the list of that moment.
func (rr *registryRun) catchUp(ctx context.Context, chosen []*registryCopy) error {
	at, want := rr.log.Now(), rr.acknowledged()
	for _, c := range chosen {
		for {
			var st listserver.Status
			code, text, err := quick(ctx, "GET", "http://"+c.serve+"/registry/status", nil)
			if err == nil && code == http.StatusOK && json.Unmarshal(text, &st) == nil && st.Rev >= want {
				break
			}
			if !sleep(ctx, 5*time.Millisecond) {
				return fmt.Errorf("copy %s does not catch up", c.name)
			}
		}
		rr.mu.Lock()
		rr.returns = append(rr.returns, rr.log.Now()-at)
		rr.mu.Unlock()
	}
	return nil
}

// plant puts faults into copies.
func (rr *registryRun) plant(chosen []*registryCopy, set fault.Set) (undo func() error, err error) {
	all := func(set fault.Set) error {
		for _, c := range chosen {
			if err := set.Write(c.faults()); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return all(fault.Set{}) }, all(set)
}

// makeRoom empties the disks of copies.
func makeRoom(failed []*diskFailure) error {
	for _, f := range failed {
		if err := f.proc.FreeDisk(); err != nil {
			return err
		}
	}
	return nil
}

// revOf is the revision that a copy has applied; 0 where it does not say.
func (rr *registryRun) revOf(c *registryCopy) int64 {
	var st listserver.Status
	code, text, err := quick(context.Background(), "GET", "http://"+c.serve+"/registry/status", nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(text, &st) != nil {
		return 0
	}
	return st.Rev
}

// diskFailure is a copy whose disk fails.
type diskFailure struct {
	*registryCopy
	proc  *process.Child // as it ran when the disk began to fail
	said  int            // how often its log had told of a failed disk before
	since int64          // its revision once the disk failed
	until int64          // its revision when the disk works again; 0: it did not say
}

// failDisks makes the disks of copies fail, and notes how the copies are: what their logs have said is from before, as
// they may notice at once, and their revisions are from after.
func (rr *registryRun) failDisks(chosen []*registryCopy, fail func() error) ([]*diskFailure, error) {
	var out []*diskFailure
	for _, c := range chosen {
		out = append(out, &diskFailure{registryCopy: c, proc: c.process(), said: c.diskFailures()})
	}
	if err := fail(); err != nil {
		return nil, err
	}
	for _, f := range out {
		f.since = rr.revOf(f.registryCopy)
	}
	return out, nil
}

// diskFailures is how often the copy's log tells of a disk that takes no more.
func (c *registryCopy) diskFailures() int {
	text, err := os.ReadFile(c.spec.LogPath())
	if err != nil {
		return 0 // the copy has said nothing yet
	}
	return bytes.Count(text, []byte("the disk takes no more"))
}

// healDisks makes disks work again. Each copy that noticed has to be there by itself within diskHealWait; one that
// did not must not have written anything.
func (rr *registryRun) healDisks(ctx context.Context, failed []*diskFailure, heal func() error) error {
	for _, f := range failed {
		f.until = rr.revOf(f.registryCopy)
	}
	healed := rr.log.Now()
	if err := heal(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startWait)
	defer cancel()
	for _, f := range failed {
		if err := rr.afterDiskFailure(ctx, f, healed); err != nil {
			return err
		}
	}
	return nil
}

// afterDiskFailure judges what a copy has made of a disk that failed and works again.
func (rr *registryRun) afterDiskFailure(ctx context.Context, f *diskFailure, healed time.Duration) error {
	if f.process() != f.proc || f.proc.StopRequested() {
		return nil // it was killed meanwhile, which is another fault's
	}
	rr.mu.Lock()
	rr.disks++
	rr.mu.Unlock()
	select {
	case <-f.proc.Ended():
		rr.breach("disk-honest", fmt.Sprintf("copy %s ended when its disk failed: %v", f.name, f.proc.Err()))
		return rr.launch(ctx, f.registryCopy)
	default:
	}
	if f.diskFailures() > f.said {
		rr.comesBack(ctx, f, healed)
		return nil
	}
	if f.until > f.since {
		rr.breach("disk-honest", fmt.Sprintf(
			"copy %s goes on although its disk takes no more: it has applied revision %d since, after %d",
			f.name, f.until, f.since))
		f.proc.Kill()
		return rr.launch(ctx, f.registryCopy)
	}
	// Who has been sent nothing since has written nothing, and cannot know.
	rr.mu.Lock()
	rr.disks--
	rr.mu.Unlock()
	rr.out.Warn("lab: a copy was sent nothing while its disk failed", "copy", f.name)
	return nil
}

// comesBack waits for a copy whose disk works again, and measures how long it takes.
func (rr *registryRun) comesBack(ctx context.Context, f *diskFailure, healed time.Duration) {
	want := rr.acknowledged()
	for rr.revOf(f.registryCopy) < want {
		late := rr.log.Now()-healed > diskHealWait
		if late || !sleep(ctx, 5*time.Millisecond) {
			rr.breach("disk-honest", fmt.Sprintf("copy %s is not back %v after its disk works again", f.name, diskHealWait))
			return
		}
	}
	rr.mu.Lock()
	rr.heals = append(rr.heals, rr.log.Now()-healed)
	rr.mu.Unlock()
}

// acknowledged is the newest revision that a writer was told.
func (rr *registryRun) acknowledged() (newest int64) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	for _, a := range rr.acks {
		newest = max(newest, a.rev)
	}
	return newest
}

// rejoin takes copies that have lost their disk out of the cluster, starts them empty, and adds them again: what
// docs/registry.md tells an operator to do.
func (rr *registryRun) rejoin(ctx context.Context, chosen []*registryCopy) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startWait)
	defer cancel()
	atLeader := func(method, path string, body []byte) error {
		for {
			if lead := rr.leader(ctx); lead != nil {
				code, text, err := quick(ctx, method, "http://"+lead.serve+path, body)
				if err == nil && code == http.StatusOK {
					return nil
				}
				rr.out.Debug("lab: copies change", "code", code, "answer", string(text), "error", err)
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s %s: no leader takes it", method, path)
			}
		}
	}
	for _, c := range chosen {
		if err := atLeader("DELETE", "/registry/copies/"+c.name, nil); err != nil {
			return err
		}
		text := fmt.Sprintf("name = %q\nlisten = %q\nraft = %q\nadvertise = %q\ndir = %q\nbeat = %q\njoin = true\n%s", c.name, c.serve,
			c.raft, c.port.Addr(0), filepath.Join(c.spec.Dir, "data"), rr.reg.Beat.Duration(), rr.routesKeys())
		if err := os.WriteFile(filepath.Join(c.spec.Dir, "registry.toml"), []byte(text), 0o644); err != nil {
			return err
		}
		if err := rr.launch(ctx, c); err != nil {
			return err
		}
		body, err := json.Marshal(listserver.Peer{Raft: c.port.Addr(0), Serve: c.serve})
		if err != nil {
			return err
		}
		if err := atLeader("POST", "/registry/copies/"+c.name, body); err != nil {
			return err
		}
	}
	return nil
}

// choose finds the copies that a fault means, at the moment it happens.
func (rr *registryRun) choose(ctx context.Context, pick string) []*registryCopy {
	lead := rr.leader(ctx)
	var others []*registryCopy
	for _, c := range rr.copies {
		if c != lead {
			others = append(others, c)
		}
	}
	switch {
	case pick == "all":
		return rr.copies
	case pick == "leader" && lead != nil:
		return []*registryCopy{lead}
	case pick == "majority":
		return rr.copies[:len(rr.copies)/2+1]
	case pick[0] == '#':
		i, _ := strconv.Atoi(pick[1:])
		return rr.copies[i : i+1]
	}
	return others[:1] // a follower; or whoever, if nobody leads at this moment
}

// cutOff cuts copies from the others: what comes to them ("to"), what goes out from them ("from"), or both.
func (rr *registryRun) cutOff(chosen []*registryCopy, way string, on bool) error {
	inside := func(n int) bool {
		return slices.ContainsFunc(chosen, func(c *registryCopy) bool { return c.number == n })
	}
	for from := range rr.copies {
		for to := range rr.copies {
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
			rr.links[from][to].Set(func(r *relay.Rules) {
				if r.Cut &^= cut; on {
					r.Cut |= cut
				}
			})
			do := rr.copies[to].port.Heal
			if rr.links[from][to].Rules().Cut != 0 {
				do = rr.copies[to].port.Cut
			}
			if err := do(from); err != nil {
				return err
			}
		}
	}
	return nil
}

// heal waits until the service can write again; the run is over and all faults are undone.
func (rr *registryRun) heal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		op := operation{key: "last", kind: opPut, value: rr.value.Add(1), condition: -1, client: rr.reg.Writers}
		if lead := rr.leader(ctx); lead != nil {
			if rr.carryOut(&op, lead); op.outcome == outcomeOK {
				return nil
			}
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return errors.New("the list service does not write again although all faults are over")
		}
	}
}
