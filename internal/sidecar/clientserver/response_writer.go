package clientserver

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
)

// pass writes an answer as it comes. One that breaks off ends its connection, so that the client can tell.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, c *inflight.Call, a inflight.Answer) {
	control := http.NewResponseController(w)
	stream, h := a.Stream, w.Header()
	if conn, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok {
		conn.LimitBuffer()
	}
	setContentType(h, a)
	if stream.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(stream.Length, 10))
	}
	w.WriteHeader(a.Status)
	buf := inflight.CopyBuffers.Get().(*[]byte)
	defer inflight.CopyBuffers.Put(buf)
	var end error
	for part := stream.First; ; {
		if len(part) > 0 {
			s.limitWrite(w)
			if _, err := w.Write(part); err != nil || control.Flush() != nil {
				stream.Ended <- inflight.ErrClientGone
				s.Metrics.CountAnswer(c.Request.Class, inflight.StatusFailed)
				panic(http.ErrAbortHandler)
			}
		}
		if end != nil {
			break
		}
		var n int
		n, end = stream.Rest.Read(*buf)
		part = (*buf)[:n]
	}
	if end != io.EOF {
		stream.Ended <- end
		s.Metrics.CountAnswer(c.Request.Class, inflight.StatusFailed)
		if conn, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok && !r.ProtoAtLeast(1, 1) {
			conn.Reset() // the end of the connection would be the end of the answer
		}
		panic(http.ErrAbortHandler)
	}
	stream.Ended <- nil
	s.Metrics.CountAnswer(c.Request.Class, a.Status)
}

// limitWrite bounds the time for an answer from now on: a client that does not read would hold its place
// among those taken for ever.
func (s *Server) limitWrite(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.WriteTimeout)); err != nil {
		slog.Error("no bound on writing", "error", err)
	}
}

func write(w http.ResponseWriter, a inflight.Answer) {
	h := w.Header()
	setContentType(h, a)
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter/1e3, 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

func setContentType(h http.Header, a inflight.Answer) {
	h["Content-Type"] = nil
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
}

// reject answers what is not a proper request. What may follow on its connection cannot be trusted to be one.
func reject(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// linger lets a client that is still sending see its answer: a connection that is closed with something unread
// takes the answer with it.
func linger(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(largeWait))
	io.Copy(io.Discard, r.Body)
}

func badStatus(err error) int {
	switch {
	case errors.Is(err, errBodyLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodySlow):
		return http.StatusRequestTimeout
	case errors.Is(err, errServiceEnded):
		return inflight.StatusRejected
	default:
		return http.StatusBadRequest
	}
}

// endAfter ends a connection between requests only: the one at work is answered first, and so is what has come with it.
func endAfter(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); !ok || !c.NextMayFollow(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
}
