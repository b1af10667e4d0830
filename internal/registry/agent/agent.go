// Package agent registers one server with the registry and keeps it registered.
package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// Agent registers one server and keeps it registered: from its first passed health check until its context ends. Then it
// marks the server Terminating, waits for Drain so that all watches receive that, and removes it.
//
// It calls the replicas in turn until one answers, and registers again after the lease has expired. A server that was
// drained meanwhile is registered as Terminating. If the clock of the machine was set back, this start has an earlier time
// than the start before; where that one was drained, the list would reject this one, so its first registration gets a time
// right after.
type Agent struct {
	Replicas []string // addresses of replicas, in order of preference
	Entry    state.Entry
	Lease    time.Duration // 15 s
	Health   string        // URL that answers 200 when the server can serve; empty: it always can
	Drain    time.Duration // from Terminating until it is removed; 5 s
	Log      *slog.Logger

	lastReplica int // index of the replica that answered last
	client      http.Client
	serverEnded atomic.Bool
}

// Gone reports that the server has ended by itself. Nothing is left to drain, so Run removes it at once.
func (a *Agent) Gone() { a.serverEnded.Store(true) }

const (
	callTimeout        = 2 * time.Second
	healthCheckTimeout = time.Second
	// renewalsPerLease: two renewals may be lost.
	renewalsPerLease = 3
)

// Run keeps the server registered until ctx ends, then drains and removes it. That takes at most Drain and two calls of
// each replica.
func (a *Agent) Run(ctx context.Context) error {
	a.Lease = cmp.Or(a.Lease, 15*time.Second)
	a.Drain = cmp.Or(a.Drain, 5*time.Second)
	if a.Log == nil {
		a.Log = slog.New(slog.DiscardHandler)
	}
	if len(a.Replicas) == 0 {
		return errors.New("register: no copy of the list service is named")
	}
	if a.Entry.State == "" {
		a.Entry.State = state.Ready
	}
	if err := a.Entry.Validate(); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	a.client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	registered, acknowledged, bootAdjusted := false, false, false
	pause := backoff.ExponentialBackOff{InitialInterval: 75 * time.Millisecond, MaxInterval: 1500 * time.Millisecond,
		Multiplier: 2, RandomizationFactor: 1. / 3} // from 50 ms to 100 ms at first, up to 1 s to 2 s
	for ctx.Err() == nil {
		next := a.Lease / renewalsPerLease
		switch {
		case !a.healthy(ctx):
			// The lease is not renewed: it expires if the check fails for a whole term.
			next = min(next, time.Second)
			if registered {
				a.Log.Warn("register: the health check fails, the lease is not renewed", "uid", a.Entry.UID)
			}
		default:
			err := a.renewOrRegister(ctx, registered)
			switch {
			case err == nil:
				if !registered {
					a.Log.Info("register: listed", "uid", a.Entry.UID)
				}
				registered, acknowledged = true, true
				pause.Reset()
			case errors.Is(err, state.ErrDrained) && !acknowledged && !bootAdjusted:
				bootAdjusted, next = true, 0
				if boot, err := a.listedBoot(ctx); err == nil && boot >= a.Entry.BootMS {
					a.Log.Warn("register: this start seems earlier than the one before; the clock was set back", "uid", a.Entry.UID)
					a.Entry.BootMS = boot + 1
				}
			case errors.Is(err, state.ErrUnknown): // its lease has expired
				registered, next = false, 0
			default:
				a.Log.Warn("register: no copy takes the call", "uid", a.Entry.UID, "error", err)
				next = pause.NextBackOff()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
	if !acknowledged {
		return nil
	}
	return a.deregister()
}

// deregister drains and removes the server. The context of Run has ended, so the calls have timeouts of their own.
func (a *Agent) deregister() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(len(a.Replicas))*callTimeout)
	defer cancel()
	_, err := a.callAnyReplica(ctx, http.MethodPost, "/drain", nil)
	if errors.Is(err, state.ErrUnknown) {
		return nil // it is removed already
	}
	if err != nil {
		err = fmt.Errorf("register: that it drains could not be told: %w", err)
	}
	if !a.serverEnded.Load() {
		a.Log.Info("register: drains", "uid", a.Entry.UID, "for", a.Drain)
		time.Sleep(a.Drain)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Duration(len(a.Replicas))*callTimeout)
	defer cancel()
	if _, gone := a.callAnyReplica(ctx, http.MethodDelete, "", nil); gone != nil {
		err = errors.Join(err, fmt.Errorf("register: its removal could not be told, its lease will end: %w", gone))
	}
	return err
}

// healthy calls the health check of the server.
func (a *Agent) healthy(ctx context.Context) bool {
	if a.Health == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.Health, nil)
	if err != nil {
		return false
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, listserver.MaxWriteBodyBytes)) // only the status is used
	return resp.StatusCode == http.StatusOK
}

// renewOrRegister renews the lease, or registers the server.
func (a *Agent) renewOrRegister(ctx context.Context, registered bool) error {
	if registered {
		var lease struct {
			State string `json:"state"`
		}
		answer, err := a.callAnyReplica(ctx, http.MethodPost, "/renew", nil)
		if err == nil && json.Unmarshal(answer, &lease) == nil && lease.State == state.Terminating {
			a.Entry.State = state.Terminating // it was drained, and must not become ready again
		}
		return err
	}
	body, err := json.Marshal(listserver.Registration{Entry: a.Entry, LeaseMS: a.Lease.Milliseconds()})
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	_, err = a.callAnyReplica(ctx, http.MethodPost, "", body)
	return err
}

// listedBoot returns the start time in the list.
func (a *Agent) listedBoot(ctx context.Context) (int64, error) {
	answer, err := a.callAnyReplica(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, err
	}
	var e state.Entry
	if err := json.Unmarshal(answer, &e); err != nil {
		return 0, fmt.Errorf("register: %w", err)
	}
	return e.BootMS, nil
}

// callAnyReplica calls the replicas in turn, starting with the one that answered last.
func (a *Agent) callAnyReplica(ctx context.Context, method, what string, body []byte) (answer []byte, failed error) {
	for range a.Replicas {
		answer, err := a.call(ctx, a.Replicas[a.lastReplica], method, what, body)
		if err == nil || errors.Is(err, state.ErrUnknown) || errors.Is(err, state.ErrDrained) {
			return answer, err
		}
		failed = err
		if ctx.Err() != nil {
			break
		}
		a.lastReplica = (a.lastReplica + 1) % len(a.Replicas)
	}
	return nil, failed
}

func (a *Agent) call(ctx context.Context, address, method, what string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+listserver.ListPath+"/"+url.PathEscape(a.Entry.UID)+what, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, listserver.MaxWriteBodyBytes))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, state.ErrUnknown
	case resp.StatusCode == http.StatusConflict && what == "" && method == http.MethodPost:
		return nil, fmt.Errorf("%w: %s", state.ErrDrained, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("register: %s answers %s: %s", address, resp.Status, bytes.TrimSpace(text))
	}
	return text, err
}
