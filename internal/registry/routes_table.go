package registry

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// tables passes tables of routes on to watchers, one for each revision, as hub does for the list: linked, each encoded
// once for all that read the same schemas.
type tables struct {
	mu       sync.Mutex
	tail     *tableLine
	moments  []moment
	before   []moment           // what a leader that was asked had at most; see had
	proposed map[*proposal]bool // changes that are under way
	planted  defect
}

// proposal is a change that this copy has proposed as the leader of a term.
type proposal struct {
	at   time.Time
	term uint64
}

// tableLine is one table. next is set before ready is closed.
type tableLine struct {
	n     int64
	next  *tableLine
	ready chan struct{}

	planted defect
	mu      sync.Mutex
	table   route.Table
	texts   map[string]tableText // by the schemas that are read
}

// tableText is a table as readers of some schemas are told it; text is nil where none of them tells it alike.
type tableText struct {
	text     []byte
	verdict  route.Verdict
	findings []route.Finding
}

// moment is when a revision was committed, at the earliest; or when it and those before it were closed, at the latest.
type moment struct {
	rev    int64
	closed bool
	at     time.Time // with the monotonic clock
}

const (
	mostMoments = 4096 // kept
	mostReads   = 16   // schemas that a process may name
)

func newTables(planted defect) *tables {
	t := &tables{planted: planted, proposed: map[*proposal]bool{}}
	t.tail = t.line(0, route.Table{})
	return t
}

func (t *tables) line(n int64, table route.Table) *tableLine {
	return &tableLine{n: n, table: table, planted: t.planted, ready: make(chan struct{}), texts: map[string]tableText{}}
}

// follow takes in the table of a state if it is another one. term is that of the entry which made it so, 0: none did.
func (t *tables) follow(s *rollout.State, term uint64, now time.Time) {
	if rev, closed := t.newest().is(); rev != s.Rev() || closed != s.Closed() {
		t.set(s.Table(), term, now)
	}
}

// set takes in the table as it is now. Another revision wakes the watchers; one that was closed is told to who asks.
func (t *tables) set(table route.Table, term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range table.Routes {
		table.Routes[i].Tenant = outside(table.Routes[i].Tenant)
	}
	tail := t.tail
	rev, closed := tail.is()
	if table.Closed > closed {
		t.note(moment{table.Closed, true, now})
	}
	if table.Rev == rev {
		tail.mu.Lock()
		tail.table, tail.texts = table, map[string]tableText{}
		tail.mu.Unlock()
		return
	}
	// What was proposed elsewhere, or by this copy in another term, was so at a time that is not known here.
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
		t.note(moment{table.Rev, false, earliest})
	}
	next := t.line(tail.n+1, table)
	t.tail, tail.next = next, next
	close(tail.ready)
}

func (t *tables) note(m moment) {
	if len(t.moments) == mostMoments {
		t.moments = slices.Delete(t.moments, 0, mostMoments/2)
	}
	t.moments = append(t.moments, m)
}

// propose notes that a change is under way from a time on; what it returns notes its end.
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

// when gives when a revision was committed, at the earliest, and closed, at the latest; zero: not known.
func (t *tables) when(rev int64) (committed, closed time.Time) {
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
	if at := t.since(rev); at.After(committed) {
		committed = at
	}
	return committed, closed
}

func (t *tables) newest() *tableLine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tail
}

func (l *tableLine) is() (rev, closed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Rev, l.table.Closed
}

// text encodes the table for a process that reads some schemas, once.
func (l *tableLine) text(reads []int) (tableText, error) {
	reads = known(reads)
	key := fmt.Sprint(reads)
	l.mu.Lock()
	defer l.mu.Unlock()
	if text, ok := l.texts[key]; ok {
		return text, nil
	}
	out, err := encodeTable(l.planted.meant(&l.table, reads), reads)
	if err == nil {
		l.texts[key] = out
	}
	return out, err
}

func encodeTable(t *route.Table, reads []int) (tableText, error) {
	version, verdict, findings := route.ChooseSchema(t, reads)
	out := tableText{verdict: verdict, findings: findings}
	if verdict == route.DifferentReading || verdict == route.NoReading {
		return out, nil
	}
	text, err := route.Write(t, version)
	if err != nil {
		return tableText{}, fmt.Errorf("registry: the table of routes in schema %d: %w", version, err)
	}
	out.text = append(text, '\n')
	return out, nil
}

