// Package agent registers one server with the list service and keeps it registered.
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
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// Registrar registers one server and keeps it registered from its first passed health check until the context of Run
// ends. Run then marks the server Terminating, waits for DrainTime so that all watches receive the new state, and
// removes the server. A registration that is in progress when the context ends may be applied all the same, so Run waits
// for its response and also drains and removes a server that may be on the list.
//
// The registrar calls the replicas in turn until one responds, and registers the server again after the lease has
// expired. A server that an operator has drained meanwhile is registered as Terminating.
//
// The list rejects a registration that is not from a later start than a drained one. If the clock of the machine was set
// back, a restarted server has an earlier start time than the drained server before it. The first registration then uses
// a start time just after the listed one.
type Registrar struct {
	Replicas       []string // addresses of the replicas, in order of preference
	Entry          state.Entry
	Lease          time.Duration // term of the lease; 15 s
	HealthCheckURL string        // URL that responds with 200 if the server is healthy; empty if it always is
	DrainTime      time.Duration // time between marking the server Terminating and removing it; 5 s
	Log            *slog.Logger

	lastReplica  int // index of the replica that responded last
	client       http.Client
	mayBeListed  bool // a registration was applied, or its outcome is unknown
	serverExited atomic.Bool
}

// ServerExited records that the server has exited by itself. Run then removes it without waiting for DrainTime.
func (r *Registrar) ServerExited() { r.serverExited.Store(true) }

const (
	callTimeout        = 2 * time.Second
	healthCheckTimeout = time.Second
	// renewalsPerLease is the number of renewals in one lease term; two in a row may fail.
	renewalsPerLease = 3
)

// Run keeps the server registered until ctx ends, then drains and removes it. That takes at most the rest of a call in
// progress, DrainTime and two calls to each replica.
func (r *Registrar) Run(ctx context.Context) error {
	r.Lease = cmp.Or(r.Lease, 15*time.Second)
	r.DrainTime = cmp.Or(r.DrainTime, 5*time.Second)
	if r.Log == nil {
		r.Log = slog.New(slog.DiscardHandler)
	}
	if len(r.Replicas) == 0 {
		return errors.New("register: no replica of the list service is configured")
	}
	if r.Entry.State == "" {
		r.Entry.State = state.Ready
	}
	if err := r.Entry.Validate(); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	registered, acknowledged, bootAdjusted := false, false, false
	retryDelay := backoff.ExponentialBackOff{InitialInterval: 75 * time.Millisecond, MaxInterval: 1500 * time.Millisecond,
		Multiplier: 2, RandomizationFactor: 1. / 3} // 50 to 100 ms at first, later 1 to 2 s
	for ctx.Err() == nil {
		next := r.Lease / renewalsPerLease
		switch {
		case !r.healthy(ctx):
			// The lease is not renewed, so it expires if the health check fails for a whole term.
			next = min(next, time.Second)
			if registered {
				r.Log.Warn("register: health check failed, lease not renewed", "uid", r.Entry.UID)
			}
		default:
			err := r.renewOrRegister(ctx, registered)
			switch {
			case err == nil:
				if !registered {
					r.Log.Info("register: server registered", "uid", r.Entry.UID)
				}
				registered, acknowledged = true, true
				retryDelay.Reset()
			case errors.Is(err, state.ErrDrained) && !acknowledged && !bootAdjusted:
				bootAdjusted, next = true, 0
				if boot, err := r.listedBoot(ctx); err == nil && boot >= r.Entry.BootMS {
					r.Log.Warn("register: start time is not later than that of the previous start; the clock was set back",
						"uid", r.Entry.UID)
					r.Entry.BootMS = boot + 1
				}
			case errors.Is(err, state.ErrUnknown): // the lease has expired
				registered, next = false, 0
			default:
				r.Log.Warn("register: failed to register or renew the lease at any replica", "uid", r.Entry.UID, "error", err)
				next = retryDelay.NextBackOff()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
	if !r.mayBeListed {
		return nil
	}
	return r.deregister()
}

// deregister drains and removes the server. Its calls have their own timeouts, since the context of Run has ended.
func (r *Registrar) deregister() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(len(r.Replicas))*callTimeout)
	defer cancel()
	_, err := r.callAnyReplica(ctx, http.MethodPost, "/drain", nil)
	if errors.Is(err, state.ErrUnknown) {
		return nil // the server is already removed
	}
	if err != nil {
		err = fmt.Errorf("register: failed to mark the server as draining: %w", err)
	}
	if !r.serverExited.Load() {
		r.Log.Info("register: server draining", "uid", r.Entry.UID, "for", r.DrainTime)
		time.Sleep(r.DrainTime)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Duration(len(r.Replicas))*callTimeout)
	defer cancel()
	if _, removeErr := r.callAnyReplica(ctx, http.MethodDelete, "", nil); removeErr != nil {
		err = errors.Join(err, fmt.Errorf("register: failed to remove the server, its lease will expire: %w", removeErr))
	}
	return err
}

// healthy calls the health check of the server and reports whether it passes.
func (r *Registrar) healthy(ctx context.Context) bool {
	if r.HealthCheckURL == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.HealthCheckURL, nil)
	if err != nil {
		return false
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, listserver.MaxWriteBodyBytes)) // only the status code matters
	return resp.StatusCode == http.StatusOK
}

