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

// registryProxy connects sidecars to the real registry in place of simulated discovery. Each replica has a proxy in
// front of it. Each sidecar reaches the servers at its own addresses, so the proxy writes these addresses into the
// list. It also records which entries were sent to the sidecar. It changes nothing else in the protocol.
type registryProxy struct {
	run            *run
	cluster        *cluster.Cluster
	proxies        []*relay.Port                           // proxies in front of the replicas, by replica number
	serverByUID    map[string]int                          // server numbers, by UID of the server
	rollbackDefect atomic.Pointer[rollouts.RollbackDefect] // planted defect of rollbacks; nil if it is not planted

	mu        sync.Mutex
	removed   map[int]bool // by server: whether the last applied change removed its entry
	published map[int]int  // by server: number of changes that were published
	applied   map[int]int  // by server: number of the last change that was written
	timers    []*time.Timer

	writes chan func(context.Context)
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

const (
	writeQueue        = 1000                   // largest number of pending writes to the registry
	heartbeatInterval = 100 * time.Millisecond // time between two heartbeats of the leader to its followers
	writeRetryDelay   = 20 * time.Millisecond  // time between two attempts of a write
)

// openRegistry starts the replicas, writes the entries of all running servers to them, and opens the proxies.
func (r *run) openRegistry(ctx context.Context, entries []agent.Entry) error {
	s := &registryProxy{run: r, serverByUID: map[string]int{}, removed: map[int]bool{}, published: map[int]int{},
		applied: map[int]int{}, writes: make(chan func(context.Context), writeQueue)}
	r.registry = s
	s.cluster = cluster.New(r.Run, &scenario.Registry{Replicas: r.Scenario.Discovery.RegistryReplicas,
		HeartbeatInterval: scenario.Duration(heartbeatInterval), MaxStaleness: r.Scenario.Discovery.MaxStaleness})
	for i := range r.Plan.Servers {
		s.serverByUID[r.Plan.Servers[i].UID] = i
	}
	writeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	s.wg.Go(func() { s.runWrites(writeCtx) })
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

// runWrites runs the queued writes one after another until ctx is done.
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

// openProxy opens the proxy in front of a replica. links are the links of the sidecars to it, by sidecar.
func (s *registryProxy) openProxy(links []*relay.Link, replica *cluster.Replica) error {
	p, err := relay.Listen(func(sidecar int) *relay.Link {
		if sidecar >= len(links) {
			return nil
		}
		return links[sidecar]
	}, func(conn *relay.Conn) { s.forward(conn, replica) })
	if err != nil {
		return fmt.Errorf("open list service proxy: %w", err)
	}
	s.proxies = append(s.proxies, p)
	return nil
}

// writeEntry writes the state of a server to the registry, and retries until a leader accepts it or ctx is done.
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
		if leader := s.cluster.Leader(ctx); leader != nil {
			code, text, err := cluster.Call(ctx, method, leader.URL(path), body)
			if err == nil && (code == http.StatusOK || code == http.StatusNotFound) {
				return nil
			}
			s.run.Log.Debug("lab: registry rejected a write", "uid", e.UID, "code", code, "answer", string(text), "err", err)
		}
		if !harness.Sleep(ctx, writeRetryDelay) {
			return errors.New("list service: no leader accepted the write")
		}
	}
}

// publish writes a change to the registry after a delay. Changes are written in the order in which they become due.
func (s *registryProxy) publish(e agent.Entry, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[e.Number]++
	change := s.published[e.Number]
	s.wg.Add(1)
	s.timers = append(s.timers, time.AfterFunc(delay, func() {
		defer s.wg.Done()
		s.writes <- func(ctx context.Context) {
			s.mu.Lock()
			if change < s.applied[e.Number] { // skipped as in simulated discovery: a later change was applied first
				s.mu.Unlock()
				return
			}
			s.applied[e.Number] = change
			s.removed[e.Number] = e.State == agent.Gone
			s.mu.Unlock()
			_ = s.writeEntry(ctx, e) // writeEntry fails only when the run ends
		}
	}))
}

// close discards the pending writes, and closes the proxies and the replicas.
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

// maxRequestBytes is the largest request body that is forwarded for a sidecar.
const maxRequestBytes = 4 << 20

