package registry

import (
	"bytes"
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

	"marblelane/internal/registry/state"
)

// Agent registers one server and keeps it registered: once its health check passes, until its context ends; then it
// marks it Terminating, waits for Drain so that all watches have received that, and removes it.
//
// It survives the service being away: it goes from replica to replica, for as long as it takes, and registers again
// where its lease has ended; a server that somebody has drained meanwhile as one that drains. A start on a machine
// whose clock was set back has an earlier time than the start before; where that one was drained, the list would not
// take this one for a later start, so its first registration gives it a time right after.
type Agent struct {
	Copies []string // addresses of replicas, in order of preference
	Entry  state.Entry
	Lease  time.Duration // 15 s
	Health string        // URL that answers 200 when the server can serve; empty: it always can
	Drain  time.Duration // from Terminating until it is removed; 5 s
	Log    *slog.Logger

	at     int // the replica that answered last
	client http.Client
	gone   atomic.Bool
}

// Gone says that the server has ended by itself: nothing is left to drain, and Run takes it off at once.
func (a *Agent) Gone() { a.gone.Store(true) }

const (
	agentCall  = 2 * time.Second
	healthWait = time.Second
	// renewals a lease: two may be lost.
	renewParts = 3
)

// Run keeps the server registered until ctx ends, and takes it off in order. The time that this takes is bounded:
// the drain and one call's time for each replica, twice.
func (a *Agent) Run(ctx context.Context) error {
	orDuration(&a.Lease, 15*time.Second)
	orDuration(&a.Drain, 5*time.Second)
	if a.Log == nil {
		a.Log = slog.New(slog.DiscardHandler)
	}
	if len(a.Copies) == 0 {
		return errors.New("register: no copy of the list service is named")
	}
	if a.Entry.State == "" {
		a.Entry.State = state.Ready
	}
	if err := a.Entry.Check(); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	a.client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	registered, acknowledged, bootAdjusted := false, false, false
	pause := backoff.ExponentialBackOff{InitialInterval: 75 * time.Millisecond, MaxInterval: 1500 * time.Millisecond,
		Multiplier: 2, RandomizationFactor: 1. / 3} // from 50 ms to 100 ms at first, up to 1 s to 2 s
	for ctx.Err() == nil {
		next := a.Lease / renewParts
		switch {
		case !a.healthy(ctx):
			// It is not renewed: a server that fails its check for a whole lease is off the list.
			next = min(next, time.Second)
			if registered {
				a.Log.Warn("register: the health check fails, the lease is not renewed", "uid", a.Entry.UID)
			}
		default:
			err := a.keep(ctx, registered)
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
			case errors.Is(err, state.ErrUnknown): // its lease has ended meanwhile
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
	return a.leave()
}

// leave takes the server off the list. Its context is over, so its calls have times of their own.
func (a *Agent) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(len(a.Copies))*agentCall)
	defer cancel()
	_, err := a.callAnyReplica(ctx, http.MethodPost, "/drain", nil)
	if errors.Is(err, state.ErrUnknown) {
		return nil // it is off already
	}
	if err != nil {
		err = fmt.Errorf("register: that it drains could not be told: %w", err)
	}
	if !a.gone.Load() {
		a.Log.Info("register: drains", "uid", a.Entry.UID, "for", a.Drain)
		time.Sleep(a.Drain)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Duration(len(a.Copies))*agentCall)
	defer cancel()
	if _, gone := a.callAnyReplica(ctx, http.MethodDelete, "", nil); gone != nil {
		err = errors.Join(err, fmt.Errorf("register: its removal could not be told, its lease will end: %w", gone))
	}
	return err
}

// healthy asks the server's health check.
func (a *Agent) healthy(ctx context.Context) bool {
	if a.Health == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, healthWait)
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxWriteBodyBytes)) // only the status counts
	return resp.StatusCode == http.StatusOK
}

// keep renews the lease, or registers.
func (a *Agent) keep(ctx context.Context, registered bool) error {
	if registered {
		var lease struct {
			State string `json:"state"`
		}
		answer, err := a.callAnyReplica(ctx, http.MethodPost, "/renew", nil)
		if err == nil && json.Unmarshal(answer, &lease) == nil && lease.State == state.Terminating {
			a.Entry.State = state.Terminating // somebody drains it; it must not come back as a ready one
		}
		return err
	}
	body, err := json.Marshal(registration{a.Entry, a.Lease.Milliseconds()})
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	_, err = a.callAnyReplica(ctx, http.MethodPost, "", body)
	return err
}

// listedBoot is the start time that the list has.
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
	for range a.Copies {
		answer, err := a.call(ctx, a.Copies[a.at], method, what, body)
		if err == nil || errors.Is(err, state.ErrUnknown) || errors.Is(err, state.ErrDrained) {
			return answer, err
		}
		failed = err
		if ctx.Err() != nil {
			break
		}
		a.at = (a.at + 1) % len(a.Copies)
	}
	return nil, failed
}

func (a *Agent) call(ctx context.Context, copyAddr, method, what string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, agentCall)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+copyAddr+listPath+"/"+url.PathEscape(a.Entry.UID)+what, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxWriteBodyBytes))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, state.ErrUnknown
	case resp.StatusCode == http.StatusConflict && what == "" && method == http.MethodPost:
		return nil, fmt.Errorf("%w: %s", state.ErrDrained, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("register: %s answers %s: %s", copyAddr, resp.Status, bytes.TrimSpace(text))
	}
	return text, err
}
