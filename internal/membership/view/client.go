package view

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

const (
	membersPath = "/members"

	defaultTimeout     = 3 * time.Second
	defaultMaxParallel = 16
	// defaultIdleTimeout ends a watch without data. A process sends an empty line every 2 s.
	defaultIdleTimeout = 7 * time.Second
	maxReportBytes     = 16 << 20
	maxErrorBytes      = 1 << 10 // length to which the body of an error response is cut

	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
)

// Client sends requests to the management addresses of processes, or to the addresses of replicas of the list service.
// The zero value is ready for use.
type Client struct {
	Timeout     time.Duration // timeout of a whole request and response; 0 means defaultTimeout
	MaxParallel int           // maximum number of concurrent requests of Observe; 0 means defaultMaxParallel

	retryDelay  time.Duration // delay before the first restart of a watch; 0 means firstRetryDelay
	idleTimeout time.Duration // time without data after which a watch is restarted; 0 means defaultIdleTimeout
}

// StatusError is returned for a response with a status other than 2xx.
type StatusError struct {
	Code int    // HTTP status
	Text string // the beginning of the body, at most maxErrorBytes
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Code == http.StatusNotFound {
		return fmt.Sprintf("response status 404: the process has no section members, or does not know the given process (%s)", e.Text)
	}
	return fmt.Sprintf("response status %d: %s", e.Code, e.Text)
}

// CheckAddr returns an error if an address is not of the form HOST:PORT. It does not connect to the address.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err == nil && (host == "" || port == "") {
		err = errors.New("host or port is empty")
	}
	if err != nil {
		return fmt.Errorf("%q is not HOST:PORT: %w", addr, err)
	}
	return nil
}

// open sends a request and returns the body of a 2xx response. Each request uses its own connection, as management
// addresses close connections after each response.
func (c *Client) open(ctx context.Context, method, url string, body []byte) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // an incomplete text is sufficient
		return nil, &StatusError{Code: resp.StatusCode, Text: string(bytes.TrimSpace(text))}
	}
	return resp.Body, nil
}

// fetch sends a request and returns the whole body of a 2xx response.
func (c *Client) fetch(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, defaultTimeout))
	defer cancel()
	responseBody, err := c.open(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	defer responseBody.Close()
	data, err := io.ReadAll(io.LimitReader(responseBody, maxReportBytes+1))
	if err == nil && len(data) > maxReportBytes {
		err = fmt.Errorf("response is longer than %d bytes", maxReportBytes)
	}
	return data, err
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return byDefault
}

// Report fetches the report of one process.
func (c *Client) Report(ctx context.Context, addr string) (*membership.Report, error) {
	data, err := c.fetch(ctx, http.MethodGet, "http://"+addr+membersPath, nil)
	if err != nil {
		return nil, err
	}
	return parseReport(data)
}

func parseReport(data []byte) (*membership.Report, error) {
	r := &membership.Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("parse report: %w", err)
	}
	if r.Self.Name == "" {
		return nil, errors.New("parse report: self has no name")
	}
	return r, nil
}

// Leave requests that a process leave its fleet.
func (c *Client) Leave(ctx context.Context, addr string) error {
	_, err := c.fetch(ctx, http.MethodPost, "http://"+addr+membersPath+"/leave", nil)
	return err
}

// ConfirmGone sends a process the operator's confirmation that another process is gone.
func (c *Client) ConfirmGone(ctx context.Context, addr string, id roster.ID) error {
	body, err := json.Marshal(id)
	if err != nil {
		return err
	}
	_, err = c.fetch(ctx, http.MethodPost, "http://"+addr+membersPath+"/gone", body)
	return err
}

// Observe fetches the reports of all processes concurrently. After the last response it waits for interval and fetches
// the reports of those that responded once more. The results are in the order of addrs.
func (c *Client) Observe(ctx context.Context, addrs []string, interval time.Duration) []Observation {
	observations := make([]Observation, len(addrs))
	for i, addr := range addrs {
		observations[i].Addr = addr
	}
	c.forEach(observations, func(o *Observation) { o.First, o.Err = c.Report(ctx, o.Addr) })
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	c.forEach(observations, func(o *Observation) {
		if o.Err == nil {
			o.Second, o.Err = c.Report(ctx, o.Addr)
		}
	})
	return observations
}

// forEach calls a function for each observation, with at most MaxParallel calls at a time.
func (c *Client) forEach(all []Observation, do func(*Observation)) {
	limit := c.MaxParallel
	if limit <= 0 {
		limit = defaultMaxParallel
	}
	slots := make(chan struct{}, limit)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			do(&all[i])
		})
	}
	wg.Wait()
}

// Watch calls onReport with the report of a process each time it changes, and with the line that the report was parsed
// from, until ctx ends. A watch that ends or receives no data is restarted with exponential backoff. onFailure is
// called before each delay. Watch returns an error after a response with a 4xx status other than 429, and the error of
// onReport if that fails.
func (c *Client) Watch(ctx context.Context, addr string, onReport func(*membership.Report, []byte) error,
	onFailure func(err error, delay time.Duration)) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = orDefault(c.retryDelay, firstRetryDelay), maxRetryDelay
	for {
		err := c.watchOnce(ctx, addr, func(r *membership.Report, line []byte) error {
			retryBackoff.Reset()
			return onReport(r, line)
		})
		var fromCallback *callbackError
		var status *StatusError
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &fromCallback):
			return fromCallback.err
		case errors.As(err, &status) && status.Code/100 == 4 && status.Code != http.StatusTooManyRequests:
			return err
		}
		pause := retryBackoff.NextBackOff()
		onFailure(err, pause)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// callbackError wraps an error of Watch's onReport.
type callbackError struct{ err error }

// Error implements error.
func (e *callbackError) Error() string { return e.err.Error() }

// errIdle means that a watch received no data within the idle timeout.
var errIdle = errors.New("watch idle: no data received, not even the empty line that is due every 2 s")

// watchOnce performs one watch without restarts.
func (c *Client) watchOnce(ctx context.Context, addr string, onReport func(*membership.Report, []byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimeout := orDefault(c.idleTimeout, defaultIdleTimeout)
	idle := time.AfterFunc(idleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	responseBody, err := c.open(ctx, http.MethodGet, "http://"+addr+membersPath+"?watch=1", nil)
	if err != nil {
		if errors.Is(context.Cause(ctx), errIdle) {
			return errIdle
		}
		return err
	}
	defer responseBody.Close()
	lines := bufio.NewScanner(responseBody)
	lines.Buffer(nil, maxReportBytes)
	for lines.Scan() {
		idle.Reset(idleTimeout)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		r, err := parseReport(line)
		if err != nil {
			return err
		}
		if err := onReport(r, line); err != nil {
			return &callbackError{err}
		}
	}
	switch {
	case errors.Is(context.Cause(ctx), errIdle):
		return errIdle
	case lines.Err() != nil:
		return lines.Err()
	}
	return errors.New("watch ended by the process")
}
