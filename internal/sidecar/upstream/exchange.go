package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
)

const (
	// streamTimeout bounds the wait for the next bytes of a body that is forwarded as it arrives, in either direction.
	streamTimeout      = 5 * time.Second
	healthCheckTimeout = 250 * time.Millisecond
	// earlyAnswerTimeout bounds the reading of an answer that came before the whole request was written.
	earlyAnswerTimeout = healthCheckTimeout
)

// Send carries out an attempt and returns how it ended.
func (p *Pool) Send(attempt *Attempt) inflight.AttemptOutcome {
	p.hook.At(checkpoint.AttemptDecided)
	reply := p.exchangeCall(attempt)
	if out := attempt.Call.Outbound; out.MayHaveRunSince.IsZero() && !reply.Result.NeverRan() {
		out.MayHaveRunSince = out.LastFirstByteAt
	}
	return attempt.RouteCheck.RecordEnd(reply)
}

// HealthCheck sends a request of the sidecar's own that reads a server's state and load report.
func (p *Pool) HealthCheck(ctx context.Context, server *Server) inflight.AttemptOutcome {
	x := &exchange{pool: p, server: server, deadline: time.Now().Add(healthCheckTimeout), request: &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: p.healthCheckPath}, Host: server.Endpoint, Header: http.Header{},
	}}
	reply := x.run(ctx)
	if len(reply.LoadReport) == 0 {
		reply.LoadReport = parseReport(string(reply.Response.Body), p.reportNames)
	}
	return reply
}

// exchangeCall sends the client's request within the client's time.
func (p *Pool) exchangeCall(attempt *Attempt) inflight.AttemptOutcome {
	x := &exchange{pool: p, server: attempt.Server, deadline: attempt.Deadline, attempt: attempt,
		request: outboundRequest(attempt.Call.Outbound)}
	upload := attempt.upload()
	if upload == nil {
		return x.run(attempt.Context)
	}
	x.request.ContentLength = upload.Length
	x.deadline = p.uploadDeadline(attempt.Call)
	reply := x.run(attempt.Context)
	reply.BodyConsumed = upload.Consumed()
	return reply
}

// outboundRequest returns a request for one attempt, with headers of its own.
func outboundRequest(out *inflight.Outbound) *http.Request {
	return &http.Request{
		Method: out.Method, URL: out.URL, Host: out.Host, Header: out.Header.Clone(), ContentLength: int64(len(out.Body)),
	}
}

// uploadDeadline is when a call with a forwarded body ends. A body whose last byte arrived while no attempt was reading it
// has not been reported to the event loop yet.
func (p *Pool) uploadDeadline(call *inflight.Call) time.Time {
	deadline := time.Now().Add(inflight.MaxTimeout)
	upload := call.Outbound.Upload
	if received := upload.CompletedAt(); !received.IsZero() && !upload.Failed() {
		deadline = received.Add(call.Timeout)
		p.post(BodyComplete{call})
	}
	return deadline
}

// retryWindow is how long servers remember an idempotency key of a class. It is 0 if the class has no key, or if the window
// is longer than any request lasts.
func retryWindow(class *balance.Class) time.Duration {
	if class.Idempotency != balance.IdempotentWithKey || class.KeyWindow >= float64(inflight.MaxTimeout/time.Millisecond) {
		return 0
	}
	return max(clock.Duration(class.KeyWindow), 1)
}

// retryBefore is when the last byte of an attempt must have been written, as servers then forget the idempotency key of an
// earlier attempt that may have run. It is zero if there is no such bound.
func (p *Pool) retryBefore(attempt *Attempt) time.Time {
	if attempt == nil || attempt.Call.Outbound.MayHaveRunSince.IsZero() || p.retryWindows[attempt.Call.Request.Class] == 0 {
		return time.Time{}
	}
	return attempt.Call.Outbound.MayHaveRunSince.Add(p.retryWindows[attempt.Call.Request.Class])
}

