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

// registryProxy lets sidecars follow the real registry in place of simulated discovery. Between each sidecar and replica is
// a proxy, as each sidecar reaches the servers at addresses of its own: it writes those into the entries, and records what
// the sidecar is sent. It changes nothing else of the protocol.
type registryProxy struct {
	run            *run
	cluster        *cluster.Cluster
	proxies        []*relay.Port                           // by replica
	serverByUID    map[string]int                          // its number
	rollbackDefect atomic.Pointer[rollouts.RollbackDefect] // nil: it is not planted

	mu        sync.Mutex
	removed   map[int]bool // servers whose entries were removed
	published map[int]int  // by server: how many changes were published
	applied   map[int]int  // by server: the last change that was written
	timers    []*time.Timer

	writes chan func(context.Context)
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

const (
	writeQueue        = 1000
	heartbeatInterval = 100 * time.Millisecond // of the leader
	writeRetryDelay   = 20 * time.Millisecond
)

// openRegistry starts the replicas with a list of all servers that run, and the proxies before them.
func (r *run) openRegistry(ctx context.Context, entries []agent.Entry) error {
	s := &registryProxy{run: r, serverByUID: map[string]int{}, removed: map[int]bool{}, published: map[int]int{},
		applied: map[int]int{}, writes: make(chan func(context.Context), writeQueue)}
	r.registry = s
	s.cluster = cluster.New(r.Run, &scenario.Registry{Replicas: r.Scenario.Discovery.RegistryReplicas,
		HeartbeatInterval: scenario.Duration(heartbeatInterval), MaxStaleness: r.Scenario.Discovery.MaxStaleness})
	for i := range r.Plan.Servers {
		s.serverByUID[r.Plan.Servers[i].UID] = i
	}
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	s.wg.Go(func() { s.runWrites(writing) })
	if err := s.cluster.Start(ctx); err != nil {
		return err
	}
	for _, e := range entries {
		if err := s.writeEntry(ctx, e); err != nil {
			return err
		}
	}
	for k, replica := range s.cluster.Replicas {
		if err := s.openProxy(r.discoveryLinks[k], replica); err != nil {
			return err
		}
	}
	return nil
}

// runWrites runs the writes one after another, until ctx ends.
func (s *registryProxy) runWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case write := <-s.writes:
			write(ctx)
		}
	}
}

// openProxy opens the proxy before a replica. The links are those of the sidecars to it.
func (s *registryProxy) openProxy(links []*relay.Link, replica *cluster.Replica) error {
	p, err := relay.Listen(func(sidecar int) *relay.Link {
		if sidecar >= len(links) {
			return nil
		}
		return links[sidecar]
	}, func(conn *relay.Conn) { s.forward(conn, replica) })
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	s.proxies = append(s.proxies, p)
	return nil
}

// writeEntry writes the state of a server, and retries until a leader accepts it.
func (s *registryProxy) writeEntry(ctx context.Context, e agent.Entry) error {
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
		if lead := s.cluster.Leader(ctx); lead != nil {
			code, text, err := cluster.Call(ctx, method, lead.URL(path), body)
			if err == nil && (code == http.StatusOK || code == http.StatusNotFound) {
				return nil
			}
			s.run.Log.Debug("lab: the registry rejects a write", "uid", e.UID, "code", code, "answer", string(text), "err", err)
		}
		if !harness.Sleep(ctx, writeRetryDelay) {
			return errors.New("list service: no leader takes a write")
		}
	}
}

// publish writes a change after a delay. Changes are written in the order in which they become due.
func (s *registryProxy) publish(e agent.Entry, notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[e.Number]++
	change := s.published[e.Number]
	s.wg.Add(1)
	s.timers = append(s.timers, time.AfterFunc(notice, func() {
		defer s.wg.Done()
		s.writes <- func(ctx context.Context) {
			s.mu.Lock()
			if change < s.applied[e.Number] { // a later one has overtaken it, as at simulated discovery
				s.mu.Unlock()
				return
			}
			s.applied[e.Number] = change
			s.removed[e.Number] = e.State == agent.Gone
			s.mu.Unlock()
			_ = s.writeEntry(ctx, e) // it ends without it only with the run
		}
	}))
}

func (s *registryProxy) close() {
	s.mu.Lock()
	for _, t := range s.timers {
		if t.Stop() {
			s.wg.Done()
		}
	}
	s.mu.Unlock()
	s.stop()
	s.wg.Wait()
	for _, p := range s.proxies {
		p.Close()
	}
	s.cluster.Stop()
}

// maxRequestBytes bounds the body of a call of a sidecar.
const maxRequestBytes = 4 << 20

