package discovery

import (
	"context"
	"io"
	"log/slog"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// Watch starts a watch of a list service, which replaces the previous watch. Its failure is posted once. The balancer
// then pauses before it starts the next watch. That pause is meant for the address that failed: if the addresses change
// during the pause, the new address is called at once, and this watch continues until the balancer's next one replaces
// it.
func (c *Client) Watch(ctx context.Context, source int) {
	c.stopWatch()
	ctx, c.stopWatch = context.WithCancel(ctx)
	c.start(func() { c.keepWatch(ctx, source) })
}

// keepWatch watches a list service until ctx ends. After a failure it waits until the addresses change.
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

// followWithRetry calls follow and repeats it after errors of this machine, such as a lack of sockets, as these are no
// failures of the list service. It returns the results of the last follow.
func (c *Client) followWithRetry(ctx context.Context, source int) (context.Context, error) {
	for failures := 0; ; failures++ {
		address, err := c.follow(ctx, source)
		if ctx.Err() != nil || !netcall.LocalErrnos.Contains(err) {
			return address, err
		}
		if failures == 0 {
			slog.Warn("discovery: failed to call the list service for a local reason, retrying", "service", source, "err", err)
		}
		select {
		case <-ctx.Done():
			return address, ctx.Err()
		case <-time.After(netcall.MaxRetryPause):
		}
	}
}

// follow keeps one watch, which continues at the new address whenever the addresses change. It returns the error that
// ended the watch and the context of the addresses at that time. If the addresses change just before a call, that is
// the context of the previous addresses, and the caller then calls the new address once more.
func (c *Client) follow(ctx context.Context, source int) (context.Context, error) {
	for {
		address := c.currentAddrsCtx()
		watch := &call{client: c, kind: watchCall, source: source, claim: unclaimed,
			firstTimeout: c.timeouts.Call, nextTimeout: c.timeouts.Watch}
		err := watch.run(ctx)
		if err != errAddrChanged || ctx.Err() != nil {
			return address, err
		}
	}
}

// Fetch requests the full list from a list service once.
func (c *Client) Fetch(ctx context.Context, source int) {
	c.start(func() {
		fetch := &call{client: c, kind: fetchCall, source: source, claim: unclaimed,
			firstTimeout: c.timeouts.Call, nextTimeout: c.timeouts.Call}
		err := fetch.run(ctx)
		if err != io.EOF && ctx.Err() == nil {
			slog.Warn("discovery: failed to fetch the full list", "service", source, "err", err)
			c.post(FailedEvent(ListEvent{Source: source, FromFetch: true}, err))
		}
	})
}
