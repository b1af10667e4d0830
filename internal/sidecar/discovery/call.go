package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/wire"
)

// instancesPath is where a list service answers.
const instancesPath = "/registry/instances"

// callKind is what is asked of a list service.
type callKind uint8

const (
	watchCall callKind = iota // what changed after the list that is held, and each later change
	fetchCall                 // the whole list, once
)

// String returns the name of the kind.
func (k callKind) String() string {
	if k == fetchCall {
		return "fetch"
	}
	return "watch"
}

// call is one call of a list service.
type call struct {
	client *Client
	kind   callKind
	source int
	// claim is called for each object that was read. If it returns false another call has been answered first, and this one
	// ends without an event.
	claim func() bool
	// firstTimeout bounds the silence until the first object is complete; nextTimeout bounds the time to each later one.
	firstTimeout, nextTimeout time.Duration
}

// unclaimed is the claim of a call that no other competes with.
func unclaimed() bool { return true }

// run makes the call and posts each object of its answer until that ends. The error says why it did; io.EOF is the end of a
// complete answer.
func (c *call) run(ctx context.Context) error {
	query := c.query()
	addr, address := c.client.serviceAddr(c.source)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(address, func() { cancel(context.Cause(address)) })()
	guard := newSilenceGuard(c.firstTimeout, max(c.firstTimeout, c.client.timeouts.Call), func() { cancel(ErrSilent) })
	defer guard.stop()
	resp, err := c.send(ctx, "http://"+addr+instancesPath+query, guard)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rejection(resp)
	}
	return c.postObjects(ctx, newObjectReader(resp.Body, c.client.maxObject), guard)
}

// query asks for what came after the list that is held, or for all.
func (c *call) query() string {
	if c.kind == fetchCall {
		return ""
	}
	return fmt.Sprintf("?watch=1&after=%d", c.client.Revision.Load())
}

// send makes the request; the guard learns of the bytes that come.
func (c *call) send(ctx context.Context, url string, guard *silenceGuard) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.WithValue(ctx, receivedKey{}, guard.received), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	return nil, err
}

// rejection returns the error of an answer that is no list.
func rejection(resp *http.Response) error {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		seconds = 0
	}
	return &RejectedError{resp.Status, 1000 * seconds}
}

// answerProgress is what a call has read of its answer.
type answerProgress struct {
	alive bool // an object or an empty line, with more to come
	list  bool // a list
}

// postObjects posts each object and empty line until the answer ends.
func (c *call) postObjects(ctx context.Context, in *objectReader, guard *silenceGuard) error {
	var progress answerProgress
	for {
		text, err := in.next()
		if err == nil || err == io.EOF && len(text) > 0 {
			if !c.claim() {
				return errSuperseded
			}
			if err := c.post(text); err != nil {
				return err
			}
			progress.list = progress.list || len(text) > 0
		}
		if err != nil {
			return progress.endError(ctx, err)
		}
		progress.alive = true
		guard.objectRead(c.nextTimeout)
	}
}

// post posts the event of an object, or of an empty line, which shows that the list service is alive.
func (c *call) post(text []byte) error {
	if len(text) == 0 {
		c.client.post(ListEvent{Kind: balance.ListUnchanged, Source: c.source})
		return nil
	}
	var list endpointlist.List
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("discovery: list: %w", wire.LocateJSONError(err))
	}
	event := ListEvent{Kind: balance.ListDelta, List: list, Source: c.source, FromFetch: c.kind == fetchCall}
	if list.All {
		event.Kind = balance.ListFull
	}
	c.client.post(event)
	return nil
}

// endError returns why an answer ended, given the error of its last read.
func (p answerProgress) endError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	switch {
	case cause == ErrSilent && p.alive:
		return ErrStopped
	case cause != nil:
		return cause
	case err == io.EOF && !p.list:
		return io.ErrUnexpectedEOF
	}
	return err
}
