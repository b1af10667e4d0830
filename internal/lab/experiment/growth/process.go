package growth

// This file runs one real sidecar for a day between a stand-in client and stand-in servers, and measures its usage.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/experiment/testbed"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

const processScenario = `
title = "growth"
length = "2s"
[sidecars]
count = 1
[network]
zones = ["north", "middle", "south"]
[[tenant]]
name = "cost"
share = 1
[[class]]
name = "look"
share = 1.0
work = "5ms"
aim = "500ms"
deadline = "2s"
`

const (
	workTime       = 5 * time.Millisecond // time in which a server handles a request
	sidecarSeed    = 1
	sampleInterval = 50 * time.Millisecond
	drainTime      = 400 * time.Millisecond // longest time from the notification that a server drains until it ends
	// notificationLimit is the longest time until a sidecar must be notified of a change that its list service has.
	notificationLimit = 6 * time.Second
)

// dayRun is the state of a day of the real sidecar.
type dayRun struct {
	options *Options
	run     *harness.Run // the plan, the directory and the supervisor of the processes
	servers *standInServers
	agents  *agent.Agents
	meter   *meteredProxy // counts the bytes from the discovery service to the sidecar
	ids     atomic.Uint64 // last request ID
}

// runRound runs a day with each size. The order alternates from round to round.
func runRound(ctx context.Context, o *Options, round int) (Pair, error) {
	var pair Pair
	runSize := func(name string, size Size, usage *Usage) error {
		var err error
		dir := filepath.Join(o.Dir, fmt.Sprintf("%s-%d", name, round))
		if *usage, err = runDay(ctx, o, size, dir); err != nil {
			return fmt.Errorf("%d servers: %w", size.Servers, err)
		}
		o.progress("round %d of %d, %d servers: %+v", round+1, o.Rounds, size.Servers, *usage)
		return nil
	}
	first := func() error { return runSize("usual", o.Usual, &pair.Usual) }
	second := func() error { return runSize("large", o.Large, &pair.Large) }
	if round%2 == 1 {
		first, second = second, first
	}
	if err := first(); err != nil {
		return pair, err
	}
	return pair, second()
}

// runDay starts the servers, the discovery service and a sidecar, and measures the sidecar over a day. It fails if the
// sidecar was not notified of the removal of each replaced server within notificationLimit.
func runDay(ctx context.Context, o *Options, size Size, dir string) (usage Usage, err error) {
	replaced := int(o.ReplacedFraction * float64(size.Servers))
	s, err := scenario.Parse("growth.toml", []byte(processScenario))
	if err != nil {
		return usage, err
	}
	s.Servers.Count = size.Servers + replaced
	base, err := harness.New(s, harness.Options{Seed: 1, Dir: dir})
	if err != nil {
		return usage, err
	}
	d := &dayRun{options: o, run: base}
	defer func() { err = errors.Join(err, d.close()) }()
	if d.servers, err = startServers(s.Servers.Count); err != nil {
		return usage, err
	}
	if err := d.startDiscovery(size.Servers); err != nil {
		return usage, err
	}
	p, err := d.launch(ctx, size)
	if err != nil {
		return usage, err
	}
	if usage, err = d.measureUsage(ctx, p, size.Servers, replaced); err != nil {
		return usage, err
	}
	return usage, nil
}

// awaitRemovalsNotified waits until the sidecar was notified of the removal of each replaced server, all of which have
// been published. It returns an error if that takes longer than notificationLimit.
func (d *dayRun) awaitRemovalsNotified(ctx context.Context, replaced int) error {
	limit := time.Now().Add(notificationLimit)
	for {
		notified := d.countRemovalsNotified()
		if notified >= replaced {
			return nil
		}
		if !time.Now().Before(limit) || !harness.Sleep(ctx, sampleInterval) {
			return fmt.Errorf("sidecar was notified of the removal of %d of %d replaced servers within %v", notified, replaced,
				notificationLimit)
		}
	}
}

// countRemovalsNotified returns the number of servers that the sidecar was notified of as removed.
func (d *dayRun) countRemovalsNotified() int {
	removed := map[int32]bool{}
	for _, e := range d.run.Events.Events() {
		if e.Kind == record.Notified && e.Note == agent.Gone {
			removed[e.Server] = true
		}
	}
	return len(removed)
}

