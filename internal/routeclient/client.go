package routeclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"marblelane/internal/route"
)

// Config configures a Client. Each report contains Name, Start, Version, ConfigDigest and Schemas.
type Config struct {
	Addrs        []string // replicas of the list service, host:port, in order of preference; at least one
	Name         string   // name of the sidecar
	Start        int64    // start time of this process, Unix ns
	Version      string   // version of this program
	ConfigDigest string   // digest of the sidecar's configuration, in hexadecimal
	Schemas      []int    // schemas that this process reads; the newest is requested

	// Wake is called when TakeUpdate has an update to return. It must not block. It may be nil.
	Wake func()
	Log  *slog.Logger // nil: slog.Default()
	// Now returns the time, with a monotonic clock reading; nil: time.Now.
	Now func() time.Time
}

// Sample is the state of the event loop, with totals since its start. The Client owns its slices after OfferSample.
type Sample struct {
	ListRev    int64         // revision of the server list
	Counts     []route.Count // Ended, Failed and Late of each revision; the Client counts Started itself
	Budgets    []route.BudgetState
	NeedsUnits bool // an attempt did not go to a canary for lack of a unit: units are requested at once
}

// Update contains the changes that the event loop has to apply.
type Update struct {
	Table      *route.Table // nil: no change
	LeaseUntil time.Time    // end of the canary lease; zero: no lease
	Grants     []route.BudgetGrant
}

// Status is the state of a Client, for metrics.
type Status struct {
	ActingRev, UnreadableRev, LostSamples int64
	HasLease                              bool
}

// Client follows the routing table, reports to the leader and requests budget units for one process.
type Client struct {
	cfg              Config
	timings          timings
	httpClient       *http.Client
	schema           int           // requested schema
	actingRevChanged chan struct{} // capacity 1: the acting revision has increased
	sampleOffered    chan struct{} // capacity 1: the ring contains a sample

	mu           sync.Mutex // guards the fields below; never held during a call
	addrs        []string
	addrsVersion int                     // incremented on each change of addrs
	breakWatch   context.CancelCauseFunc // ends the current watch

	samples      sampleRing
	newestSample Sample
	needsUnits   bool // according to a sample since the last budget request

	pendingUpdate Update
	hasUpdate     bool

	offeredRev       int64 // revision of the newest table that was offered to the loop
	actingRev        int64 // revision of the table that the loop uses
	unreadableRev    int64 // newest revision that is unreadable or rejected; 0: none since the last table
	unparsableLogged bool  // a document without a readable revision was logged since the last table
	start            int64 // start number of this process in reports; see raiseStart
	leaseUntil       time.Time

	revisions       map[int64]*revisionCounts
	revisionOrder   []int64 // keys of revisions except 0, ascending
	countsTruncated bool    // counts were dropped that no report contained
}

// New returns a Client, which does nothing until Run is called.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addrs) == 0 {
		return nil, errors.New("routeclient: Addrs is empty")
	}
	if len(cfg.Schemas) == 0 {
		return nil, errors.New("routeclient: Schemas is empty")
	}
	if cfg.Wake == nil {
		cfg.Wake = func() {}
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Client{
		cfg:              cfg,
		timings:          defaultTimings,
		httpClient:       newHTTPClient(),
		schema:           slices.Max(cfg.Schemas),
		actingRevChanged: make(chan struct{}, 1),
		sampleOffered:    make(chan struct{}, 1),
		addrs:            slices.Clone(cfg.Addrs),
		breakWatch:       func(error) {},
		start:            cfg.Start,
		revisions:        map[int64]*revisionCounts{},
	}, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: 1,
			MaxIdleConns:        maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: checkRedirect,
	}
}

// checkRedirect allows a few redirects. It rejects those that change the method, as they would drop the body.
func checkRedirect(r *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return fmt.Errorf("stopped after %d redirects", maxRedirects)
	}
	if r.Method != via[0].Method {
		return fmt.Errorf("redirect changes the method from %s to %s", via[0].Method, r.Method)
	}
	return nil
}

// Run runs the tasks until ctx ends. Then it sends a final report and a final budget request, and returns when all its
// goroutines have ended. It must be called only once.
func (c *Client) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.followTable(ctx) })
	tasks.Go(func() { c.reportPeriodically(ctx) })
	tasks.Go(func() { c.requestBudgets(ctx) })
	tasks.Wait()
	c.httpClient.CloseIdleConnections()
}

