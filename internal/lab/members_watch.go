package lab

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
	membersEvery = 100 * time.Millisecond // how often each process is asked
	membersWait  = 3 * time.Second        // for an answer; who is frozen gives none
	membersMost  = 16 << 20               // bytes of an answer
)

// membersOf is what the lab reads of what a process says; it is lenient, so that the rules judge and not a reader.
type membersOf struct {
	Self struct {
		Name  string `json:"name"`
		Start int64  `json:"start"`
	} `json:"self"`
	View struct {
		Known    int  `json:"known"`
		Heard    int  `json:"heard"`
		Admitted bool `json:"admitted"`
		Forced   bool `json:"forced"`
	} `json:"view"`
	Believed float64 `json:"believed"`
	Changes  int64   `json:"changes"`
	Members  []struct {
		Name  string `json:"name"`
		Start int64  `json:"start"`
		State string `json:"state"`
		Proof string `json:"proof"`
	} `json:"members"`
}

// managementAddr reads the address for the platform from the line with which a sidecar says that it serves.
func managementAddr(line string) (string, error) {
	for _, word := range strings.Fields(line) {
		if addr, ok := strings.CutPrefix(word, "management="); ok {
			_, _, err := net.SplitHostPort(addr)
			return addr, err
		}
	}
	return "", fmt.Errorf("no management address in %q", line)
}

// begin follows a sidecar's process that serves from now on.
func (m *members) begin(f *front, c *process.Child, ready string) error {
	addr, err := managementAddr(ready)
	if err != nil {
		return err
	}
	m.wg.Go(func() { m.follow(f, c, addr) })
	return nil
}

// leaving writes down that a process is told to end.
func (m *members) leaving(c *process.Child) {
	m.mu.Lock()
	serial, ok := m.procs[c]
	m.mu.Unlock()
	if ok && m.ctx.Err() == nil { // else the run is over
		m.note(record.None, serial, invariant.MemberLeaves)
	}
}

func (m *members) note(party int, serial uint64, note string) {
	m.r.Events.Add(record.Event{Kind: record.MemberProcess, Sidecar: int32(party), Server: record.None, Class: record.None,
		Sum: serial, Note: note})
}

// follow asks a process what it knows of the fleet, until it ends or the run does.
func (m *members) follow(f *front, c *process.Child, addr string) {
	m.mu.Lock()
	m.serial++
	serial := m.serial
	m.procs[c] = serial
	m.mu.Unlock()
	m.note(f.party, serial, invariant.MemberServes)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	m.wg.Go(func() {
		select {
		case <-c.Ended():
			m.note(f.party, serial, invariant.MemberEnded)
			m.die(f, c)
			cancel()
		case <-ctx.Done():
		}
	})
	w := &memberWatch{m: m, party: f.party, serial: serial, url: "http://" + addr + "/members",
		said: map[memberKey]string{}}
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	w.client = &http.Client{Transport: transport, Timeout: membersWait}
	t := time.NewTicker(membersEvery)
	defer t.Stop()
	for {
		if err := w.ask(ctx); err != nil && ctx.Err() == nil {
			m.r.Log.Debug("lab: a member does not say what it knows", "member", f.party, "error", err)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

type memberKey struct {
	name  string
	start int64
}

// memberWatch follows what one process says.
type memberWatch struct {
	m      *members
	party  int
	serial uint64
	url    string
	client *http.Client
	said   map[memberKey]string // of each member, as it was said last
}

// ask asks once and writes down the answer.
func (w *memberWatch) ask(ctx context.Context) error {
	called := w.m.r.Events.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url, nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, membersMost))
	resp.Body.Close()
	var got membersOf
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return errors.New(resp.Status)
	}
	if err := json.Unmarshal(text, &got); err != nil {
		return err
	}
	w.told(called, w.m.r.Events.Now(), &got)
	return nil
}

// told writes down an answer, and what it says of members that the one before did not.
func (w *memberWatch) told(called, back time.Duration, got *membersOf) {
	e := record.Event{T: back, Kind: record.MembershipStatus, Sidecar: int32(w.party), Sum: w.serial,
		Want: uint64(back - called), N: got.Self.Start, Status: int32(got.View.Known), Attempt: int16(got.View.Heard), Work: got.Believed,
		Canary: got.View.Admitted, Rev: got.Changes, Server: int32(len(got.Members))}
	if got.View.Forced {
		e.Class = 1
	}
	self := memberKey{got.Self.Name, got.Self.Start}
	for _, v := range got.Members {
		if (memberKey{v.Name, v.Start}) == self && v.State == invariant.Gone && v.Proof == invariant.MemberLeft {
			e.Note = invariant.MemberLeft
		}
	}
	w.m.r.Events.Add(e)
	one := record.Event{T: back, Kind: record.MemberStatus, Sidecar: int32(w.party), Server: record.None,
		Class: record.None, Sum: w.serial, Want: e.Want}
	said := make(map[memberKey]string, len(got.Members))
	for _, v := range got.Members {
		key := memberKey{v.Name, v.Start}
		said[key] = strings.TrimSpace(v.State + " " + v.Name + " " + v.Proof)
		if said[key] != w.said[key] {
			one.N, one.Note = v.Start, said[key]
			w.m.r.Events.Add(one)
		}
	}
	for key := range w.said {
		if _, ok := said[key]; !ok {
			one.N, one.Note = key.start, invariant.Absent+" "+key.name
			w.m.r.Events.Add(one)
		}
	}
	w.said = said
}