// startDiscovery starts a discovery service that lists the first servers of the plan.
func (d *dayRun) startDiscovery(listed int) error {
	link := relay.NewLink(relay.Rules{}, 1)
	var err error
	d.agents, err = agent.New(d.run.Events, 1, d.entries(listed),
		func(_, server int) string { return d.servers.addr(server) }, func(int) *relay.Link { return link })
	if err != nil {
		return err
	}
	d.meter, err = startMeteredProxy(d.agents.Addr(0))
	return err
}

// entries returns the list entries of the first servers of the plan, all ready.
func (d *dayRun) entries(listed int) []agent.Entry {
	var list []agent.Entry
	for i := range listed {
		e := d.run.Entry(i, agent.Ready, 0)
		e.Endpoint = d.servers.addr(i)
		list = append(list, e)
	}
	return list
}

// launch starts the sidecar with the settings for a fleet of the given size. The list of servers is part of its
// configuration.
func (d *dayRun) launch(ctx context.Context, size Size) (*testbed.Sidecar, error) {
	settings := d.run.Plan.Settings(0)
	settings["peers_total"] = size.Sidecars
	settings["tenants"] = []map[string]any{{"name": testbed.Tenant, "share": 1.0, "allowance_per_s": 1e6}}
	config := testbed.BaseConfig(d.run.Scenario, sidecarSeed, d.meter.addr(), settings)
	config["known"] = agent.List{All: true, Targets: d.entries(size.Servers)}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	launcher := &testbed.Launcher{Children: d.run.Processes, Dir: d.run.Dir, MaxDescriptors: d.run.Scenario.Sidecars.MaxSockets, Config: text}
	return launcher.Launch(ctx, "sidecar", d.options.Program)
}

// measureUsage sends requests to the sidecar for the day while servers are replaced, stops the sidecar, and returns its
// usage up to its end. The day goes on until the last replacement was published and the sidecar was notified of it.
func (d *dayRun) measureUsage(ctx context.Context, p *testbed.Sidecar, listed, replaced int) (Usage, error) {
	load := testbed.NewLoad(p.Listen, d.run.Scenario.Classes[0].Name, d.options.Rate, d.options.Connections, &d.ids)
	driving, stopDriving := context.WithCancel(ctx)
	var background sync.WaitGroup
	var peak process.Usage
	var sampleErr error
	background.Go(func() { peak, sampleErr = samplePeak(driving, p.PID) })
	allPublished := make(chan struct{})
	background.Go(func() {
		defer close(allPublished)
		d.replace(ctx, listed, replaced)
	})
	start := time.Now()
	done, err := load.Drive(ctx, d.options.Length)
	harness.Sleep(ctx, time.Until(start.Add(d.options.Length))) // the last request is sent before the end of the day
	<-allPublished
	notifiedErr := d.awaitRemovalsNotified(ctx, replaced)
	load.Close()
	stopDriving()
	background.Wait()
	p.Stop()
	switch {
	case err != nil:
		return Usage{}, err
	case sampleErr != nil:
		return Usage{}, sampleErr
	case p.Err() != nil:
		return Usage{}, fmt.Errorf("sidecar ended with an error: %w; its log ends:\n%s", p.Err(), p.LogTail())
	case done.Sent == 0:
		return Usage{}, errors.New("no request was sent")
	case notifiedErr != nil:
		return Usage{}, notifiedErr
	}
	return Usage{CPU: p.CPU(), PeakMemory: float64(peak.PeakRSS) / (1 << 20), Descriptors: float64(peak.Descriptors),
		Connections: float64(d.servers.connections.Load()), ListBytes: float64(d.meter.bytes.Load()),
		Served: 1 - float64(done.Failed)/float64(done.Sent)}, nil
}

// samplePeak samples the memory and descriptors of a process until ctx ends, and returns the peaks.
func samplePeak(ctx context.Context, pid int) (process.Usage, error) {
	var peak process.Usage
	for {
		now, err := process.Measure(pid)
		if err != nil {
			return peak, err
		}
		peak.PeakRSS = max(peak.PeakRSS, now.PeakRSS)
		peak.Descriptors = max(peak.Descriptors, now.Descriptors)
		if !harness.Sleep(ctx, sampleInterval) {
			return peak, nil
		}
	}
}