// exchange writes a request once and reads its answer. net/http's Transport would send a request again by itself when a
// reused connection breaks, which would be one more attempt. Here a request moves to another connection only while its last
// byte has not been written.
type exchange struct {
	pool     *Pool
	server   *Server
	request  *http.Request
	attempt  *Attempt  // nil for a health check
	deadline time.Time // for the answer; of a forwarded body, set anew once its last byte has arrived
	writeBy  time.Time // for the last byte of the request, see retryBefore; zero if there is no bound
	sendBy   time.Time // the earlier of the two
}

// run sends the request, over a second connection if the first one was stale.
func (x *exchange) run(ctx context.Context) inflight.AttemptOutcome {
	x.sendBy, x.writeBy = x.deadline, x.pool.retryBefore(x.attempt)
	if !x.writeBy.IsZero() && x.writeBy.Before(x.deadline) {
		x.sendBy = x.writeBy
	}
	for {
		reply, stale := x.runOnConnection(ctx)
		if !stale {
			return reply
		}
	}
}

// runOnConnection sends the request over one connection. It reports a stale one if nothing of the request has run and the
// request may move to another connection.
func (x *exchange) runOnConnection(ctx context.Context) (reply inflight.AttemptOutcome, stale bool) {
	conn, reused, err := x.pool.acquire(ctx, x.server, x.sendBy, x.attempt)
	if err != nil {
		return inflight.AttemptOutcome{Result: unsentResult(ctx, x.sendBy, err)}, false
	}
	conn.head.PrepareNextRequest()
	conn.readLimit.N = maxHeldAnswer
	writer := &requestWriter{conn: conn, reused: reused, writeBy: x.writeBy, hook: x.pool.hook}
	detach := context.AfterFunc(ctx, writer.stop)
	if x.attempt.upload() == nil {
		writer.limit(x.deadline)
	}
	written, err := writer.write(x.deadline, x.request, x.attempt)
	if !written {
		detach()
		return x.endUnwritten(ctx, writer, err)
	}
	x.recordWritten(writer)
	reply, reusable := x.readReply(ctx, conn, idleTime(conn, reused))
	if detach() && reusable {
		x.pool.put(conn)
	} else {
		x.pool.discard(conn)
	}
	return reply, false
}

// recordWritten counts an attempt whose last byte is written. The time for the answer to a forwarded body starts here.
func (x *exchange) recordWritten(writer *requestWriter) {
	if x.attempt == nil {
		return
	}
	x.pool.metrics.WrittenAttempts.Add(1)
	upload := x.attempt.upload()
	if upload == nil {
		return
	}
	x.deadline = upload.CompletedAt().Add(x.attempt.Call.Timeout)
	writer.limit(x.deadline)
	x.pool.post(BodyComplete{x.attempt.Call})
	<-writer.early.peeked
}

// idleTime is how long a connection was idle before this request; 0 for a new one.
func idleTime(conn *serverConn, reused bool) time.Duration {
	if !reused {
		return 0
	}
	return time.Since(conn.idleSince)
}

// endUnwritten ends a request whose last byte was not written, or reports that its connection was stale.
func (x *exchange) endUnwritten(ctx context.Context, writer *requestWriter, cause error) (reply inflight.AttemptOutcome, stale bool) {
	result := balance.Rejected
	if !writer.answeredEarly() || !rejectedEarly(writer.conn, x.request) {
		result = unwrittenResult(ctx, x.sendBy, cause)
	}
	x.pool.discard(writer.conn)
	if errors.Is(cause, routing.ErrRevoked) {
		return inflight.AttemptOutcome{Result: balance.NotSent, RouteRevoked: true}, false
	}
	if writer.reused && x.mayUseAnother(ctx, result, cause) {
		return inflight.AttemptOutcome{}, true
	}
	return inflight.AttemptOutcome{Result: result}, false
}

// mayUseAnother reports whether a request that was not written to a reused connection may be written to another one: the server
// has closed the first while it was idle, and there is time and a body left.
func (x *exchange) mayUseAnother(ctx context.Context, result balance.Result, cause error) bool {
	if result == balance.Rejected || result == balance.LocalFailure || ctx.Err() != nil {
		return false
	}
	connFailed := cause == errStaleConn || errors.As(cause, new(*net.OpError))
	if !connFailed || !time.Now().Before(x.sendBy) {
		return false
	}
	upload := x.attempt.upload()
	return upload == nil || !upload.Consumed()
}
