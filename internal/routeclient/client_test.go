package routeclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"marblelane/internal/route"
)

// patience bounds every wait of the tests; none is expected to last.
const patience = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// hour is a clock that is moved by hand.
type hour struct {
	mu  sync.Mutex
	now time.Time
}

func (h *hour) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hour) pass(d time.Duration) {
	h.mu.Lock()
	h.now = h.now.Add(d)
	h.mu.Unlock()
}

// copyStub is a stand-in copy of the list service. Each watch takes what the test gives it next.
type copyStub struct {
	*httptest.Server
	watches chan watchStub
	report  atomic.Pointer[func(route.Report) (int, any)] // nil: 503
	units   atomic.Pointer[func(route.BudgetRequest) (int, any)]
	asked   atomic.Int64 // posts
}

type watchStub struct {
	query string
	text  chan string // closed: the answer ends
	gone  <-chan struct{}
}

func newCopy(t *testing.T) *copyStub {
	c := &copyStub{watches: make(chan watchStub, 64)}
	c.Server = httptest.NewServer(c)
	t.Cleanup(func() {
		c.CloseClientConnections()
		c.Close()
	})
	return c
}

func (c *copyStub) addr() string { return c.Listener.Addr().String() }

func (c *copyStub) answers(with route.ReportResponse) {
	f := func(route.Report) (int, any) { return http.StatusOK, with }
	c.report.Store(&f)
}

func (c *copyStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case route.TablePath:
		watch := watchStub{r.URL.RawQuery, make(chan string), r.Context().Done()}
		w.(http.Flusher).Flush()
		c.watches <- watch
		for {
			select {
			case <-watch.gone:
				return
			case text, more := <-watch.text:
				if !more {
					return
				}
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			}
		}
	case route.ReportPath:
		c.asked.Add(1)
		post(w, r, c.report.Load())
	case route.BudgetsPath:
		c.asked.Add(1)
		post(w, r, c.units.Load())
	}
}

