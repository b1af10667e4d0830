package discovery

import (
	"context"
	"io"
	"log/slog"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// Watch follows changes at a list service, in place of the watch before. Its failure is reported once. The balancer then
// pauses before the next watch; that pause is for the address that failed, so if the addresses change meanwhile the new one
// is called at once, until the balancer's next watch takes over.
func (c *Client) Watch(ctx context.Context, source int) {
	c.stopWatch()
	ctx, c.stopWatch = context.WithCancel(ctx)
	c.start(func() { c.keepWatch(ctx, source) })
}

// keepWatch follows a list service at one address after another until ctx ends.
func (c *Client) keepWatch(ctx context.Context, source int) {
	for reported := false; ctx.Err() == nil; reported = true {
		address, err := c.followWithRetry(ctx, source)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("discovery: watch ended", "service", source, "err", err)
		if !reported {
			c.post(FailedEvent(ListEvent{Source: source}, err))
		}
		select {
		case <-ctx.Done():
		case <-address.Done():
		}
	}
}

// followWithRetry follows a list service and starts again while this machine cannot make the call: then no list service has
// failed. It returns what follow does.
func (c *Client) followWithRetry(ctx context.Context, source int) (context.Context, error) {
	for failures := 0; ; failures++ {
		address, err := c.follow(ctx, source)
		if ctx.Err() != nil || !netcall.LocalErrnos.Contains(err) {
			return address, err
		}
		if failures == 0 {
			slog.Warn("discovery: this machine cannot make the call", "service", source, "err", err)
		}
		select {
		case <-ctx.Done():
			return address, ctx.Err()
		case <-time.After(netcall.MaxRetryPause):
		}
	}
}

// follow keeps one watch over any number of changes of the address. It returns the context of the address that failed. If the
// address changes just before the call, that is the context of the one before, and the new one is called once more.
func (c *Client) follow(ctx context.Context, source int) (context.Context, error) {
	for {
		address := c.currentAddress()
		watch := &call{client: c, kind: watchCall, source: source, claim: unclaimed,
			firstTimeout: c.timeouts.Call, nextTimeout: c.timeouts.Watch}
		err := watch.run(ctx)
		if err != errAddrChanged || ctx.Err() != nil {
			return address, err
		}
	}
}

// Fetch gets the whole list from a list service once.
func (c *Client) Fetch(ctx context.Context, source int) {
	c.start(func() {
		fetch := &call{client: c, kind: fetchCall, source: source, claim: unclaimed,
			firstTimeout: c.timeouts.Call, nextTimeout: c.timeouts.Call}
		err := fetch.run(ctx)
		if err != io.EOF && ctx.Err() == nil {
			slog.Warn("discovery: list call failed", "service", source, "err", err)
			c.post(FailedEvent(ListEvent{Source: source, FromFetch: true}, err))
		}
	})
}
