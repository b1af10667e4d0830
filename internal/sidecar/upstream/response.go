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

// maxBufferedResponse bounds what is held of an answer, its head included. A head without end must not fill the memory.
const maxBufferedResponse = framing.MaxHeader + 2*inflight.MaxHeldBody

const (
	notProcessedHeader = "X-Not-Processed" // of an answer; 1: the server has not started to process the request
	loadReportHeader   = "X-Server-Load"
)

var (
	errNotHTTP1          = errors.New("an answer in another protocol than HTTP/1")
	errConflictingLength = errors.New("an answer with Transfer-Encoding beside Content-Length")
	// errHeadOnly reports a connection that ended right behind a head which does not say where its answer ends.
	errHeadOnly = errors.New("an answer of nothing but its head")
	// errBodyTooLarge reports an answer above inflight.MaxBody, or one above inflight.MaxHeldBody that goes to no client.
	errBodyTooLarge = errors.New("body too large")
)

// readReply reads the answer to a request that was written to its last byte: if the connection breaks now, the request may
// have run. It reports whether the connection can be reused.
func (x *exchange) readReply(ctx context.Context, conn *serverConn, idle time.Duration) (reply inflight.Reply, reusable bool) {
	resp, interim, err := readHead(conn, x.request)
	nothingRead := conn.readLimit.N == maxBufferedResponse
	if err == nil {
		err = checkResponse(conn, resp, interim)
	}
	var body []byte
	if err == nil {
		// Only a client's 200 is forwarded as it arrives.
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
		return inflight.Reply{Result: result}, false
	}
	return x.completeReply(resp, body), reusableAfter(conn, resp)
}

// readHead reads the head of the final answer. It reports whether interim ones (1xx) came before it.
func readHead(conn *serverConn, req *http.Request) (resp *http.Response, interim bool, err error) {
	resp, err = http.ReadResponse(conn.reader, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		interim = true
		resp, err = http.ReadResponse(conn.reader, req)
	}
	return resp, interim, err
}

// checkResponse returns an error for what net/http reads all the same, but would leave the connection out of step.
func checkResponse(conn *serverConn, resp *http.Response, interim bool) error {
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

// completeReply is the reply of an answer that was read to its end.
func (x *exchange) completeReply(resp *http.Response, body []byte) inflight.Reply {
	reply := inflight.Reply{Report: x.loadReport(resp)}
	switch {
	case resp.StatusCode == http.StatusOK:
		reply.Result = balance.OK
		reply.Answer = inflight.Answer{Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Body: body}
	case notProcessed(resp):
		reply.Result = balance.Rejected
	default: // also 503 without the mark: it may have run
		reply.Result = balance.Failed
	}
	return reply
}

// forwardResponse hands the start of an answer to the event loop for the client, and returns once the rest was forwarded.
func (x *exchange) forwardResponse(ctx context.Context, conn *serverConn, resp *http.Response, first []byte) (reply inflight.Reply,
	reusable bool) {
	remainder := &streamReader{ctx: ctx, conn: conn, body: streamingBody(conn, resp), remaining: inflight.MaxBody - int64(len(first))}
	stream := &inflight.AnswerStream{Length: resp.ContentLength, First: first, Remaining: remainder, Ended: make(chan error, 1)}
	x.pool.post(ResponseStarted{x.attempt, inflight.Answer{
		Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Stream: stream,
	}})
	var err error
	select {
	case err = <-stream.Ended:
	case <-x.pool.loopStopped: // the event loop hands the answer to no client any more
		err = inflight.ErrBodyUnwanted
	}
	reply = inflight.Reply{Report: x.loadReport(resp), Result: responseResult(ctx, err)}
	if err == inflight.ErrBodyUnwanted || err == inflight.ErrClientGone {
		reply.Result = balance.Cancelled
	}
	return reply, err == nil && reusableAfter(conn, resp)
}

// reusableAfter reports whether a connection can carry another request after an answer that was read to its end.
func reusableAfter(conn *serverConn, resp *http.Response) bool {
	return !resp.Close && conn.reader.Buffered() == 0
}

// rejectedEarly reads the answer of a server that did not wait for the whole request.
func rejectedEarly(conn *serverConn, req *http.Request) bool {
	conn.SetDeadline(time.Now().Add(earlyResponseTimeout))
	resp, err := http.ReadResponse(conn.reader, req)
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
