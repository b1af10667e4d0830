// Package listscale measures the cost of the list service with many watchers. One replica runs as a process. Watchers
// connect, half of the entries change, and the replica is killed and restarted. The experiment measures the time until
// all watchers have received a change, the bytes sent, the processor time, the memory and the recovery time. As a
// baseline it also measures a service that encodes each change separately for each watcher.
// The command is `marblelane lab list-scale`.
package listscale

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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/relay"
)

// Point is the measured cost of the list service for one number of watchers and entries. The service is a single
// replica in its own process.
type Point struct {
	EachEncodes      bool    `json:"each_encodes"` // true for the baseline, which encodes each change once per watcher
	Watchers         int     `json:"watchers"`
	Entries          int     `json:"entries"`
	Changes          int     `json:"changes"`
	NotifyP50MS      float64 `json:"tell_p50_ms"` // time from the start of a write to its receipt by the last watcher
	NotifyP99MS      float64 `json:"tell_p99_ms"`
	BytesPerChange   float64 `json:"bytes_per_change"`
	CPUPerChange     float64 `json:"cpu_us_per_change"`
	MemoryPerWatcher float64 `json:"kb_per_watcher"`
	RecoveryTime     float64 `json:"return_s"` // time from a kill, with a restart, until all watchers have the list
	PeakMemory       float64 `json:"peak_mb"`  // peak memory of the restarted replica
}

const (
	changePeriod      = 7 * time.Second // period over which half of the entries change
	heartbeatInterval = "100ms"         // time between two heartbeats of the replica, as in its configuration
	electionAttempts  = 1000
	electionRetryWait = 20 * time.Millisecond
	notifyTimeout     = 2 * time.Minute
	fillConcurrency   = 32
	changeConcurrency = 8
	watchRetryWait    = 50 * time.Millisecond
	watchBufferBytes  = 4 << 10
)

// Measure measures the list service with each combination of the numbers of entries and watchers, first with shared
// encoding, then as the baseline.
func Measure(ctx context.Context, watchers, entries []int, o harness.Options) ([]Point, error) {
	var points []Point
	for _, entryCount := range entries {
		for _, watcherCount := range watchers {
			for _, eachEncodes := range []bool{false, true} {
				p, err := measurePoint(ctx, watcherCount, entryCount, eachEncodes, o)
				if err != nil {
					return nil, fmt.Errorf("%d watchers, %d entries: %w", watcherCount, entryCount, err)
				}
				points = append(points, *p)
				if o.Progress != nil {
					fmt.Fprintf(o.Progress, "%d watchers, %d entries, each encodes: %v: p99 %.1f ms\n",
						watcherCount, entryCount, eachEncodes, p.NotifyP99MS)
				}
			}
		}
	}
	return points, nil
}

// notification is the receipt of a revision by a watcher.
type notification struct {
	revision int64
	at       time.Duration // time of the receipt, on the clock of the listRun
}

// watcher watches the list and records the revisions and bytes that it receives.
type watcher struct {
	revision      atomic.Int64  // last revision received
	receivedBytes *atomic.Int64 // counter that all watchers share
	mu            sync.Mutex
	notifications []notification // received revisions in ascending order
}

// run keeps a watch open until ctx ends. Between two watches it waits as long as the service requests.
func (w *watcher) run(ctx context.Context, client *http.Client, addr string, now func() time.Duration) {
	for ctx.Err() == nil {
		wait := w.watch(ctx, client, addr, now)
		if !harness.Sleep(ctx, wait) {
			return
		}
	}
}

// watch opens a watch, reads it until it ends, and returns the wait before the next one.
func (w *watcher) watch(ctx context.Context, client *http.Client, addr string, now func() time.Duration) (wait time.Duration) {
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, w.revision.Load())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return watchRetryWait
	}
	resp, err := client.Do(req)
	if err != nil {
		return watchRetryWait
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
		return watchRetryWait
	}
	w.read(resp.Body, now)
	return watchRetryWait
}

