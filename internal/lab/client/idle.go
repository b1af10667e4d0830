package client

import (
	"context"
	"io"
	"sync"
	"time"
)

// reconnectDelay is how long an idle client waits before it connects again.
const reconnectDelay = 500 * time.Millisecond

// idleSpreadTime is the time over which the first connects of all idle clients are spread.
const idleSpreadTime = time.Second

// HoldIdle keeps perSidecar connections open to each sidecar until ctx ends. Half of the clients send nothing, half
// send a partial request. They wait until the sidecar closes the connection, and reconnect after reconnectDelay.
func (l *Load) HoldIdle(ctx context.Context, sidecars []int, perSidecar int) {
	var wg sync.WaitGroup
	for _, sidecar := range sidecars {
		for n := range perSidecar {
			wg.Go(func() {
				pause(ctx, idleSpreadTime*time.Duration(n)/time.Duration(perSidecar))
				for ctx.Err() == nil {
					l.holdConn(ctx, sidecar, n%2 == 1)
				}
			})
		}
	}
	wg.Wait()
}

// holdConn opens one connection of an idle client, waits until it is closed, and then for reconnectDelay.
func (l *Load) holdConn(ctx context.Context, sidecar int, partialRequest bool) {
	if c, err := dial(ctx, l.Addr(sidecar), dialTimeout); err == nil {
		stop := context.AfterFunc(ctx, func() { c.Close() })
		if partialRequest {
			_, _ = io.WriteString(c, partialNextRequest) // on a closed connection the read below ends too
		}
		_, _ = io.Copy(io.Discard, c)
		stop()
		c.Close()
	}
	pause(ctx, reconnectDelay)
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
