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
	// streamTimeout limits the wait for the next bytes of a request or response body that is forwarded as it arrives.
	streamTimeout      = 5 * time.Second
	healthCheckTimeout = 250 * time.Millisecond
	// earlyResponseTimeout limits the reading of a response that arrived before the whole request was written.
	earlyResponseTimeout = healthCheckTimeout
)

// Send carries out an attempt and returns its outcome.
func (p *Pool) Send(attempt *Attempt) inflight.AttemptOutcome {
	p.hook.At(checkpoint.AttemptDecided)
	outcome := p.exchangeCall(attempt)
	if outbound := attempt.Call.Outbound; outbound.MayHaveRunSince.IsZero() && !outcome.Result.NeverRan() {
		outbound.MayHaveRunSince = outbound.LastFirstByteAt
	}
	return attempt.RouteCheck.RecordEnd(outcome)
}

// HealthCheck sends a health check of the sidecar's own, which returns a server's state and load report.
func (p *Pool) HealthCheck(ctx context.Context, server *Server) inflight.AttemptOutcome {
	x := &exchange{pool: p, server: server, deadline: time.Now().Add(healthCheckTimeout), request: &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: p.healthCheckPath}, Host: server.Endpoint, Header: http.Header{},
	}}
	outcome := x.run(ctx)
	if len(outcome.LoadReport) == 0 {
		outcome.LoadReport = parseReport(string(outcome.Response.Body), p.reportNames)
	}
	return outcome
}

// exchangeCall sends the client's request within the time limit of the client.
func (p *Pool) exchangeCall(attempt *Attempt) inflight.AttemptOutcome {
	x := &exchange{pool: p, server: attempt.Server, deadline: attempt.Deadline, attempt: attempt,
		request: outboundRequest(attempt.Call.Outbound)}
	upload := attempt.upload()
	if upload == nil {
		return x.run(attempt.Context)
	}
	x.request.ContentLength = upload.Length
	x.deadline = p.uploadDeadline(attempt.Call)
	outcome := x.run(attempt.Context)
	outcome.BodyConsumed = upload.Consumed()
	return outcome
}

// outboundRequest returns the request for one attempt, with its own copy of the headers.
func outboundRequest(outbound *inflight.Outbound) *http.Request {
	return &http.Request{
		Method: outbound.Method, URL: outbound.URL, Host: outbound.Host, Header: outbound.Header.Clone(),
		ContentLength: int64(len(outbound.Body)),
	}
}

// uploadDeadline returns the deadline of a call with a forwarded body. If the last byte of the body arrived while no
// attempt was reading the body, the event loop has not been notified yet, and gets BodyComplete here.
func (p *Pool) uploadDeadline(call *inflight.Call) time.Time {
	deadline := time.Now().Add(inflight.MaxTimeout)
	upload := call.Outbound.Upload
	if received := upload.CompletedAt(); !received.IsZero() && !upload.Failed() {
		deadline = received.Add(call.Timeout)
		p.post(BodyComplete{call})
	}
	return deadline
}

// retryWindow returns for how long servers remember an idempotency key of a class. It returns 0 if the class uses no
// key, or if the window is longer than any request lasts.
func retryWindow(class *balance.Class) time.Duration {
	if class.Idempotency != balance.IdempotentWithKey || class.KeyWindow >= float64(inflight.MaxTimeout/time.Millisecond) {
		return 0
	}
	return max(clock.Duration(class.KeyWindow), 1)
}

// retryDeadline returns when the last byte of an attempt must have been written. After that, servers forget the
// idempotency key of an earlier attempt that may have run. It returns the zero time if there is no such limit.
func (p *Pool) retryDeadline(attempt *Attempt) time.Time {
	if attempt == nil || attempt.Call.Outbound.MayHaveRunSince.IsZero() || p.retryWindows[attempt.Call.Request.Class] == 0 {
		return time.Time{}
	}
	return attempt.Call.Outbound.MayHaveRunSince.Add(p.retryWindows[attempt.Call.Request.Class])
}

// exchange writes a request once and reads its response. net/http's Transport is not used, as it sends a request again
// by itself when a reused connection breaks, which would be an additional attempt. Here a request moves to another
// connection only as long as its last byte has not been written.
type exchange struct {
	pool          *Pool
	server        *Server
	request       *http.Request
	attempt       *Attempt  // nil for a health check
	deadline      time.Time // for the response; set again once the last byte of a forwarded body has arrived
	writeDeadline time.Time // for the last byte of the request, see retryDeadline; zero if there is none
	sendDeadline  time.Time // the earlier of deadline and writeDeadline
}

