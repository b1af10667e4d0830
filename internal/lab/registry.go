package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// A run of the list service: real copies that reach each other through relays, writers that go on through all faults
// and watchers that come back wherever they can. After the run the writers' history has to be linearizable, and all
// watchers have to have seen the same list at each revision and hold the leader's in the end.

// registryRun is such a run under way.
type registryRun struct {
	*run
	reg    *scenario.Registry
	copies []*registryCopy
	links  [][]*relay.Link // by caller and called copy

	reserved []*relay.Reservation // the copies' addresses

	skipping atomic.Bool // planted: watchers lose lines
	boasting atomic.Bool // planted: lists are said to be new
	lying    atomic.Bool // planted: reads are answered with what was once true
	mu       sync.Mutex
	ops      []operation
	acks     []ack
	marks    []time.Duration // of faults that begin
	reads    []reading
	lost     int
	returns  []time.Duration
	heals    []time.Duration
	disks    int              // that failed under a copy
	seen     map[int64]uint64 // the hash of the list at each revision, as some watcher had it
	breaches []invariant.Breach
	counts   map[string]int
	lines    atomic.Int64
	rejoins  atomic.Int64
	value    atomic.Int64
}

// reading is a whole list that a copy gave, with the age that it stated.
type reading struct {
	copy   string
	called time.Duration
	age    time.Duration
	rev    int64
}

// ack is a write that was acknowledged.
type ack struct {
	rev          int64
	called, done time.Duration
}

// registryCopy is one copy of the service.
type registryCopy struct {
	number      int
	name, serve string
	raft        string // where it listens; others go through the relay
	port        *relay.Port
	spec        process.Spec

	mu   sync.Mutex
	proc *process.Child
	past float64
}

// faults is the file of what is planted in it.
func (c *registryCopy) faults() string { return filepath.Join(c.spec.Dir, "faults.toml") }

func (c *registryCopy) process() *process.Child {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proc
}

