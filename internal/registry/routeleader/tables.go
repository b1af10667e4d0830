package routeleader

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// tables distributes the routes table to watches in the same way as listserver.Hub distributes the list: as a linked
// list with one node for each revision, which is encoded once for each set of schemas.
type tables struct {
	mu          sync.Mutex
	tail        *tableNode
	moments     []moment
	upperBounds []moment           // newest revision of the leader at the time of each poll; see observeRev
	proposed    map[*proposal]bool // changes in flight that this replica has proposed
	defect      Defect
}

// proposal is a change that this replica has proposed as leader of a term.
type proposal struct {
	at   time.Time
	term uint64
}

// tableNode is one revision of the table. ready is closed when there is a newer revision, after next is set.
type tableNode struct {
	n     int64
	next  *tableNode
	ready chan struct{}

	defect Defect
	mu     sync.Mutex
	table  route.Table
	texts  map[string]encodedTable // encodings by set of schemas
}

// encodedTable is the table encoded for readers of a set of schemas. text is nil if no schema of the set can express
// the table.
type encodedTable struct {
	text     []byte
	verdict  route.Verdict
	findings []route.Finding
}

// moment is the earliest possible commit time of a revision, or the latest possible time at which this revision and all
// earlier ones were closed.
type moment struct {
	rev    int64
	closed bool
	at     time.Time // includes a monotonic reading
}

const (
	maxMoments           = 4096 // maximum number of commit and close times kept in memory
	maxSchemasPerProcess = 16   // maximum number of schemas that a process may name
)

func newTables(defect Defect) *tables {
	t := &tables{defect: defect, proposed: map[*proposal]bool{}}
	t.tail = t.newNode(0, route.Table{})
	return t
}

func (t *tables) newNode(n int64, table route.Table) *tableNode {
	return &tableNode{n: n, table: table, defect: t.defect, ready: make(chan struct{}), texts: map[string]encodedTable{}}
}

// follow publishes the table of a state if it has changed. term is the term of the log entry that changed the table,
// or 0 if no log entry did.
func (t *tables) follow(s *rollout.State, term uint64, now time.Time) {
	if rev, closed := t.newest().revisions(); rev != s.Rev() || closed != s.ClosedRev() {
		t.set(s.Table(), term, now)
	}
}

// Follow publishes the table of a state; see tables.follow.
func (r *Routing) Follow(s *rollout.State, term uint64, now time.Time) { r.tables.follow(s, term, now) }

// set publishes a table. A new revision wakes the watches. A newly closed revision alone does not, and appears
// only in later reads.
func (t *tables) set(table route.Table, term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range table.Routes {
		table.Routes[i].Tenant = operators.ConfiguredTenantName(table.Routes[i].Tenant)
	}
	tail := t.tail
	rev, closed := tail.revisions()
	if table.Closed > closed {
		t.addMoment(moment{table.Closed, true, now})
	}
	if table.Rev == rev {
		tail.mu.Lock()
		tail.table, tail.texts = table, map[string]encodedTable{}
		tail.mu.Unlock()
		return
	}
	// The time of the proposal is known only if this replica proposed the change in this term.
	earliest, known := now, false
	for p := range t.proposed {
		if p.term == term {
			known = true
			if p.at.Before(earliest) {
				earliest = p.at
			}
		}
	}
	if known {
		t.addMoment(moment{table.Rev, false, earliest})
	}
	next := t.newNode(tail.n+1, table)
	t.tail, tail.next = next, next
	close(tail.ready)
}

func (t *tables) addMoment(m moment) {
	if len(t.moments) == maxMoments {
		t.moments = slices.Delete(t.moments, 0, maxMoments/2)
	}
	t.moments = append(t.moments, m)
}

// propose records a change as in flight since at. The returned function ends the record.
func (t *tables) propose(at time.Time, term uint64) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &proposal{at, term}
	t.proposed[p] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.proposed, p)
	}
}

// commitAndCloseTimes returns the earliest possible commit time and the latest possible close time of a revision, each
// zero if unknown.
func (t *tables) commitAndCloseTimes(rev int64) (committed, closed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.moments {
		switch {
		case !m.closed && m.rev == rev:
			committed = m.at
		case m.closed && m.rev >= rev && closed.IsZero():
			closed = m.at
		}
	}
	if at := t.notCommittedUntil(rev); at.After(committed) {
		committed = at
	}
	return committed, closed
}

func (t *tables) newest() *tableNode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tail
}

func (l *tableNode) revisions() (rev, closed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Rev, l.table.Closed
}

// text returns the table encoded for readers of the given schemas. The encoding is cached.
func (l *tableNode) text(reads []int) (encodedTable, error) {
	reads = supportedSchemas(reads)
	key := fmt.Sprint(reads)
	l.mu.Lock()
	defer l.mu.Unlock()
	if text, ok := l.texts[key]; ok {
		return text, nil
	}
	out, err := encodeTable(l.defect.tableAsRead(&l.table, reads), reads)
	if err == nil {
		l.texts[key] = out
	}
	return out, err
}

