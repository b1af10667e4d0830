package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

const (
	// maxResponseHead limits the bytes that are read until the end of a response's head, in bytes: all of them are counted
	// in the memory for heads, and an endless head is an error.
	maxResponseHead = 2 * framing.MaxHeader
	// maxBufferedBody limits the bytes that are buffered of a response's body, including its framing.
	maxBufferedBody = 2 * inflight.MaxHeldBody
)

const (
	notProcessedHeader = "X-Not-Processed" // response header; 1: the server has not started to process the request
	loadReportHeader   = "X-Server-Load"
)

var (
	errNotHTTP1          = errors.New("response is not HTTP/1")
	errConflictingLength = errors.New("response has both Transfer-Encoding and Content-Length")
	// errHeadOnly reports a connection that was closed right after a response head that does not state the length of
	// the body.
	errHeadOnly = errors.New("connection closed after a response head that states no length")
	// errBodyTooLarge reports a response body larger than inflight.MaxBody, or larger than inflight.MaxHeldBody if it
	// must not be forwarded to a client.
	errBodyTooLarge = errors.New("response body too large")
)

// readResponse reads the response to a request whose last byte has been written: if the connection breaks now, the
// request may have run. It also reports whether the connection can be reused.
func (x *exchange) readResponse(ctx context.Context, conn *serverConn, idle time.Duration) (
	outcome inflight.AttemptOutcome, reusable bool) {
	defer conn.head.PrepareNextRequest()
	resp, interim, err := readHead(conn, x.request)
	nothingRead := conn.readLimit.N == maxResponseHead
	conn.readLimit.N += maxBufferedBody
	if errors.Is(err, framing.ErrNoHeadMemory) {
		x.pool.recordHeadShortage(conn.server)
	}
	if err == nil {
		err = checkResponse(conn, resp, interim)
	}
	var body []byte
	if err == nil {
		x.extendToCall(ctx, conn)
		// Only a 200 for a client is forwarded as it arrives.
		mayForward := x.attempt != nil && resp.StatusCode == http.StatusOK
		reader := &bodyReader{conn: conn, resp: resp, deadline: x.deadline, mayForward: mayForward}
		var more bool
		if body, more, err = reader.read(ctx); more {
			x.pool.idleAges.record(time.Now(), idle, false)
			return x.forwardResponse(ctx, conn, resp, body)
		}
	}
	result := responseResult(ctx, err)
	x.pool.idleAges.record(time.Now(), idle, result == balance.Reset && nothingRead)
	if err != nil {
		return inflight.AttemptOutcome{Result: result}, false
	}
	return x.completeOutcome(resp, body), reusableAfter(conn, resp)
}

// extendToCall extends the deadline of an attempt to that of its call. An attempt may end earlier as long as there is no
// response, but a response that has started shows that the server has run the request.
func (x *exchange) extendToCall(ctx context.Context, conn *serverConn) {
	if x.attempt == nil || x.attempt.upload() != nil || !x.deadline.Before(x.attempt.Call.Deadline) {
		return
	}
	x.deadline = x.attempt.Call.Deadline
	conn.SetReadDeadline(x.deadline)
	if ctx.Err() != nil { // the call above may have replaced the deadline that the cancellation set
		conn.SetReadDeadline(netcall.PastDeadline)
	}
}

// readHead reads the head of the final response. It also reports whether interim responses (1xx) preceded it.
func readHead(conn *serverConn, req *http.Request) (resp *http.Response, interim bool, err error) {
	resp, err = http.ReadResponse(conn.reader, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		interim = true
		buffered, _ := conn.reader.Peek(conn.reader.Buffered()) // cannot fail: the bytes are there
		if err = conn.head.StartNextHead(buffered); err == nil {
			resp, err = http.ReadResponse(conn.reader, req)
		}
	}
	return resp, interim, err
}

// checkResponse returns an error for a response that net/http accepts although its end is ambiguous: the connection
// could not be reused safely.
func checkResponse(conn *serverConn, resp *http.Response, interim bool) error {
	if resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
		return errNotHTTP1
	}
	if len(resp.TransferEncoding) == 0 {
		return nil
	}
	if interim {
		resp.Close = true // the final head may follow the interim one in any form
		return nil
	}
	if _, length, err := conn.head.LengthHeaders(); err != nil || length {
		return errConflictingLength
	}
	return nil
}

// completeOutcome returns the outcome for a response that was read completely.
func (x *exchange) completeOutcome(resp *http.Response, body []byte) inflight.AttemptOutcome {
	outcome := inflight.AttemptOutcome{LoadReport: x.loadReport(resp)}
	switch {
	case resp.StatusCode == http.StatusOK:
		outcome.Result = balance.OK
		outcome.Response = inflight.Response{Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Body: body}
	case notProcessed(resp):
		outcome.Result = balance.Rejected
	default: // also 503 without X-Not-Processed: the request may have run
		outcome.Result = balance.Failed
	}
	return outcome
}

// forwardResponse passes the start of a response to the event loop, which sends it to the client. It returns once the
// rest has been forwarded.
func (x *exchange) forwardResponse(ctx context.Context, conn *serverConn, resp *http.Response, prefix []byte) (
	outcome inflight.AttemptOutcome, reusable bool) {
	remainder := &streamReader{
		ctx: ctx, conn: conn, body: streamingBody(conn, resp), remaining: inflight.MaxBody - int64(len(prefix)),
	}
	stream := &inflight.ResponseStream{
		Length: resp.ContentLength, Prefix: prefix, Remaining: remainder, WriteResult: make(chan error, 1),
	}
	x.pool.post(ResponseStarted{x.attempt, inflight.Response{
		Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Stream: stream,
	}})
	var err error
	select {
	case err = <-stream.WriteResult:
	case <-x.pool.loopStopped: // the event loop has ended and passes nothing to clients
		err = inflight.ErrBodyNotNeeded
	}
	outcome = inflight.AttemptOutcome{LoadReport: x.loadReport(resp), Result: responseResult(ctx, err)}
	if err == inflight.ErrBodyNotNeeded || err == inflight.ErrClientWriteFailed {
		outcome.Result = balance.Cancelled
	}
	return outcome, err == nil && reusableAfter(conn, resp)
}

// reusableAfter reports whether a connection can carry another request after a response that was read completely.
func reusableAfter(conn *serverConn, resp *http.Response) bool {
	return !resp.Close && conn.reader.Buffered() == 0
}

// rejectedEarly reads the response of a server that did not wait for the whole request, and reports whether the server
// rejected the request.
func rejectedEarly(conn *serverConn, req *http.Request) bool {
	conn.SetDeadline(time.Now().Add(earlyResponseTimeout))
	resp, err := http.ReadResponse(conn.reader, req)
	return err == nil && notProcessed(resp)
}

// notProcessed reports whether a response guarantees that nothing of the request has run.
func notProcessed(resp *http.Response) bool {
	return resp.Header.Get(notProcessedHeader) == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
}

// loadReport returns the load report in the headers of a response, or nil if there is none.
func (x *exchange) loadReport(resp *http.Response) []float32 {
	return parseReport(resp.Header.Get(loadReportHeader), x.pool.reportNames)
}
