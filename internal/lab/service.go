package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/rollouts"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/registry/state"
	"marblelane/internal/route"
)

// service is the product's own list service in the place of stand-ins: real copies that sidecars follow. Between a
// sidecar and a copy stands a proxy, as each sidecar reaches the servers at addresses of its own: it writes those into
// the entries, and writes down what the sidecar is told. Nothing else of the protocol passes through other hands.
type service struct {
	r       *run
	rr      *cluster.Cluster
	ports   []*relay.Port // by copy
	numbers map[string]int

	mu     sync.Mutex
	undone atomic.Pointer[rollouts.RollbackDefect] // a planted defect

	gone map[int]bool // servers that the list has been told to forget
	news map[int]int  // by server: changes that were published
	told map[int]int  // by server: the last change that the list was told
	work chan func(context.Context)
	late []*time.Timer
	wg   sync.WaitGroup
	stop context.CancelFunc
}

// startService brings the copies up with a list of all servers that run.
func (r *run) startService(ctx context.Context, entries []agent.Entry) error {
	s := &service{r: r, numbers: map[string]int{}, gone: map[int]bool{}, news: map[int]int{}, told: map[int]int{}, work: make(chan func(context.Context), 1000)}
	r.service = s
	s.rr = cluster.New(r.Run, &scenario.Registry{Replicas: r.Scenario.Discovery.RegistryReplicas,
		HeartbeatInterval: scenario.Duration(100 * time.Millisecond), MaxStaleness: r.Scenario.Discovery.MaxStaleness})
	for i := range r.Plan.Servers {
		s.numbers[r.Plan.Servers[i].UID] = i
	}
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	s.wg.Go(func() {
		for {
			select {
			case <-working.Done():
				return
			case do := <-s.work:
				do(working)
			}
		}
	})
	if err := s.rr.Start(ctx); err != nil {
		return err
	}
	for _, e := range entries {
		if err := s.write(ctx, e); err != nil {
			return err
		}
	}
	for k, c := range s.rr.Replicas {
		p, err := relay.Listen(func(n int) *relay.Link {
			if n >= len(r.disc[k]) {
				return nil
			}
			return r.disc[k][n]
		}, func(conn *relay.Conn) { s.pass(conn, c) })
		if err != nil {
			return fmt.Errorf("list service: %w", err)
		}
		s.ports = append(s.ports, p)
	}
	return nil
}

// write tells the service of a server's state, for as long as it takes.
func (s *service) write(ctx context.Context, e agent.Entry) error {
	method, path, body := http.MethodPost, "/registry/instances/"+e.UID, []byte(nil)
	switch e.State {
	case agent.Terminating:
		path += "/drain"
	case agent.Gone:
		method = http.MethodDelete
	default:
		e.Endpoint = fmt.Sprint("lab:", e.Number)
		var err error
		if body, err = json.Marshal(e); err != nil {
			return err
		}
	}
	for {
		if lead := s.rr.Leader(ctx); lead != nil {
			code, text, err := cluster.Call(ctx, method, "http://"+lead.Address+path, body)
			if err == nil && (code == http.StatusOK || code == http.StatusNotFound) {
				return nil
			}
			s.r.Log.Debug("lab: the list service does not take it", "uid", e.UID, "code", code, "answer", string(text), "error", err)
		}
		if !harness.Sleep(ctx, 20*time.Millisecond) {
			return errors.New("list service: no leader takes a write")
		}
	}
}

// publish tells the service of a change after its notice, in the order in which changes become due.
func (s *service) publish(e agent.Entry, notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news[e.Number]++
	news := s.news[e.Number]
	s.wg.Add(1)
	s.late = append(s.late, time.AfterFunc(notice, func() {
		defer s.wg.Done()
		s.work <- func(ctx context.Context) {
			s.mu.Lock()
			if news < s.told[e.Number] { // a later one has overtaken it, as at the stand-ins
				s.mu.Unlock()
				return
			}
			s.told[e.Number] = news
			s.gone[e.Number] = e.State == agent.Gone
			s.mu.Unlock()
			_ = s.write(ctx, e) // it ends without it only with the run
		}
	}))
}

func (s *service) close() {
	s.mu.Lock()
	for _, t := range s.late {
		if t.Stop() {
			s.wg.Done()
		}
	}
	s.mu.Unlock()
	s.stop()
	s.wg.Wait()
	for _, p := range s.ports {
		p.Close()
	}
	s.rr.Stop()
}

