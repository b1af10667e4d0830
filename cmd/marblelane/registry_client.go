package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// replicaClient sends requests to a replica of the list service.
type replicaClient struct {
	Addr string        `help:"Address of a replica." default:"127.0.0.1:8500" placeholder:"HOST:PORT"`
	Wait time.Duration `help:"Maximum time to wait for a response." default:"10s"`
}

// statusError is a response with a status other than 2xx.
type statusError struct {
	addr   string
	code   int
	status string // code and text of the status line
	body   string
}

// Error returns the status and the start of the body.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s: response status %s: %s", e.addr, e.status, e.body)
}

// hasStatus reports whether an error is a response with one of the status codes.
func hasStatus(err error, codes ...int) bool {
	var response *statusError
	return errors.As(err, &response) && slices.Contains(codes, response.code)
}

// mayHaveApplied reports whether a write that returned an error may have been applied, or still be. It is not if no
// connection was established or the replica rejected it.
func mayHaveApplied(err error) bool {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return false
	}
	var response *statusError
	return !errors.As(err, &response) || response.code/100 != 4
}

// call sends a request and returns the response body. A status other than 2xx is a statusError.
func (r *replicaClient) call(a *app, method, path string, body []byte) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(a.ctx, method, "http://"+r.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("--addr %s: %w", r.Addr, err)
	}
	client := &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: r.Wait, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("--addr %s: %w", r.Addr, err)
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return nil, &statusError{r.Addr, resp.StatusCode, resp.Status, string(bytes.TrimSpace(text))}
	}
	return resp.Body, nil
}

// printResponse sends a request and prints the response body.
func (r *replicaClient) printResponse(a *app, method, path string, body []byte) error {
	response, err := r.call(a, method, path, body)
	if err != nil {
		return err
	}
	defer response.Close()
	if _, err := io.Copy(a.out, response); err != nil && a.ctx.Err() == nil {
		return fmt.Errorf("--addr %s: %w", r.Addr, err)
	}
	return nil
}

const instancesPath = "/registry/instances"

// instancePath returns the path of an action on one entry. A condition of 0 or more is the revision that the entry
// must have.
func instancePath(uid, action string, condition int64) string {
	path := instancesPath + "/" + url.PathEscape(uid) + action
	if condition >= 0 {
		path += "?if=" + strconv.FormatInt(condition, 10)
	}
	return path
}
