package cluster

// This file holds the writers, readers and watchers that call the registry.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/record"
	"marblelane/internal/registry/state"
)

// writer writes, removes and reads single entries through random replicas until ctx ends, with the configured pause
// between calls.
func (c *Cluster) writer(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.Plan.Seed, uint64(number)+1))
	lastRevs := map[string]int64{}       // revision of each entry after the last successful call; 0: no such entry
	firstReads := map[string]operation{} // first successful read of each entry, which the planted defect returns again
	for ctx.Err() == nil {
		key := fmt.Sprint("s-", rng.IntN(c.config.Entries))
		op := operation{key: key, client: number, kind: opWrite, condition: -1}
		switch x := rng.Float64(); {
		case x < 0.3:
			op.kind = opRead
		case x < 0.4:
			op.kind = opRemove
		}
		if op.kind != opRead && rng.Float64() < 0.5 {
			op.condition = lastRevs[key]
		}
		if op.kind == opWrite {
			op.value = c.lastValue.Add(1)
		}
		replica := c.Replicas[rng.IntN(len(c.Replicas))]
		op.called = c.Events.Now()
		if firstRead, ok := firstReads[key]; ok && op.kind == opRead && c.servesStaleReads.Load() {
			op.outcome, op.returnedValue, op.returnedRev = firstRead.outcome, firstRead.returnedValue, firstRead.returnedRev
		} else {
			c.execute(&op, replica)
		}
		op.returned = c.Events.Now()
		if op.outcome == outcomeOK {
			lastRevs[key] = op.returnedRev
			if op.kind == opRead {
				if _, ok := firstReads[key]; !ok {
					firstReads[key] = op
				}
			}
		}
		c.mu.Lock()
		c.history = append(c.history, op)
		if op.outcome == outcomeOK && op.kind == opWrite {
			c.acknowledged = append(c.acknowledged, ackedWrite{op.returnedRev, op.called, op.returned})
		}
		c.mu.Unlock()
		select {
		case <-time.After(c.config.WriterPause.Duration()):
		case <-ctx.Done():
		}
	}
}

