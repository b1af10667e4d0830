package agent

// This file answers the calls of sidecars.

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

// serve answers the calls on one connection.
func (a *Agents) serve(c *relay.Conn) {
	if c.Caller >= len(a.agents) {
		return
	}
	v := a.agents[c.Caller]
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		req.Body.Close()
		if a.answer(v, c, in, req) != nil || req.Close {
			return
		}
	}
}

func (a *Agents) answer(v *agentState, c *relay.Conn, in *bufio.Reader, req *http.Request) error {
	ended := make(chan struct{})
	go func() { // waits for the next byte or the end of the stream
		_, _ = in.Peek(1)
		close(ended)
	}()
	defer func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // unblocks the goroutine above
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}()
	if !v.waitNotSilent(ended) {
		return errCallerGone
	}
	v.mu.Lock()
	reject := v.reject
	v.mu.Unlock()
	switch {
	case reject:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case req.URL.Path != "/registry/instances" || req.Method != http.MethodGet:
		return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case req.URL.Query().Get("watch") == "":
		v.mu.Lock()
		l := a.firstAnswer(v, -1)
		v.mu.Unlock()
		body, err := json.Marshal(l)
		if err != nil {
			return err
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		if err := v.writePieces(c, head+string(body), func(piece string) string { return piece }); err != nil {
			return err
		}
		a.recordNotified(v, l)
		return nil
	}
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	return a.watch(v, c, after, ended)
}

// waitNotSilent blocks while the agent is silent; false: the connection ended.
func (v *agentState) waitNotSilent(ended <-chan struct{}) bool {
	for {
		v.mu.Lock()
		silent, wake := v.silent, v.changedSignal
		v.mu.Unlock()
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

// watch writes a line at each change until the connection ends.
func (a *Agents) watch(v *agentState, c *relay.Conn, after int64, ended <-chan struct{}) error {
	if err := write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	first := true
	v.mu.Lock()
	breaks, silencings := v.watchBreaks, v.silencings
	v.mu.Unlock()
	for {
		if !v.waitNotSilent(ended) {
			return errCallerGone
		}
		s := a.watchSnapshot(v, after, first)
		list := s.list
		switch {
		case s.silencings != silencings:
			<-ended // the caller's close, or this port's
			return errCallerGone
		case s.fault == FaultTruncatedLine || s.fault == FaultOversizedLine:
			return breakLine(c, s.fault, s.changed, ended)
		case s.watchBreaks != breaks:
			return errCallerGone
		case s.fault == FaultStaleWatch && !first:
			list = List{}
		}
		if s.endOnChange && !first && len(list.Targets) > 0 {
			return a.endWatch(v, c, list)
		}
		if len(list.Targets) > 0 || list.All || first {
			first = false
			if after = list.Rev; s.defect != "" {
				list = a.applyDefect(v, list, s.defect, s.defectDelay, ended)
			}
			if len(list.Targets) > 0 || list.All {
				if err := a.writeList(v, c, list, s.defect == ""); err != nil {
					return err
				}
				continue
			}
		}
		select {
		case <-s.changed:
		case <-ended:
			return errCallerGone
		case <-tick.C:
			if err := v.writeHeartbeat(c); err != nil {
				return err
			}
		}
	}
}

// snapshot is what a watch needs of an agent's state for one line.
type snapshot struct {
	changed                 <-chan struct{} // closed at the next change of the state
	list                    List
	endOnChange             bool
	fault, defect           string
	defectDelay             time.Duration
	watchBreaks, silencings int
}

// watchSnapshot reads the state of an agent and the list to write next on a watch.
func (a *Agents) watchSnapshot(v *agentState, after int64, first bool) snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := snapshot{changed: v.changedSignal, list: a.changesSince(v, after), endOnChange: v.form.EndOnChange, fault: v.fault,
		defect: v.defect, defectDelay: v.defectDelay, watchBreaks: v.watchBreaks, silencings: v.silencings}
	if first {
		s.list = a.firstAnswer(v, after)
	}
	return s
}

// writeList writes a list as one line of a watch, and records it as notified if notified is set.
func (a *Agents) writeList(v *agentState, c *relay.Conn, l List, notified bool) error {
	line, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if err := v.writeLine(c, string(line)+"\n"); err != nil {
		return err
	}
	if notified {
		a.recordNotified(v, l)
	}
	return nil
}

// writeHeartbeat writes an empty line, unless the agent is silent.
func (v *agentState) writeHeartbeat(c *relay.Conn) error {
	v.mu.Lock()
	silent := v.silent
	v.mu.Unlock()
	if silent {
		return nil
	}
	return write(c, "1\r\n\n\r\n")
}

// breakLine ends a watch in the middle of a line: after a pause, or after oversizedLineBytes.
func breakLine(c *relay.Conn, fault string, wake, ended <-chan struct{}) error {
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
		return errCallerGone
	}
	select {
	case <-wake: // the fault ended or something else changed; the watch is unusable in both cases
	case <-ended:
	}
	return errCallerGone
}

// applyDefect plants a defect for the checkers: it records changes as notified that the sidecar gets late or never.
func (a *Agents) applyDefect(v *agentState, l List, defect string, size time.Duration, ended <-chan struct{}) List {
	a.recordNotified(v, l)
	if defect == defectNotifyLate {
		select {
		case <-time.After(size):
		case <-ended:
		}
		return l
	}
	l.Targets = slices.DeleteFunc(l.Targets, func(e Entry) bool { return e.State != Ready })
	return l
}

// recordNotified records the states that the sidecar knows from now on.
func (a *Agents) recordNotified(v *agentState, l List) {
	for _, e := range l.Targets {
		a.log.Add(record.Event{Kind: record.Notified, Sidecar: int32(v.sidecar), Server: int32(e.Number), Class: record.None, N: e.BootMS, Note: e.State})
	}
	if !l.All {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for n, e := range v.entries {
		if e.State == Gone || l.omitsDraining && e.State == Terminating { // omission from a complete list means gone
			a.log.Add(record.Event{Kind: record.Notified, Sidecar: int32(v.sidecar), Server: int32(n), Class: record.None, N: e.BootMS, Note: Gone})
		}
	}
}

func write(c *relay.Conn, s string) error {
	_, err := c.Write([]byte(s))
	return err
}
