package sidecar

// This file reads a client's request: headers, class, deadline, and as much of its body as is held.

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marblelane/balance"
)

// parse takes in a request; one that is malformed reaches neither the module nor a server. Of a body that is not
// held whole the rest is still to be read.
func (f *frontend) parse(w http.ResponseWriter, r *http.Request) (*call, io.Reader, error) {
	c, err := f.call(r)
	if err != nil {
		return nil, nil, err
	}
	c.out = &outbound{method: r.Method, url: r.URL, host: r.Host, header: endToEnd(r.Header)}
	if f.cfg.routes != nil { // those are the sidecar's to say
		c.out.header.Del(revHeader)
		c.out.header.Del(canaryHeader)
	}
	var rest io.Reader
	if r.ContentLength != 0 {
		if rest, err = f.readBody(w, r, c); err != nil {
			f.memory.give(c.held)
			return nil, nil, fmt.Errorf("body: %w", err)
		}
	}
	if rest == nil {
		c.deadline = receivedAt(r).Add(c.wait) // the client's time counts from its last byte
	}
	if r.Method == http.MethodGet && (rest != nil || len(c.out.body) > 0) {
		f.memory.give(c.held)
		return nil, nil, errors.New("GET with a body")
	}
	return c, rest, nil
}

// readBody reads as much of a body as is held.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, c *call) (rest io.Reader, err error) {
	length := r.ContentLength
	if length > maxBody {
		return nil, errBodyLarge
	}
	most := holdMost
	if length >= 0 && length <= holdMore {
		most = int(length)
	}
	if f.memory.take(most) {
		c.held = most
	} else {
		most = min(most, holdLeast)
	}
	body := newPacedBody(w, r, f.peerWait)
	f.bodies.add(body)
	defer f.bodies.remove(body)
	if length >= 0 {
		first := make([]byte, min(int(length), most))
		if _, err := io.ReadFull(body, first); err != nil {
			return nil, err
		}
		if len(first) == int(length) {
			c.out.body = first
			return nil, nil
		}
		c.out.upload = newUpload(length, first)
		return body, nil
	}
	first, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(first) <= most {
		c.out.body = first
		return nil, nil
	}
	c.out.upload = newUpload(length, first)
	return body, nil
}

func (f *frontend) call(r *http.Request) (*call, error) {
	if r.Header.Get("X-Request-ID") == "" {
		return nil, errors.New("no X-Request-ID")
	}
	if r.Host == "" {
		return nil, errors.New("no Host")
	}
	ev := balance.Request{ClientRetry: r.Header.Get("X-Retried") == "1"}
	var ok bool
	if ev.Class, ok = f.cfg.classes[r.Header.Get("X-Priority-Class")]; !ok {
		return nil, errors.New("unknown X-Priority-Class")
	}
	if len(f.cfg.tenants) > 0 {
		if ev.Tenant, ok = f.cfg.tenants[r.Header.Get("X-Tenant-Id")]; !ok {
			return nil, errors.New("unknown X-Tenant-Id")
		}
	}
	class := &f.cfg.balance.Classes[ev.Class]
	if err := checkMethod(class.Idempotency, r); err != nil {
		return nil, err
	}
	wait := millis(class.Deadline)
	if v := r.Header.Get("X-Timeout-Ms"); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if wait = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || wait > maxWait {
			return nil, errors.New("X-Timeout-Ms is not a number of milliseconds that can be")
		}
	}
	if v := r.Header.Get("X-Cost"); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return nil, errors.New("X-Cost is not a number of microseconds")
		}
		ev.WorkHint = us / 1e3
	}
	if k, err := r.Cookie("k"); err == nil {
		ev.IdempotencyKey = hashOf(k.Value)
	}
	if f.cfg.routes != nil {
		ev.RouteKey = f.cfg.routes.key(r.Header)
	}
	return &call{ev: ev, wait: wait, answers: make(chan answer, 1)}, nil
}

// checkMethod: the method follows from the class. A keyed request without its key would run twice.
func checkMethod(effect balance.Idempotency, r *http.Request) error {
	keyed := r.Header.Get("Idempotency-Key") != ""
	switch {
	case effect == balance.Idempotent && r.Method != http.MethodGet:
		return errors.New("the class is sent with GET")
	case effect != balance.Idempotent && r.Method != http.MethodPost:
		return errors.New("the class is sent with POST")
	case effect == balance.IdempotentWithKey && !keyed:
		return errors.New("no Idempotency-Key")
	case effect == balance.NonIdempotent && keyed:
		return errors.New("the class takes no Idempotency-Key")
	}
	return nil
}

// endToEnd leaves out what concerns the client's connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length",
	} {
		out.Del(name)
	}
	return out
}
