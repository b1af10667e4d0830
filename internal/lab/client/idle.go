package client

import (
	"context"
	"io"
	"sync"
	"time"
)

// idlePause is how long an idle client waits before it connects again.
const idlePause = 500 * time.Millisecond

// fillWithin is the time within which all idle clients have come.
const fillWithin = time.Second

// Fill keeps so many connections open to each of the sidecars until ctx ends: clients that send nothing, or half a request,
// rest until the sidecar ends them, and come again.
func (l *Load) Fill(ctx context.Context, sidecars []int, each int) {
	var wg sync.WaitGroup
	for _, sidecar := range sidecars {
		for n := range each {
			wg.Go(func() {
				pause(ctx, fillWithin*time.Duration(n)/time.Duration(each))
				for ctx.Err() == nil {
					l.rest(ctx, sidecar, n%2 == 1)
				}
			})
		}
	}
	wg.Wait()
}

// rest is one connection of an idle client.
func (l *Load) rest(ctx context.Context, sidecar int, begins bool) {
	if c, err := dial(ctx, l.Addr(sidecar), dialWait); err == nil {
		stop := context.AfterFunc(ctx, func() { c.Close() })
		if begins {
			_, _ = io.WriteString(c, nextRequest) // a connection that has ended says so when it is read
		}
		_, _ = io.Copy(io.Discard, c)
		stop()
		c.Close()
	}
	pause(ctx, idlePause)
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
