// Package routeclient is a sidecar's side of the routes that docs/routes.md promises: it follows their table, reports what
// this process acts on, and holds units of rollouts' budgets. Each of the three duties has a goroutine of its own and
// shares nothing with the loop that decides but this:
//
//   - from the loop to the duties a ring of 8 samples. When it is full the oldest is dropped and counted in
//     route.Report.Lost; samples are totals, so that nothing is lost by it.
//   - from the duties to the loop a box for one Update, in which what is later takes the place of what is earlier: a
//     stop, a rollback and the end of a permission always arrive, and nothing waits in line.
//   - one mutex, held for the time of a few map look-ups and never over a call: for Begin, which the attempts' own
//     goroutines call, for Acts, Offer and Take, and for the sample that a report is made of.
//
// The loop therefore never waits for a duty, and a duty never for the loop.
//
// Other bounds: a document and a line have 1 MiB; counts are kept for the last 16 revisions and, beyond these, until
// an answer has said that their last figures were received, but for 256 at most: then no newer table is taken until
// reports are answered again. As attempts count under a revision for a term alone after an answer, this takes 256
// changes within one term. A report has the counts of the newest revisions, 2,000 at most or those of the one acted on;
// where older ones are left out it says so from then on, and they are dropped as they come beyond the 16. A sample has
// up to 256 purses.
//
// The permission is a time on Go's monotonic clock. On Linux that is CLOCK_MONOTONIC: it goes on while the process is
// stopped, and stands still while the whole machine is suspended. A machine that is suspended while it has a permission
// is not covered by what the service says of closed revisions.
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

const (
	ringSize   = 8
	keepRevs   = 16
	mostCounts = 2000 // of one report, about 200 kB
	mostRevs   = 256
	mostPurses = 256
	mostText   = 1 << 20 // bytes of a document
	mostAnswer = mostText + 64<<10
	longest    = time.Hour // of a term: a longer one is taken for this
	redirects  = 3
	dialWait   = time.Second
)

// Config is what a Client is told at its start. Name, Start, Version, Digest and Schemas are said in each report.
type Config struct {
	Addrs   []string // of the copies of the list service, host:port, in order of preference; at least one
	Name    string   // of the sidecar
	Start   int64    // of this process, Unix ns
	Version string
	Digest  string // of the configuration, hexadecimal
	Schemas []int  // that are read; the latest is asked for
	// Wake says that Take has something. It must not block; nil: nobody waits.
	Wake func()
	Log  *slog.Logger // nil: the default one
	// Now is the clock; nil: time.Now. It must be monotonic.
	Now func() time.Time
}

// timings is the times of the duties.
type timings struct {
	silence    time.Duration // of a watch, which is broken then: an empty line comes every 2 s
	pauseLeast time.Duration // between two tries that fail, growing
	pauseMost  time.Duration
	first      time.Duration // between two reports while no term is known
	soon       time.Duration // least time between two reports
	late       time.Duration // most time between two reports
	call       time.Duration // of one report or ask
	hold       time.Duration // between two asks for units where nothing is short
	holdSoon   time.Duration // least time between two asks for units
	last       time.Duration // for the last report and ask, after the end
}

var stated = timings{
	silence: 5 * time.Second, pauseLeast: 100 * time.Millisecond, pauseMost: 5 * time.Second,
	first: time.Second, soon: 100 * time.Millisecond, late: 10 * time.Second, call: time.Second,
	hold: time.Second, holdSoon: 50 * time.Millisecond, last: 200 * time.Millisecond,
}

// Sample is what the loop says of itself, in totals since its start. Its slices are handed over.
type Sample struct {
	List   int64         // revision of the server list
	Counts []route.Count // Ended, Failed and Late of each revision; Begun is counted here
	Purses []route.BudgetState
	Short  bool // an attempt went elsewhere for want of a unit: ask at once
}

// Update is what the loop is told.
type Update struct {
	Table  *route.Table // nil: as before
	Until  time.Time    // canaries may be acted on until then; zero: they may not
	Grants []route.BudgetGrant
}

// Status is for figures.
type Status struct {
	Acts, Unread, Lost int64
	Permitted          bool
}

// Client is the duties of one process.
type Client struct {
	cfg     Config
	timings timings
	client  *http.Client
	schema  int           // that is asked for
	acted   chan struct{} // of 1: a later revision is acted on
	offered chan struct{} // of 1: the ring has something

	mu             sync.Mutex // what follows; never held over a call
	addrs          []string
	moves          int                     // of addrs
	breakWatch     context.CancelCauseFunc // of the watch under way
	ring           ring
	newest         Sample
	short          bool // a sample since the last ask for units said so
	box            Update
	full           bool // of the box
	held           int64
	actingRevision int64
	unread         int64
	start          int64 // of this process, as it is said
	garbled        bool  // what cannot be read and has no revision was logged
	until          time.Time
	revs           map[int64]*revision
	order          []int64 // of revs, growing; without 0
	cut            bool    // counts were dropped that no report has said
}

// New makes a Client, which does nothing until Run.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addrs) == 0 {
		return nil, errors.New("steer: no addresses of list services")
	}
	if len(cfg.Schemas) == 0 {
		return nil, errors.New("steer: no schemas that are read")
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
		cfg: cfg, timings: stated, schema: slices.Max(cfg.Schemas), addrs: slices.Clone(cfg.Addrs),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialWait, KeepAlive: -1}).DialContext,
				MaxIdleConnsPerHost: 1, MaxIdleConns: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
			},
			CheckRedirect: onlyPreserved,
		},
		acted: make(chan struct{}, 1), offered: make(chan struct{}, 1),
		breakWatch: func(error) {}, revs: map[int64]*revision{}, start: cfg.Start,
	}, nil
}