// playRegistry runs a scenario that has copies of the list service.
func (r *run) playRegistry(ctx context.Context) (*Report, error) {
	rr := &registryRun{run: r, reg: &r.s.Registry, seen: map[int64]uint64{}, counts: map[string]int{}}
	r.nursery = process.NewSupervisor()
	r.log = record.New()
	defer rr.stop()
	if err := rr.startCopies(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return rr.play(ctx)
}

// reserve keeps an address of copy i until the run ends: other runs must not take it while the copy is down.
func (rr *registryRun) reserve(i int) (string, error) {
	r, err := relay.Reserve(relay.CallerAddr(i))
	if err != nil {
		return "", err
	}
	rr.reserved = append(rr.reserved, r)
	return r.Addr(), nil
}

func (rr *registryRun) startCopies(ctx context.Context) error {
	program := rr.reg.Program
	if program == "" {
		program = rr.o.Self
	}
	n := rr.reg.Copies
	for i := range n {
		var row []*relay.Link
		for j := range n {
			row = append(row, relay.NewLink(relay.Rules{}, rr.plan.Seed^uint64(i*n+j)))
		}
		rr.links = append(rr.links, row)
		c := &registryCopy{number: i, name: fmt.Sprint("r", i)}
		var err error
		if c.serve, err = rr.reserve(i); err != nil {
			return err
		}
		if c.raft, err = rr.reserve(i); err != nil {
			return err
		}
		rr.copies = append(rr.copies, c)
	}
	var peers strings.Builder
	for j, c := range rr.copies {
		var err error
		c.port, err = relay.ForwardBySource(func(from int) *relay.Link {
			if from >= n {
				return nil
			}
			return rr.links[from][j]
		}, func() string { return c.raft })
		if err != nil {
			return err
		}
		fmt.Fprintf(&peers, "[[peer]]\nname = %q\nraft = %q\nserve = %q\n", c.name, c.port.Addr(0), c.serve)
	}
	if err := rr.writeOperators(); err != nil {
		return err
	}
	for _, c := range rr.copies {
		dir := filepath.Join(rr.dir, c.name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		c.spec.Dir = dir
		config := filepath.Join(dir, "registry.toml")
		text := fmt.Sprintf("name = %q\nlisten = %q\nraft = %q\ndir = %q\nbeat = %q\nmost_stale = %q\nlab_faults = %q\n%s%s", c.name, c.serve, c.raft,
			filepath.Join(dir, "data"), rr.reg.Beat.Duration(), rr.reg.MostStale.Duration(), c.faults(), rr.routesKeys(), peers.String())
		if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
			return err
		}
		c.spec = process.Spec{Name: c.name, Path: program, Dir: dir, Env: os.Environ(),
			Args: []string{"--log-level", "info", "registry", "serve", "--config", config}}
	}
	start, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for _, c := range rr.copies {
		if err := rr.launch(start, c); err != nil {
			return err
		}
	}
	for rr.leader(start) == nil {
		if start.Err() != nil {
			return errors.New("the list service has no leader")
		}
	}
	return nil
}

func (rr *registryRun) launch(ctx context.Context, c *registryCopy) error {
	p, err := rr.nursery.Start(c.spec)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.proc = p
	c.mu.Unlock()
	_, err = p.AwaitLog(ctx, "ready name=")
	return err
}

func (rr *registryRun) stop() {
	rr.stopCopies()
	rr.nursery.Close()
}

// stopCopies ends the copies and what lies between them.
func (rr *registryRun) stopCopies() {
	for _, c := range rr.copies {
		if p := c.process(); p != nil {
			p.Kill()
		}
	}
	for _, c := range rr.copies {
		if c.port != nil {
			c.port.Close()
		}
	}
	for _, reserved := range rr.reserved {
		if err := reserved.Release(); err != nil {
			rr.out.Warn("lab: address not released", "addr", reserved.Addr(), "err", err)
		}
	}
	rr.reserved = nil
}

// quick asks a copy something that it answers at once or not at all.
func quick(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	code, _, text, err := ask(ctx, method, url, body)
	return code, text, err
}

// ask also gives the answer's head.
func ask(ctx context.Context, method, url string, body []byte) (int, http.Header, []byte, error) {
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

// leader finds the copy that leads and has begun a history.
func (rr *registryRun) leader(ctx context.Context) *registryCopy {
	var best *registryCopy
	for _, c := range rr.copies {
		var st listserver.Status
		code, text, err := quick(ctx, "GET", "http://"+c.serve+"/registry/status", nil)
		if err == nil && code == 200 && json.Unmarshal(text, &st) == nil && st.Leads && st.Rev > 0 {
			best = c
		}
	}
	return best
}

// play lets writers, watchers and faults go on for the run's length, then heals all and compares.
func (rr *registryRun) play(ctx context.Context) (*Report, error) {
	began := rr.log.Now()
	playing, done := context.WithTimeout(ctx, rr.s.Length.Duration())
	defer done()
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	watchers := make([]*lister, rr.reg.Watchers)
	var watch, write sync.WaitGroup
	for i := range watchers {
		watchers[i] = &lister{rr: rr, rng: rand.New(rand.NewPCG(rr.plan.Seed, uint64(i)+1<<32)), list: map[string]state.Entry{}}
		watch.Go(func() { watchers[i].follow(watching) })
	}
	var lag []time.Duration
	rr.wg.Go(func() { lag, _ = heartbeat(playing) })
	for i := range rr.reg.Writers {
		write.Go(func() { rr.writer(playing, i) })
	}
	write.Go(func() { rr.reader(playing) })
	rr.faults(playing, began)
	if rr.o.Progress != nil {
		rr.wg.Go(func() { rr.say(playing, began) })
	}
	<-playing.Done()
	write.Wait()
	rr.wg.Wait() // faults end with the run, and what they began is undone
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("lab: ended early: %w", err)
	}
	if rr.failed != nil {
		return nil, fmt.Errorf("lab: %w", rr.failed)
	}
	if err := rr.heal(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	rr.settle(ctx, watchers)
	unwatch()
	watch.Wait()
	return rr.result(ctx, watchers, began, lag), nil
}

func (rr *registryRun) say(ctx context.Context, began time.Duration) {
	t := time.NewTicker(2 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			rr.mu.Lock()
			n := len(rr.acks)
			rr.mu.Unlock()
			fmt.Fprintf(rr.o.Progress, "%5.1f of %.0f s, %d writes acknowledged, %d lines told\n",
				(rr.log.Now() - began).Seconds(), rr.s.Length.Duration().Seconds(), n, rr.lines.Load())
		}
	}
}

// callWait is how long a writer waits for an answer.
const callWait = 3 * time.Second

// silent is how long a watch may say nothing before its watcher goes elsewhere: an empty line comes every 2 s.
const silent = 5 * time.Second

func (rr *registryRun) breach(rule, text string) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if rr.counts[rule]++; rr.counts[rule] <= 3 {
		rr.breaches = append(rr.breaches, invariant.Breach{Rule: rule, At: rr.log.Now().Seconds(), Text: text})
	}
}

// diskHealWait is how long a copy may take from when its disk works again until it has the list of that moment.
const diskHealWait = 10 * time.Second

// settleWait is how long the last watcher may take to hear the last change.
const settleWait = 20 * time.Second

// settle waits until all watchers have the leader's list.
func (rr *registryRun) settle(ctx context.Context, watchers []*lister) {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		behind, wrong := 0, 0
		var l state.List
		if lead := rr.leader(ctx); lead != nil {
			if code, text, err := quick(ctx, "GET", "http://"+lead.serve+"/registry/instances", nil); err == nil && code == 200 {
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
			} else if hashOf(w.list) != hashOf(want) {
				wrong++
			}
			w.mu.Unlock()
		}
		if wrong > 0 {
			rr.breach("watchers-agree", fmt.Sprintf("%d of %d watchers have another list than the leader at revision %d", wrong, len(watchers), l.Rev))
			return
		}
		if behind == 0 && l.Rev > 0 {
			return
		}
		if !sleep(ctx, 50*time.Millisecond) {
			rr.breach("watchers-agree", fmt.Sprintf("%d of %d watchers have not heard the last change after %v", behind, len(watchers), settleWait))
			return
		}
	}
}
