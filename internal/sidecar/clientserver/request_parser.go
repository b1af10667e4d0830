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

// maxCost is the exclusive upper limit of X-Cost, in microseconds.
const maxCost = 1e12

// parse parses a request. A malformed one is passed neither to the event loop nor to a server. If the body is not held
// completely, the returned reader reads the rest of it; otherwise the reader is nil. The caller releases the call's
// HeldBytes.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*inflight.Call, io.Reader, error) {
	call, err := s.parseHead(r)
	if err != nil {
		return nil, nil, err
	}
	call.Outbound = &inflight.Outbound{Method: r.Method, URL: r.URL, Host: r.Host, Header: endToEnd(r.Header)}
	if s.options.Config.Routes != nil { // only the sidecar may set these
		call.Outbound.Header.Del(routing.RevisionHeader)
		call.Outbound.Header.Del(routing.CanaryHeader)
	}
	var remaining io.Reader
	if r.ContentLength != 0 {
		if remaining, err = s.readBody(w, r, call); err != nil {
			s.bodyMemory.Release(int64(call.HeldBytes))
			return nil, nil, fmt.Errorf("body: %w", err)
		}
	}
	if remaining == nil {
		call.Deadline = receivedAt(r).Add(call.Timeout) // the client's timeout starts at the last byte of the request
	}
	if r.Method == http.MethodGet && (remaining != nil || len(call.Outbound.Body) > 0) {
		s.bodyMemory.Release(int64(call.HeldBytes))
		return nil, nil, errors.New("GET with a body")
	}
	return call, remaining, nil
}

// readBody reads the part of a body that is held in memory. It returns a reader for the rest, or nil if there is none.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, call *inflight.Call) (remaining io.Reader, err error) {
	length := r.ContentLength
	if length > inflight.MaxBody {
		return nil, errBodyTooLarge
	}
	held := s.reserveBody(length, call)
	body := newPacedBody(w, r, s.options.ReadTimeout)
	s.bodies.add(body)
	defer s.bodies.remove(body)
	var first []byte
	complete := false
	if length >= 0 {
		first = make([]byte, min(int(length), held))
		_, err = io.ReadFull(body, first)
		complete = len(first) == int(length)
	} else {
		first, err = io.ReadAll(io.LimitReader(body, int64(held)+1))
		complete = len(first) <= held
	}
	if err != nil {
		return nil, err
	}
	if complete {
		call.Outbound.Body = first
		return nil, nil
	}
	call.Outbound.Upload = inflight.NewUpload(length, first)
	if conn := clientConn(r); conn != nil {
		call.Outbound.Upload.Input = conn
	}
	return body, nil
}

// reserveBody reserves memory for a body and returns how many bytes of the body may be held.
func (s *Server) reserveBody(length int64, call *inflight.Call) int {
	held := inflight.MaxHeldBody
	if length >= 0 && length <= MaxHeldIfMemory {
		held = int(length)
	}
	if !s.bodyMemory.Reserve(int64(held)) {
		return min(held, inflight.MinHeldBody)
	}
	call.HeldBytes = held
	return held
}

// parseHead parses the parts of the head that the balancer and the client's deadline need. The texts of its errors are
// sent to clients.
func (s *Server) parseHead(r *http.Request) (*inflight.Call, error) {
	if r.Header.Get("X-Request-ID") == "" {
		return nil, errors.New("no X-Request-ID")
	}
	if r.Host == "" {
		return nil, errors.New("no Host")
	}
	cfg := s.options.Config
	request := balance.Request{ClientRetry: r.Header.Get("X-Retried") == "1"}
	var ok bool
	if request.Class, ok = cfg.Classes[r.Header.Get("X-Priority-Class")]; !ok {
		return nil, errors.New("unknown X-Priority-Class")
	}
	if len(cfg.Tenants) > 0 {
		if request.Tenant, ok = cfg.Tenants[r.Header.Get("X-Tenant-Id")]; !ok {
			return nil, errors.New("unknown X-Tenant-Id")
		}
	}
	class := &cfg.Balance.Classes[request.Class]
	if err := checkMethod(class.Idempotency, r); err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r, clock.Duration(class.Deadline))
	if err != nil {
		return nil, err
	}
	if request.WorkHint, err = parseCost(r); err != nil {
		return nil, err
	}
	if key, err := r.Cookie("k"); err == nil {
		request.IdempotencyKey = config.Hash(key.Value)
	}
	if cfg.Routes != nil {
		request.RouteKey = cfg.Routes.RouteKey(r.Header)
	}
	return &inflight.Call{Request: request, Timeout: timeout, Response: make(chan inflight.Response, 1)}, nil
}

// parseTimeout returns the client's timeout: the value of X-Timeout-Ms, or the limit of the class if the header is
// missing.
func parseTimeout(r *http.Request, classLimit time.Duration) (time.Duration, error) {
	value := r.Header.Get("X-Timeout-Ms")
	if value == "" {
		return classLimit, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	timeout := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || timeout > inflight.MaxTimeout {
		return 0, errors.New("X-Timeout-Ms is not a number of milliseconds that can be")
	}
	return timeout, nil
}

// parseCost returns the cost of a request in milliseconds, from the header X-Cost, which is in microseconds. It returns
// 0 if the header is missing.
func parseCost(r *http.Request) (milliseconds float64, err error) {
	value := r.Header.Get("X-Cost")
	if value == "" {
		return 0, nil
	}
	microseconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(microseconds >= 0 && microseconds < maxCost) {
		return 0, errors.New("X-Cost is not a number of microseconds")
	}
	return microseconds / 1e3, nil
}

// checkMethod checks the method and the presence of the idempotency key against the idempotency of the class.
func checkMethod(idempotency balance.Idempotency, r *http.Request) error {
	hasKey := r.Header.Get("Idempotency-Key") != ""
	switch {
	case idempotency == balance.Idempotent && r.Method != http.MethodGet:
		return errors.New("the class is sent with GET")
	case idempotency != balance.Idempotent && r.Method != http.MethodPost:
		return errors.New("the class is sent with POST")
	case idempotency == balance.IdempotentWithKey && !hasKey: // without a key a retry could run the request twice
		return errors.New("no Idempotency-Key")
	case idempotency == balance.NonIdempotent && hasKey:
		return errors.New("the class takes no Idempotency-Key")
	}
	return nil
}

// endToEnd returns a copy of the headers without those that apply only to the client's connection.
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
