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

// instancesPath is the URL path of the endpoint list at a list service.
const instancesPath = "/registry/instances"

// callKind is the type of a call to a list service.
type callKind uint8

const (
	watchCall callKind = iota // requests all changes since the revision of the balancer's list, including future ones
	fetchCall                 // requests the full list once
)

// String returns the name of the kind.
func (k callKind) String() string {
	if k == fetchCall {
		return "fetch"
	}
	return "watch"
}

// call is one call to a list service.
type call struct {
	client *Client
	kind   callKind
	source int // index of the list service; 0 is the preferred one
	// claim is called for each object or empty line that is read. If it returns false, a concurrent call got a response
	// first, and this call ends without posting an event.
	claim func() bool
	// firstTimeout limits the time without any bytes until the first object is complete. nextTimeout limits the time
	// between complete objects or empty lines after that.
	firstTimeout, nextTimeout time.Duration
}

// unclaimed is the claim function of a call without a concurrent one. It always succeeds.
func unclaimed() bool { return true }

// run makes the call and posts each object of the response until the response ends. It returns the reason, which is
// io.EOF for a complete response.
func (c *call) run(ctx context.Context) error {
	query := c.query()
	addr, address := c.client.serviceAddr(c.source)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(address, func() { cancel(context.Cause(address)) })()
	guard := newSilenceGuard(c.firstTimeout, max(c.firstTimeout, c.client.timeouts.Call), func() { cancel(ErrCallTimeout) })
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

// query returns the query string: empty for the full list, or the revision after which changes are requested.
func (c *call) query() string {
	if c.kind == fetchCall {
		return ""
	}
	return fmt.Sprintf("?watch=1&after=%d", c.client.Revision.Load())
}

// send sends the request and returns the response. The guard is notified of received bytes.
func (c *call) send(ctx context.Context, url string, guard *silenceGuard) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.WithValue(ctx, onReceivedKey{}, guard.received), http.MethodGet, url, nil)
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

// rejection returns the RejectedError of a response with a status other than 200.
func rejection(resp *http.Response) error {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		seconds = 0
	}
	return &RejectedError{resp.Status, 1000 * seconds}
}

// responseProgress records what a call has read of its response.
type responseProgress struct {
	gotLine bool // an object or an empty line has been read, and the response goes on
	gotList bool // a list has been read
}

// postObjects posts an event for each object and each empty line, and returns the error that ended the response.
func (c *call) postObjects(ctx context.Context, in *objectReader, guard *silenceGuard) error {
	var progress responseProgress
	for {
		text, err := in.next()
		if err == nil || err == io.EOF && len(text) > 0 {
			if !c.claim() {
				return errSuperseded
			}
			if err := c.post(text); err != nil {
				return err
			}
			progress.gotList = progress.gotList || len(text) > 0
		}
		if err != nil {
			return progress.endError(ctx, err)
		}
		progress.gotLine = true
		guard.objectRead(c.nextTimeout)
	}
}

// post posts the event of an object, or ListUnchanged for an empty line, which shows that the list service is alive.
func (c *call) post(text []byte) error {
	if len(text) == 0 {
		c.client.post(ListEvent{Kind: balance.ListUnchanged, Source: c.source})
		return nil
	}
	var list endpointlist.List
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("discovery: decode list: %w", wire.LocateJSONError(err))
	}
	event := ListEvent{Kind: balance.ListDelta, List: list, Source: c.source, FromFetch: c.kind == fetchCall}
	if list.All {
		event.Kind = balance.ListFull
	}
	c.client.post(event)
	return nil
}

// endError returns the reason for the end of a response. err is the error of the last read.
func (p responseProgress) endError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	switch {
	case cause == ErrCallTimeout && p.gotLine:
		return ErrWatchTimeout
	case cause != nil:
		return cause
	case err == io.EOF && !p.gotList:
		return io.ErrUnexpectedEOF
	}
	return err
}