func encodeTable(t *route.Table, reads []int) (encodedTable, error) {
	version, verdict, findings := route.ChooseSchema(t, reads)
	out := encodedTable{verdict: verdict, findings: findings}
	if verdict == route.DifferentReading || verdict == route.NoReading {
		return out, nil
	}
	text, err := route.Write(t, version)
	if err != nil {
		return encodedTable{}, fmt.Errorf("registry: the table of routes in schema %d: %w", version, err)
	}
	out.text = append(text, '\n')
	return out, nil
}

// supportedSchemas returns the schemas that this version supports, sorted and without duplicates, which bounds the
// number of encodings. A schema newer than route.Newest counts as route.Newest.
func supportedSchemas(reads []int) []int {
	var out []int
	for _, s := range reads {
		if s = min(s, route.Newest); s >= 1 {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// requestedSchemas parses the query parameter schema: one schema, or several separated by commas.
func requestedSchemas(r *http.Request) ([]int, error) {
	text := r.URL.Query().Get("schema")
	parts := strings.Split(text, ",")
	if text == "" || len(parts) > maxSchemasPerProcess {
		return nil, fmt.Errorf("schema: names %d to %d schemas that are read, such as schema=%d", 1, maxSchemasPerProcess, route.Newest)
	}
	var out []int
	for _, p := range parts {
		s, err := strconv.Atoi(p)
		if err != nil || s < 1 || s > 1000 {
			return nil, fmt.Errorf("schema: %q is no number from 1 to 1000", clip(p))
		}
		out = append(out, s)
	}
	return out, nil
}

// clip shortens a value for an error text.
func clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// table handles GET /routes.
func (r *Routing) table(w http.ResponseWriter, req *http.Request) {
	if r.rejectIfOff(w) {
		return
	}
	if age, stale := r.server.Stale(); stale {
		writeRejection(w, &Rejection{status: http.StatusServiceUnavailable, after: time.Second,
			Error: fmt.Sprintf("what this copy has may be %v old", age.Round(time.Millisecond))})
		return
	}
	reads, err := requestedSchemas(req)
	if err != nil {
		writeRejection(w, &Rejection{status: http.StatusBadRequest, Field: "schema", Error: err.Error()})
		return
	}
	after := int64(-1)
	if text := req.URL.Query().Get("after"); text != "" {
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			writeRejection(w, &Rejection{status: http.StatusBadRequest, Field: "after", Error: "after: " + strconv.Quote(clip(text)) + " is no revision"})
			return
		}
	}
	o := r.server.Options()
	if wait := r.admit.Take(time.Now(), o.AdmissionRate, float64(o.AdmissionBurst)); wait > 0 {
		r.server.CountRejectedReader()
		writeRejection(w, &Rejection{status: http.StatusServiceUnavailable, after: wait, Error: "too many readers come at once"})
		return
	}
	staleness, at := r.replica.Staleness(), r.tables.newest()
	if req.URL.Query().Get("watch") != "" {
		r.watch(w, req, at, reads, after, staleness)
		return
	}
	encoded, err := at.text(reads)
	if err != nil {
		writeRejection(w, &Rejection{status: http.StatusInternalServerError, Error: err.Error()})
		return
	}
	if encoded.text == nil {
		writeRejection(w, &Rejection{status: http.StatusConflict, Field: "schema", Findings: encoded.findings,
			Error: fmt.Sprintf("schema: the table would be %s by who reads %v", encoded.verdict, reads)})
		return
	}
	rev, _ := at.revisions()
	r.server.WriteReplicaHeaders(w, rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded.text)))
	_, _ = w.Write(encoded.text) // the client may have disconnected
}

// watch sends each newer table that the schemas of the client can express, until either side ends the watch.
func (r *Routing) watch(w http.ResponseWriter, req *http.Request, at *tableNode, reads []int, after int64, staleness time.Duration) {
	r.watches.Add(1)
	defer r.watches.Add(-1)
	rev, _ := at.revisions()
	r.server.WriteReplicaHeaders(w, rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	writeLine := r.server.LineWriter(w)
	send := func(l *tableNode) error {
		encoded, err := l.text(reads)
		if err != nil {
			r.log.Error("registry: routes: failed to encode the table", "error", err)
			return err
		}
		text := encoded.text
		if rev, _ := l.revisions(); text == nil || rev <= after {
			text = []byte("\n") // the table cannot be expressed or was already sent: an empty line as a heartbeat
		} else {
			after = rev
		}
		if !writeLine(text) {
			return errSlowWatcher
		}
		return nil
	}
	tick := time.NewTicker(listserver.WatchHeartbeat)
	defer tick.Stop()
	for err := send(at); err == nil; {
		select {
		case <-req.Context().Done():
			return
		case <-tick.C:
			if _, stale := r.server.Stale(); stale || !writeLine([]byte("\n")) {
				return // otherwise a watch on a partitioned replica would stay open without changes
			}
			continue
		case <-at.ready:
		}
		at = at.next
		if r.tables.newest().n-at.n > listserver.MaxWatcherLag {
			err = errSlowWatcher
		} else {
			err = send(at)
		}
		if errors.Is(err, errSlowWatcher) {
			r.server.CountSlowWatcher()
		}
	}
}

var errSlowWatcher = errors.New("the watch is too slow")