// forward passes one call of a sidecar on to a replica, and the answer back.
func (s *registryProxy) forward(conn *relay.Conn, replica *cluster.Replica) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBytes))
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { // the next byte, or the end
		_, _ = in.Peek(1)
		cancel()
		close(closed)
	}()
	defer func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine above
		<-closed
	}()
	out, err := http.NewRequestWithContext(ctx, req.Method, replica.URL(req.URL.RequestURI()), bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header = req.Header.Clone()
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(out) // a redirect is the caller's to follow
	if err != nil {
		return // the connection ends, as it would at the replica itself
	}
	defer resp.Body.Close()
	if _, err := io.WriteString(conn, s.header(resp, conn.Caller)); err != nil {
		return
	}
	rewrite := s.rewriterOf(conn.Caller, req.URL.Path, resp.StatusCode)
	if forwardLines(conn, resp.Body, rewrite) == nil {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// header is the header of an answer as a sidecar gets it.
func (s *registryProxy) header(resp *http.Response, sidecar int) string {
	text := fmt.Sprintf("HTTP/1.1 %s\r\nConnection: close\r\n", resp.Status)
	for _, key := range []string{"Retry-After", "Content-Type", "X-Registry-Rev", "X-Registry-Heard-Ms"} {
		if v := resp.Header.Get(key); v != "" {
			text += key + ": " + v + "\r\n"
		}
	}
	if location := resp.Header.Get("Location"); location != "" {
		text += "Location: " + s.proxyURL(sidecar, location) + "\r\n"
	}
	return text + "Transfer-Encoding: chunked\r\n\r\n"
}

// lineRewriter is the text that is sent in place of a line; sent has to be called once it was.
type lineRewriter func(line []byte) (text []byte, sent func())

// rewriterOf is how the lines of an answer are rewritten.
func (s *registryProxy) rewriterOf(sidecar int, path string, status int) lineRewriter {
	switch {
	case status != http.StatusOK:
		return func(line []byte) ([]byte, func()) { return line, func() {} }
	case strings.HasPrefix(path, route.TablePath):
		return func(line []byte) ([]byte, func()) { return s.rewriteRoutes(line), func() {} }
	}
	return func(line []byte) ([]byte, func()) { return s.rewriteList(sidecar, line) }
}

// forwardLines sends each line of an answer as one chunk.
func forwardLines(to io.Writer, from io.Reader, rewrite lineRewriter) error {
	for lines := bufio.NewReader(from); ; {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			if text, sent := rewrite(line); len(text) > 0 {
				if _, err := fmt.Fprintf(to, "%x\r\n%s\r\n", len(text), text); err != nil {
					return err
				}
				sent() // not before: a link that is cut may hold the line back
			}
		}
		if err != nil {
			return nil // the replica has ended the answer
		}
	}
}

// proxyURL is the address at which a sidecar follows a redirect: that of the proxy of the replica, so that faults of the
// sidecar's links hold there too.
func (s *registryProxy) proxyURL(sidecar int, location string) string {
	u, err := url.Parse(location)
	if err != nil {
		return location
	}
	for k, c := range s.cluster.Replicas {
		if c.Address == u.Host {
			u.Host = s.proxies[k].Addr(sidecar)
		}
	}
	return u.String()
}

// passRoutes is the line that a sidecar is sent in place of a line of the registry's routes.
func (s *registryProxy) rewriteRoutes(line []byte) []byte {
	if o := s.run.rollouts.Load(); o != nil {
		o.RecordSentTable(line)
	}
	if undone := s.rollbackDefect.Load(); undone != nil {
		return undone.Rewrite(line)
	}
	return line
}

// rewriteList writes a sidecar's own addresses into a line. Once the line was sent, the changes in it are recorded. A line
// that is no list stays as it is.
func (s *registryProxy) rewriteList(sidecar int, line []byte) (text []byte, sent func()) {
	var l state.List
	if len(bytes.TrimSpace(line)) == 0 || json.Unmarshal(line, &l) != nil {
		return line, func() {}
	}
	var events []record.Event
	note := func(server int, state string, boot int64) {
		events = append(events, record.Event{Kind: record.Notified, Sidecar: int32(sidecar), Server: int32(server), Class: record.None, N: boot, Note: state})
	}
	listed := map[int]bool{}
	for i := range l.Targets {
		e := &l.Targets[i]
		n, ok := s.serverByUID[e.UID]
		if !ok {
			continue
		}
		listed[n] = true
		e.Endpoint = s.run.servers[n].Port.Addr(sidecar)
		note(n, e.State, e.BootMS)
	}
	if l.All {
		s.mu.Lock()
		for n, gone := range s.removed {
			if gone && !listed[n] { // a whole list tells by leaving it out
				note(n, agent.Gone, s.run.serverStarts[n].Load())
			}
		}
		s.mu.Unlock()
	}
	text, err := json.Marshal(l)
	if err != nil {
		return nil, func() {}
	}
	return append(text, '\n'), func() {
		for _, e := range events {
			s.run.Events.Add(e)
		}
	}
}

// discoveryAddrs are the addresses of the discovery services of a sidecar, in order of preference.
func (r *run) discoveryAddrs(sidecar int) []string {
	var out []string
	if r.registry != nil {
		for _, p := range r.registry.proxies {
			out = append(out, p.Addr(sidecar))
		}
	}
	for _, a := range r.agents {
		out = append(out, a.Addr(sidecar))
	}
	return out
}

// initialList is the list that a sidecar starts from.
func (r *run) initialList(sidecar int) agent.List {
	if r.registry == nil {
		return r.agents[0].ListFor(sidecar)
	}
	l := agent.List{All: true, Targets: []agent.Entry{}}
	for i := range r.Plan.Servers {
		if r.Plan.Servers[i].Spare && r.serverStarts[i].Load() == 0 {
			continue
		}
		e := r.Entry(i, agent.Ready, r.serverStarts[i].Load())
		e.Endpoint = r.servers[i].Port.Addr(sidecar)
		l.Targets = append(l.Targets, e)
	}
	return l
}
