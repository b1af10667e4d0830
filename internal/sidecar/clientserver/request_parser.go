package clientserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
)

// Parse takes in a request; one that is malformed reaches neither the module nor a server. Of a body that is not
// held whole the rest is still to be read.
func (s *Server) Parse(w http.ResponseWriter, r *http.Request) (*inflight.Call, io.Reader, error) {
	c, err := s.call(r)
	if err != nil {
		return nil, nil, err
	}
	c.Outbound = &inflight.Outbound{Method: r.Method, URL: r.URL, Host: r.Host, Header: endToEnd(r.Header)}
	if s.Config.Routes != nil { // those are the sidecar's to say
		c.Outbound.Header.Del(routing.RevisionHeader)
		c.Outbound.Header.Del(routing.CanaryHeader)
	}
	var rest io.Reader
	if r.ContentLength != 0 {
		if rest, err = s.readBody(w, r, c); err != nil {
			s.Memory.release(c.HeldBytes)
			return nil, nil, fmt.Errorf("body: %w", err)
		}
	}
	if rest == nil {
		c.Deadline = receivedAt(r).Add(c.Timeout) // the client's time counts from its last byte
	}
	if r.Method == http.MethodGet && (rest != nil || len(c.Outbound.Body) > 0) {
		s.Memory.release(c.HeldBytes)
		return nil, nil, errors.New("GET with a body")
	}
	return c, rest, nil
}

// readBody reads as much of a body as is held.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *inflight.Call) (rest io.Reader, err error) {
	length := r.ContentLength
	if length > inflight.MaxBody {
		return nil, errBodyLarge
	}
	most := inflight.MaxHeldBody
	if length >= 0 && length <= HoldMore {
		most = int(length)
	}
	if s.Memory.reserve(most) {
		c.HeldBytes = most
	} else {
		most = min(most, inflight.MinHeldBody)
	}
	body := newPacedBody(w, r, s.ReadTimeout)
	s.Bodies.add(body)
	defer s.Bodies.remove(body)
	if length >= 0 {
		first := make([]byte, min(int(length), most))
		if _, err := io.ReadFull(body, first); err != nil {
			return nil, err
		}
		if len(first) == int(length) {
			c.Outbound.Body = first
			return nil, nil
		}
		c.Outbound.Upload = inflight.NewUpload(length, first)
		return body, nil
	}
	first, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(first) <= most {
		c.Outbound.Body = first
		return nil, nil
	}
	c.Outbound.Upload = inflight.NewUpload(length, first)
	return body, nil
}

func (s *Server) call(r *http.Request) (*inflight.Call, error) {
	if r.Header.Get("X-Request-ID") == "" {
		return nil, errors.New("no X-Request-ID")
	}
	if r.Host == "" {
		return nil, errors.New("no Host")
	}
	ev := balance.Request{ClientRetry: r.Header.Get("X-Retried") == "1"}
	var ok bool
	if ev.Class, ok = s.Config.Classes[r.Header.Get("X-Priority-Class")]; !ok {
		return nil, errors.New("unknown X-Priority-Class")
	}
	if len(s.Config.Tenants) > 0 {
		if ev.Tenant, ok = s.Config.Tenants[r.Header.Get("X-Tenant-Id")]; !ok {
			return nil, errors.New("unknown X-Tenant-Id")
		}
	}
	class := &s.Config.Balance.Classes[ev.Class]
	if err := checkMethod(class.Idempotency, r); err != nil {
		return nil, err
	}
	wait := clock.Duration(class.Deadline)
	if v := r.Header.Get("X-Timeout-Ms"); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if wait = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || wait > inflight.MaxTimeout {
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
		ev.IdempotencyKey = config.Hash(k.Value)
	}
	if s.Config.Routes != nil {
		ev.RouteKey = s.Config.Routes.RouteKey(r.Header)
	}
	return &inflight.Call{Request: ev, Timeout: wait, Answers: make(chan inflight.Answer, 1)}, nil
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