func post[T any](w http.ResponseWriter, r *http.Request, f *func(T) (int, any)) {
	var in T
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || f == nil || r.Method != http.MethodPost {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
		return
	}
	status, answer := (*f)(in)
	if to, ok := answer.(string); ok {
		http.Redirect(w, r, to+r.URL.Path, status)
		return
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(answer)
}

func (w watchStub) say(t *testing.T, text string) {
	t.Helper()
	select {
	case w.text <- text:
	case <-time.After(patience):
		t.Fatal("nobody listens to the watch")
	}
}

// play is a Client under test.
type play struct {
	*Client
	t     *testing.T
	clock *hour
	woken chan struct{}
	log   *lines
	end   func()
}

// lines is a log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// begin starts one with quick times; change: before it runs. No copy: it is not run.
func begin(t *testing.T, change func(*Client), copies ...*copyStub) *play {
	t.Helper()
	p := &play{t: t, clock: &hour{now: time.Now()}, woken: make(chan struct{}, 1), log: &lines{}}
	var addrs []string
	for _, c := range copies {
		addrs = append(addrs, c.addr())
	}
	if addrs == nil {
		addrs = []string{"127.0.0.1:1"}
	}
	s, err := New(Config{
		Addrs: addrs, Name: "n0", Start: 7, Version: "v", Digest: "d", Schemas: []int{1, 2}, Now: p.clock.Now,
		Wake: func() { signal(p.woken) }, Log: slog.New(slog.NewTextHandler(p.log, nil)),
	})
	require.NoError(t, err)
	s.timings = timings{
		silence: time.Hour, pauseLeast: time.Millisecond, pauseMost: 4 * time.Millisecond, first: 4 * time.Millisecond,
		soon: time.Millisecond, late: 4 * time.Millisecond, call: patience, hold: 4 * time.Millisecond,
		holdSoon: time.Millisecond, last: patience,
	}
	if change != nil {
		change(s)
	}
	p.Client = s
	if copies == nil {
		return p
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	p.end = sync.OnceFunc(func() {
		cancel()
		receive(t, "the end", ended)
	})
	t.Cleanup(p.end)
	return p
}

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// news waits for news that are as wanted.
func (p *play) news(what string, wanted func(Update) bool) Update {
	p.t.Helper()
	for limit := time.After(patience); ; {
		if n, ok := p.Take(); ok && wanted(n) {
			return n
		}
		select {
		case <-p.woken:
		case <-limit:
			p.t.Fatalf("waited in vain for %s", what)
		}
	}
}

func (p *play) table(rev int64) *route.Table {
	p.t.Helper()
	return p.news(fmt.Sprint("revision ", rev), func(n Update) bool { return n.Table != nil && n.Table.Rev == rev }).Table
}

func document(t *testing.T, rev int64) string {
	text, err := route.Write(&route.Table{Rev: rev}, route.Newest)
	require.NoError(t, err)
	return string(text)
}

// permitted gives a Client that acts on a revision with a permission of a term from now.
func permitted(t *testing.T, rev int64, term time.Duration) *play {
	p := begin(t, nil)
	p.ActOn(rev)
	p.permit(p.clock.Now(), term)
	return p
}

func TestLastLook(t *testing.T) {
	p := permitted(t, 5, time.Second)
	for _, c := range []struct {
		name   string
		passed time.Duration
		rev    int64
		canary bool
		under  int64
		ok     bool
	}{
		{"base", 0, 5, false, 5, true},
		{"canary", 0, 5, true, 5, true},
		{"base of an older revision", 0, 4, false, 0, false},
		{"canary of an older revision", 0, 4, true, 0, false},
		{"of none that is acted on yet", 0, 6, true, 0, false},
		{"just before the end", time.Second - 1, 5, true, 5, true},
		{"canary at the end", 1, 5, true, 0, false},
		{"base at the end", 0, 5, false, 0, true},
		{"base of an older revision, at the end", 0, 4, false, 0, false},
		{"decided on without permission", 0, 0, false, 0, true},
		{"no canary is", 0, 0, true, 0, false},
	} {
		p.clock.pass(c.passed)
		under, ok := p.Begin(c.rev, "a", c.canary)
		require.Equal(t, []any{c.under, c.ok}, []any{under, ok}, c.name)
	}
	p.ActOn(4)
	require.EqualValues(t, 5, p.Status().Acts, "it went back")
	require.Equal(t, []route.Count{
		{Tenant: "a", Started: 2}, {Rev: 5, Tenant: "a", Started: 1}, {Rev: 5, Tenant: "a", Canary: true, Started: 2},
	}, p.sample(1, route.Moment{}).Counts)
}

// What is written already cannot be said otherwise: an attempt that would count under another revision than its head says
// does not begin, and no order of looks and reports has it counted.
func TestLastLookOfWhatIsSaid(t *testing.T) {
	p := permitted(t, 5, time.Second)
	require.True(t, p.BeginAs(5, "a", false, 5))
	require.False(t, p.BeginAs(4, "a", false, 5), "not acted on any more")
	p.clock.pass(time.Second)
	require.False(t, p.BeginAs(5, "a", false, 5), "the permission is over")
	require.False(t, p.BeginAs(5, "a", true, 0), "no canary without it")
	counted := []route.Count{{Rev: 5, Tenant: "a", Started: 1}}
	require.Equal(t, counted, p.sample(1, route.Moment{}).Counts)
	require.True(t, p.BeginAs(5, "a", false, 0), "its head was written after the end")
	p.permit(p.clock.Now(), time.Second)
	require.False(t, p.BeginAs(5, "a", false, 0), "a permission came after its head was written")
	counted = append([]route.Count{{Tenant: "a", Started: 1}}, counted...)
	require.Equal(t, counted, p.sample(2, route.Moment{}).Counts)
}

// A process whose start is below what an earlier one of its name has said raises it, and has permission with the next
// report. One that was the newest does not: it is being replaced.
func TestStartIsRaised(t *testing.T) {
	const newest = int64(1) << 40
	c := newCopy(t)
	var twin atomic.Int64
	starts := make(chan int64, 1000)
	answer := func(r route.Report) (int, any) {
		select {
		case starts <- r.Start:
		default:
		}
		if known := max(newest, twin.Load()); r.Start < known {
			return http.StatusOK, route.ReportResponse{Reason: "a later start of this name has reported", NewestStart: known}
		}
		return http.StatusOK, route.ReportResponse{LeaseMS: 1000}
	}
	c.report.Store(&answer)
	p := begin(t, func(s *Client) { s.timings.first, s.timings.late = time.Hour, time.Hour }, c) // the second report comes of the refusal
	require.EqualValues(t, 7, receive(t, "the first report", starts))
	require.Equal(t, newest+1, receive(t, "the second", starts))
	p.news("permission", func(n Update) bool { return !n.Until.IsZero() })
	twin.Store(newest + 9)
	for rev := range int64(3) {
		p.ActOn(rev + 1) // makes a report soon
		require.Equal(t, newest+1, receive(t, "a report as the twin is there", starts))
	}
	asks := make(chan route.BudgetRequest, 1)
	units := func(a route.BudgetRequest) (int, any) {
		select {
		case asks <- a:
		default:
		}
		return http.StatusOK, route.BudgetResponse{}
	}
	c.units.Store(&units)
	p.Offer(Sample{Purses: []route.BudgetState{{Tenant: "a", Rollout: "r", Wanted: 1}}, Short: true})
	require.Equal(t, newest+1, receive(t, "an ask", asks).Start)
}

// What a report says and what begins go together: under a revision before Have nothing begins after the sample, and
// of what began before it nothing is missing in it.
func TestNothingBeginsBehindAReport(t *testing.T) {
	p := permitted(t, 1, time.Hour)
	const last = 200
	var begun [last + 1]atomic.Int64
	var all sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				rev := p.Status().Acts
				if under, ok := p.Begin(rev, "a", true); ok {
					begun[under].Add(1)
				}
			}
		})
	}
	final := map[int64]int64{}
	for rev := int64(2); rev <= last; rev++ {
		p.ActOn(rev)
		for _, c := range p.sample(rev, route.Moment{}).Counts {
			if c.Rev < rev {
				if have, said := final[c.Rev]; said {
					require.Equal(t, have, c.Started, "more began under %d behind a report", c.Rev)
				}
				final[c.Rev] = c.Started
			}
		}
	}
	close(stop)
	all.Wait()
	for rev := int64(1); rev < last; rev++ {
		require.Equal(t, begun[rev].Load(), final[rev], "revision %d", rev)
	}
}

