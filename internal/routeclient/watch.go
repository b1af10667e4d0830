package routeclient

// This file follows the table of routes.

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

// Why a watch has ended. After errResync and errAddrsChanged the next one begins at once.
var (
	errResync       = errors.New("the service asks for the watch to be begun anew")
	errAddrsChanged = errors.New("the list services are at other addresses now")
	errWatchTimeout = errors.New("no line in time")
	errLineTooLong  = fmt.Errorf("a line of more than %d bytes", maxDocumentBytes)
)

// followTable keeps a watch of the table at one copy after another until ctx ends.
func (c *Client) followTable(ctx context.Context) {
	backoff := c.newBackoff(c.timings.maxBackoff)
	var cursor endpointCursor
	for {
		anyLine, err := c.watch(ctx, &cursor)
		if ctx.Err() != nil {
			return
		}
		cursor.next()
		c.cfg.Log.Warn("routes: watch ended", "err", err)
		if errors.Is(err, errAddrsChanged) || errors.Is(err, errResync) {
			continue // bounded by how often the addresses change and reports are answered
		}
		if anyLine {
			backoff.Reset()
		}
		if !wait(ctx, backoff.next(), nil) {
			return
		}
	}
}

// watch follows the table at one copy until that fails. anyLine says that the copy has sent a line.
func (c *Client) watch(ctx context.Context, cursor *endpointCursor) (anyLine bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.mu.Lock()
	addr, held := cursor.addr(c), c.offeredRev
	c.breakWatch = cancel
	c.mu.Unlock()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	silence := time.AfterFunc(c.timings.watchTimeout, func() { cancel(errWatchTimeout) })
	defer silence.Stop()
	resp, err := c.openWatch(ctx, addr, held)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	for body := bufio.NewReader(resp.Body); ; {
		line, err := readLine(body)
		if err != nil {
			return anyLine, err
		}
		silence.Reset(c.timings.watchTimeout)
		if len(line) > 0 {
			if err := c.readDocument(line); err != nil {
				return anyLine, err
			}
		}
		anyLine = true
	}
}

// openWatch requests the tables after a revision.
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

// readLine reads the next line, without white space around it. A line without its end is half of one, and an error.
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
			return nil, io.ErrUnexpectedEOF // a watch has no end
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// readDocument takes a document in. One that cannot be read is logged and noted, and no error.
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
	if held, first := c.recordUnreadable(head.Rev); first {
		c.cfg.Log.Error("routes: document cannot be read, the last table stays",
			"revision", head.Rev, "held", held, "schema", c.schema, "err", err)
	}
	return nil
}

// recordUnreadable notes that a document cannot be read; rev is 0 if its revision cannot either. first says that this is
// not known yet.
func (c *Client) recordUnreadable(rev int64) (held int64, first bool) {
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

// resync takes in a whole table that came with an answer, and begins the watch anew.
func (c *Client) resync(table []byte) {
	if len(table) > 0 {
		if err := c.readDocument(table); err != nil {
			c.cfg.Log.Warn("routes: table of an answer not taken", "err", err)
		}
	}
	c.mu.Lock()
	c.breakWatch(errResync)
	c.mu.Unlock()
}