// read records each line of a watch until the watch ends. It decodes only the revision, to keep the cost of the
// watchers out of the measurement.
func (w *watcher) read(body io.Reader, now func() time.Duration) {
	in := bufio.NewReaderSize(body, watchBufferBytes)
	for {
		head, err := in.Peek(1)
		if err != nil {
			return
		}
		if head[0] == '\n' { // a heartbeat
			_, _ = in.Discard(1)
			continue
		}
		line, err := readRevision(in)
		if err != nil {
			return
		}
		w.receivedBytes.Add(int64(line.size))
		w.revision.Store(line.revision)
		w.mu.Lock()
		w.notifications = append(w.notifications, notification{revision: line.revision, at: now()})
		w.mu.Unlock()
	}
}

// receivedAt returns when the watcher received this revision or a later one.
func (w *watcher) receivedAt(revision int64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	byRevision := func(n notification, revision int64) int { return int(n.revision - revision) }
	i, _ := slices.BinarySearchFunc(w.notifications, revision, byRevision)
	return w.notifications[i].at
}

// watchLine is the revision and the size of a line of a watch.
type watchLine struct {
	revision int64
	size     int // size of the line, in bytes
}

// readRevision reads a line of any length and returns its revision, which is the first field of the line, and its
// size.
func readRevision(in *bufio.Reader) (watchLine, error) {
	var line watchLine
	for first := true; ; first = false {
		chunk, err := in.ReadSlice('\n')
		if first {
			text := bytes.TrimPrefix(chunk, []byte(`{"rev":`))
			end := bytes.IndexByte(text, ',')
			if end < 0 {
				return line, errors.New("read watch: line has no revision")
			}
			line.revision, _ = strconv.ParseInt(string(text[:end]), 10, 64)
		}
		line.size += len(chunk)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// acceptedWrite is a write of an entry that the service accepted.
type acceptedWrite struct {
	revision int64
	calledAt time.Duration // time when the request was started, on the clock of the listRun
}

// listRun is one measurement: a replica of the list service and its watchers.
type listRun struct {
	entries  int
	start    time.Time // zero of the measurement's clock
	addr     string    // address of the list service
	spec     process.Spec
	children *process.Supervisor
	replica  *process.Child
	writer   *http.Client // client that writes entries

	watchers       []*watcher
	receivedBytes  atomic.Int64 // bytes received by all watchers together
	watcherTasks   sync.WaitGroup
	cancelWatchers context.CancelFunc
}

// now returns the time since the start of the measurement.
func (r *listRun) now() time.Duration { return time.Since(r.start) }

// measurePoint measures one number of watchers and entries: the memory as the watchers connect, the time, bytes and
// processor time as entries change, and the recovery after the replica is killed.
func measurePoint(ctx context.Context, watchers, entries int, eachEncodes bool, o harness.Options) (*Point, error) {
	dir, err := os.MkdirTemp("", "marblelane-list-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &listRun{entries: entries, start: time.Now(), children: process.NewSupervisor()}
	defer r.children.Close()
	if err := r.configure(dir, o.RegistryProgram, eachEncodes); err != nil {
		return nil, err
	}
	if err := r.startReplica(ctx); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	r.writer = &http.Client{Transport: transport, Timeout: harness.CallTimeout}
	if err := r.writeAllEntries(ctx); err != nil {
		return nil, err
	}
	p := &Point{EachEncodes: eachEncodes, Watchers: watchers, Entries: entries, Changes: entries / 2}
	defer r.stopWatchers()
	joined, err := r.measureJoin(ctx, p)
	if err != nil {
		return nil, err
	}
	lastRevision, err := r.measureChanges(ctx, p, joined)
	if err != nil {
		return nil, err
	}
	return p, r.measureRecovery(ctx, p, lastRevision)
}

// configure writes the replica's configuration into dir.
func (r *listRun) configure(dir, program string, eachEncodes bool) error {
	addr, err := relay.FreeAddr("127.0.0.1")
	if err != nil {
		return err
	}
	raftAddr, err := relay.FreeAddr("127.0.0.1")
	if err != nil {
		return err
	}
	r.addr = addr
	file := filepath.Join(dir, "list.toml")
	text := fmt.Sprintf("name = \"one\"\nlisten = %q\nraft = %q\ndir = %q\nbeat = %q\neach_encodes = %v\n",
		addr, raftAddr, filepath.Join(dir, "data"), heartbeatInterval, eachEncodes)
	r.spec = process.Spec{Name: "list", Path: program, Dir: dir, Env: os.Environ(),
		Args: []string{"registry", "serve", "--config", file}}
	return os.WriteFile(file, []byte(text), 0o644)
}

// startReplica starts the replica and waits until it is ready.
func (r *listRun) startReplica(ctx context.Context) error {
	child, err := r.children.Start(r.spec)
	if err != nil {
		return err
	}
	r.replica = child
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	_, err = child.AwaitLog(ctx, harness.ReadyText)
	return err
}

// writeAllEntries writes all entries. It retries the first write until the replica is elected leader.
func (r *listRun) writeAllEntries(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		_, err := r.writeEntry(0, 1)
		if err == nil {
			break
		}
		if attempt >= electionAttempts || !harness.Sleep(ctx, electionRetryWait) {
			return err
		}
	}
	return harness.Parallel(r.entries, fillConcurrency, func(i int) error {
		_, err := r.writeEntry(i, 1)
		return err
	})
}

// writeEntry writes an entry with a boot time. A new boot time makes the write a change.
func (r *listRun) writeEntry(entry int, bootMS int64) (acceptedWrite, error) {
	w := acceptedWrite{calledAt: r.now()}
	url := fmt.Sprintf("http://%s/registry/instances/s-%08x", r.addr, entry)
	body := fmt.Sprintf(`{"endpoint":"127.0.0.1:%d","az":"limerick-dc","model":"standard","pod_group":%d,"boot_ms":%d}`,
		1000+entry, entry/4, bootMS)
	resp, err := r.writer.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return w, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return w, fmt.Errorf("write entry: status %s, %w", resp.Status, err)
	}
	w.revision, err = strconv.ParseInt(resp.Header.Get("X-Registry-Rev"), 10, 64)
	return w, err
}

// measureJoin starts the watchers, waits until all have the list, and sets the memory per watcher. It returns the
// replica's resource usage at that time.
func (r *listRun) measureJoin(ctx context.Context, p *Point) (joined process.Usage, err error) {
	before, err := process.Measure(r.replica.PID)
	if err != nil {
		return joined, err
	}
	watching, stop := context.WithCancel(ctx)
	r.cancelWatchers = stop
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range p.Watchers {
		w := &watcher{receivedBytes: &r.receivedBytes}
		r.watchers = append(r.watchers, w)
		r.watcherTasks.Go(func() { w.run(watching, client, r.addr, r.now) })
	}
	if err := r.awaitRevision(ctx, 1); err != nil {
		return joined, err
	}
	joined, err = process.Measure(r.replica.PID)
	if err != nil {
		return joined, err
	}
	p.MemoryPerWatcher = float64(joined.RSS-before.RSS) / 1024 / float64(p.Watchers)
	return joined, nil
}

// stopWatchers ends the watchers and waits for them. It does nothing if none were started.
func (r *listRun) stopWatchers() {
	if r.cancelWatchers != nil {
		r.cancelWatchers()
	}
	r.watcherTasks.Wait()
}

// awaitRevision waits until all watchers have received a revision, at most notifyTimeout.
func (r *listRun) awaitRevision(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	for slices.ContainsFunc(r.watchers, func(w *watcher) bool { return w.revision.Load() < revision }) {
		if !harness.Sleep(ctx, time.Millisecond) {
			return errors.New("wait for watchers: revision not received by all")
		}
	}
	return nil
}

// measureChanges changes half of the entries and sets the cost of the changes. The processor time counts from the
// usage before. It returns the last revision.
func (r *listRun) measureChanges(ctx context.Context, p *Point, before process.Usage) (last int64, err error) {
	r.receivedBytes.Store(0)
	writes, err := r.changeHalf(ctx, p.Changes)
	if err != nil {
		return 0, err
	}
	for _, w := range writes {
		last = max(last, w.revision)
	}
	if err := r.awaitRevision(ctx, last); err != nil {
		return 0, err
	}
	after, err := process.Measure(r.replica.PID)
	if err != nil {
		return 0, err
	}
	delays := r.notifyDelays(writes)
	p.NotifyP50MS = harness.Milliseconds(harness.Quantile(delays, 0.5))
	p.NotifyP99MS = harness.Milliseconds(harness.Quantile(delays, 0.99))
	p.BytesPerChange = float64(r.receivedBytes.Load()) / float64(p.Changes)
	p.CPUPerChange = 1e6 * (after.CPU - before.CPU) / float64(p.Changes)
	return last, nil
}

// changeHalf writes every second entry again, at even intervals over changePeriod.
func (r *listRun) changeHalf(ctx context.Context, changes int) ([]acceptedWrite, error) {
	writes := make([]acceptedWrite, changes)
	start := r.now()
	err := harness.Parallel(changes, changeConcurrency, func(i int) error {
		due := start + changePeriod*time.Duration(i)/time.Duration(changes)
		if wait := due - r.now(); wait > 0 && !harness.Sleep(ctx, wait) {
			return ctx.Err()
		}
		var err error
		writes[i], err = r.writeEntry(2*i, 2)
		return err
	})
	return writes, err
}

// notifyDelays returns, for each write, the time from its start until the last watcher received it, in ascending
// order.
func (r *listRun) notifyDelays(writes []acceptedWrite) []time.Duration {
	var delays []time.Duration
	for _, write := range writes {
		latest := time.Duration(0)
		for _, w := range r.watchers {
			latest = max(latest, w.receivedAt(write.revision))
		}
		delays = append(delays, latest-write.calledAt)
	}
	slices.Sort(delays)
	return delays
}

// measureRecovery kills and restarts the replica, and measures the time until all watchers have the list again.
func (r *listRun) measureRecovery(ctx context.Context, p *Point, lastRevision int64) error {
	r.replica.Kill()
	for _, w := range r.watchers {
		w.revision.Store(0)
	}
	killedAt := r.now()
	if err := r.startReplica(ctx); err != nil {
		return err
	}
	if err := r.awaitRevision(ctx, lastRevision); err != nil {
		return err
	}
	p.RecoveryTime = (r.now() - killedAt).Seconds()
	if usage, err := process.Measure(r.replica.PID); err == nil {
		p.PeakMemory = float64(usage.PeakRSS) / (1 << 20)
	}
	return nil
}

// Print writes the points as a table, and below it how the processor time grows with the number of watchers.
func Print(w io.Writer, points []Point) {
	fmt.Fprintf(w, "%-12s %8s %8s %8s %10s %10s %13s %12s %11s %9s %8s\n", "encoded", "watchers", "entries", "changes", "tell p50",
		"tell p99", "bytes/change", "us/change", "KB/watcher", "return s", "peak MB")
	for _, p := range points {
		encoded := "once"
		if p.EachEncodes {
			encoded = "by each"
		}
		fmt.Fprintf(w, "%-12s %8d %8d %8d %10.1f %10.1f %13.0f %12.0f %11.1f %9.2f %8.1f\n", encoded, p.Watchers, p.Entries, p.Changes,
			p.NotifyP50MS, p.NotifyP99MS, p.BytesPerChange, p.CPUPerChange, p.MemoryPerWatcher, p.RecoveryTime, p.PeakMemory)
	}
	smallest, largest := points[0].Entries, points[len(points)-1].Entries
	printCPUGrowth(w, points, smallest)
	if largest != smallest {
		printCPUGrowth(w, points, largest)
	}
}

// printCPUGrowth writes how the processor time per change grows from the first number of watchers to the last, for one
// number of entries: the exponent k of time ~ watchers^k.
func printCPUGrowth(w io.Writer, points []Point, entries int) {
	for _, eachEncodes := range []bool{false, true} {
		var matching []Point
		for _, p := range points {
			if p.Entries == entries && p.EachEncodes == eachEncodes {
				matching = append(matching, p)
			}
		}
		first, last := matching[0], matching[len(matching)-1]
		if first.Watchers >= last.Watchers || first.CPUPerChange <= 0 {
			continue
		}
		exponent := math.Log(last.CPUPerChange/first.CPUPerChange) / math.Log(float64(last.Watchers)/float64(first.Watchers))
		fmt.Fprintf(w, "%d entries, each encodes: %v: CPU per change grows as watchers to the power of %.2f\n",
			entries, eachEncodes, exponent)
	}
}