// known leaves of the schemas that a process reads those that this program knows: there are few, so there are few ways
// to encode a table. One newer than all counts as the newest.
func known(reads []int) []int {
	var out []int
	for _, s := range reads {
		if s = min(s, route.Newest); s >= 1 {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// readsOf reads ?schema=S, or S,S of several.
func readsOf(r *http.Request) ([]int, error) {
	text := r.URL.Query().Get("schema")
	parts := strings.Split(text, ",")
	if text == "" || len(parts) > mostReads {
		return nil, fmt.Errorf("schema: names %d to %d schemas that are read, such as schema=%d", 1, mostReads, route.Newest)
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

// clip shortens what is shown of a value.
func clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// table answers GET /routes.
func (r *routing) table(w http.ResponseWriter, req *http.Request) {
	if r.off(w) {
		return
	}
	s := r.s
	if age, stale := s.stale(); stale {
		refuse(w, &refusal{status: http.StatusServiceUnavailable, after: time.Second,
			Error: fmt.Sprintf("what this copy has may be %v old", age.Round(time.Millisecond))})
		return
	}
	reads, err := readsOf(req)
	if err != nil {
		refuse(w, &refusal{status: http.StatusBadRequest, Field: "schema", Error: err.Error()})
		return
	}
	after := int64(-1)
	if text := req.URL.Query().Get("after"); text != "" {
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			refuse(w, &refusal{status: http.StatusBadRequest, Field: "after", Error: "after: " + strconv.Quote(clip(text)) + " is no revision"})
			return
		}
	}
	o := s.o.Load()
	if wait := r.admit.take(time.Now(), o.Watches, float64(o.Burst)); wait > 0 {
		s.figures.turned.Inc()
		refuse(w, &refusal{status: http.StatusServiceUnavailable, after: wait, Error: "too many readers come at once"})
		return
	}
	heard, at := s.replica.Heard(), r.tables.newest()
	if req.URL.Query().Get("watch") != "" {
		r.watch(w, req, at, reads, after, heard)
		return
	}
	told, err := at.text(reads)
	if err != nil {
		refuse(w, &refusal{status: http.StatusInternalServerError, Error: err.Error()})
		return
	}
	if told.text == nil {
		refuse(w, &refusal{status: http.StatusConflict, Field: "schema", Findings: told.findings,
			Error: fmt.Sprintf("schema: the table would be %s by who reads %v", told.verdict, reads)})
		return
	}
	rev, _ := at.is()
	s.note(w, rev, heard)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(told.text)))
	_, _ = w.Write(told.text) // a reader that is gone needs nothing
}

// watch tells one watcher each newer table that it reads alike, until either side ends it.
func (r *routing) watch(w http.ResponseWriter, req *http.Request, at *tableLine, reads []int, after int64, heard time.Duration) {
	s := r.s
	r.watches.Add(1)
	defer r.watches.Add(-1)
	rev, _ := at.is()
	s.note(w, rev, heard)
	w.Header().Set("Content-Type", "application/json")
	say := s.sayer(w)
	tell := func(l *tableLine) error {
		told, err := l.text(reads)
		if err != nil {
			s.log.Error("registry: a table of routes cannot be told", "error", err)
			return err
		}
		text := told.text
		if rev, _ := l.is(); text == nil || rev <= after {
			text = []byte("\n") // it would read it otherwise, or has it: the line says that the service lives
		} else {
			after = rev
		}
		if !say(text) {
			return errSlow
		}
		return nil
	}
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for err := tell(at); err == nil; {
		select {
		case <-req.Context().Done():
			return
		case <-tick.C:
			if _, stale := s.stale(); stale || !say([]byte("\n")) {
				return // a watch on a copy that is cut off would look alive and tell nothing
			}
			continue
		case <-at.ready:
		}
		at = at.next
		if r.tables.newest().n-at.n > mostBehind {
			err = errSlow
		} else {
			err = tell(at)
		}
		if errors.Is(err, errSlow) {
			s.figures.slow.Inc()
		}
	}
}

var errSlow = errors.New("the watcher is slow")
