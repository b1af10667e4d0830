package routeclient

// This file calls the replicas of the list service.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

var errResponseTooLong = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)

// caller calls the leader. While the leader's address is unknown, it calls a replica, which redirects the call.
type caller struct {
	client     *Client
	cursor     endpointCursor
	leaderAddr string // empty: unknown
}

// post makes one call. After a failure the next call goes to another replica.
func (c *caller) post(ctx context.Context, path string, request, response any) error {
	c.client.mu.Lock()
	if c.cursor.addrsVersion != c.client.addrsVersion {
		c.leaderAddr = ""
	}
	addr := c.cursor.addr(c.client)
	c.client.mu.Unlock()
	if c.leaderAddr != "" {
		addr = c.leaderAddr
	}
	respondedBy, err := c.call(ctx, addr, path, request, response)
	if err != nil {
		c.cursor.next()
		c.leaderAddr = ""
		return fmt.Errorf("call %s%s: %w", addr, path, err)
	}
	c.leaderAddr = respondedBy
	return nil
}

// call makes a call, and returns the address that has responded, which differs from addr after redirects.
func (c *caller) call(ctx context.Context, addr, path string, request, response any) (respondedBy string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.client.timings.callTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.httpClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", statusError(resp)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return "", err
	case len(text) > maxResponseBytes:
		return "", errResponseTooLong
	}
	if err := json.Unmarshal(text, response); err != nil {
		return "", fmt.Errorf("decode response: %w", err)
	}
	return resp.Request.URL.Host, nil
}

// endpointCursor is a position in the list of addresses, which SetAddrs may replace at any time.
type endpointCursor struct{ index, addrsVersion int }

// addr returns the address at the cursor. The caller holds client.mu.
func (e *endpointCursor) addr(client *Client) string {
	if e.addrsVersion != client.addrsVersion {
		e.index, e.addrsVersion = 0, client.addrsVersion
	}
	return client.addrs[e.index%len(client.addrs)]
}

func (e *endpointCursor) next() { e.index++ }

// statusError returns the error for a response whose status is not 200, with the beginning of its body.
func statusError(resp *http.Response) error {
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	return fmt.Errorf("%s responded with status %s: %s", resp.Request.URL.Host, resp.Status, bytes.TrimSpace(reason))
}
