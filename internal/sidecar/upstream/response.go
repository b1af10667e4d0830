package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
)

// maxHeldAnswer bounds what is held of an answer, its head included. A head without end must not fill the memory.
const maxHeldAnswer = framing.MaxHeader + 2*inflight.MaxHeldBody

const (
	notProcessedHeader = "X-Not-Processed" // of an answer; 1: the server has not started to process the request
	loadReportHeader   = "X-Server-Load"
)

var (
	errNotHTTP1          = errors.New("an answer in another protocol than HTTP/1")
	errConflictingLength = errors.New("an answer with Transfer-Encoding beside Content-Length")
	// errUnframed reports a connection that ended right behind a head which does not say where its answer ends.
	errUnframed = errors.New("an answer of nothing but its head")
	// errAnswerLarge reports an answer above inflight.MaxBody, or one above inflight.MaxHeldBody that goes to no client.
	errAnswerLarge = errors.New("body too large")
)

// readReply reads the answer to a request that was written to its last byte: if the connection breaks now, the request may
// have run. It reports whether the connection can be reused.
func (x *exchange) readReply(ctx context.Context, conn *serverConn, idle time.Duration) (reply inflight.AttemptOutcome, reusable bool) {
	resp, interim, err := readHead(conn, x.request)
	nothingRead := conn.readLimit.N == maxHeldAnswer
	if err == nil {
		err = checkAnswer(conn, resp, interim)
	}
	var body []byte
	if err == nil {
		// Only a client's 200 is forwarded as it arrives.
		mayForward := x.attempt != nil && resp.StatusCode == http.StatusOK
		reader := &bodyReader{conn: conn, resp: resp, deadline: x.deadline, mayForward: mayForward}
		var more bool
		if body, more, err = reader.read(ctx); more {
			x.pool.idleAges.record(time.Now(), idle, false)
			return x.forwardAnswer(ctx, conn, resp, body)
		}
	}
	result := answerResult(ctx, err)
	x.pool.idleAges.record(time.Now(), idle, result == balance.Reset && nothingRead)
	if err != nil {
		return inflight.AttemptOutcome{Result: result}, false
	}
	return x.heldReply(resp, body), reusableAfter(conn, resp)
}

// readHead reads the head of the final answer. It reports whether interim ones (1xx) came before it.
func readHead(conn *serverConn, req *http.Request) (resp *http.Response, interim bool, err error) {
	resp, err = http.ReadResponse(conn.in, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		interim = true
		resp, err = http.ReadResponse(conn.in, req)
	}
	return resp, interim, err
}

// checkAnswer returns an error for what net/http reads all the same, but would leave the connection out of step.
func checkAnswer(conn *serverConn, resp *http.Response, interim bool) error {
	if resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
		return errNotHTTP1
	}
	if len(resp.TransferEncoding) == 0 {
		return nil
	}
	if interim {
		resp.Close = true // the head that conn has is the interim one
		return nil
	}
	if _, length, err := conn.head.LengthHeaders(); err != nil || length {
		return errConflictingLength
	}
	return nil
}

// heldReply is the reply of an answer that was read to its end.
func (x *exchange) heldReply(resp *http.Response, body []byte) inflight.AttemptOutcome {
	reply := inflight.AttemptOutcome{LoadReport: x.loadReport(resp)}
	switch {
	case resp.StatusCode == http.StatusOK:
		reply.Result = balance.OK
		reply.Response = inflight.Response{Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Body: body}
	case notProcessed(resp):
		reply.Result = balance.Rejected
	default: // also 503 without the mark: it may have run
		reply.Result = balance.Failed
	}
	return reply
}

// forwardAnswer hands the start of an answer to the event loop for the client, and returns once the rest was forwarded.
func (x *exchange) forwardAnswer(ctx context.Context, conn *serverConn, resp *http.Response, first []byte) (reply inflight.AttemptOutcome,
	reusable bool) {
	remainder := &streamReader{ctx: ctx, conn: conn, body: unbuffered(conn, resp), left: inflight.MaxBody - int64(len(first))}
	stream := &inflight.ResponseStream{Length: resp.ContentLength, Prefix: first, Remaining: remainder, WriteResult: make(chan error, 1)}
	x.pool.post(ResponseStarted{x.attempt, inflight.Response{
		Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Stream: stream,
	}})
	var err error
	select {
	case err = <-stream.WriteResult:
	case <-x.pool.stopped: // the event loop hands the answer to no client any more
		err = inflight.ErrBodyNotNeeded
	}
	reply = inflight.AttemptOutcome{LoadReport: x.loadReport(resp), Result: answerResult(ctx, err)}
	if err == inflight.ErrBodyNotNeeded || err == inflight.ErrClientWriteFailed {
		reply.Result = balance.Cancelled
	}
	return reply, err == nil && reusableAfter(conn, resp)
}

// reusableAfter reports whether a connection can carry another request after an answer that was read to its end.
func reusableAfter(conn *serverConn, resp *http.Response) bool {
	return !resp.Close && conn.in.Buffered() == 0
}

// rejectedEarly reads the answer of a server that did not wait for the whole request.
func rejectedEarly(conn *serverConn, req *http.Request) bool {
	conn.SetDeadline(time.Now().Add(earlyAnswerTimeout))
	resp, err := http.ReadResponse(conn.in, req)
	return err == nil && notProcessed(resp)
}

// notProcessed reports whether an answer promises that nothing of the request ran.
func notProcessed(resp *http.Response) bool {
	return resp.Header.Get(notProcessedHeader) == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
}

// loadReport returns the load figures that the server stated beside its answer.
func (x *exchange) loadReport(resp *http.Response) []float32 {
	return parseReport(resp.Header.Get(loadReportHeader), x.pool.reportNames)
}
