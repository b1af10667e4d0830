package cluster

// This file is a run of the registry alone.

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

// registryRun is a run of the registry alone: writers, readers and watchers call the replicas through all faults.
type registryRun struct {
	*Cluster
	watchers     []*watcher
	watching     sync.WaitGroup
	stopWatching context.CancelFunc
}

// NewRun is a run of a scenario of the registry alone.
func NewRun(r *harness.Run) harness.Phases {
	return &registryRun{Cluster: New(r, &r.Scenario.Registry), stopWatching: func() {}}
}

// Drive lets writers, readers, watchers and faults go on for the length of the run. Faults are undone when ctx ends.
func (r *registryRun) Drive(ctx context.Context) error {
	r.startWatchers(context.WithoutCancel(ctx)) // they watch until all is collected
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

func (r *registryRun) startWatchers(ctx context.Context) {
	ctx, r.stopWatching = context.WithCancel(ctx)
	for i := range r.config.Watchers {
		rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1<<32))
		w := &watcher{cluster: r.Cluster, rng: rng, list: map[string]state.Entry{}}
		r.watchers = append(r.watchers, w)
		r.watching.Go(func() { w.follow(ctx) })
	}
}

// Collect waits until the registry writes again and all watchers have the last change.
func (r *registryRun) Collect(ctx context.Context) error {
	if err := r.awaitWritable(ctx); err != nil {
		return err
	}
	r.awaitConvergence(ctx, r.watchers)
	r.stopWatchers()
	return nil
}

func (r *registryRun) stopWatchers() {
	r.stopWatching()
	r.watching.Wait()
}

// Check sums up the run and checks the history of its writers.
func (r *registryRun) Check(timers harness.TimerLag) *report.Report {
	return r.result(r.watchers, timers.Lag)
}

// Status is how far the run is.
func (r *registryRun) Status() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d writes acknowledged, %d lines told", len(r.acknowledged), r.watchLines.Load())
}

// Close ends the watchers and the replicas.
func (r *registryRun) Close() {
	r.stopWatchers()
	r.Stop()
}

// convergenceTimeout is how long the last watcher may take to get the last change.
const convergenceTimeout = 20 * time.Second

// awaitConvergence waits until all watchers have the leader's list.
func (c *Cluster) awaitConvergence(ctx context.Context, watchers []*watcher) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		behind, differing := 0, 0
		var list state.List
		if leader := c.Leader(ctx); leader != nil {
			if code, text, err := Call(ctx, http.MethodGet, leader.URL("/registry/instances"), nil); err == nil && code == http.StatusOK {
				_ = json.Unmarshal(text, &list) // an unreadable one has no revision, and all are behind
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
			c.recordBreach("watchers-agree", fmt.Sprintf("%d of %d watchers have another list than the leader at revision %d", differing, len(watchers), list.Rev))
			return
		}
		if behind == 0 && list.Rev > 0 {
			return
		}
		if !harness.Sleep(ctx, 50*time.Millisecond) {
			c.recordBreach("watchers-agree", fmt.Sprintf("%d of %d watchers have not heard the last change after %v", behind, len(watchers), convergenceTimeout))
			return
		}
	}
}

// awaitWritable waits until the registry takes writes again; the run is over and all faults are undone.
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
			return errors.New("the list service does not write again although all faults are over")
		}
	}
}
