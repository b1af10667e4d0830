package lab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
)

// ListPoint is what one size of the list service cost. One copy is measured, a process of its own.
type ListPoint struct {
	EachEncodes bool    `json:"each_encodes"` // the baseline: each watcher encodes for itself
	Watchers    int     `json:"watchers"`
	Entries     int     `json:"entries"`
	Changes     int     `json:"changes"`
	TellP50     float64 `json:"tell_p50_ms"` // from a write's call to the last watcher
	TellP99     float64 `json:"tell_p99_ms"`
	Bytes       float64 `json:"bytes_per_change"`
	CPU         float64 `json:"cpu_us_per_change"`
	Memory      float64 `json:"kb_per_watcher"`
	Return      float64 `json:"return_s"` // after a kill and a start: until all watchers are told again
	Peak        float64 `json:"peak_mb"`  // of the copy that they return to
}

// burst is for how long half of the entries change.
const burst = 7 * time.Second

// ListScale measures the list service at each size, shared lines and the baseline in turn.
func ListScale(ctx context.Context, watchers, entries []int, o harness.Options) ([]ListPoint, error) {
	var points []ListPoint
	for _, m := range entries {
		for _, n := range watchers {
			for _, each := range []bool{false, true} {
				p, err := listPoint(ctx, n, m, each, o)
				if err != nil {
					return nil, fmt.Errorf("%d watchers, %d entries: %w", n, m, err)
				}
				points = append(points, *p)
				if o.Progress != nil {
					fmt.Fprintf(o.Progress, "%d watchers, %d entries, each encodes: %v: p99 %.1f ms\n", n, m, each, p.TellP99)
				}
			}
		}
	}
	return points, nil
}

// listChange is a change of the list: its revision, when it was called, and when it was acknowledged or told.
type listChange struct {
	rev          int64
	called, done time.Duration
}

// follower counts what a watcher is told.
type follower struct {
	rev   atomic.Int64
	bytes *atomic.Int64
	mu    sync.Mutex
	told  []listChange
}

// follow keeps a watch until ctx ends; it comes back as it is told to.
func (f *follower) follow(ctx context.Context, client *http.Client, addr string, now func() time.Duration) {
	for ctx.Err() == nil {
		wait := f.watch(ctx, client, addr, now)
		if !harness.Sleep(ctx, wait) {
			return
		}
	}
}

func (f *follower) watch(ctx context.Context, client *http.Client, addr string, now func() time.Duration) (wait time.Duration) {
	const again = 50 * time.Millisecond
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, f.rev.Load()), nil)
	if err != nil {
		return again
	}
	resp, err := client.Do(req)
	if err != nil {
		return again
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			return time.Duration(s * float64(time.Second))
		}
		return again
	}
	for in := bufio.NewReaderSize(resp.Body, 4<<10); ; {
		// Only the revision is read: the watchers must not be what is measured.
		head, err := in.Peek(1)
		if err != nil {
			return again
		}
		if head[0] == '\n' {
			_, _ = in.Discard(1)
			continue
		}
		line, err := readRev(in)
		if err != nil {
			return again
		}
		f.bytes.Add(int64(line.size))
		f.rev.Store(line.rev)
		f.mu.Lock()
		f.told = append(f.told, listChange{rev: line.rev, done: now()})
		f.mu.Unlock()
	}
}

type sizedLine struct {
	rev  int64
	size int
}

// readRev reads a line and keeps its revision, which stands first.
func readRev(in *bufio.Reader) (sizedLine, error) {
	var l sizedLine
	for first := true; ; first = false {
		part, err := in.ReadSlice('\n')
		if first {
			text := bytes.TrimPrefix(part, []byte(`{"rev":`))
			end := bytes.IndexByte(text, ',')
			if end < 0 {
				return l, errors.New("a line without a revision")
			}
			l.rev, _ = strconv.ParseInt(string(text[:end]), 10, 64)
		}
		l.size += len(part)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return l, err
		}
	}
}

