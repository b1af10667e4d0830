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
	if c.Caller >= len(a.views) {
		return
	}
	v := a.views[c.Caller]
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

func (a *Agents) answer(v *view, c *relay.Conn, in *bufio.Reader, req *http.Request) error {
	ended := make(chan struct{})
	go func() { // the next byte, or the end
		_, _ = in.Peek(1)
		close(ended)
	}()
	defer func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine above
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}()
	if !v.loud(ended) {
		return errGone
	}
	v.mu.Lock()
	refuse := v.refuse
	v.mu.Unlock()
	switch {
	case refuse:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case req.URL.Path != "/registry/instances" || req.Method != http.MethodGet:
		return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case req.URL.Query().Get("watch") == "":
		v.mu.Lock()
		l := a.first(v, -1)
		v.mu.Unlock()
		body, err := json.Marshal(l)
		if err != nil {
			return err
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		if err := v.writePieces(c, head+string(body), func(piece string) string { return piece }); err != nil {
			return err
		}
		a.told(v, l)
		return nil
	}
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	return a.watch(v, c, after, ended)
}

// loud waits until the agent speaks again.
func (v *view) loud(ended <-chan struct{}) bool {
	for {
		v.mu.Lock()
		silent, wake := v.silent, v.wake
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
func (a *Agents) watch(v *view, c *relay.Conn, after int64, ended <-chan struct{}) error {
	if err := write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	tick := time.NewTicker(beat)
	defer tick.Stop()
	first := true
	v.mu.Lock()
	broken, hushed := v.broken, v.hushed
	v.mu.Unlock()
	for {
		if !v.loud(ended) {
			return errGone
		}
		v.mu.Lock()
		wake, l, ends := v.wake, a.since(v, after), v.form.Ends
		if first {
			l = a.first(v, after)
		}
		defect, size, lie, breaks := v.defect, v.size, v.lie, v.broken != broken
		silent := v.hushed != hushed
		v.mu.Unlock()
		if silent {
			<-ended // the caller's close, or this port's
			return errGone
		}
		if lie == LieFrozen || lie == LieBig {
			return spoil(c, lie, wake, ended)
		}
		if breaks {
			return errGone
		}
		if lie == LieStuck && !first {
			l = List{}
		}
		if ends && !first && len(l.Targets) > 0 {
			return a.end(v, c, l)
		}
		if len(l.Targets) > 0 || l.All || first {
			first = false
			if after = l.Rev; defect != "" {
				l = a.lie(v, l, defect, size, ended)
			}
			if len(l.Targets) > 0 || l.All {
				line, err := json.Marshal(l)
				if err != nil {
					return err
				}
				if err := v.writeLine(c, string(line)+"\n"); err != nil {
					return err
				}
				if defect == "" {
					a.told(v, l)
				}
				continue
			}
		}
		select {
		case <-wake:
		case <-ended:
			return errGone
		case <-tick.C:
			v.mu.Lock()
			silent := v.silent
			v.mu.Unlock()
			if !silent {
				if err := write(c, "1\r\n\n\r\n"); err != nil {
					return err
				}
			}
		}
	}
}

// spoil ends a watch in the middle of a line, after a silence or after far too much of it.
func spoil(c *relay.Conn, lie string, wake, ended <-chan struct{}) error {
	const half = `{"rev":1,"all":true,"targets":[{"uid":"s-`
	if err := write(c, fmt.Sprintf("%x\r\n%s\r\n", len(half), half)); err != nil {
		return err
	}
	if lie == LieBig {
		part := strings.Repeat("x", 1<<20)
		for range bigLine / len(part) {
			if err := write(c, fmt.Sprintf("%x\r\n%s\r\n", len(part), part)); err != nil {
				return err
			}
		}
		return errGone
	}
	select {
	case <-wake: // the lie is over, or something else has changed; the watch is spoilt either way
	case <-ended:
	}
	return errGone
}

// lie is a planted defect: the record says that news were told which the sidecar gets late, or never.
func (a *Agents) lie(v *view, l List, defect string, size time.Duration, ended <-chan struct{}) List {
	a.told(v, l)
	if defect == "told-late" {
		select {
		case <-time.After(size):
		case <-ended:
		}
		return l
	}
	l.Targets = slices.DeleteFunc(l.Targets, func(e Entry) bool { return e.State != Ready })
	return l
}

// told records what the sidecar knows from now on.
func (a *Agents) told(v *view, l List) {
	for _, e := range l.Targets {
		a.log.Add(record.Event{Kind: record.Notified, Sidecar: int32(v.sidecar), Server: int32(e.Number), Class: record.None, N: e.BootMS, Note: e.State})
	}
	if !l.All {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for n, e := range v.entries {
		if e.State == Gone || l.leavesOut && e.State == Terminating { // a whole list tells by leaving it out
			a.log.Add(record.Event{Kind: record.Notified, Sidecar: int32(v.sidecar), Server: int32(n), Class: record.None, N: e.BootMS, Note: Gone})
		}
	}
}

func write(c *relay.Conn, s string) error {
	_, err := c.Write([]byte(s))
	return err
}
