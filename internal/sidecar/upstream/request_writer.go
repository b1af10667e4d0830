package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/routing"
)

// timeoutHeader is the request header that gives a server the time that the client has left, in ms.
const timeoutHeader = "X-Timeout-Ms"

// requestWriter writes one request to a connection. Another goroutine may stop it at any time.
type requestWriter struct {
	conn          *serverConn
	reused        bool      // the connection has carried requests before
	writeDeadline time.Time // for the last byte of the request; zero if only the deadline of the response applies
	hook          checkpoint.Hook

	routeCheck     *routing.AttemptCheck // nil if no route applies
	headerRevision int64                 // the revision of the routes in the rendered head
	call           *inflight.Call        // set if the body is forwarded, nil otherwise
	started        bool                  // the first byte of the request may have been written
	earlyResponse  *earlyResponseWatch   // nil until a body is forwarded

	mu       sync.Mutex // guards the fields below and the deadlines of conn
	state    writerState
	body     *inflight.UploadReader // nil until a body is forwarded
	detached bool                   // the connection may be in use for another request
}

// writerState is how far a request writer has been stopped. It never decreases.
type writerState uint8

const (
	writerRunning     writerState = iota
	writerInterrupted             // no more of the body is forwarded; the response may be read
	writerStopped                 // nothing more is written or read
)

// String returns the name of the state.
func (s writerState) String() string {
	switch s {
	case writerInterrupted:
		return "interrupted"
	case writerStopped:
		return "stopped"
	}
	return "running"
}

// stop makes all current and later reads and writes of the connection fail.
func (w *requestWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = writerStopped
	if !w.detached {
		w.conn.SetDeadline(netcall.PastDeadline)
	}
	if w.body != nil {
		w.body.Stop()
	}
}

// detach ends the use of the connection and removes its deadline. Later calls of stop do not affect the connection.
func (w *requestWriter) detach() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detached = true
	w.conn.SetDeadline(time.Time{})
}

// interrupt ends the forwarding of a body. The connection can be read again after setDeadline.
func (w *requestWriter) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = max(w.state, writerInterrupted)
	w.conn.SetDeadline(netcall.PastDeadline)
	w.body.Stop()
}

// setDeadline sets the deadline of the connection, unless the writer was stopped.
func (w *requestWriter) setDeadline(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == writerStopped {
		return
	}
	w.conn.SetDeadline(deadline)
	if !w.writeDeadline.IsZero() && w.writeDeadline.Before(deadline) {
		w.conn.SetWriteDeadline(w.writeDeadline)
	}
}

// write writes the request and reports whether its last byte was written: only then may the request run. attempt is
// nil for a health check.
func (w *requestWriter) write(deadline time.Time, req *http.Request, attempt *Attempt) (written bool, err error) {
	if attempt != nil {
		attempt.Call.WriteLock.Lock()
		defer attempt.Call.WriteLock.Unlock()
		if attempt.Call.Finished() {
			return false, errAttemptObsolete
		}
	}
	timeLeft := time.Until(deadline)
	if w.conn.server.Retired.Load() || timeLeft <= 0 {
		return false, errAttemptObsolete
	}
	omitUserAgent(req.Header)
	w.setRouteHeaders(req.Header, attempt)
	if attempt.upload() != nil {
		written, err = w.writeStreamed(req, attempt)
	} else {
		written, err = w.writeFromMemory(req, attempt, timeLeft)
	}
	if written && attempt != nil {
		attempt.Written.Store(true)
		attempt.Call.Written.Store(true)
	}
	return written, err
}

// omitUserAgent keeps net/http from adding its own User-Agent.
func omitUserAgent(header http.Header) {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
}

// setTimeLeft sets the header that gives the server the client's remaining time, at least 1 ms.
func setTimeLeft(header http.Header, timeLeft time.Duration) {
	header.Set(timeoutHeader, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
}

// setRouteHeaders sets the headers of the attempt's route, with the revision under which the route is expected to
// count the attempt.
func (w *requestWriter) setRouteHeaders(header http.Header, attempt *Attempt) {
	if attempt == nil || attempt.RouteCheck == nil {
		return
	}
	w.routeCheck, w.headerRevision = attempt.RouteCheck, attempt.RouteCheck.ExpectRevision()
	attempt.RouteCheck.SetHeaders(header, w.headerRevision)
}

// writeFromMemory writes a request whose body is held in memory. The client and the route are checked after the clock
// was read for the first byte, and the route last, right before the first byte: an attempt that is delayed in between
// must not be written on the basis of outdated checks.
func (w *requestWriter) writeFromMemory(req *http.Request, attempt *Attempt, timeLeft time.Duration) (
	written bool, err error) {
	setTimeLeft(req.Header, timeLeft)
	var text bytes.Buffer
	if err := render(&text, req, attempt); err != nil {
		return false, errAttemptObsolete
	}
	if err := w.checkConnection(); err != nil {
		return false, err
	}
	if attempt != nil {
		w.recordFirstByte(attempt.Call.Outbound)
		if attempt.Call.ClientDisconnected() {
			return false, errAttemptObsolete
		}
	}
	if err := w.startOnRoute(&text, req, attempt); err != nil {
		return false, err
	}
	w.started = true
	n, err := w.conn.Write(text.Bytes())
	return n == text.Len(), err
}

// writeStreamed writes a request whose body is forwarded as it arrives. Write checks the client and the route.
func (w *requestWriter) writeStreamed(req *http.Request, attempt *Attempt) (written bool, err error) {
	w.call = attempt.Call
	timeLeft := attempt.Call.UploadTimeLeft()
	if timeLeft <= 0 {
		return false, errAttemptObsolete
	}
	setTimeLeft(req.Header, timeLeft)
	if err := w.checkConnection(); err != nil {
		return false, err
	}
	w.recordFirstByte(attempt.Call.Outbound)
	err = w.forwardBody(req, attempt.upload())
	return err == nil, err
}

// checkConnection checks that the last byte may still be written, and that a reused connection is open and has no
// unread bytes: bytes that arrived before the request cannot be the response to it.
func (w *requestWriter) checkConnection() error {
	if !w.writeDeadline.IsZero() && !time.Now().Before(w.writeDeadline) {
		return errAttemptObsolete
	}
	if w.reused && !w.conn.reusable() {
		return errStaleConn
	}
	return nil
}

// recordFirstByte records the current time as that of the first byte. The process may be delayed at any point after
// this.
func (w *requestWriter) recordFirstByte(outbound *inflight.Outbound) {
	outbound.LastFirstByteAt = time.Now()
	w.hook.At(checkpoint.ClockRead)
}

// startOnRoute starts the attempt on its route. If the route counts it under another revision than expected, the
// request is rendered again with that revision.
func (w *requestWriter) startOnRoute(text *bytes.Buffer, req *http.Request, attempt *Attempt) error {
	if w.routeCheck == nil {
		return nil
	}
	revision, err := w.routeCheck.Begin()
	if err != nil {
		return err
	}
	if revision == w.headerRevision {
		return nil
	}
	w.routeCheck.SetHeaders(req.Header, revision)
	text.Reset()
	if err := render(text, req, attempt); err != nil {
		return errAttemptObsolete
	}
	return nil
}

// render renders a request whose body is held in memory.
func render(text *bytes.Buffer, req *http.Request, attempt *Attempt) error {
	req.Body = http.NoBody
	if attempt != nil && len(attempt.Call.Outbound.Body) > 0 {
		// Each rendering needs a new reader, as the previous one was read to its end.
		req.Body = io.NopCloser(bytes.NewReader(attempt.Call.Outbound.Body))
	}
	return req.Write(text)
}
