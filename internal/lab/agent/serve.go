package agent

// This file serves the list protocol to sidecars.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// serveConnection handles the requests on one connection until it ends.
func (a *Agents) serveConnection(c *relay.Conn) {
	if c.Caller >= len(a.agents) {
		return
	}
	state := a.agents[c.Caller]
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		req.Body.Close()
		if a.handleRequest(state, c, in, req) != nil || req.Close {
			return
		}
	}
}

// handleRequest responds to one request. An error means that the connection cannot be used any longer.
func (a *Agents) handleRequest(state *agentState, c *relay.Conn, in *bufio.Reader, req *http.Request) error {
	ended := make(chan struct{})
	go func() { // waits for the next request's first byte or the end of the connection
		_, _ = in.Peek(1)
		close(ended)
	}()
	defer func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // unblocks the goroutine above
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}()
	if !state.waitNotSilent(ended) {
		return errCallerDisconnected
	}
	state.mu.Lock()
	reject := state.reject
	state.mu.Unlock()
	switch {
	case reject:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case req.URL.Path != "/registry/instances" || req.Method != http.MethodGet:
		return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case req.URL.Query().Get("watch") == "":
		state.mu.Lock()
		l := a.firstResponse(state, -1)
		state.mu.Unlock()
		body, err := json.Marshal(l)
		if err != nil {
			return err
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		if err := state.writePieces(c, head+string(body), func(piece string) string { return piece }); err != nil {
			return err
		}
		a.recordNotified(state, l)
		return nil
	}
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	return a.watch(state, c, after, ended)
}

// waitNotSilent blocks while the agent is silent. It returns false if the connection ended meanwhile.
func (state *agentState) waitNotSilent(ended <-chan struct{}) bool {
	for {
		state.mu.Lock()
		silent, wake := state.silent, state.changedSignal
		state.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-wake:
		case <-ended:
			return false
		}
	}
}

// watch serves a watch: it writes a line with the changes after a revision, then one line at each change, and
// heartbeats between these lines, until the watch or the connection ends.
func (a *Agents) watch(state *agentState, c *relay.Conn, after int64, ended <-chan struct{}) error {
	if err := write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	first := true
	state.mu.Lock()
	watchBreakCount, silenceCount := state.watchBreakCount, state.silenceCount
	state.mu.Unlock()
	for {
		if !state.waitNotSilent(ended) {
			return errCallerDisconnected
		}
		s := a.watchSnapshot(state, after, first)
		list := s.list
		switch {
		case s.silenceCount != silenceCount:
			<-ended // the sidecar or the port closes the connection
			return errCallerDisconnected
		case s.fault == FaultTruncatedLine || s.fault == FaultOversizedLine:
			return writeBrokenLine(c, s.fault, s.changed, ended)
		case s.watchBreakCount != watchBreakCount:
			return errCallerDisconnected
		case s.fault == FaultStaleWatch && !first:
			list = List{}
		}
		if s.endOnChange && !first && len(list.Targets) > 0 {
			return a.endWatch(state, c, list)
		}
		if len(list.Targets) > 0 || list.All || first {
			first = false
			if after = list.Rev; s.defect != "" {
				list = a.applyDefect(state, list, s.defect, s.defectDelay, ended)
			}
			if len(list.Targets) > 0 || list.All {
				if err := a.writeList(state, c, list, s.defect == ""); err != nil {
					return err
				}
				continue
			}
		}
		select {
		case <-s.changed:
		case <-ended:
			return errCallerDisconnected
		case <-tick.C:
			if err := state.writeHeartbeat(c); err != nil {
				return err
			}
		}
	}
}

// snapshot is the part of an agent's state that a watch needs for one line.
type snapshot struct {
	changed                       <-chan struct{} // closed at the next change of the agent's state
	list                          List
	endOnChange                   bool
	fault, defect                 string
	defectDelay                   time.Duration
	watchBreakCount, silenceCount int
}

// watchSnapshot returns the state of an agent and the list that a watch has to write next.
func (a *Agents) watchSnapshot(state *agentState, after int64, first bool) snapshot {
	state.mu.Lock()
	defer state.mu.Unlock()
	s := snapshot{changed: state.changedSignal, list: a.changesSince(state, after), endOnChange: state.watchForm.EndOnChange,
		fault:  state.fault,
		defect: state.defect, defectDelay: state.defectDelay, watchBreakCount: state.watchBreakCount, silenceCount: state.silenceCount}
	if first {
		s.list = a.firstResponse(state, after)
	}
	return s
}

// writeList writes a list as one line of a watch, and records it as notified if notified is set.
func (a *Agents) writeList(state *agentState, c *relay.Conn, l List, notified bool) error {
	line, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if err := state.writeLine(c, string(line)+"\n"); err != nil {
		return err
	}
	if notified {
		a.recordNotified(state, l)
	}
	return nil
}

// writeHeartbeat writes an empty line, unless the agent is silent.
func (state *agentState) writeHeartbeat(c *relay.Conn) error {
	state.mu.Lock()
	silent := state.silent
	state.mu.Unlock()
	if silent {
		return nil
	}
	return write(c, "1\r\n\n\r\n")
}

// writeBrokenLine writes the start of a line and ends the watch without the rest: for FaultOversizedLine after
// oversizedLineBytes, otherwise at the next change of the agent's state.
func writeBrokenLine(c *relay.Conn, fault string, wake, ended <-chan struct{}) error {
	const half = `{"rev":1,"all":true,"targets":[{"uid":"s-`
	if err := write(c, fmt.Sprintf("%x\r\n%s\r\n", len(half), half)); err != nil {
		return err
	}
	if fault == FaultOversizedLine {
		part := strings.Repeat("x", 1<<20)
		for range oversizedLineBytes / len(part) {
			if err := write(c, fmt.Sprintf("%x\r\n%s\r\n", len(part), part)); err != nil {
				return err
			}
		}
		return errCallerDisconnected
	}
	select {
	case <-wake: // the fault ended or other state changed; the watch is unusable in both cases
	case <-ended:
	}
	return errCallerDisconnected
}

// applyDefect plants a defect that the checkers must detect: it records changes as notified that the sidecar gets late
// or never. It returns the list to write.
func (a *Agents) applyDefect(state *agentState, l List, defect string, delay time.Duration, ended <-chan struct{}) List {
	a.recordNotified(state, l)
	if defect == defectNotifyLate {
		select {
		case <-time.After(delay):
		case <-ended:
		}
		return l
	}
	l.Targets = slices.DeleteFunc(l.Targets, func(e Entry) bool { return e.State != Ready })
	return l
}

// recordNotified records the states of the entries of a list that the sidecar has received. For a complete list it
// also records the entries that the list omits as Gone.
func (a *Agents) recordNotified(state *agentState, l List) {
	for _, e := range l.Targets {
		a.log.Add(record.Event{Kind: record.Notified, Sidecar: int32(state.sidecar), Server: int32(e.Number),
			Class: record.None, N: e.BootMS, Note: e.State})
	}
	if !l.All {
		return
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	for n, e := range state.entries {
		if e.State == Gone || l.omitsDraining && e.State == Terminating { // a complete list omits this entry
			a.log.Add(record.Event{Kind: record.Notified, Sidecar: int32(state.sidecar), Server: int32(n),
				Class: record.None, N: e.BootMS, Note: Gone})
		}
	}
}

func write(c *relay.Conn, s string) error {
	_, err := c.Write([]byte(s))
	return err
}
