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

// streamResponse writes a response while its body is received from the server. If the body is cut short, it panics with
// http.ErrAbortHandler, which makes net/http close the connection, so that the client can detect the truncation.
func (s *Server) streamResponse(w http.ResponseWriter, r *http.Request, call *inflight.Call, response inflight.Response) {
	control := http.NewResponseController(w)
	stream, header := response.Stream, w.Header()
	conn := headConn(r)
	if conn != nil {
		conn.LimitBuffer()
	}
	setContentType(header, response)
	if stream.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(stream.Length, 10))
	}
	w.WriteHeader(response.Status)
	buf := inflight.CopyBuffers.Get().(*[]byte)
	defer inflight.CopyBuffers.Put(buf)
	var readErr error
	for part := stream.Prefix; ; {
		if len(part) > 0 {
			s.limitWrite(w)
			if _, err := w.Write(part); err != nil || control.Flush() != nil {
				s.recordStreamFailure(stream, call, inflight.ErrClientWriteFailed)
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
		s.recordStreamFailure(stream, call, readErr)
		if conn != nil && !r.ProtoAtLeast(1, 1) {
			conn.ResetOnClose() // HTTP/1.0 clients take an orderly close as the end of the response
		}
		panic(http.ErrAbortHandler)
	}
	stream.WriteResult <- nil
	s.options.Metrics.CountResponse(call.Request.Class, response.Status)
}

// recordStreamFailure reports to the attempt why its response was cut short, and counts the request as failed.
func (s *Server) recordStreamFailure(stream *inflight.ResponseStream, call *inflight.Call, cause error) {
	stream.WriteResult <- cause
	s.options.Metrics.CountResponse(call.Request.Class, inflight.StatusFailed)
}

// limitWrite sets the write deadline for the next part of a response, so that a client that does not read cannot occupy
// a connection and a slot of the request limit forever.
func (s *Server) limitWrite(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)); err != nil {
		slog.Error("clients: failed to set the write deadline", "err", err)
	}
}

// writeResponse writes a response whose body is held completely.
func writeResponse(w http.ResponseWriter, response inflight.Response) {
	header := w.Header()
	setContentType(header, response)
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter/1e3, 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// setContentType sets the content type that the server has sent. Without one it prevents net/http from detecting a
// type.
func setContentType(header http.Header, response inflight.Response) {
	header["Content-Type"] = nil
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
}

// writeError responds to a request that is malformed or was not received completely, and closes the connection: bytes
// that follow may be part of the bad request instead of another request.
func writeError(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// discardBody reads and discards the body for up to discardTimeout, so that a client that is still sending sees its
// response: closing a connection with unread bytes resets it, and the response may be lost.
func discardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, r.Body)
}

// errorStatus returns the response status for a request that could not be read.
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

// closeAfterResponse closes the connection after the response to the request, unless the client may already have sent
// another request.
func closeAfterResponse(w http.ResponseWriter, r *http.Request) {
	if conn := headConn(r); conn == nil || !conn.NextRequestMayFollow(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
}
