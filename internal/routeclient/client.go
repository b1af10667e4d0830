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

// Config is what a Client is made of. Name, Start, Version, ConfigDigest and Schemas are part of each report.
type Config struct {
	Addrs        []string // of the copies of the list service, host:port, in order of preference; at least one
	Name         string   // of the sidecar
	Start        int64    // of this process, Unix ns
	Version      string
	ConfigDigest string // of the sidecar's configuration, in hexadecimal
	Schemas      []int  // that this process reads; the newest is requested

	// Wake is called when TakeUpdate has something. It must not block; nil: no call.
	Wake func()
	Log  *slog.Logger // nil: the default one
	// Now is the clock, which must be monotonic; nil: time.Now.
	Now func() time.Time
}

// Sample is what the event loop says of itself, in totals since its start. Its slices are handed over.
type Sample struct {
	ListRev    int64         // revision of the server list
	Counts     []route.Count // Ended, Failed and Late of each revision; Started is counted here
	Budgets    []route.BudgetState
	NeedsUnits bool // an attempt went elsewhere for lack of a unit: units are requested at once
}

// Update is what the event loop is notified of.
type Update struct {
	Table      *route.Table // nil: no change
	LeaseUntil time.Time    // canaries may be used until then; zero: they may not
	Grants     []route.BudgetGrant
}

// Status is a client's figures.
type Status struct {
	ActingRev, UnreadableRev, LostSamples int64
	HasLease                              bool
}

// Client does the duties of one process.
type Client struct {
	cfg              Config
	timings          timings
	httpClient       *http.Client
	schema           int           // that is requested
	actingRevChanged chan struct{} // capacity 1: a later revision is acted on
	sampleOffered    chan struct{} // capacity 1: the ring has something

	mu           sync.Mutex // guards what follows; never held over a call
	addrs        []string
	addrsVersion int                     // grows with each change of addrs
	breakWatch   context.CancelCauseFunc // ends the present watch

	samples      sampleRing
	newestSample Sample
	needsUnits   bool // by a sample since the last budget request

	pendingUpdate Update
	hasUpdate     bool

	offeredRev       int64 // of the newest table that was offered to the loop
	actingRev        int64
	unreadableRev    int64 // newer than heldRev; 0: none
	unparsableLogged bool  // a document without a revision was logged
	start            int64 // of this process, as it is reported
	leaseUntil       time.Time

	revisions       map[int64]*revisionCounts
	revisionOrder   []int64 // of revisions, growing; without 0
	countsTruncated bool    // counts were dropped that no report had
}

// New makes a Client, which does nothing until Run.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addrs) == 0 {
		return nil, errors.New("routeclient: no addresses of list services")
	}
	if len(cfg.Schemas) == 0 {
		return nil, errors.New("routeclient: no schemas that are read")
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

// checkRedirect follows a few redirects that keep the method, and with it the body.
func checkRedirect(r *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return fmt.Errorf("more than %d redirects", maxRedirects)
	}
	if r.Method != via[0].Method {
		return fmt.Errorf("a redirect from %s to %s", via[0].Method, r.Method)
	}
	return nil
}

// Run does the duties until ctx ends. Then it sends a final report and a final budget request, and returns when all its
// goroutines have ended. It is called once.
func (c *Client) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { c.followTable(ctx) })
	duties.Go(func() { c.reportPeriodically(ctx) })
	duties.Go(func() { c.requestBudgets(ctx) })
	duties.Wait()
	c.httpClient.CloseIdleConnections()
}

// SetAddrs makes all calls from now on go to other addresses, in order of preference. With none nothing changes.
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

// SetActingRev says that from now on the loop decides by the table of a revision. The revision never falls.
func (c *Client) SetActingRev(rev int64) {
	c.mu.Lock()
	later := rev > c.actingRev
	c.actingRev = max(c.actingRev, rev)
	c.mu.Unlock()
	if later {
		signal(c.actingRevChanged)
	}
}

// RejectTable says that the loop cannot act on the table of a revision.
func (c *Client) RejectTable(rev int64) {
	c.mu.Lock()
	c.unreadableRev = max(c.unreadableRev, rev)
	c.mu.Unlock()
}

// OfferSample hands over a sample. It never waits.
func (c *Client) OfferSample(sample Sample) {
	sample.Budgets = sample.Budgets[:min(len(sample.Budgets), maxBudgets)]
	c.mu.Lock()
	c.samples.put(sample)
	c.mu.Unlock()
	signal(c.sampleOffered)
}

// TakeUpdate returns what is new since the last call, if anything is.
func (c *Client) TakeUpdate() (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update, fresh := c.pendingUpdate, c.hasUpdate
	c.pendingUpdate, c.hasUpdate = Update{LeaseUntil: c.leaseUntil}, false
	return update, fresh
}

// Status returns the client's figures.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		ActingRev: c.actingRev, UnreadableRev: c.unreadableRev, LostSamples: c.samples.lost, HasLease: c.hasLease(),
	}
}

// hasLease reports whether the lease lasts; c.mu is held.
func (c *Client) hasLease() bool { return c.cfg.Now().Before(c.leaseUntil) }

// signal signals without waiting; a signal that is already there says the same.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// setLease takes in a term that counts from when it was requested. Answers come in the order of the requests, so the
// latest counts, even if it ends earlier. Without a term the lease stays: the service waits for its end.
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

var errTooManyRevisions = errors.New("too many revisions that no report was answered for")

// offerTable hands a table to the loop, if it is later than the one held.
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

// offerGrants hands grants to the loop, each in place of an earlier one of the same budget.
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