// SetAddrs replaces the addresses of the list service, in order of preference, for all later calls. An empty list is
// ignored.
func (c *Client) SetAddrs(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) == 0 || slices.Equal(addrs, c.addrs) {
		return
	}
	c.addrs = slices.Clone(addrs)
	c.addrsVersion++
	c.breakWatch(errAddrsChanged)
}

// SetActingRev records that the loop now uses the table of a revision. A revision below the current one is ignored.
func (c *Client) SetActingRev(rev int64) {
	c.mu.Lock()
	later := rev > c.actingRev
	c.actingRev = max(c.actingRev, rev)
	c.mu.Unlock()
	if later {
		signal(c.actingRevChanged)
	}
}

// RejectTable records that the loop cannot use the table of a revision.
func (c *Client) RejectTable(rev int64) {
	c.mu.Lock()
	c.unreadableRev = max(c.unreadableRev, rev)
	c.mu.Unlock()
}

// OfferSample adds a sample of the event loop. It never blocks.
func (c *Client) OfferSample(sample Sample) {
	sample.Budgets = sample.Budgets[:min(len(sample.Budgets), maxBudgets)]
	c.mu.Lock()
	c.samples.put(sample)
	c.mu.Unlock()
	signal(c.sampleOffered)
}

// TakeUpdate returns the changes since the last call, and whether there are any.
func (c *Client) TakeUpdate() (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update, fresh := c.pendingUpdate, c.hasUpdate
	c.pendingUpdate, c.hasUpdate = Update{LeaseUntil: c.leaseUntil}, false
	return update, fresh
}

// Status returns the state of the Client.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		ActingRev: c.actingRev, UnreadableRev: c.unreadableRev, LostSamples: c.samples.lost, HasLease: c.hasLease(),
	}
}

// hasLease reports whether the lease is valid. The caller holds c.mu.
func (c *Client) hasLease() bool { return c.cfg.Now().Before(c.leaseUntil) }

// signal sends a signal without blocking. A pending signal is sufficient.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// setLease sets the lease to a term that starts when it was requested. Responses arrive in the order of the requests,
// so the latest one replaces the lease, even if it ends earlier. Without a term the lease stays: the service waits for
// its end.
func (c *Client) setLease(requestedAt time.Time, term time.Duration) {
	if term <= 0 {
		return
	}
	c.mu.Lock()
	c.leaseUntil = requestedAt.Add(term)
	c.pendingUpdate.LeaseUntil, c.hasUpdate = c.leaseUntil, true
	c.mu.Unlock()
	c.cfg.Wake()
}

var errTooManyRevisions = errors.New("too many revisions without a confirmed report")

// offerTable passes a table to the loop, if it is newer than the last one offered.
func (c *Client) offerTable(table *route.Table) error {
	c.mu.Lock()
	if table.Rev <= c.offeredRev {
		c.mu.Unlock()
		return nil
	}
	if len(c.revisionOrder) >= maxRevs {
		c.mu.Unlock()
		return errTooManyRevisions
	}
	c.offeredRev = table.Rev
	c.unparsableLogged = false
	if c.unreadableRev <= table.Rev {
		c.unreadableRev = 0
	}
	c.pendingUpdate.Table, c.pendingUpdate.LeaseUntil, c.hasUpdate = table, c.leaseUntil, true
	c.mu.Unlock()
	c.cfg.Wake()
	return nil
}

// offerGrants passes grants to the loop. Each replaces a pending one of the same budget.
func (c *Client) offerGrants(grants []route.BudgetGrant) {
	c.mu.Lock()
	pending := &c.pendingUpdate
	for _, grant := range grants {
		i := slices.IndexFunc(pending.Grants, func(g route.BudgetGrant) bool {
			return g.Tenant == grant.Tenant && g.Rollout == grant.Rollout
		})
		if i >= 0 {
			pending.Grants[i] = grant
		} else if len(pending.Grants) < maxBudgets {
			pending.Grants = append(pending.Grants, grant)
		}
	}
	pending.LeaseUntil, c.hasUpdate = c.leaseUntil, true
	c.mu.Unlock()
	c.cfg.Wake()
}