// pass answers one call of a sidecar with what a copy answers.
func (s *service) pass(c *relay.Conn, to *cluster.Replica) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, mostPassed))
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() { // the next byte, or the end
		_, _ = in.Peek(1)
		cancel()
		close(ended)
	}()
	defer func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine above
		<-ended
	}()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+to.Address+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header = req.Header.Clone()
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(out) // a redirect is the caller's to follow
	if err != nil {
		return // the connection ends, as it would at the copy itself
	}
	defer resp.Body.Close()
	head := fmt.Sprintf("HTTP/1.1 %s\r\nConnection: close\r\n", resp.Status)
	for _, key := range []string{"Retry-After", "Content-Type", "X-Registry-Rev", "X-Registry-Heard-Ms"} {
		if v := resp.Header.Get(key); v != "" {
			head += key + ": " + v + "\r\n"
		}
	}
	if place := resp.Header.Get("Location"); place != "" {
		head += "Location: " + s.place(c.Caller, place) + "\r\n"
	}
	translate := func(line []byte) ([]byte, func()) { return s.translate(c.Caller, line) }
	untold := func(line []byte) ([]byte, func()) { return line, func() {} }
	switch {
	case resp.StatusCode != http.StatusOK:
		translate = untold
	case strings.HasPrefix(req.URL.Path, route.TablePath):
		translate = func(line []byte) ([]byte, func()) { return s.passRoutes(line), func() {} }
	}
	if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			if text, tell := translate(line); len(text) > 0 {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
					return
				}
				tell() // not before: a link that is cut may hold it
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// mostPassed bounds what a sidecar may send to the list service.
const mostPassed = 4 << 20

// place is where a sidecar reaches what a copy sends it on to: the proxy of that copy, so that faults of its links hold
// there too.
func (s *service) place(sidecar int, location string) string {
	u, err := url.Parse(location)
	if err != nil {
		return location
	}
	for k, c := range s.rr.Replicas {
		if c.Address == u.Host {
			u.Host = s.ports[k].Addr(sidecar)
		}
	}
	return u.String()
}

// passRoutes is the line that a sidecar is sent in place of a line of the registry's routes.
func (s *service) passRoutes(line []byte) []byte {
	if o := s.r.rollouts.Load(); o != nil {
		o.RecordLine(line)
	}
	if undone := s.undone.Load(); undone != nil {
		return undone.Rewrite(line)
	}
	return line
}

// translate writes a sidecar's own addresses into a line, and gives what records that it was told. A line that is no list
// passes.
func (s *service) translate(sidecar int, line []byte) (text []byte, tell func()) {
	var l state.List
	if len(bytes.TrimSpace(line)) == 0 || json.Unmarshal(line, &l) != nil {
		return line, func() {}
	}
	var told []record.Event
	note := func(server int, state string, boot int64) {
		told = append(told, record.Event{Kind: record.Notified, Sidecar: int32(sidecar), Server: int32(server), Class: record.None, N: boot, Note: state})
	}
	named := map[int]bool{}
	for i := range l.Targets {
		e := &l.Targets[i]
		n, ok := s.numbers[e.UID]
		if !ok {
			continue
		}
		named[n] = true
		e.Endpoint = s.r.servers[n].Port.Addr(sidecar)
		note(n, e.State, e.BootMS)
	}
	if l.All {
		s.mu.Lock()
		for n, gone := range s.gone {
			if gone && !named[n] { // a whole list tells by leaving it out
				note(n, agent.Gone, s.r.boots[n].Load())
			}
		}
		s.mu.Unlock()
	}
	text, err := json.Marshal(l)
	if err != nil {
		return nil, func() {}
	}
	return append(text, '\n'), func() {
		for _, e := range told {
			s.r.Events.Add(e)
		}
	}
}

// listAddrs are where a sidecar finds its list services, in order of preference.
func (r *run) listAddrs(sidecar int) []string {
	var out []string
	if r.service != nil {
		for _, p := range r.service.ports {
			out = append(out, p.Addr(sidecar))
		}
	}
	for _, a := range r.agents {
		out = append(out, a.Addr(sidecar))
	}
	return out
}

// known is the list that a sidecar starts from.
func (r *run) known(sidecar int) agent.List {
	if r.service == nil {
		return r.agents[0].ListFor(sidecar)
	}
	l := agent.List{All: true, Targets: []agent.Entry{}}
	for i := range r.Plan.Servers {
		if r.Plan.Servers[i].Spare && r.boots[i].Load() == 0 {
			continue
		}
		e := r.Entry(i, agent.Ready, r.boots[i].Load())
		e.Endpoint = r.servers[i].Port.Addr(sidecar)
		l.Targets = append(l.Targets, e)
	}
	return l
}

// copyFault begins a fault of the service's copies and gives what undoes it.
func (s *service) copyFault(ctx context.Context, p *scenario.FaultPlan) (func() error, error) {
	if !strings.HasPrefix(p.Fault.Kind, "copy-") {
		return nil, fmt.Errorf("no such fault of the list service")
	}
	return s.rr.InjectFault(ctx, p)
}
