package lab

// This file is the writers, readers and watchers of the list service.

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

	"marblelane/internal/lab/record"
	"marblelane/internal/registry/state"
)

// writer writes and reads single entries through copies drawn at random, as fast as its pause lets it.
func (rr *registryRun) writer(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(rr.plan.Seed, uint64(number)+1))
	known := map[string]int64{} // the last revision of each entry that it has seen
	old := map[string]operation{}
	for ctx.Err() == nil {
		key := fmt.Sprint("s-", rng.IntN(rr.reg.Entries))
		op := operation{key: key, client: number, kind: opPut, condition: -1}
		switch x := rng.Float64(); {
		case x < 0.3:
			op.kind = opGet
		case x < 0.4:
			op.kind = opRemove
		}
		if op.kind != opGet && rng.Float64() < 0.5 {
			op.condition = known[key]
		}
		if op.kind == opPut {
			op.value = rr.value.Add(1)
		}
		c := rr.copies[rng.IntN(len(rr.copies))]
		op.call = rr.log.Now()
		if was, ok := old[key]; ok && op.kind == opGet && rr.lying.Load() {
			op.outcome, op.gotValue, op.gotRev = was.outcome, was.gotValue, was.gotRev
		} else {
			rr.carryOut(&op, c)
		}
		op.back = rr.log.Now()
		if op.outcome == outcomeOK {
			known[key] = op.gotRev
			if op.kind == opGet {
				if _, ok := old[key]; !ok {
					old[key] = op
				}
			}
		}
		rr.mu.Lock()
		rr.ops = append(rr.ops, op)
		if op.outcome == outcomeOK && op.kind == opPut {
			rr.acks = append(rr.acks, ack{op.gotRev, op.call, op.back})
		}
		rr.mu.Unlock()
		select {
		case <-time.After(rr.reg.WriterPause.Duration()):
		case <-ctx.Done():
		}
	}
}

// carryOut does one call and reads what has come of it. A call that is under way when the run ends is finished.
func (rr *registryRun) carryOut(op *operation, c *registryCopy) {
	url := "http://" + c.serve + "/registry/instances/" + op.key
	method, body := http.MethodGet, []byte(nil)
	switch op.kind {
	case opPut:
		method = http.MethodPost
		body = fmt.Appendf(nil, `{"endpoint":"127.0.0.1:1","az":"a","boot_ms":%d}`, op.value)
	case opRemove:
		method = http.MethodDelete
	}
	if op.condition >= 0 {
		url += "?if=" + strconv.FormatInt(op.condition, 10)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		op.outcome = outcomeNone
		return
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		op.outcome = outcomeUnknown
		if errors.Is(err, syscall.ECONNREFUSED) {
			op.outcome = outcomeNone // who redirects has done nothing, and nobody else was reached
		}
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var got struct {
		Rev     int64 `json:"rev"`
		Changed int64 `json:"changed"`
		BootMS  int64 `json:"boot_ms"`
	}
	switch {
	case err != nil:
		op.outcome = outcomeUnknown
	case resp.StatusCode == http.StatusOK && json.Unmarshal(text, &got) == nil:
		op.outcome, op.gotRev = outcomeOK, max(got.Rev, got.Changed)
		op.gotValue = got.BootMS
	case resp.StatusCode == http.StatusNotFound && op.kind == opGet:
		op.outcome = outcomeOK // there is none
	case resp.StatusCode == http.StatusConflict:
		op.outcome = outcomeConflict
	case bytes.Contains(text, []byte("is not known")): // whether it has happened
		op.outcome = outcomeUnknown
	case resp.StatusCode == http.StatusServiceUnavailable:
		op.outcome = outcomeNone
	default:
		op.outcome = outcomeUnknown
	}
}

// reader asks for whole lists, of the next copy where one does not answer.
func (rr *registryRun) reader(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rr.plan.Seed, 1<<40))
	for ctx.Err() == nil {
		good := false
		for _, i := range rng.Perm(len(rr.copies)) {
			one := reading{copy: rr.copies[i].name, called: rr.log.Now()}
			code, head, _, err := ask(context.WithoutCancel(ctx), "GET", "http://"+rr.copies[i].serve+"/registry/instances", nil)
			if good = err == nil && code == http.StatusOK; !good {
				continue
			}
			one.rev, _ = strconv.ParseInt(head.Get("X-Registry-Rev"), 10, 64) // 0 where there is no list yet
			if ms, err := strconv.Atoi(head.Get("X-Registry-Heard-Ms")); err != nil {
				rr.breach("age-told", fmt.Sprintf("copy %s gives a list without its age", one.copy))
			} else if one.age = time.Duration(ms) * time.Millisecond; rr.boasting.Load() {
				one.age = 0
			}
			rr.mu.Lock()
			rr.reads = append(rr.reads, one)
			rr.mu.Unlock()
			break
		}
		if !good {
			rr.mu.Lock()
			rr.lost++
			rr.mu.Unlock()
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// lister is one watcher.
type lister struct {
	rr   *registryRun
	rng  *rand.Rand
	mu   sync.Mutex
	list map[string]state.Entry
	rev  int64
	told []ack // when it first had a revision
}

// follow keeps a watch on some copy until ctx ends.
func (w *lister) follow(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			w.rr.rejoins.Add(1)
			select {
			case <-time.After(time.Duration(20+w.rng.IntN(80)) * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
		w.watch(ctx, w.rr.copies[w.rng.IntN(len(w.rr.copies))])
	}
}

func (w *lister) watch(ctx context.Context, c *registryCopy) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := time.AfterFunc(silent, cancel)
	defer guard.Stop()
	w.mu.Lock()
	after := w.rev
	w.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", c.serve, after), nil)
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
	for in := bufio.NewReader(resp.Body); ; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		guard.Reset(silent)
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		var l state.List
		if err := json.Unmarshal(line, &l); err != nil {
			w.rr.breach("watchers-agree", fmt.Sprintf("a line that cannot be read: %v", err))
			return
		}
		w.rr.lines.Add(1)
		w.take(&l)
	}
}

// take applies a line and compares the list with what others had at this revision.
func (w *lister) take(l *state.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.All && l.Rev <= w.rev {
		w.rr.breach("watchers-agree", fmt.Sprintf("after revision %d a change of revision %d was told", w.rev, l.Rev))
	}
	if !l.All && w.rr.skipping.Load() && w.rng.Float64() < 0.05 {
		w.rev = l.Rev // planted: the line is lost, and its revision is not
		return
	}
	if l.All {
		clear(w.list)
	}
	for _, e := range l.Targets {
		if e.State == state.Gone {
			delete(w.list, e.UID)
		} else {
			w.list[e.UID] = e
		}
	}
	w.rev = l.Rev
	w.told = append(w.told, ack{rev: l.Rev, done: w.rr.log.Now()})
	w.rr.compare(l.Rev, hashOf(w.list))
}

func hashOf(list map[string]state.Entry) uint64 {
	all := make([]state.Entry, 0, len(list))
	for _, e := range list {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b state.Entry) int { return strings.Compare(a.UID, b.UID) })
	return record.Sum(fmt.Append(nil, all))
}

// compare holds a list to what others had at the same revision.
func (rr *registryRun) compare(rev int64, hash uint64) {
	rr.mu.Lock()
	was, ok := rr.seen[rev]
	if !ok {
		rr.seen[rev] = hash
	}
	rr.mu.Unlock()
	if ok && was != hash {
		rr.breach("watchers-agree", fmt.Sprintf("two watchers have different lists at revision %d", rev))
	}
}
