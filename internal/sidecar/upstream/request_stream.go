package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/routing"
)

const (
	streamBufferSize = inflight.CopyBufferSize / 2
	// routedStreamBufferSize is less than what is held of a body in any case: an attempt whose route is revoked at its first
	// write has consumed nothing of the body.
	routedStreamBufferSize = inflight.MinHeldBody
)

// NewStreamWriter returns the writer under a forwarded body whose head was rendered for a revision of the routes. Its first
// Write makes the last check of the route. It lets tests make that check without an exchange.
func NewStreamWriter(conn net.Conn, check *routing.Check, headerRevision int64) io.Writer {
	return &requestWriter{conn: &serverConn{Conn: conn}, routeCheck: check, headerRevision: headerRevision}
}

// earlyAnswer watches for an answer, or the end of the connection, while a body is being forwarded.
type earlyAnswer struct {
	decided  atomic.Bool   // the write or the watch has ended; the first of them sets it
	peeked   chan struct{} // closed by the watch's goroutine at its end, after which others may read the connection
	answered bool          // the answer started before the write ended; read it after peeked
	connErr  error         // the connection ended before the write did; read it after peeked
}

// watchForAnswer starts the watch, whose goroutine ends with the first byte of an answer or the connection's deadline.
func (w *requestWriter) watchForAnswer() *earlyAnswer {
	early := &earlyAnswer{peeked: make(chan struct{})}
	go func() {
		defer close(early.peeked)
		_, err := w.conn.in.Peek(1)
		if early.decided.CompareAndSwap(false, true) {
			early.answered, early.connErr = err == nil, err
			w.interrupt()
		}
	}()
	return early
}

// answeredEarly reports whether the server answered before the whole request was written. It is called after write.
func (w *requestWriter) answeredEarly() bool { return w.early != nil && w.early.answered }

// stream writes a request whose body is still arriving. A server that answers before its end wants no more of it.
func (w *requestWriter) stream(req *http.Request, upload *inflight.Upload) error {
	netcall.LimitSendBuffer(w.conn.Conn)
	body := w.openBody(upload)
	w.early = w.watchForAnswer()
	req.Body = io.NopCloser(body)
	if upload.Length >= 0 {
		// net/http reads on behind the last byte: an error there would be reported for a request that is complete.
		req.Body = io.NopCloser(io.LimitReader(body, upload.Length))
	}
	err := w.writeBuffered(req)
	answeredFirst := !w.early.decided.CompareAndSwap(false, true)
	if err != nil {
		return w.endStream(upload, answeredFirst, err)
	}
	if answeredFirst {
		<-w.early.peeked // the answer came with the last byte: interrupt must not follow the next limit
	}
	return nil
}

// openBody returns a reader of the body that stop ends.
func (w *requestWriter) openBody(upload *inflight.Upload) *inflight.UploadReader {
	body := upload.NewReader()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.body = body
	if w.state == writerStopped {
		body.Stop()
	}
	return body
}

// writeBuffered writes the request through Write, in parts of a buffer's size.
func (w *requestWriter) writeBuffered(req *http.Request) error {
	size := streamBufferSize
	if w.routeCheck != nil {
		size = routedStreamBufferSize
	}
	out := bufio.NewWriterSize(w, size)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// endStream ends a request that was not written to its end and returns the cause.
func (w *requestWriter) endStream(upload *inflight.Upload, answeredFirst bool, err error) error {
	w.stop()
	<-w.early.peeked
	switch {
	case upload.Failed(): // by the client
		return errNotNeeded
	case answeredFirst && w.early.connErr != nil: // the connection broke
		return errors.Join(w.early.connErr, syscall.EPIPE)
	}
	return err
}

// Write writes a part of a request with a forwarded body: a server may be slow to read it, but must go on. The first part is
// written after the last checks.
func (w *requestWriter) Write(p []byte) (int, error) {
	if err := w.extendWriteDeadline(); err != nil {
		return 0, err
	}
	if !w.streamStarted {
		if err := w.startStream(); err != nil {
			return 0, err
		}
		w.streamStarted = true
	}
	return w.conn.Write(p)
}

// extendWriteDeadline gives the next part its time, unless the request was stopped.
func (w *requestWriter) extendWriteDeadline() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != writerRunning {
		return errNotNeeded
	}
	deadline := time.Now().Add(streamTimeout)
	if !w.writeBy.IsZero() && w.writeBy.Before(deadline) {
		deadline = w.writeBy
	}
	w.conn.SetWriteDeadline(deadline)
	return nil
}

// startStream makes the last checks before the first byte: the client's, then the route's. The head is rendered by then, so
// a route that counts the attempt under another revision ends it.
func (w *requestWriter) startStream() error {
	if w.call != nil && w.call.ClientDisconnected() {
		return errNotNeeded
	}
	if w.routeCheck == nil {
		return nil
	}
	if revision, err := w.routeCheck.Begin(); err != nil || revision != w.headerRevision {
		return routing.ErrRevoked
	}
	return nil
}
