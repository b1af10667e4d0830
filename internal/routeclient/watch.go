package routeclient

// This file follows the routing table.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"marblelane/internal/route"
)

// Reasons for the end of a watch. After errResync and errAddrsChanged the next watch starts without delay.
var (
	errResync       = errors.New("the list service requested a new watch")
	errAddrsChanged = errors.New("the addresses of the list service have changed")
	errWatchTimeout = errors.New("timeout waiting for a line")
	errLineTooLong  = fmt.Errorf("line exceeds %d bytes", maxDocumentBytes)
)

// followTable watches the table at one replica until the watch ends, then at the next one, until ctx ends.
func (c *Client) followTable(ctx context.Context) {
	backoff := c.newBackoff(c.timings.maxBackoff)
	var cursor endpointCursor
	for {
		receivedLine, err := c.watch(ctx, &cursor)
		if ctx.Err() != nil {
			return
		}
		cursor.next()
		c.cfg.Log.Warn("routes: watch ended", "err", err)
		if errors.Is(err, errAddrsChanged) || errors.Is(err, errResync) {
			continue // no backoff: the rate is limited by that of address changes and report responses
		}
		if receivedLine {
			backoff.Reset()
		}
		if !wait(ctx, backoff.next(), nil) {
			return
		}
	}
}

// watch follows the table at one replica until an error occurs. receivedLine reports whether the replica has sent a
// line.
func (c *Client) watch(ctx context.Context, cursor *endpointCursor) (receivedLine bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.mu.Lock()
	addr, after := cursor.addr(c), c.offeredRev
	c.breakWatch = cancel
	c.mu.Unlock()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	timeout := time.AfterFunc(c.timings.watchTimeout, func() { cancel(errWatchTimeout) })
	defer timeout.Stop()
	resp, err := c.openWatch(ctx, addr, after)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	for body := bufio.NewReader(resp.Body); ; {
		line, err := readLine(body)
		if err != nil {
			return receivedLine, err
		}
		timeout.Reset(c.timings.watchTimeout)
		if len(line) > 0 {
			if err := c.readDocument(line); err != nil {
				return receivedLine, err
			}
		}
		receivedLine = true
	}
}

// openWatch requests a watch of the tables after a revision.
func (c *Client) openWatch(ctx context.Context, addr string, after int64) (*http.Response, error) {
	query := url.Values{
		"schema": {strconv.Itoa(c.schema)}, "watch": {"1"}, "after": {strconv.FormatInt(after, 10)},
	}
	watchURL := url.URL{Scheme: "http", Host: addr, Path: route.TablePath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, watchURL.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return resp, nil
}

// readLine reads the next line and trims white space. A line without a newline at the end of the response is
// incomplete, which is an error.
func readLine(body *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := body.ReadSlice('\n')
		if len(line)+len(part) > maxDocumentBytes+1 {
			return nil, errLineTooLong
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return bytes.TrimSpace(line), nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF // a watch never ends normally
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// readDocument decodes a document and passes its table to the loop. An unreadable document is logged and recorded, and
// does not end the watch.
func (c *Client) readDocument(text []byte) error {
	table, err := route.Read(c.schema, text)
	if err == nil {
		return c.offerTable(table)
	}
	var head struct {
		Rev int64 `json:"rev"`
	}
	if json.Unmarshal(text, &head) != nil {
		head.Rev = 0
	}
	if offered, first := c.recordUnreadable(head.Rev); first {
		c.cfg.Log.Error("routes: failed to read the document, keeping the last table",
			"revision", head.Rev, "held", offered, "schema", c.schema, "err", err)
	}
	return nil
}

// recordUnreadable records that the document of a revision cannot be read; rev is 0 if the revision cannot be read
// either. first reports whether this has to be logged, as it was not recorded before.
func (c *Client) recordUnreadable(rev int64) (offered int64, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case rev > max(c.offeredRev, c.unreadableRev):
		c.unreadableRev = rev
		first = true
	case rev <= 0 && !c.unparsableLogged:
		c.unparsableLogged = true
		first = true
	}
	return c.offeredRev, first
}

// resync applies the whole table of a report response, and restarts the watch.
func (c *Client) resync(table []byte) {
	if len(table) > 0 {
		if err := c.readDocument(table); err != nil {
			c.cfg.Log.Warn("routes: failed to apply the table of a report response", "err", err)
		}
	}
	c.mu.Lock()
	c.breakWatch(errResync)
	c.mu.Unlock()
}
