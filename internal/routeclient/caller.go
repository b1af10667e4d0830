package routeclient

// This file calls the copies of the list service.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// caller asks the leader: by way of the copies, and once it is found directly.
type caller struct {
	s     *Client
	at    endpointCursor
	found string // empty: not known
}

// post asks once. Who fails is not asked again before another copy was.
func (c *caller) post(ctx context.Context, path string, ask, into any) error {
	c.s.mu.Lock()
	if c.at.moves != c.s.moves {
		c.found = ""
	}
	addr := c.at.addr(c.s)
	c.s.mu.Unlock()
	if c.found != "" {
		addr = c.found
	}
	host, err := c.ask(ctx, addr, path, ask, into)
	if err != nil {
		c.at.next()
		c.found = ""
		return fmt.Errorf("%s%s: %w", addr, path, err)
	}
	c.found = host
	return nil
}

// ask tells who has answered.
func (c *caller) ask(ctx context.Context, addr, path string, ask, into any) (host string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.s.timings.call)
	defer cancel()
	body, err := json.Marshal(ask)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.s.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", refusal(resp)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer+1))
	switch {
	case err != nil:
		return "", err
	case len(text) > mostAnswer:
		return "", errBig
	}
	if err := json.Unmarshal(text, into); err != nil {
		return "", fmt.Errorf("an answer that cannot be read: %w", err)
	}
	return resp.Request.URL.Host, nil
}

// endpointCursor is a place in the list of copies, which may be another list at any time.
type endpointCursor struct{ number, moves int }

// addr gives the address at the place; s.mu is held.
func (c *endpointCursor) addr(s *Client) string {
	if c.moves != s.moves {
		c.number, c.moves = 0, s.moves
	}
	return s.addrs[c.number%len(s.addrs)]
}

func (c *endpointCursor) next() { c.number++ }

// refusal is the error of an answer that is none.
func refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
	return fmt.Errorf("%s answers %s: %s", resp.Request.URL.Host, resp.Status, bytes.TrimSpace(text))
}
