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

// waitLimit is the timeout of every wait in the tests. A passing test waits far less.
const waitLimit = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// manualClock is a clock that a test advances.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	c.mu.Unlock()
}

// fakeService is a replica of the list service. Each watch sends the text that the test writes to it.
type fakeService struct {
	*httptest.Server
	watches chan fakeWatch
	report  atomic.Pointer[func(route.Report) (int, any)]        // handler of reports: returns the status and the body; nil: 503
	budgets atomic.Pointer[func(route.BudgetRequest) (int, any)] // handler of budget requests, like report
	posts   atomic.Int64
}

type fakeWatch struct {
	query string
	text  chan string // closed: the response ends
	ended <-chan struct{}
}

func newFakeService(t *testing.T) *fakeService {
	s := &fakeService{watches: make(chan fakeWatch, 64)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *fakeService) addr() string { return s.Listener.Addr().String() }

func (s *fakeService) respondToReports(with route.ReportResponse) {
	f := func(route.Report) (int, any) { return http.StatusOK, with }
	s.report.Store(&f)
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case route.TablePath:
		watch := fakeWatch{r.URL.RawQuery, make(chan string), r.Context().Done()}
		w.(http.Flusher).Flush()
		s.watches <- watch
		for {
			select {
			case <-watch.ended:
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
		s.posts.Add(1)
		servePost(w, r, s.report.Load())
	case route.BudgetsPath:
		s.posts.Add(1)
		servePost(w, r, s.budgets.Load())
	}
}

func servePost[T any](w http.ResponseWriter, r *http.Request, f *func(T) (int, any)) {
	var in T
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || f == nil || r.Method != http.MethodPost {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
		return
	}
	status, response := (*f)(in)
	if to, ok := response.(string); ok { // the URL of a redirect
		http.Redirect(w, r, to+r.URL.Path, status)
		return
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(response)
}

func (w fakeWatch) write(t *testing.T, text string) {
	t.Helper()
	select {
	case w.text <- text:
	case <-time.After(waitLimit):
		t.Fatal("timeout writing to the watch")
	}
}

// testClient is a Client under test.
type testClient struct {
	*Client
	t     *testing.T
	clock *manualClock
	wake  chan struct{}
	log   *logBuffer
	stop  func()
}

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// startClient runs a client with short intervals at the replicas. change, if any, modifies it before. Without replicas
// the client does not run.
func startClient(t *testing.T, change func(*Client), replicas ...*fakeService) *testClient {
	t.Helper()
	client := &testClient{t: t, clock: &manualClock{now: time.Now()}, wake: make(chan struct{}, 1), log: &logBuffer{}}
	var addrs []string
	for _, c := range replicas {
		addrs = append(addrs, c.addr())
	}
	if addrs == nil {
		addrs = []string{"127.0.0.1:1"}
	}
	underTest, err := New(Config{
		Addrs: addrs, Name: "n0", Start: 7, Version: "v", ConfigDigest: "d", Schemas: []int{1, 2}, Now: client.clock.Now,
		Wake: func() { signal(client.wake) }, Log: slog.New(slog.NewTextHandler(client.log, nil)),
	})
	require.NoError(t, err)
	underTest.timings = timings{
		watchTimeout:          time.Hour,
		minBackoff:            time.Millisecond,
		maxBackoff:            4 * time.Millisecond,
		noLeaseReportInterval: 4 * time.Millisecond,
		minReportInterval:     time.Millisecond,
		maxReportInterval:     4 * time.Millisecond,
		callTimeout:           waitLimit,
		budgetInterval:        4 * time.Millisecond,
		minBudgetInterval:     time.Millisecond,
		finalCallTimeout:      waitLimit,
	}
	if change != nil {
		change(underTest)
	}
	client.Client = underTest
	if replicas == nil {
		return client
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		underTest.Run(ctx)
	}()
	client.stop = sync.OnceFunc(func() {
		cancel()
		receive(t, "end of Run", ended)
	})
	t.Cleanup(client.stop)
	return client
}

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitLimit):
		t.Fatalf("timeout waiting for %s", what)
		panic("unreachable")
	}
}

// waitUpdate waits for an update for which wanted returns true.
func (c *testClient) waitUpdate(what string, wanted func(Update) bool) Update {
	c.t.Helper()
	for limit := time.After(waitLimit); ; {
		if update, ok := c.TakeUpdate(); ok && wanted(update) {
			return update
		}
		select {
		case <-c.wake:
		case <-limit:
			c.t.Fatalf("timeout waiting for %s", what)
		}
	}
}

func (c *testClient) waitTable(rev int64) *route.Table {
	c.t.Helper()
	isTable := func(u Update) bool { return u.Table != nil && u.Table.Rev == rev }
	return c.waitUpdate(fmt.Sprint("revision ", rev), isTable).Table
}

func document(t *testing.T, rev int64) string {
	text, err := route.Write(&route.Table{Rev: rev}, route.Newest)
	require.NoError(t, err)
	return string(text)
}

// newLeasedClient returns a client that is not running, with an acting revision and a lease for a term from now.
func newLeasedClient(t *testing.T, rev int64, term time.Duration) *testClient {
	client := startClient(t, nil)
	client.SetActingRev(rev)
	client.setLease(client.clock.Now(), term)
	return client
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, waitLimit, time.Millisecond, what)
}