// execute makes one call and records its outcome in op. A call in progress when the run ends is completed.
func (c *Cluster) execute(op *operation, replica *Replica) {
	url := "http://" + replica.Address + "/registry/instances/" + op.key
	method, body := http.MethodGet, []byte(nil)
	switch op.kind {
	case opWrite:
		method = http.MethodPost
		body = fmt.Appendf(nil, `{"endpoint":"127.0.0.1:1","az":"a","boot_ms":%d}`, op.value)
	case opRemove:
		method = http.MethodDelete
	}
	if op.condition >= 0 {
		url += "?if=" + strconv.FormatInt(op.condition, 10)
	}
	ctx, cancel := context.WithTimeout(context.Background(), harness.CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		op.outcome = outcomeNotApplied
		return
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		op.outcome = outcomeUnknown
		if errors.Is(err, syscall.ECONNREFUSED) {
			op.outcome = outcomeNotApplied // no replica reached; a replica that redirected the call has not applied it
		}
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var response struct {
		Rev     int64 `json:"rev"`
		Changed int64 `json:"changed"`
		BootMS  int64 `json:"boot_ms"`
	}
	switch {
	case err != nil:
		op.outcome = outcomeUnknown
	case resp.StatusCode == http.StatusOK && json.Unmarshal(text, &response) == nil:
		op.outcome, op.returnedRev = outcomeOK, max(response.Rev, response.Changed)
		op.returnedValue = response.BootMS
	case resp.StatusCode == http.StatusNotFound && op.kind == opRead:
		op.outcome = outcomeOK // the entry does not exist
	case resp.StatusCode == http.StatusConflict:
		op.outcome = outcomeConflict
	case bytes.Contains(text, []byte("is not known")): // the replica does not know whether it has applied the write
		op.outcome = outcomeUnknown
	case resp.StatusCode == http.StatusServiceUnavailable:
		op.outcome = outcomeNotApplied
	default:
		op.outcome = outcomeUnknown
	}
}

// reader reads whole lists until ctx ends. Where a replica does not respond, it calls the next one.
func (c *Cluster) reader(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.Plan.Seed, 1<<40))
	for ctx.Err() == nil {
		succeeded := false
		for _, i := range rng.Perm(len(c.Replicas)) {
			read := listRead{replica: c.Replicas[i].Name, called: c.Events.Now()}
			code, header, _, err := CallWithHeader(context.WithoutCancel(ctx), "GET", "http://"+c.Replicas[i].Address+"/registry/instances", nil)
			if succeeded = err == nil && code == http.StatusOK; !succeeded {
				continue
			}
			read.rev, _ = strconv.ParseInt(header.Get("X-Registry-Rev"), 10, 64) // 0 if the replica has no list yet
			if ms, err := strconv.Atoi(header.Get("X-Registry-Heard-Ms")); err != nil {
				c.recordBreach("age-told", fmt.Sprintf("replica %s: list response without its age", read.replica))
			} else if read.age = time.Duration(ms) * time.Millisecond; c.reportsZeroAge.Load() {
				read.age = 0
			}
			c.mu.Lock()
			c.reads = append(c.reads, read)
			c.mu.Unlock()
			break
		}
		if !succeeded {
			c.mu.Lock()
			c.failedReads++
			c.mu.Unlock()
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// watcher keeps a watch on a random replica and applies the received lines to its list.
type watcher struct {
	cluster   *Cluster
	rng       *rand.Rand
	mu        sync.Mutex
	list      map[string]state.Entry
	rev       int64
	firstSeen []ackedWrite // each received revision, with its time of arrival in acknowledged
}

// watchSilenceTimeout is how long a watch may be silent before its watcher calls a random replica again. Replicas send
// an empty line every 2 s.
const watchSilenceTimeout = 5 * time.Second

// follow opens watches, one after the other, on random replicas until ctx ends.
func (w *watcher) follow(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			w.cluster.rewatches.Add(1)
			select {
			case <-time.After(time.Duration(20+w.rng.IntN(80)) * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
		w.watch(ctx, w.cluster.Replicas[w.rng.IntN(len(w.cluster.Replicas))])
	}
}

// watch runs one watch on a replica until it ends or is silent for watchSilenceTimeout.
func (w *watcher) watch(ctx context.Context, replica *Replica) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(watchSilenceTimeout, cancel)
	defer silenceTimer.Stop()
	w.mu.Lock()
	after := w.rev
	w.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", replica.Address, after), nil)
	if err != nil {
		return
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		silenceTimer.Reset(watchSilenceTimeout)
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		var list state.List
		if err := json.Unmarshal(line, &list); err != nil {
			w.cluster.recordBreach("watchers-agree", fmt.Sprintf("decode watch line: %v", err))
			return
		}
		w.cluster.watchLines.Add(1)
		w.applyLine(&list)
	}
}

// applyLine applies a line and compares the list with the lists of the other watchers at the same revision.
func (w *watcher) applyLine(line *state.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !line.All && line.Rev <= w.rev {
		w.cluster.recordBreach("watchers-agree", fmt.Sprintf("a change of revision %[2]d was received after revision %[1]d", w.rev, line.Rev))
	}
	if !line.All && w.cluster.dropsWatchLines.Load() && w.rng.Float64() < 0.05 {
		w.rev = line.Rev // planted defect: the line is dropped but its revision is recorded
		return
	}
	if line.All {
		clear(w.list)
	}
	for _, e := range line.Targets {
		if e.State == state.Gone {
			delete(w.list, e.UID)
		} else {
			w.list[e.UID] = e
		}
	}
	w.rev = line.Rev
	w.firstSeen = append(w.firstSeen, ackedWrite{rev: line.Rev, acknowledged: w.cluster.Events.Now()})
	w.cluster.checkListHash(line.Rev, listHash(w.list))
}

// listHash returns a hash of the list that does not depend on the order of its entries.
func listHash(list map[string]state.Entry) uint64 {
	entries := make([]state.Entry, 0, len(list))
	for _, e := range list {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b state.Entry) int { return strings.Compare(a.UID, b.UID) })
	return record.Sum(fmt.Append(nil, entries))
}

// checkListHash compares a list with the first one that a watcher had at the same revision.
func (c *Cluster) checkListHash(rev int64, hash uint64) {
	c.mu.Lock()
	recorded, ok := c.listHashes[rev]
	if !ok {
		c.listHashes[rev] = hash
	}
	c.mu.Unlock()
	if ok && recorded != hash {
		c.recordBreach("watchers-agree", fmt.Sprintf("two watchers have different lists at revision %d", rev))
	}
}