// replace drains and then removes servers in steps, evenly over the day. Each step also lists as many new servers.
func (d *dayRun) replace(ctx context.Context, listed, replaced int) {
	steps := min(d.options.Steps, replaced)
	start := time.Now()
	for step := range steps {
		due := start.Add(d.options.Length * time.Duration(step+1) / time.Duration(steps+4))
		if !harness.Sleep(ctx, time.Until(due)) {
			return
		}
		var changed, removed []agent.Entry
		for i := step * replaced / steps; i < (step+1)*replaced/steps; i++ {
			old := d.run.Entry(i*listed/replaced, agent.Terminating, 0)
			changed = append(changed, d.run.Entry(listed+i, agent.Ready, time.Now().UnixMilli()), old)
			old.State = agent.Gone
			removed = append(removed, old)
		}
		d.agents.PublishAll(changed, 0, 0)
		if !harness.Sleep(ctx, min(drainTime, d.options.Length/time.Duration(2*steps+4))) {
			return
		}
		d.agents.PublishAll(removed, 0, 0)
	}
}

// close ends the sidecar, the discovery service and the servers.
func (d *dayRun) close() error {
	d.run.Close()
	var err error
	if d.meter != nil {
		err = d.meter.close()
	}
	if d.agents != nil {
		d.agents.Close()
	}
	if d.servers != nil {
		err = errors.Join(err, d.servers.close())
	}
	return err
}

// standInServers are HTTP servers that send the same response to each request.
type standInServers struct {
	http        *http.Server
	listeners   []net.Listener
	connections atomic.Int64 // number of connections that the servers accepted
	serving     sync.WaitGroup
}

// startServers starts count servers, each on its own loopback address.
func startServers(count int) (*standInServers, error) {
	s := &standInServers{}
	body := []byte(strings.Repeat("x", 256))
	s.http = &http.Server{
		DisableGeneralOptionsHandler: true,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(workTime)
			_, _ = w.Write(body) // the error is ignored: it means that the sidecar has ended
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.connections.Add(1)
			}
		},
	}
	for n := range count {
		l, err := net.Listen("tcp4", serverHost(n)+":0")
		if err != nil {
			return nil, errors.Join(fmt.Errorf("server %d of %d: %w", len(s.listeners)+1, count, err), s.close())
		}
		s.listeners = append(s.listeners, l)
		s.serving.Go(func() { _ = s.http.Serve(l) }) // returns when the server is closed
	}
	return s, nil
}

// serverHost returns a loopback address that only this server uses. With thousands of ports on 127.0.0.1, a server
// would also receive connections that are meant for an earlier listener on its port.
func serverHost(server int) string { return fmt.Sprintf("127.16.%d.%d", server>>8, server&255) }

// addr returns the address that a server listens on.
func (s *standInServers) addr(server int) string { return s.listeners[server].Addr().String() }

// close closes all listeners and connections, and waits until the servers have ended.
func (s *standInServers) close() error {
	err := s.http.Close()
	for _, l := range s.listeners { // http.Server doesn't close listeners on which Serve has not started
		_ = l.Close()
	}
	s.serving.Wait()
	return err
}

// meteredProxy forwards connections to one address and counts the bytes that the target sends.
type meteredProxy struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64
	active   sync.WaitGroup
}

// startMeteredProxy starts a proxy on a free loopback port.
func startMeteredProxy(target string) (*meteredProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for discovery connections: %w", err)
	}
	f := &meteredProxy{target: target, listener: l}
	f.active.Go(f.accept)
	return f, nil
}

// addr returns the address that the proxy listens on.
func (f *meteredProxy) addr() string { return f.listener.Addr().String() }

// accept forwards each new connection until the listener is closed.
func (f *meteredProxy) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.active.Go(func() { f.forward(c) })
	}
}

// forward forwards a connection until either side closes.
func (f *meteredProxy) forward(client net.Conn) {
	defer client.Close()
	upstream, err := net.DialTimeout("tcp4", f.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	f.active.Go(func() {
		_, _ = io.Copy(upstream, client) // ends when either side closes
		upstream.Close()
	})
	_, _ = io.Copy(io.MultiWriter(client, (*byteCount)(&f.bytes)), upstream) // ends when either side closes
}

// close closes the listener and waits for the connections to end.
func (f *meteredProxy) close() error {
	err := f.listener.Close()
	f.active.Wait()
	return err
}

// byteCount is a writer that counts the bytes written to it.
type byteCount atomic.Int64

// Write adds len(p) to the count. It never fails.
func (c *byteCount) Write(p []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(p)))
	return len(p), nil
}