// run sends the request. It moves on to another connection as long as the current one is stale.
func (x *exchange) run(ctx context.Context) inflight.AttemptOutcome {
	x.sendDeadline, x.writeDeadline = x.deadline, x.pool.retryDeadline(x.attempt)
	if !x.writeDeadline.IsZero() && x.writeDeadline.Before(x.deadline) {
		x.sendDeadline = x.writeDeadline
	}
	for {
		outcome, stale := x.runOnConnection(ctx)
		if !stale {
			return outcome
		}
	}
}

// runOnConnection sends the request on one connection. It returns stale if nothing of the request has run and the
// request may move to another connection.
func (x *exchange) runOnConnection(ctx context.Context) (outcome inflight.AttemptOutcome, stale bool) {
	conn, reused, err := x.pool.acquire(ctx, x.server, x.sendDeadline, x.attempt)
	if err != nil {
		return inflight.AttemptOutcome{Result: unsentResult(ctx, x.sendDeadline, err)}, false
	}
	conn.head.PrepareNextRequest()
	conn.readLimit.N = maxResponseHead
	writer := &requestWriter{conn: conn, reused: reused, writeDeadline: x.writeDeadline, hook: x.pool.hook}
	detach := context.AfterFunc(ctx, writer.stop)
	if x.attempt.upload() == nil {
		writer.setDeadline(x.deadline)
	}
	written, err := writer.write(x.deadline, x.request, x.attempt)
	if !written {
		detach()
		return x.finishUnwritten(ctx, writer, err)
	}
	x.recordWritten(writer)
	outcome, reusable := x.readResponse(ctx, conn, idleTime(conn, reused))
	if detach() && reusable {
		x.pool.release(conn)
	} else {
		x.pool.discard(conn)
	}
	return outcome, false
}

// recordWritten counts an attempt whose last byte has been written. With a forwarded body, the time limit for the
// response starts here.
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
	writer.setDeadline(x.deadline)
	x.pool.post(BodyComplete{x.attempt.Call})
	<-writer.earlyResponse.done
}

// idleTime returns how long a connection was idle before this request. It is 0 for a new connection.
func idleTime(conn *serverConn, reused bool) time.Duration {
	if !reused {
		return 0
	}
	return time.Since(conn.idleSince)
}

// finishUnwritten ends a request whose last byte was not written. It returns either its outcome or that the connection
// was stale.
func (x *exchange) finishUnwritten(ctx context.Context, writer *requestWriter, cause error) (
	outcome inflight.AttemptOutcome, stale bool) {
	result := balance.Rejected
	if !writer.respondedEarly() || !rejectedEarly(writer.conn, x.request) {
		result = unwrittenResult(ctx, x.sendDeadline, cause)
	}
	x.returnConnection(writer)
	if errors.Is(cause, routing.ErrRevoked) {
		return inflight.AttemptOutcome{Result: balance.NotSent, RouteRevoked: true}, false
	}
	if writer.reused && x.mayUseAnotherConnection(ctx, result, cause) {
		return inflight.AttemptOutcome{}, true
	}
	return inflight.AttemptOutcome{Result: result}, false
}

// returnConnection ends the use of a connection whose request was not written completely. If nothing was written, the
// connection can carry another request: it has cost its server a handshake.
func (x *exchange) returnConnection(writer *requestWriter) {
	if writer.started {
		x.pool.discard(writer.conn)
		return
	}
	writer.detach()
	if !writer.conn.reusable() {
		x.pool.discard(writer.conn)
		return
	}
	x.pool.giveBack(writer.conn, writer.reused)
}

// mayUseAnotherConnection reports whether a request that was not completely written to a reused connection may move to
// another one. It may if the server closed the connection while it was idle, there is time left, and no byte of a
// forwarded body has been consumed.
func (x *exchange) mayUseAnotherConnection(ctx context.Context, result balance.Result, cause error) bool {
	if result == balance.Rejected || result == balance.LocalFailure || ctx.Err() != nil {
		return false
	}
	connFailed := cause == errStaleConn || errors.As(cause, new(*net.OpError))
	if !connFailed || !time.Now().Before(x.sendDeadline) {
		return false
	}
	upload := x.attempt.upload()
	return upload == nil || !upload.Consumed()
}
