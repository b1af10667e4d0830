package clientserver

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"marblelane/internal/sidecar/inflight"
)

// streamAnswer writes an answer as it comes. One that breaks off makes net/http close the connection, by a panic with
// http.ErrAbortHandler, so that the client can tell.
func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, call *inflight.Call, answer inflight.Response) {
	control := http.NewResponseController(w)
	stream, header := answer.Stream, w.Header()
	conn := headConn(r)
	if conn != nil {
		conn.LimitBuffer()
	}
	setContentType(header, answer)
	if stream.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(stream.Length, 10))
	}
	w.WriteHeader(answer.Status)
	buf := inflight.CopyBuffers.Get().(*[]byte)
	defer inflight.CopyBuffers.Put(buf)
	var readErr error
	for part := stream.Prefix; ; {
		if len(part) > 0 {
			s.limitWrite(w)
			if _, err := w.Write(part); err != nil || control.Flush() != nil {
				s.recordBreakOff(stream, call, inflight.ErrClientWriteFailed)
				panic(http.ErrAbortHandler)
			}
		}
		if readErr != nil {
			break
		}
		var n int
		n, readErr = stream.Remaining.Read(*buf)
		part = (*buf)[:n]
	}
	if readErr != io.EOF {
		s.recordBreakOff(stream, call, readErr)
		if conn != nil && !r.ProtoAtLeast(1, 1) {
			conn.ResetOnClose() // an orderly end of the connection would be the end of the answer
		}
		panic(http.ErrAbortHandler)
	}
	stream.WriteResult <- nil
	s.options.Metrics.CountResponse(call.Request.Class, answer.Status)
}

// recordBreakOff tells the attempt why its answer broke off, and counts the request as failed.
func (s *Server) recordBreakOff(stream *inflight.ResponseStream, call *inflight.Call, cause error) {
	stream.WriteResult <- cause
	s.options.Metrics.CountResponse(call.Request.Class, inflight.StatusFailed)
}

// limitWrite bounds the time for the next part of an answer: a client that does not read must not keep its connection
// and its place among the requests.
func (s *Server) limitWrite(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)); err != nil {
		slog.Error("clients: the write deadline could not be set", "err", err)
	}
}

// writeAnswer writes an answer that is held completely.
func writeAnswer(w http.ResponseWriter, answer inflight.Response) {
	header := w.Header()
	setContentType(header, answer)
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter/1e3, 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// setContentType sets the type that the server gave, and keeps net/http from guessing one.
func setContentType(header http.Header, answer inflight.Response) {
	header["Content-Type"] = nil
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
}

// writeError answers a request that is malformed or was not received completely, and ends its connection: what may follow
// cannot be trusted to be a request.
func writeError(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// discardBody reads on for a while, so that a client that is still sending sees its answer: a connection that is closed
// over unread bytes is reset, and the answer may be lost.
func discardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardWait))
	_, _ = io.Copy(io.Discard, r.Body)
}

// errorStatus is the status for a request that could not be read.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, errServiceEnded):
		return inflight.StatusRejected
	default:
		return http.StatusBadRequest
	}
}

// closeAfterAnswer ends a connection after the answer to its request, unless a further request may have come with it.
func closeAfterAnswer(w http.ResponseWriter, r *http.Request) {
	if conn := headConn(r); conn == nil || !conn.NextRequestMayFollow(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
}
