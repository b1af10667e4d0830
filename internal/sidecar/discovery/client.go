package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"marblelane/balance"
)

const (
	// maxObjectBytes is the size limit of an object if the memory limit is large or absent, and minObjectBytes if it is
	// small. An object is buffered completely before it is parsed.
	maxObjectBytes       = 16 << 20
	minObjectBytes       = 1 << 20
	objectMemoryFraction = 1. / 16 // fraction of the memory limit that an object may take
)

// Client calls the list services. It posts one event for each call or watch that fails or ends. The balancer decides
// when to call again.
type Client struct {
	// Revision is the revision of the list that the balancer has accepted. The event loop sets it.
	Revision atomic.Int64

	http      *http.Client
	maxObject int // size limit of an object in bytes
	timeouts  Timeouts
	post      func(any)          // passes an event to the event loop
	start     func(func())       // starts a goroutine that the event loop waits for before it ends
	stopWatch context.CancelFunc // stops the watch that Watch started last; called only by the event loop

	mu             sync.Mutex
	addrs          []string                // addresses of the list services, preferred first
	addrsCtx       context.Context         // canceled with errAddrChanged when addrs changes
	cancelAddrsCtx context.CancelCauseFunc // cancels addrsCtx
}

// New returns a client of the list services at addrs, the preferred one first. The client passes events to post and
// starts goroutines through start. memoryMB is the memory limit in MiB; 0: no limit.
func New(addrs []string, memoryMB int, post func(any), start func(func())) *Client {
	addrsCtx, cancelAddrsCtx := context.WithCancelCause(context.Background())
	return &Client{
		addrs: addrs, addrsCtx: addrsCtx, cancelAddrsCtx: cancelAddrsCtx, post: post, start: start, stopWatch: func() {},
		timeouts:  Timeouts{Call: CallTimeout, Watch: WatchTimeout, PushedDelay: PushedDelay(initialDrainGraceMS)},
		maxObject: maxObjectFor(memoryMB),
		// Keep-alives are disabled because the transport repeats a call by itself if a reused connection breaks.
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: dialReporting((&net.Dialer{Timeout: DialTimeout, KeepAlive: -1}).DialContext),
		}},
	}
}

// maxObjectFor returns the size limit of an object in bytes for a memory limit in MiB.
func maxObjectFor(memoryMB int) int {
	if memoryMB <= 0 {
		return maxObjectBytes
	}
	return min(max(int(float64(memoryMB)*objectMemoryFraction*(1<<20)), minObjectBytes), maxObjectBytes)
}

// SetTimeouts replaces each timeout for which timeouts has a value above 0. It must be called before the first call.
func (c *Client) SetTimeouts(timeouts Timeouts) {
	if timeouts.Call > 0 {
		c.timeouts.Call = timeouts.Call
	}
	if timeouts.Watch > 0 {
		c.timeouts.Watch = timeouts.Watch
	}
	if timeouts.PushedDelay > 0 {
		c.timeouts.PushedDelay = timeouts.PushedDelay
	}
}

// Timeouts returns the current timeouts.
func (c *Client) Timeouts() Timeouts { return c.timeouts }

// SetAddrs replaces the addresses of the list services. Calls to the old addresses end, as the list services there may
// close them or stop sending at any time. A watch continues at its new address with the changes since the last
// revision.
func (c *Client) SetAddrs(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(addrs, c.addrs) {
		return
	}
	slog.Info("discovery: addresses of the list services changed", "addr", strings.Join(addrs, " "))
	c.cancelAddrsCtx(errAddrChanged)
	if len(addrs) != len(c.addrs) {
		c.post(balance.ListServices{Count: len(addrs)})
	}
	c.addrs = addrs
	c.addrsCtx, c.cancelAddrsCtx = context.WithCancelCause(context.Background())
}

// currentAddrsCtx returns the context that ends when the current addresses change.
func (c *Client) currentAddrsCtx() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrsCtx
}

// serviceAddr returns the address of a list service and the context that ends when the addresses change.
func (c *Client) serviceAddr(source int) (string, context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[min(source, len(c.addrs)-1)], c.addrsCtx
}