// renewOrRegister renews the lease of a registered server, and registers it otherwise.
func (r *Registrar) renewOrRegister(ctx context.Context, registered bool) error {
	if registered {
		var lease struct {
			State string `json:"state"`
		}
		response, err := r.callAnyReplica(ctx, http.MethodPost, "/renew", nil)
		if err == nil && json.Unmarshal(response, &lease) == nil && lease.State == state.Terminating {
			r.Entry.State = state.Terminating // the server was drained; a later registration must not make it ready again
		}
		return err
	}
	body, err := json.Marshal(listserver.Registration{Entry: r.Entry, LeaseMS: r.Lease.Milliseconds()})
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	_, err = r.callAnyReplica(ctx, http.MethodPost, "", body)
	return err
}

// listedBoot returns the start time that the list has for the server.
func (r *Registrar) listedBoot(ctx context.Context) (int64, error) {
	response, err := r.callAnyReplica(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, err
	}
	var e state.Entry
	if err := json.Unmarshal(response, &e); err != nil {
		return 0, fmt.Errorf("register: %w", err)
	}
	return e.BootMS, nil
}

// callAnyReplica calls the replicas in turn, starting with the one that responded last, until one responds. It returns
// the last error if none does.
func (r *Registrar) callAnyReplica(ctx context.Context, method, pathSuffix string, body []byte) (
	response []byte, lastErr error) {
	for range r.Replicas {
		response, err := r.call(ctx, r.Replicas[r.lastReplica], method, pathSuffix, body)
		if err == nil || errors.Is(err, state.ErrUnknown) || errors.Is(err, state.ErrDrained) {
			return response, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		r.lastReplica = (r.lastReplica + 1) % len(r.Replicas)
	}
	return nil, lastErr
}

// mayHaveApplied reports whether a registration with this result may be on the list now or later. That is impossible
// only if it was not sent or if the replica rejected it.
func mayHaveApplied(resp *http.Response, err error) bool {
	var failed *net.OpError
	if errors.As(err, &failed) {
		return failed.Op != "dial"
	}
	return err != nil || resp.StatusCode/100 != 4
}

// call sends a request for the server's entry to one replica and returns the body of the response. A registration is not
// cancelled with ctx, as its outcome would then be unknown.
func (r *Registrar) call(ctx context.Context, address, method, pathSuffix string, body []byte) ([]byte, error) {
	isRegistration := method == http.MethodPost && pathSuffix == ""
	if isRegistration {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method,
		"http://"+address+listserver.ListPath+"/"+url.PathEscape(r.Entry.UID)+pathSuffix, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	resp, err := r.client.Do(req)
	if isRegistration && mayHaveApplied(resp, err) {
		r.mayBeListed = true
	}
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, listserver.MaxWriteBodyBytes))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, state.ErrUnknown
	case resp.StatusCode == http.StatusConflict && isRegistration:
		return nil, fmt.Errorf("%w: %s", state.ErrDrained, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("register: %s responded with %s: %s", address, resp.Status, bytes.TrimSpace(text))
	}
	return text, err
}
