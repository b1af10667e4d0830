package cluster

// This file runs the registry alone.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/report"
	"marblelane/internal/registry/state"
)

// registryRun is a run of the registry alone: writers, a reader and watchers call the replicas through all faults.
type registryRun struct {
	*Cluster
	watchers     []*watcher
	watcherGroup sync.WaitGroup
	stopWatching context.CancelFunc
}

// NewRun returns the run of a scenario of the registry alone.
func NewRun(r *harness.Run) harness.Phases {
	return &registryRun{Cluster: New(r, &r.Scenario.Registry), stopWatching: func() {}}
}

// Drive runs writers, a reader, watchers and faults for the length of the run. Faults are ended when ctx ends.
func (r *registryRun) Drive(ctx context.Context) error {
	r.startWatchers(context.WithoutCancel(ctx)) // without cancel: the watchers run until Collect has finished
	ctx, cancel := context.WithTimeout(ctx, r.Scenario.Length.Duration())
	defer cancel()
	var clients sync.WaitGroup
	for i := range r.config.Writers {
		clients.Go(func() { r.writer(ctx, i) })
	}
	clients.Go(func() { r.reader(ctx) })
	r.injectFaults(ctx)
	<-ctx.Done()
	clients.Wait()
	return nil
}

// startWatchers starts the watchers, which run until stopWatchers or the end of ctx.
func (r *registryRun) startWatchers(ctx context.Context) {
	ctx, r.stopWatching = context.WithCancel(ctx)
	for i := range r.config.Watchers {
		rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1<<32))
		w := &watcher{cluster: r.Cluster, rng: rng, list: map[string]state.Entry{}}
		r.watchers = append(r.watchers, w)
		r.watcherGroup.Go(func() { w.follow(ctx) })
	}
}

// Collect waits until the registry accepts writes and all watchers have the last change, and stops the watchers.
func (r *registryRun) Collect(ctx context.Context) error {
	if err := r.awaitWritable(ctx); err != nil {
		return err
	}
	r.awaitConvergence(ctx, r.watchers)
	r.stopWatchers()
	return nil
}

// stopWatchers stops the watchers and waits for them.
func (r *registryRun) stopWatchers() {
	r.stopWatching()
	r.watcherGroup.Wait()
}

// Check checks the invariants of the run and returns its report.
func (r *registryRun) Check(timers harness.TimerLag) *report.Report {
	return r.result(r.watchers, timers.Lag)
}

// Status returns a line about the progress of the run.
func (r *registryRun) Status() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d writes acknowledged, %d watch lines received", len(r.acknowledged), r.watchLines.Load())
}

// Close stops the watchers and the replicas.
func (r *registryRun) Close() {
	r.stopWatchers()
	r.Stop()
}

// convergenceTimeout is how long the watchers may take until all have the leader's list.
const convergenceTimeout = 20 * time.Second

// awaitConvergence waits until all watchers have the leader's list. It records a breach if one has a different list at
// the same revision, or after convergenceTimeout.
func (c *Cluster) awaitConvergence(ctx context.Context, watchers []*watcher) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		behind, differing := 0, 0
		var list state.List
		if leader := c.Leader(ctx); leader != nil {
			if code, text, err := Call(ctx, http.MethodGet, leader.URL("/registry/instances"), nil); err == nil && code == http.StatusOK {
				_ = json.Unmarshal(text, &list) // a list that can't be decoded has revision 0, which does not end the wait
			}
		}
		want := map[string]state.Entry{}
		for _, e := range list.Targets {
			want[e.UID] = e
		}
		for _, w := range watchers {
			w.mu.Lock()
			if w.rev != list.Rev {
				behind++
			} else if listHash(w.list) != listHash(want) {
				differing++
			}
			w.mu.Unlock()
		}
		if differing > 0 {
			c.recordBreach("watchers-agree", fmt.Sprintf("%d of %d watchers have a different list than the leader at revision %d", differing, len(watchers), list.Rev))
			return
		}
		if behind == 0 && list.Rev > 0 {
			return
		}
		if !harness.Sleep(ctx, 50*time.Millisecond) {
			c.recordBreach("watchers-agree", fmt.Sprintf("%d of %d watchers have not received the last change after %v", behind, len(watchers), convergenceTimeout))
			return
		}
	}
}

// awaitWritable waits until the registry accepts a write. It is called at the end of the run, when all faults have
// ended.
func (c *Cluster) awaitWritable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	for {
		op := operation{key: "last", kind: opWrite, value: c.lastValue.Add(1), condition: -1, client: c.config.Writers}
		if leader := c.Leader(ctx); leader != nil {
			if c.execute(&op, leader); op.outcome == outcomeOK {
				return nil
			}
		}
		if !harness.Sleep(ctx, 50*time.Millisecond) {
			return errors.New("await write: the list service accepts no write although all faults have ended")
		}
	}
}
