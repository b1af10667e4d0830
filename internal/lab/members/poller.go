package members

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
)

const (
	pollInterval     = 100 * time.Millisecond // time between two polls of a process
	pollTimeout      = 3 * time.Second        // timeout of a poll, as a frozen process does not respond
	maxResponseBytes = 16 << 20               // maximum bytes read of a response: 16 MiB
)

// membersResponse has the fields of a response to GET /members that the lab reads. Decoding is lenient, so that bad
// values reach the invariants instead of failing here.
type membersResponse struct {
	Self struct {
		Name  string `json:"name"`
		Start int64  `json:"start"`
	} `json:"self"`
	View struct {
		Known     int  `json:"known"`
		Reachable int  `json:"heard"`
		Admitted  bool `json:"admitted"`
		Forced    bool `json:"forced"`
	} `json:"view"`
	EstimatedSize float64 `json:"believed"`
	Changes       int64   `json:"changes"`
	Members       []struct {
		Name  string `json:"name"`
		Start int64  `json:"start"`
		State string `json:"state"`
		Proof string `json:"proof"`
	} `json:"members"`
}

// managementAddr returns the management address in the line that a sidecar prints when it is ready.
func managementAddr(line string) (string, error) {
	for _, word := range strings.Fields(line) {
		if addr, ok := strings.CutPrefix(word, "management="); ok {
			_, _, err := net.SplitHostPort(addr)
			return addr, err
		}
	}
	return "", fmt.Errorf("no management address in %q", line)
}

// FollowProcess starts polling the process of a sidecar. ready is the line that the process printed when it was ready.
func (m *Network) FollowProcess(endpoint *Endpoint, c *process.Child, ready string) error {
	addr, err := managementAddr(ready)
	if err != nil {
		return err
	}
	m.wg.Go(func() { m.pollProcess(endpoint, c, addr) })
	return nil
}

// RecordLeaving records that a process was sent SIGTERM. After the end of the run it does nothing.
func (m *Network) RecordLeaving(c *process.Child) {
	m.mu.Lock()
	serial, ok := m.serials[c]
	m.mu.Unlock()
	if ok && m.ctx.Err() == nil {
		m.record(record.None, serial, invariant.MemberLeaves)
	}
}

// record adds an event about a process to the records of the run.
func (m *Network) record(party int, serial uint64, note string) {
	m.run.Events.Add(record.Event{Kind: record.MemberProcess, Sidecar: int32(party), Server: record.None, Class: record.None,
		Sum: serial, Note: note})
}

// pollProcess polls the membership view of a process until the process or the run ends.
func (m *Network) pollProcess(endpoint *Endpoint, c *process.Child, addr string) {
	m.mu.Lock()
	m.lastSerial++
	serial := m.lastSerial
	m.serials[c] = serial
	m.mu.Unlock()
	m.record(endpoint.party, serial, invariant.MemberServes)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	m.wg.Go(func() {
		select {
		case <-c.Ended():
			m.record(endpoint.party, serial, invariant.MemberEnded)
			m.ProcessEnded(endpoint, c)
			cancel()
		case <-ctx.Done():
		}
	})
	memberPoller := &poller{network: m, party: endpoint.party, serial: serial, url: "http://" + addr + "/members",
		statuses: map[memberID]string{}}
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	memberPoller.client = &http.Client{Transport: transport, Timeout: pollTimeout}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if err := memberPoller.poll(ctx); err != nil && ctx.Err() == nil {
			m.run.Log.Debug("lab: poll of member failed", "member", endpoint.party, "err", err)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// memberID identifies one process of a member by name and start time.
type memberID struct {
	name  string
	start int64
}

// poller polls the membership view of one process and records it.
type poller struct {
	network  *Network
	party    int
	serial   uint64
	url      string
	client   *http.Client
	statuses map[memberID]string // status of each member in the previous response
}

// poll requests the view once and records the response.
func (p *poller) poll(ctx context.Context) error {
	called := p.network.run.Events.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	resp.Body.Close()
	var got membersResponse
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return errors.New(resp.Status)
	}
	if err := json.Unmarshal(text, &got); err != nil {
		return err
	}
	p.record(called, p.network.run.Events.Now(), &got)
	return nil
}

// record records a response, and the status of each member whose status differs from the previous response.
func (p *poller) record(called, answered time.Duration, got *membersResponse) {
	event := record.Event{T: answered, Kind: record.MembershipStatus, Sidecar: int32(p.party), Sum: p.serial,
		Want: uint64(answered - called), N: got.Self.Start, Status: int32(got.View.Known), Attempt: int16(got.View.Reachable), Work: got.EstimatedSize,
		Canary: got.View.Admitted, Rev: got.Changes, Server: int32(len(got.Members))}
	if got.View.Forced {
		event.Class = 1
	}
	self := memberID{got.Self.Name, got.Self.Start}
	for _, v := range got.Members {
		if (memberID{v.Name, v.Start}) == self && v.State == invariant.Gone && v.Proof == invariant.MemberLeft {
			event.Note = invariant.MemberLeft
		}
	}
	p.network.run.Events.Add(event)
	statusEvent := record.Event{T: answered, Kind: record.MemberStatus, Sidecar: int32(p.party), Server: record.None,
		Class: record.None, Sum: p.serial, Want: event.Want}
	statuses := make(map[memberID]string, len(got.Members))
	for _, v := range got.Members {
		key := memberID{v.Name, v.Start}
		statuses[key] = strings.TrimSpace(v.State + " " + v.Name + " " + v.Proof)
		if statuses[key] != p.statuses[key] {
			statusEvent.N, statusEvent.Note = v.Start, statuses[key]
			p.network.run.Events.Add(statusEvent)
		}
	}
	for key := range p.statuses {
		if _, ok := statuses[key]; !ok {
			statusEvent.N, statusEvent.Note = key.start, invariant.Absent+" "+key.name
			p.network.run.Events.Add(statusEvent)
		}
	}
	p.statuses = statuses
}
