package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/report"
	"marblelane/internal/registry/state"
)

// Play runs a scenario of the registry alone.
func Play(ctx context.Context, r *harness.Run) (*report.Report, error) {
	c := New(r, &r.Scenario.Registry)
	defer c.Stop()
	if err := c.Start(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return c.play(ctx)
}

// play lets writers, watchers and faults go on for the run's length, then heals all and compares.
func (c *Cluster) play(ctx context.Context) (*report.Report, error) {
	began := c.Events.Now()
	playing, done := context.WithTimeout(ctx, c.Scenario.Length.Duration())
	defer done()
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	watchers := make([]*watcher, c.config.Watchers)
	var watch, write sync.WaitGroup
	for i := range watchers {
		watchers[i] = &watcher{cluster: c, rng: rand.New(rand.NewPCG(c.Plan.Seed, uint64(i)+1<<32)), list: map[string]state.Entry{}}
		watch.Go(func() { watchers[i].follow(watching) })
	}
	var lag []time.Duration
	c.Tasks.Go(func() { lag, _ = harness.MeasureTimerLag(playing) })
	for i := range c.config.Writers {
		write.Go(func() { c.writer(playing, i) })
	}
	write.Go(func() { c.reader(playing) })
	c.injectFaults(playing, began)
	if c.Options.Progress != nil {
		c.Tasks.Go(func() { c.reportProgress(playing, began) })
	}
	<-playing.Done()
	write.Wait()
	c.Tasks.Wait() // faults end with the run, and what they began is undone
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("lab: ended early: %w", err)
	}
	if err := c.Err(); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if err := c.awaitWritable(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	c.awaitConvergence(ctx, watchers)
	unwatch()
	watch.Wait()
	return c.result(ctx, watchers, began, lag), nil
}

func (c *Cluster) reportProgress(ctx context.Context, began time.Duration) {
	t := time.NewTicker(2 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.mu.Lock()
			n := len(c.acknowledged)
			c.mu.Unlock()
			fmt.Fprintf(c.Options.Progress, "%5.1f of %.0f s, %d writes acknowledged, %d lines told\n",
				(c.Events.Now() - began).Seconds(), c.Scenario.Length.Duration().Seconds(), n, c.watchLines.Load())
		}
	}
}

// settleWait is how long the last watcher may take to hear the last change.
const convergenceTimeout = 20 * time.Second

// settle waits until all watchers have the leader's list.
func (c *Cluster) awaitConvergence(ctx context.Context, watchers []*watcher) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		behind, wrong := 0, 0
		var l state.List
		if lead := c.Leader(ctx); lead != nil {
			if code, text, err := Call(ctx, "GET", "http://"+lead.Address+"/registry/instances", nil); err == nil && code == 200 {
				_ = json.Unmarshal(text, &l) // an unreadable one has no revision, and all are behind
			}
		}
		want := map[string]state.Entry{}
		for _, e := range l.Targets {
			want[e.UID] = e
		}
		for _, w := range watchers {
			w.mu.Lock()
			if w.rev != l.Rev {
				behind++
			} else if listHash(w.list) != listHash(want) {
				wrong++
			}
			w.mu.Unlock()
		}
		if wrong > 0 {
			c.breach("watchers-agree", fmt.Sprintf("%d of %d watchers have another list than the leader at revision %d", wrong, len(watchers), l.Rev))
			return
		}
		if behind == 0 && l.Rev > 0 {
			return
		}
		if !harness.Sleep(ctx, 50*time.Millisecond) {
			c.breach("watchers-agree", fmt.Sprintf("%d of %d watchers have not heard the last change after %v", behind, len(watchers), convergenceTimeout))
			return
		}
	}
}

// heal waits until the service can write again; the run is over and all faults are undone.
func (c *Cluster) awaitWritable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	for {
		op := operation{key: "last", kind: opPut, value: c.lastValue.Add(1), condition: -1, client: c.config.Writers}
		if lead := c.Leader(ctx); lead != nil {
			if c.execute(&op, lead); op.outcome == outcomeOK {
				return nil
			}
		}
		if !harness.Sleep(ctx, 50*time.Millisecond) {
			return errors.New("the list service does not write again although all faults are over")
		}
	}
}