// forward forwards one request of a sidecar to a replica, and the response to the sidecar.
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
	go func() { // cancels the request when the sidecar closes the connection or sends more
		_, _ = in.Peek(1)
		cancel()
		close(closed)
	}()
	defer func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // ends the Peek of the goroutine above
		<-closed
	}()
	outgoing, err := http.NewRequestWithContext(ctx, req.Method, replica.URL(req.URL.RequestURI()), bytes.NewReader(body))
	if err != nil {
		return
	}
	outgoing.Header = req.Header.Clone()
	// Uses a transport, not a client, because a transport does not follow redirects: the sidecar does.
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(outgoing)
	if err != nil {
		return // the connection to the sidecar ends, as a connection to the replica would
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

// header returns the header of the response that is sent to a sidecar.
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

// lineRewriter returns the text to send in place of a line. The caller calls sent once the text was sent.
type lineRewriter func(line []byte) (text []byte, sent func())

// rewriterOf returns the rewriter for the lines of a response.
func (s *registryProxy) rewriterOf(sidecar int, path string, status int) lineRewriter {
	switch {
	case status != http.StatusOK:
		return func(line []byte) ([]byte, func()) { return line, func() {} }
	case strings.HasPrefix(path, route.TablePath):
		return func(line []byte) ([]byte, func()) { return s.rewriteRoutes(line), func() {} }
	}
	return func(line []byte) ([]byte, func()) { return s.rewriteList(sidecar, line) }
}

// forwardLines sends each line of a response as one chunk. It returns an error if the response could not be sent.
func forwardLines(to io.Writer, from io.Reader, rewrite lineRewriter) error {
	for lines := bufio.NewReader(from); ; {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			if text, sent := rewrite(line); len(text) > 0 {
				if _, err := fmt.Fprintf(to, "%x\r\n%s\r\n", len(text), text); err != nil {
					return err
				}
				sent() // called only after the write, since a cut link can delay the line
			}
		}
		if err != nil {
			return nil // the replica has ended the response
		}
	}
}

// proxyURL returns the URL at which a sidecar follows a redirect. The address of a replica is replaced by that of its
// proxy, so that faults of the sidecar's links also apply to the redirected request.
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

// rewriteRoutes returns the line to send to a sidecar in place of a line of the registry's route table, and records
// the registry's line as sent.
func (s *registryProxy) rewriteRoutes(line []byte) []byte {
	if o := s.run.rollouts.Load(); o != nil {
		o.RecordSentTable(line)
	}
	if defect := s.rollbackDefect.Load(); defect != nil {
		return defect.Rewrite(line)
	}
	return line
}

// rewriteList returns a line of the list with the sidecar's own addresses. Calling sent records the changes in the
// line. A line that is not a list is returned unchanged.
func (s *registryProxy) rewriteList(sidecar int, line []byte) (text []byte, sent func()) {
	var list state.List
	if len(bytes.TrimSpace(line)) == 0 || json.Unmarshal(line, &list) != nil {
		return line, func() {}
	}
	var events []record.Event
	addEvent := func(server int, state string, boot int64) {
		events = append(events, record.Event{Kind: record.Notified, Sidecar: int32(sidecar), Server: int32(server), Class: record.None, N: boot, Note: state})
	}
	listed := map[int]bool{}
	for i := range list.Targets {
		e := &list.Targets[i]
		n, ok := s.serverByUID[e.UID]
		if !ok {
			continue
		}
		listed[n] = true
		e.Endpoint = s.run.servers[n].Port.Addr(sidecar)
		addEvent(n, e.State, e.BootMS)
	}
	if list.All {
		s.mu.Lock()
		for n, removed := range s.removed {
			if removed && !listed[n] { // a complete list reports a removal by omitting the entry
				addEvent(n, agent.Gone, s.run.serverStarts[n].Load())
			}
		}
		s.mu.Unlock()
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil, func() {}
	}
	return append(text, '\n'), func() {
		for _, e := range events {
			s.run.Events.Add(e)
		}
	}
}

// discoveryAddrs returns the addresses of a sidecar's discovery services in order of preference.
func (r *run) discoveryAddrs(sidecar int) []string {
	var addrs []string
	if r.registry != nil {
		for _, p := range r.registry.proxies {
			addrs = append(addrs, p.Addr(sidecar))
		}
	}
	for _, a := range r.agents {
		addrs = append(addrs, a.Addr(sidecar))
	}
	return addrs
}

// initialList returns the list in a sidecar's configuration, with which it starts.
func (r *run) initialList(sidecar int) agent.List {
	if r.registry == nil {
		return r.agents[0].ListFor(sidecar)
	}
	list := agent.List{All: true, Targets: []agent.Entry{}}
	for i := range r.Plan.Servers {
		if r.Plan.Servers[i].Spare && r.serverStarts[i].Load() == 0 {
			continue
		}
		e := r.Entry(i, agent.Ready, r.serverStarts[i].Load())
		e.Endpoint = r.servers[i].Port.Addr(sidecar)
		list.Targets = append(list.Targets, e)
	}
	return list
}
