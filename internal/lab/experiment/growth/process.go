package growth

// This file plays a day of one real sidecar between stand-ins, and measures what it needs.

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
	workTime       = 5 * time.Millisecond // of a server per request
	sidecarSeed    = 1
	sampleInterval = 50 * time.Millisecond
	drainTime      = 400 * time.Millisecond // from the notification that a server drains until it ends, at most
)

// dayRun is a day under way.
type dayRun struct {
	options *Options
	run     *harness.Run // the plan, the folder and the supervisor of the processes
	servers *standInServers
	agents  *agent.Agents
	meter   *meteredProxy
	ids     atomic.Uint64
}

// runRound plays a day with each size. The order alternates from round to round.
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

// runDay starts a sidecar before the servers, sends requests for the day while servers are replaced, and stops it.
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
	if notified := d.countRemovalsNotified(); notified < replaced {
		return usage, fmt.Errorf("the sidecar was told of %d of %d servers that ended", notified, replaced)
	}
	return usage, nil
}

// countRemovalsNotified returns of how many servers the sidecar was notified that they are gone.
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

func (d *dayRun) entries(listed int) []agent.Entry {
	var list []agent.Entry
	for i := range listed {
		e := d.run.Entry(i, agent.Ready, 0)
		e.Endpoint = d.servers.addr(i)
		list = append(list, e)
	}
	return list
}

// launch starts the sidecar, configured for a fleet of this size.
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

// measureUsage sends requests to the sidecar while servers are replaced, stops it, and measures until it has ended.
func (d *dayRun) measureUsage(ctx context.Context, p *testbed.Sidecar, listed, replaced int) (Usage, error) {
	load := testbed.NewLoad(p.Listen, d.run.Scenario.Classes[0].Name, d.options.Rate, d.options.Connections, &d.ids)
	driving, stopDriving := context.WithCancel(ctx)
	var background sync.WaitGroup
	var peak process.Usage
	var sampleErr error
	background.Go(func() { peak, sampleErr = samplePeak(driving, p.PID) })
	background.Go(func() { d.replace(driving, listed, replaced) })
	start := time.Now()
	done, err := load.Drive(ctx, d.options.Length)
	harness.Sleep(ctx, time.Until(start.Add(d.options.Length))) // the day ends some time after the last request
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
		return Usage{}, fmt.Errorf("the sidecar ended with %w; its log ends:\n%s", p.Err(), p.LogTail())
	case done.Sent == 0:
		return Usage{}, errors.New("no request was sent")
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

// replace drains and ends servers in steps, evenly over the day, while new ones take their places.
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

// standInServers are stand-in standInServers that give the same answer to each request.
type standInServers struct {
	http        *http.Server
	listeners   []net.Listener
	connections atomic.Int64 // connections made to them
	serving     sync.WaitGroup
}

func startServers(count int) (*standInServers, error) {
	s := &standInServers{}
	body := []byte(strings.Repeat("x", 256))
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(workTime)
			_, _ = w.Write(body) // fails if the sidecar has ended
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
		s.serving.Go(func() { _ = s.http.Serve(l) }) // until it is closed
	}
	return s, nil
}

// serverHost is a loopback address for this server alone. On 127.0.0.1 so many ports would also receive connections
// that are meant for earlier listeners.
func serverHost(server int) string { return fmt.Sprintf("127.16.%d.%d", server>>8, server&255) }

func (s *standInServers) addr(server int) string { return s.listeners[server].Addr().String() }

func (s *standInServers) close() error {
	err := s.http.Close()
	for _, l := range s.listeners { // those that are not served yet
		_ = l.Close()
	}
	s.serving.Wait()
	return err
}

// meteredProxy forwards connections to one address and counts the bytes that come back.
type meteredProxy struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64
	active   sync.WaitGroup
}

func startMeteredProxy(target string) (*meteredProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	f := &meteredProxy{target: target, listener: l}
	f.active.Go(f.accept)
	return f, nil
}

func (f *meteredProxy) addr() string { return f.listener.Addr().String() }

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
		_, _ = io.Copy(upstream, client) // until either closes
		upstream.Close()
	})
	_, _ = io.Copy(io.MultiWriter(client, (*byteCount)(&f.bytes)), upstream) // until either closes
}

// close waits for the connections to end.
func (f *meteredProxy) close() error {
	err := f.listener.Close()
	f.active.Wait()
	return err
}

// byteCount counts what is written to it.
type byteCount atomic.Int64

// Write counts and never fails.
func (c *byteCount) Write(p []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(p)))
	return len(p), nil
}