// onlyPreserved follows a redirect that keeps method and body, a few times.
func onlyPreserved(r *http.Request, via []*http.Request) error {
	if len(via) > redirects {
		return fmt.Errorf("more than %d redirects", redirects)
	}
	if r.Method != via[0].Method {
		return fmt.Errorf("a redirect from %s to %s", via[0].Method, r.Method)
	}
	return nil
}

// Run does the duties until ctx ends, says once more what was counted and what is given back, and returns when all
// goroutines have ended. It is called once.
func (s *Client) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.follow(ctx) })
	duties.Go(func() { s.report(ctx) })
	duties.Go(func() { s.hold(ctx) })
	duties.Wait()
	s.client.CloseIdleConnections()
}

// Move makes all calls from now on go to other addresses, in order of preference. None: nothing changes.
func (s *Client) Move(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(addrs) == 0 || slices.Equal(addrs, s.addrs) {
		return
	}
	s.addrs = slices.Clone(addrs)
	s.moves++
	s.breakWatch(errMoved)
}

// Begin is the last look at what an attempt was decided on, right before its first byte is written. It tells under
// which revision the attempt counts, and counts it in the same moment; not ok, it must not begin. A canary begins under
// the revision that is acted on, with permission; any other begins under the revision that is acted on, and without
// permission under 0. One that was decided on without permission, for which rev is 0, begins under 0 in any case.
//
// An attempt that moves to another connection looks again and counts again: what is counted is never less than what
// has begun.
func (s *Client) Begin(rev int64, tenant string, canary bool) (under int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if under, ok = s.allowed(rev, canary); ok {
		s.count(under, side{tenant, canary}).Started++
	}
	return under, ok
}

// BeginAs is Begin of an attempt whose head says already what it counts under: one that would count under something else
// must not begin, and is not counted. It is one look: after a count that is taken back, the counts would have fallen.
func (s *Client) BeginAs(rev int64, tenant string, canary bool, under int64) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if as, ok := s.allowed(rev, canary); !ok || as != under {
		return false
	}
	s.count(under, side{tenant, canary}).Started++
	return true
}

// allowed is what an attempt counts under, if it may begin; s.mu is held.
func (s *Client) allowed(rev int64, canary bool) (under int64, ok bool) {
	if under = rev; !s.cfg.Now().Before(s.until) {
		under = 0
	}
	if rev != s.actingRevision && rev != 0 || canary && under == 0 {
		return 0, false
	}
	return under, true
}

// Under is what Begin would say of an attempt that is no canary, without counting it: what a head is written for.
func (s *Client) Under(rev int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cfg.Now().Before(s.until) {
		return 0
	}
	return rev
}

// ActOn says that from now on the loop decides by the table of a revision. It never goes back.
func (s *Client) ActOn(rev int64) {
	s.mu.Lock()
	later := rev > s.actingRevision
	s.actingRevision = max(s.actingRevision, rev)
	s.mu.Unlock()
	if later {
		signal(s.acted)
	}
}

// Refused says that the loop was given the table of a revision and cannot act on it.
func (s *Client) Refused(rev int64) {
	s.mu.Lock()
	s.unread = max(s.unread, rev)
	s.mu.Unlock()
}

// Offer hands over a sample. It never waits.
func (s *Client) Offer(sample Sample) {
	sample.Purses = sample.Purses[:min(len(sample.Purses), mostPurses)]
	s.mu.Lock()
	s.ring.put(sample)
	s.mu.Unlock()
	signal(s.offered)
}

// Take gives what is new since the last one, if anything is.
func (s *Client) Take() (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news, full := s.box, s.full
	s.box, s.full = Update{Until: s.until}, false
	return news, full
}

// Status tells what the figures say.
func (s *Client) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Acts: s.actingRevision, Unread: s.unread, Lost: s.ring.lost, Permitted: s.cfg.Now().Before(s.until),
	}
}

// signal never waits: one that is there already says the same.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// permit takes in a term that counts from when it was asked for. Answers come in the order of the questions, so the
// latest counts, even if it ends earlier. Without a term what was granted before stays: the service waits for its end.
func (s *Client) permit(asked time.Time, term time.Duration) {
	if term <= 0 {
		return
	}
	s.mu.Lock()
	s.until = asked.Add(term)
	s.box.Until, s.full = s.until, true
	s.mu.Unlock()
	s.cfg.Wake()
}

var errCrowded = errors.New("too many revisions that no report was answered for")

// take hands a table to the loop, if it is later than the one held.
func (s *Client) take(t *route.Table) error {
	s.mu.Lock()
	if t.Rev <= s.held {
		s.mu.Unlock()
		return nil
	}
	if len(s.order) >= mostRevs {
		s.mu.Unlock()
		return errCrowded
	}
	s.held = t.Rev
	s.garbled = false
	if s.unread <= t.Rev {
		s.unread = 0
	}
	s.box.Table, s.box.Until, s.full = t, s.until, true
	s.mu.Unlock()
	s.cfg.Wake()
	return nil
}

// grant hands units to the loop.
func (s *Client) grant(grants []route.BudgetGrant) {
	s.mu.Lock()
	for _, g := range grants {
		i := slices.IndexFunc(s.box.Grants, func(have route.BudgetGrant) bool {
			return have.Tenant == g.Tenant && have.Rollout == g.Rollout
		})
		if i >= 0 {
			s.box.Grants[i] = g
		} else if len(s.box.Grants) < mostPurses {
			s.box.Grants = append(s.box.Grants, g)
		}
	}
	s.box.Until, s.full = s.until, true
	s.mu.Unlock()
	s.cfg.Wake()
}