// The term counts from before the ask. One that counts from the answer lets canaries begin when the leader has long
// said that there are none: seen with p.clock.Now() in place of asked in tell.
func TestTermCountsFromBeforeTheAsk(t *testing.T) {
	const term, slow = time.Second, 400 * time.Millisecond
	c := newCopy(t)
	began := make(chan time.Time, 1)
	var clock *hour
	once := func(route.Report) (int, any) {
		began <- clock.Now()
		clock.pass(slow)
		f := func(route.Report) (int, any) { return http.StatusServiceUnavailable, nil }
		c.report.Store(&f)
		return http.StatusOK, route.ReportResponse{LeaseMS: term.Milliseconds()}
	}
	p := begin(t, func(s *Client) { s.ActOn(3) }, newCopy(t)) // not c yet: its clock is not known
	clock = p.clock
	c.report.Store(&once)
	p.Move([]string{c.addr()})
	at := receive(t, "the report", began)
	n := p.news("permission", func(n Update) bool { return !n.Until.IsZero() })
	require.Equal(t, at.Add(term), n.Until)
	p.clock.pass(term - slow - 1)
	_, ok := p.Begin(3, "a", true)
	require.True(t, ok, "just before the end")
	p.clock.pass(1)
	_, ok = p.Begin(3, "a", true)
	require.False(t, ok, "at the end")
	require.False(t, p.Status().Permitted)
	require.True(t, p.sample(1, route.Moment{}).NoLease)
}