// listPoint measures one size.
func listPoint(ctx context.Context, n, m int, each bool, o harness.Options) (*ListPoint, error) {
	dir, err := os.MkdirTemp("", "marblelane-list-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	addr, err := relay.FreeAddr("127.0.0.1")
	if err != nil {
		return nil, err
	}
	raft, err := relay.FreeAddr("127.0.0.1")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "list.toml")
	text := fmt.Sprintf("name = \"one\"\nlisten = %q\nraft = %q\ndir = %q\nbeat = \"100ms\"\neach_encodes = %v\n", addr, raft, filepath.Join(dir, "data"), each)
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		return nil, err
	}
	nursery := process.NewSupervisor()
	defer nursery.Close()
	spec := process.Spec{Name: "list", Path: o.Self, Dir: dir, Env: os.Environ(), Args: []string{"registry", "serve", "--config", config}}
	start := func() (*process.Child, error) {
		c, err := nursery.Start(spec)
		if err != nil {
			return nil, err
		}
		wait, cancel := context.WithTimeout(ctx, harness.StartTimeout)
		defer cancel()
		_, err = c.AwaitLog(wait, "ready name=")
		return c, err
	}
	c, err := start()
	if err != nil {
		return nil, err
	}
	defer func() { c.Kill() }()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	writer := &http.Client{Transport: transport, Timeout: harness.CallTimeout}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	put := func(i int, boot int64) (listChange, error) {
		a := listChange{called: now()}
		body := fmt.Sprintf(`{"endpoint":"127.0.0.1:%d","az":"limerick-dc","model":"standard","pod_group":%d,"boot_ms":%d}`, 1000+i, i/4, boot)
		resp, err := writer.Post(fmt.Sprintf("http://%s/registry/instances/s-%08x", addr, i), "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			return a, err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return a, fmt.Errorf("a write is answered %s, %w", resp.Status, err)
		}
		a.rev, err = strconv.ParseInt(resp.Header.Get("X-Registry-Rev"), 10, 64)
		return a, err
	}
	for first := 0; ; { // its election takes a moment
		if _, err = put(0, 1); err == nil {
			break
		}
		if first++; first > 1000 || !harness.Sleep(ctx, 20*time.Millisecond) {
			return nil, err
		}
	}
	if err := harness.Parallel(m, 32, func(i int) error { _, err := put(i, 1); return err }); err != nil {
		return nil, err
	}
	before, err := process.Measure(c.PID)
	if err != nil {
		return nil, err
	}
	var told atomic.Int64
	all := make([]*follower, n)
	watching, unwatch := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer unwatch()
	many := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range all {
		all[i] = &follower{bytes: &told}
		wg.Go(func() { all[i].follow(watching, many, addr, now) })
	}
	reached := func(rev int64) bool {
		return !slices.ContainsFunc(all, func(f *follower) bool { return f.rev.Load() < rev })
	}
	await := func(rev int64) error {
		end, cancel := context.WithTimeout(ctx, 2*time.Minute)
		defer cancel()
		for !reached(rev) {
			if !harness.Sleep(end, time.Millisecond) {
				return errors.New("some watchers are told nothing")
			}
		}
		return nil
	}
	if err := await(1); err != nil {
		return nil, err
	}
	joined, err := process.Measure(c.PID)
	if err != nil {
		return nil, err
	}
	told.Store(0)
	changes := m / 2
	acks := make([]listChange, changes)
	at := now()
	err = harness.Parallel(changes, 8, func(i int) error {
		if wait := at + burst*time.Duration(i)/time.Duration(changes) - now(); wait > 0 && !harness.Sleep(ctx, wait) {
			return ctx.Err()
		}
		var err error
		acks[i], err = put(2*i, 2)
		return err
	})
	if err != nil {
		return nil, err
	}
	last := slices.MaxFunc(acks, func(a, b listChange) int { return int(a.rev - b.rev) }).rev
	if err := await(last); err != nil {
		return nil, err
	}
	after, err := process.Measure(c.PID)
	if err != nil {
		return nil, err
	}
	var tell []time.Duration
	for _, a := range acks {
		latest := time.Duration(0)
		for _, f := range all {
			f.mu.Lock()
			i, _ := slices.BinarySearchFunc(f.told, a.rev, func(t listChange, rev int64) int { return int(t.rev - rev) })
			latest = max(latest, f.told[i].done)
			f.mu.Unlock()
		}
		tell = append(tell, latest-a.called)
	}
	slices.Sort(tell)
	ms := func(q float64) float64 { return float64(tell[int(q*float64(len(tell)-1))]) / float64(time.Millisecond) }
	p := &ListPoint{EachEncodes: each, Watchers: n, Entries: m, Changes: changes, TellP50: ms(0.5), TellP99: ms(0.99),
		Bytes: float64(told.Load()) / float64(changes), CPU: 1e6 * (after.CPU - joined.CPU) / float64(changes),
		Memory: float64(joined.RSS-before.RSS) / 1024 / float64(n)}

	// A full stop: all watchers lose their watch and come back at once.
	c.Kill()
	for _, f := range all {
		f.rev.Store(0)
	}
	stopped := now()
	if c, err = start(); err != nil {
		return nil, err
	}
	if err := await(last); err != nil {
		return nil, err
	}
	p.Return = (now() - stopped).Seconds()
	if u, err := process.Measure(c.PID); err == nil {
		p.Peak = float64(u.PeakRSS) / (1 << 20)
	}
	return p, nil
}

// PrintListScale writes the sizes as a table, with how the cost grows and how it stands to the baseline.
func PrintListScale(w io.Writer, points []ListPoint) {
	fmt.Fprintf(w, "%-12s %8s %8s %8s %10s %10s %13s %12s %11s %9s %8s\n", "encoded", "watchers", "entries", "changes", "tell p50",
		"tell p99", "bytes/change", "us/change", "KB/watcher", "return s", "peak MB")
	for _, p := range points {
		way := "once"
		if p.EachEncodes {
			way = "by each"
		}
		fmt.Fprintf(w, "%-12s %8d %8d %8d %10.1f %10.1f %13.0f %12.0f %11.1f %9.2f %8.1f\n", way, p.Watchers, p.Entries, p.Changes,
			p.TellP50, p.TellP99, p.Bytes, p.CPU, p.Memory, p.Return, p.Peak)
	}
	for _, entries := range []int{points[0].Entries, points[len(points)-1].Entries} {
		for _, each := range []bool{false, true} {
			var of []ListPoint
			for _, p := range points {
				if p.Entries == entries && p.EachEncodes == each {
					of = append(of, p)
				}
			}
			if a, b := of[0], of[len(of)-1]; a.Watchers < b.Watchers && a.CPU > 0 {
				fmt.Fprintf(w, "%d entries, each encodes: %v: CPU a change grows as watchers to the power of %.2f\n", entries, each,
					math.Log(b.CPU/a.CPU)/math.Log(float64(b.Watchers)/float64(a.Watchers)))
			}
		}
		if points[0].Entries == points[len(points)-1].Entries {
			break
		}
	}
}
