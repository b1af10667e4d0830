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
	// maxObjectBytes and minObjectBytes bound an object, which is held and read into entries, where the memory has no limit
	// or a small one.
	maxObjectBytes       = 16 << 20
	minObjectBytes       = 1 << 20
	objectMemoryFraction = 1. / 16 // of the memory's limit
)

// Client calls the list services. Each call or watch that fails or ends is reported once; when to call again is the balancer's
// decision.
type Client struct {
	// Revision is that of the list that the balancer has accepted. The event loop sets it.
	Revision atomic.Int64

	http      *http.Client
	maxObject int // bytes
	timeouts  Timeouts
	post      func(any)          // hands an event to the event loop
	start     func(func())       // starts a goroutine that the event loop waits for at its end
	stopWatch context.CancelFunc // ends the watch that Watch started last; only the event loop calls it

	mu             sync.Mutex
	addrs          []string                // by preference
	addrsCtx       context.Context         // ends when addrs changes
	cancelAddrsCtx context.CancelCauseFunc // ends address
}

// New returns a client of the list services at addrs, the preferred one first. Events go to post; start starts goroutines.
// memoryMB is the memory's limit, 0 for none.
func New(addrs []string, memoryMB int, post func(any), start func(func())) *Client {
	address, endAddress := context.WithCancelCause(context.Background())
	return &Client{
		addrs: addrs, addrsCtx: address, cancelAddrsCtx: endAddress, post: post, start: start, stopWatch: func() {},
		timeouts:  Timeouts{Call: CallTimeout, Watch: WatchTimeout, PushedDelay: PushedDelay(initialDrainGraceMS)},
		maxObject: maxObjectFor(memoryMB),
		// Without keep-alives: on a broken connection the transport would make a second call by itself.
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: dialReporting((&net.Dialer{Timeout: DialTimeout, KeepAlive: -1}).DialContext),
		}},
	}
}

// maxObjectFor returns how many bytes an object may have under a limit of the memory.
func maxObjectFor(memoryMB int) int {
	if memoryMB <= 0 {
		return maxObjectBytes
	}
	return min(max(int(float64(memoryMB)*objectMemoryFraction*(1<<20)), minObjectBytes), maxObjectBytes)
}

// SetTimeouts replaces those timeouts that are not zero. It is called before the first call.
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

// Timeouts returns the timeouts that hold.
func (c *Client) Timeouts() Timeouts { return c.timeouts }

// SetAddrs makes all calls go to other addresses. Calls to the old ones end, as those may close them at any time or fall silent; a
// watch goes on at the new address with what changed since.
func (c *Client) SetAddrs(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(addrs, c.addrs) {
		return
	}
	slog.Info("discovery: address changed", "addr", strings.Join(addrs, " "))
	c.cancelAddrsCtx(errAddrChanged)
	if len(addrs) != len(c.addrs) {
		c.post(balance.ListServices{Count: len(addrs)})
	}
	c.addrs = addrs
	c.addrsCtx, c.cancelAddrsCtx = context.WithCancelCause(context.Background())
}

// currentAddrsCtx returns the context of the addresses that hold now.
func (c *Client) currentAddrsCtx() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrsCtx
}

// serviceAddr returns the address of a list service, and the context that ends when it changes.
func (c *Client) serviceAddr(source int) (string, context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[min(source, len(c.addrs)-1)], c.addrsCtx
}