// A redirect keeps the body, and the leader is asked directly from then on; when it fails the copies are asked again.
func TestReportFindsTheLeader(t *testing.T) {
	follower, leader := newCopy(t), newCopy(t)
	away := func(route.Report) (int, any) { return http.StatusTemporaryRedirect, leader.URL }
	follower.report.Store(&away)
	got := make(chan route.Report, 1000)
	var seq atomic.Int64
	take := func(r route.Report) (int, any) {
		got <- r
		return http.StatusOK, route.ReportResponse{Stamp: route.Moment{Leader: "l", MS: seq.Add(1)}, LeaseMS: 10}
	}
	leader.report.Store(&take)
	p := begin(t, nil, follower)
	first, second := receive(t, "a report", got), receive(t, "a second one", got)
	require.Equal(t, route.Process{Name: "n0", Start: 7}, first.Process)
	require.Equal(t, []any{"v", "d", int64(1)}, []any{first.Version, first.Config, first.Seq})
	require.Equal(t, []int{1, 2}, first.Schemas)
	require.True(t, first.NoLease)
	require.Equal(t, route.Moment{Leader: "l", MS: 1}, second.Echo)
	require.EqualValues(t, 1, follower.asked.Load())
	none := func(route.Report) (int, any) { return http.StatusServiceUnavailable, nil }
	leader.report.Store(&none)
	follower.report.Store(&take)
	before := second.Seq
	for receive(t, "a report by way of the follower", got).Seq == before {
	}
	p.end()
}

// A copy that fails is followed by the next, and what is told is never older than what is held.
func TestFollowGoesOnAndNeverBack(t *testing.T) {
	a, b := newCopy(t), newCopy(t)
	p := begin(t, nil, a, b)
	first := receive(t, "the watch", a.watches)
	require.Equal(t, "after=0&schema=2&watch=1", first.query)
	first.say(t, document(t, 5)+"\n\n")
	require.EqualValues(t, 5, p.table(5).Rev)
	first.say(t, document(t, 4)+"\n"+document(t, 5)+"\n"+document(t, 7)+"\n")
	p.table(7)
	close(first.text)
	second := receive(t, "the watch at the next", b.watches)
	require.Equal(t, "after=7&schema=2&watch=1", second.query)
	second.say(t, document(t, 6)+"\n"+document(t, 8)+"\n")
	p.table(8)
	c := newCopy(t)
	p.Move([]string{c.addr()})
	receive(t, "the end of the watch before", second.gone)
	receive(t, "the watch at the new address", c.watches)
}

func TestSilentWatchIsBroken(t *testing.T) {
	a, b := newCopy(t), newCopy(t)
	begin(t, func(s *Client) { s.timings.silence = 20 * time.Millisecond }, a, b)
	receive(t, "the end of the silent watch", receive(t, "the watch", a.watches).gone)
	receive(t, "the watch at the next", b.watches)
}

// Nothing of what cannot be read is taken, the last that could be stays, and it is said once for each revision.
func TestUnreadableDocuments(t *testing.T) {
	c := newCopy(t)
	p := begin(t, nil, c)
	watch := receive(t, "the watch", c.watches)
	watch.say(t, document(t, 5)+"\n")
	p.table(5)
	newer := `{"schema":9,"reads":9,"rev":6,"closed":0,"routes":[]}` + "\n"
	watch.say(t, newer+newer+`{"schema":2,"reads":1,"rev":7,"closed":0,"routes":[{"tenant":"a","share":1.5}]}`+"\n")
	until(t, "revision 7 said to be unread", func() bool { return p.sample(1, route.Moment{}).UnreadableRev == 7 })
	watch.say(t, newer+"no document\nno document\n"+document(t, 8)[:20]+"\n")
	half := document(t, 9)
	watch.say(t, half)
	close(watch.text)
	for _, text := range []string{"", half[:len(half)-1], strings.Repeat("x", 20<<20), strings.Repeat(half, 30<<10) + "\n"} {
		next := receive(t, "the next watch", c.watches)
		require.Equal(t, "after=5&schema=2&watch=1", next.query)
		select {
		case next.text <- text:
		case <-next.gone:
		}
		select {
		case next.text <- "":
		case <-next.gone:
		}
		close(next.text)
	}
	next := receive(t, "the last watch", c.watches)
	require.Equal(t, "after=5&schema=2&watch=1", next.query)
	for rev, times := range map[int]int{6: 1, 7: 1, 0: 1} {
		require.Equal(t, times, p.log.count(fmt.Sprintf("revision=%d ", rev)), "log of revision %d", rev)
	}
	require.Equal(t, 2, p.log.count(errLineBig.Error()))
	next.say(t, document(t, 10)+"\n")
	p.table(10)
	require.Zero(t, p.Status().Unread)
}

