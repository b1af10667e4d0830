package sidecar

// This file writes answers to clients: whole, as they come, and errors.

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// pass writes an answer as it comes. One that breaks off ends its connection, so that the client can tell.
func (f *frontend) pass(w http.ResponseWriter, r *http.Request, c *call, a answer) {
	control := http.NewResponseController(w)
	s, h := a.stream, w.Header()
	if conn, ok := r.Context().Value(connKey{}).(*headConn); ok {
		conn.limitBuffer()
	}
	setContentType(h, a)
	if s.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(a.status)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var end error
	for part := s.first; ; {
		if len(part) > 0 {
			f.limitWrite(w)
			if _, err := w.Write(part); err != nil || control.Flush() != nil {
				s.ended <- errClient
				f.figures.count(c.ev.Class, statusFailed)
				panic(http.ErrAbortHandler)
			}
		}
		if end != nil {
			break
		}
		var n int
		n, end = s.rest.Read(*buf)
		part = (*buf)[:n]
	}
	if end != io.EOF {
		s.ended <- end
		f.figures.count(c.ev.Class, statusFailed)
		if conn, ok := r.Context().Value(connKey{}).(*headConn); ok && !r.ProtoAtLeast(1, 1) {
			conn.reset() // the end of the connection would be the end of the answer
		}
		panic(http.ErrAbortHandler)
	}
	s.ended <- nil
	f.figures.count(c.ev.Class, a.status)
}

// limitWrite bounds the time for an answer from now on: a client that does not read would hold its place
// among those taken for ever.
func (f *frontend) limitWrite(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeWait)); err != nil {
		slog.Error("no bound on writing", "error", err)
	}
}

func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	setContentType(h, a)
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter/1e3, 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func setContentType(h http.Header, a answer) {
	h["Content-Type"] = nil
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
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
		return statusRefused
	default:
		return http.StatusBadRequest
	}
}

// endAfter ends a connection between requests only: the one at work is answered first, and so is what has come with it.
func endAfter(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*headConn); !ok || !c.behind(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
}
