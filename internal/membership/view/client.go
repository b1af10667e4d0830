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
	// defaultIdleTimeout ends a watch that is silent. A process sends an empty line each 2 s.
	defaultIdleTimeout = 7 * time.Second
	maxReportBytes     = 16 << 20
	maxErrorBytes      = 1 << 10 // of an error's text that are kept

	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
)

// Client calls processes at their management addresses, or copies of the list service at theirs. Its zero value is
// ready.
type Client struct {
	Timeout     time.Duration // for a whole answer; 0: defaultTimeout
	MaxParallel int           // processes that Observe calls at a time; 0: defaultMaxParallel

	retryDelay  time.Duration // before a watch is restarted the first time; 0: firstRetryPause
	idleTimeout time.Duration // after which a silent watch is restarted; 0: defaultIdleTimeout
}

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Code int
	Text string // the beginning of the body
}

// Error returns the status and the text.
func (e *StatusError) Error() string {
	if e.Code == http.StatusNotFound {
		return fmt.Sprintf("answers 404: it has no section members, or knows no such process (%s)", e.Text)
	}
	return fmt.Sprintf("answers %d: %s", e.Code, e.Text)
}

// CheckAddr checks that an address is a HOST:PORT, before any call.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err == nil && (host == "" || port == "") {
		err = errors.New("host or port is empty")
	}
	if err != nil {
		return fmt.Errorf("%q is no HOST:PORT: %w", addr, err)
	}
	return nil
}

// open sends a request and returns the body of a 2xx answer. Each request has its own connection, as management
// addresses keep none open.
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
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // a part is enough
		return nil, &StatusError{Code: resp.StatusCode, Text: string(bytes.TrimSpace(text))}
	}
	return resp.Body, nil
}

// fetch sends a request and returns the whole body of a 2xx answer.
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
		err = fmt.Errorf("its answer is longer than %d bytes", maxReportBytes)
	}
	return data, err
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return byDefault
}

// Report gets the report of one process.
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
		return nil, fmt.Errorf("its answer is no report: %w", err)
	}
	if r.Self.Name == "" {
		return nil, errors.New("its answer is no report: it has no self")
	}
	return r, nil
}

// Leave has a process leave its fleet.
func (c *Client) Leave(ctx context.Context, addr string) error {
	_, err := c.fetch(ctx, http.MethodPost, "http://"+addr+membersPath+"/leave", nil)
	return err
}

// ConfirmGone tells a process that another one is gone.
func (c *Client) ConfirmGone(ctx context.Context, addr string, id roster.ID) error {
	body, err := json.Marshal(id)
	if err != nil {
		return err
	}
	_, err = c.fetch(ctx, http.MethodPost, "http://"+addr+membersPath+"/gone", body)
	return err
}

// Observe gets the reports of all processes at once, and once more the given time after the last of them answered, from
// those that did. The results are in the order of the addresses.
func (c *Client) Observe(ctx context.Context, addrs []string, interval time.Duration) []Observation {
	out := make([]Observation, len(addrs))
	for i, addr := range addrs {
		out[i].Addr = addr
	}
	c.forEach(out, func(o *Observation) { o.First, o.Err = c.Report(ctx, o.Addr) })
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	c.forEach(out, func(o *Observation) {
		if o.Err == nil {
			o.Second, o.Err = c.Report(ctx, o.Addr)
		}
	})
	return out
}

// forEach calls a function for each observation, at most MaxParallel at a time.
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

// Watch calls onReport for each report that a process sends as it changes, with the line that it was parsed from, until
// ctx ends. A watch that ends or is silent is restarted after a growing pause; onFailure is called before the pause. Watch
// returns an error after an answer with a 4xx status other than 429, and the error of onReport if that fails.
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

// callbackError is the error of Watch's onReport.
type callbackError struct{ err error }

// Error returns the text of the callback's error.
func (e *callbackError) Error() string { return e.err.Error() }

// errIdle means that a watch was silent for the idle timeout.
var errIdle = errors.New("nothing came, not even the empty line that is due each 2 s")

// watchOnce is one watch without restarts.
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
	return errors.New("the process ended the watch")
}