// Who is behind gets the whole table with the answer, and a new watch.
func TestAnewBreaksTheWatch(t *testing.T) {
	c := newCopy(t)
	c.answers(route.ReportResponse{})
	p := begin(t, nil, c)
	watch := receive(t, "the watch", c.watches)
	once := func(route.Report) (int, any) {
		c.answers(route.ReportResponse{})
		return http.StatusOK, route.ReportResponse{Resync: true, Table: json.RawMessage(document(t, 9)), Reason: "behind"}
	}
	c.report.Store(&once)
	p.table(9)
	receive(t, "the end of the watch", watch.gone)
	require.Equal(t, "after=9&schema=2&watch=1", receive(t, "the next watch", c.watches).query)
	require.False(t, p.Status().Permitted)
	require.Equal(t, 1, p.log.count("why=behind"))
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, patience, time.Millisecond, what)
}

// A full ring drops the oldest sample and counts it; a want survives, and totals lose nothing.
func TestFullRing(t *testing.T) {
	p := permitted(t, 1, time.Hour)
	p.Begin(1, "a", true)
	for i := range int64(ringSize + 3) {
		p.Offer(Sample{List: i, Short: i == 1, Counts: []route.Count{{Rev: 1, Tenant: "a", Canary: true, Ended: i}}})
	}
	require.Equal(t, []int64{3, 10}, []int64{p.ring.items[p.ring.first].List, p.ring.items[(p.ring.first+7)%8].List})
	r := p.sample(1, route.Moment{})
	require.Equal(t, []int64{3, 10}, []int64{r.LostSamples, r.ListRev})
	require.Equal(t, []route.Count{{Rev: 1, Tenant: "a", Canary: true, Started: 1, Ended: 10}}, r.Counts)
	require.True(t, p.short)
}

// Counts of old revisions go once they were received, not before; then no newer table is taken.
func TestCountsStayUntilTheyAreReceived(t *testing.T) {
	p := permitted(t, 1, time.Hour)
	rev := int64(0)
	for range mostRevs {
		rev++
		require.NoError(t, p.take(&route.Table{Rev: rev}))
		p.ActOn(rev)
		_, ok := p.Begin(rev, "a", false)
		require.True(t, ok)
	}
	r := p.sample(1, route.Moment{})
	require.Len(t, r.Counts, mostRevs)
	require.ErrorIs(t, p.take(&route.Table{Rev: rev + 1}), errCrowded)
	p.received(&r)
	require.NoError(t, p.take(&route.Table{Rev: rev + 1}))
	left := p.sample(2, route.Moment{}).Counts
	require.Len(t, left, keepRevs)
	require.Equal(t, rev-keepRevs+1, left[0].Rev)
}

// With many tenants a report has the newest revisions alone and says so; what it has no room for does not stay for ever.
func TestReportsAreBounded(t *testing.T) {
	p := permitted(t, 1, time.Hour)
	for rev := int64(1); rev <= 2*mostRevs; rev++ {
		require.NoError(t, p.take(&route.Table{Rev: rev}), "revision %d", rev)
		p.ActOn(rev)
		for tenant := range 200 {
			_, ok := p.Begin(rev, fmt.Sprint("tenant-", tenant), false)
			require.True(t, ok)
		}
		r := p.sample(rev, route.Moment{})
		require.LessOrEqual(t, len(r.Counts), mostCounts)
		require.Equal(t, rev, r.Counts[len(r.Counts)-1].Rev)
		require.Equal(t, rev > mostCounts/200, r.CountsTruncated)
		p.received(&r)
	}
	require.LessOrEqual(t, len(p.revs), keepRevs+1)
}

