package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/routing"
)

const (
	streamTimeout      = 5 * time.Second // for the next bytes of a streamed body, either way
	healthCheckTimeout = 250 * time.Millisecond
)

// retryWindow is for how long servers know a class's key; 0: it has none, or no end that matters.
func retryWindow(class *balance.Class) time.Duration {
	if class.Idempotency != balance.IdempotentWithKey || class.KeyWindow >= float64(inflight.MaxTimeout/time.Millisecond) {
		return 0
	}
	return max(clock.Duration(class.KeyWindow), 1)
}

// Send makes one attempt and tells how it ended.
func (p *Pool) Send(a *Attempt) inflight.Reply {
	p.Hook.At(checkpoint.AttemptDecided)
	r := p.exchangeCall(a)
	if out := a.Call.Outbound; out.MayRunSince.IsZero() && !r.Result.NeverRan() {
		out.MayRunSince = out.LastFirstByte
	}
	return a.RouteCheck.RecordEnd(r)
}

// retryBefore is when the last byte of an attempt has to be out, as servers forget its key; zero: whenever.
func (p *Pool) retryBefore(a *Attempt) time.Time {
	if a == nil || a.Call.Outbound.MayRunSince.IsZero() || p.windows[a.Call.Request.Class] == 0 {
		return time.Time{}
	}
	return a.Call.Outbound.MayRunSince.Add(p.windows[a.Call.Request.Class])
}

// exchangeCall is exchange with the client's request and its times.
func (p *Pool) exchangeCall(a *Attempt) inflight.Reply {
	c := a.Call
	req := &http.Request{
		Method: c.Outbound.Method, URL: c.Outbound.URL, Host: c.Outbound.Host, Header: c.Outbound.Header.Clone(),
		ContentLength: int64(len(c.Outbound.Body)),
	}
	if u := c.Outbound.Upload; u != nil {
		req.ContentLength = u.Length
		cut := time.Now().Add(inflight.MaxTimeout)
		if received := u.CompletedAt(); !received.IsZero() && !u.Broken() {
			// It came to its end while nobody took it, so nobody has told the loop.
			cut = received.Add(c.Timeout)
			p.Post(BodyComplete{c})
		}
		r := p.exchange(a.Context, a.Server, cut, req, a)
		r.BodyConsumed = u.Consumed()
		return r
	}
	return p.exchange(a.Context, a.Server, a.Deadline, req, a)
}

// HealthCheck asks a server how it is.
func (p *Pool) HealthCheck(ctx context.Context, up *Server) inflight.Reply {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: p.probePath}, Host: up.Endpoint, Header: http.Header{},
	}
	r := p.exchange(ctx, up, time.Now().Add(healthCheckTimeout), req, nil)
	if len(r.Report) == 0 {
		r.Report = parseReport(string(r.Answer.Body), p.reportNames)
	}
	return r
}

// exchange writes a request once and reads its answer; a is nil for a probe. net/http's Transport would
// send again by itself on a broken kept connection, which is one more attempt; here a request moves to
// another connection only while its last byte has not been written.
func (p *Pool) exchange(ctx context.Context, up *Server, cut time.Time, req *http.Request, a *Attempt) inflight.Reply {
	until := p.retryBefore(a)
	sendBy := cut
	if !until.IsZero() && until.Before(cut) {
		sendBy = until
	}
	for {
		conn, kept, err := p.acquire(ctx, up, sendBy, a)
		if err != nil {
			return inflight.Reply{Result: unsentResult(ctx, sendBy, err)}
		}
		conn.head.NextRequest()
		conn.readLimit.N = maxHeldAnswer
		out := &RequestWriter{Conn: conn, reused: kept, writeBy: until, hook: p.Hook}
		stop := context.AfterFunc(ctx, out.stop)
		if a == nil || a.Call.Outbound.Upload == nil {
			out.limit(cut)
		}
		all, err := out.write(cut, req, a)
		if all && a != nil {
			p.Metrics.ServerCalls.Add(1)
		}
		if !all {
			stop()
			result := balance.Rejected
			if !out.answered || !p.rejectedEarly(conn, req) {
				result = unwrittenResult(ctx, sendBy, err)
			}
			p.discard(conn)
			if errors.Is(err, routing.ErrRevoked) {
				return inflight.Reply{Result: balance.NotSent, RouteRevoked: true}
			}
			unfit := err == errStaleConn || errors.As(err, new(*net.OpError))
			elsewhere := result != balance.Rejected && result != balance.LocalFailure
			if kept && elsewhere && ctx.Err() == nil && unfit &&
				time.Now().Before(sendBy) && (a == nil || a.Call.Outbound.Upload == nil || !a.Call.Outbound.Upload.Consumed()) {
				continue // the server closed it while idle; nothing of the request has run
			}
			return inflight.Reply{Result: result}
		}
		if a != nil && a.Call.Outbound.Upload != nil {
			cut = a.Call.Outbound.Upload.CompletedAt().Add(a.Call.Timeout)
			out.limit(cut)
			p.Post(BodyComplete{a.Call})
			<-out.answerPeeked
		}
		idle := time.Duration(0)
		if kept {
			idle = time.Since(conn.idleSince)
		}
		r, keep := p.readReply(ctx, conn, cut, req, a, idle)
		if stop() && keep {
			p.put(conn)
		} else {
			p.discard(conn)
		}
		return r
	}
}

// errNotNeeded: between decision and first byte the request was concluded, its client left, its time ran out or its server
// was retired. It is checked last of all, as dialing takes time in which the list changes.
var errNotNeeded = errors.New("not to be sent any more")

// errStaleConn: a kept connection was closed by its server while it was idle, or holds bytes that answer nothing.
var errStaleConn = errors.New("the kept connection is closed or out of step")

// unsentResult is the result where no connection came up.
func unsentResult(ctx context.Context, cut time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errNotNeeded, err == errNoSocket, !time.Now().Before(cut):
		return balance.NotSent // no fault of the server
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return balance.WriteFailed // something answered
	case netcall.LocalErrnos.Has(err):
		return balance.LocalFailure
	case netcall.UnreachableErrnos.Has(err):
		return balance.Unreachable
	default:
		return balance.ConnectFailed
	}
}

// unwrittenResult is the result where the last byte was not written to a connection that was up. The system's errors, but for
// this machine's own trouble, tell then that it is over, and not that nobody is there.
func unwrittenResult(ctx context.Context, cut time.Time, err error) balance.Result {
	result := unsentResult(ctx, cut, err)
	failed := result == balance.Unreachable || result == balance.ConnectFailed
	if failed && errors.As(err, new(syscall.Errno)) {
		return balance.WriteFailed
	}
	return result
}