// Units are asked for while there are purses: at once when one is short or something was spent.
func TestHold(t *testing.T) {
	c := newCopy(t)
	asks := make(chan route.BudgetRequest, 1000)
	f := func(a route.BudgetRequest) (int, any) {
		asks <- a
		return http.StatusOK, route.BudgetResponse{Budgets: []route.BudgetGrant{
			{Tenant: "a", Rollout: "r", Granted: 3, MaxIdle: 1}, {Tenant: "b", Rollout: "r", Granted: 9},
		}}
	}
	c.units.Store(&f)
	p := begin(t, func(s *Client) { s.timings.hold = time.Hour }, c)
	p.Offer(Sample{List: 1})
	purse := route.BudgetState{Tenant: "a", Rollout: "r", Wanted: 2}
	p.Offer(Sample{Purses: []route.BudgetState{purse}, Short: true})
	require.Equal(t, route.BudgetRequest{
		Process: route.Process{Name: "n0", Start: 7}, Budgets: []route.BudgetState{purse},
	}, receive(t, "the first ask", asks))
	n := p.news("units", func(n Update) bool { return len(n.Grants) > 0 })
	require.Equal(t, []route.BudgetGrant{{Tenant: "a", Rollout: "r", Granted: 3, MaxIdle: 1}}, n.Grants)
	purse.Granted, purse.Spent = 3, 1
	p.Offer(Sample{Purses: []route.BudgetState{purse}})
	require.Equal(t, purse, receive(t, "the ask after a unit was spent", asks).Budgets[0])
	p.Offer(Sample{Purses: []route.BudgetState{purse}, Short: true})
	require.Equal(t, purse, receive(t, "the ask of a short purse", asks).Budgets[0])
	p.Offer(Sample{Purses: []route.BudgetState{purse}})
	purse.Returned = 2
	p.Offer(Sample{Purses: []route.BudgetState{purse}})
	p.end()
	require.Equal(t, purse, receive(t, "the last word", asks).Budgets[0])
	require.Empty(t, asks)
}

// What the loop has not taken is kept, the latest of each kind.
func TestBoxKeepsTheLatest(t *testing.T) {
	p := begin(t, nil)
	_, fresh := p.Take()
	require.False(t, fresh)
	now := p.clock.Now()
	require.NoError(t, p.take(&route.Table{Rev: 1}))
	p.permit(now, time.Second)
	p.grant([]route.BudgetGrant{{Tenant: "a", Granted: 1}, {Tenant: "b", Granted: 1}})
	require.NoError(t, p.take(&route.Table{Rev: 2}))
	require.NoError(t, p.take(&route.Table{Rev: 1}))
	p.grant([]route.BudgetGrant{{Tenant: "a", Granted: 4}})
	p.permit(now, 2*time.Second)
	p.permit(now.Add(time.Second), 0)
	n, fresh := p.Take()
	require.True(t, fresh)
	require.Equal(t, Update{
		Table: &route.Table{Rev: 2}, Until: now.Add(2 * time.Second),
		Grants: []route.BudgetGrant{{Tenant: "a", Granted: 4}, {Tenant: "b", Granted: 1}},
	}, n)
	_, fresh = p.Take()
	require.False(t, fresh)
}

// The end does not wait for a service that is silent.
func TestEndWithASilentService(t *testing.T) {
	c := newCopy(t)
	hung := make(chan struct{})
	defer close(hung)
	entered := make(chan struct{}, 10)
	f := func(route.Report) (int, any) {
		entered <- struct{}{}
		<-hung
		return http.StatusOK, nil
	}
	c.report.Store(&f)
	p := begin(t, func(s *Client) { s.timings.last = time.Millisecond }, c)
	receive(t, "the report", entered)
	p.end()
}
