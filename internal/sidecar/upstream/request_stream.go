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
	// routedStreamBufferSize is as much of a body as is held even if memory is short. As the first write also contains
	// the head, an attempt whose route is revoked at that write has consumed nothing of the body.
	routedStreamBufferSize = inflight.MinHeldBody
)

// NewStreamWriter returns the writer for a request with a forwarded body whose head was rendered for a revision of the
// routes. Its first Write makes the last check of the route. Tests use it to make that check without an exchange.
func NewStreamWriter(conn net.Conn, check *routing.AttemptCheck, headerRevision int64) io.Writer {
	return &requestWriter{conn: &serverConn{Conn: conn}, routeCheck: check, headerRevision: headerRevision}
}

// earlyResponseWatch waits for a response, or for the end of the connection, while a body is being forwarded.
type earlyResponseWatch struct {
	settled   atomic.Bool   // set by the first to end, the write or the watch
	done      chan struct{} // closed when the watch's goroutine ends; only then may others read the connection
	responded bool          // the response started before the write ended; valid once done is closed
	connErr   error         // why the connection failed before the write ended; valid once done is closed
}

// watchForResponse starts the watch. Its goroutine ends at the first byte of a response, at a connection error or at
// the deadline of the connection.
func (w *requestWriter) watchForResponse() *earlyResponseWatch {
	watch := &earlyResponseWatch{done: make(chan struct{})}
	go func() {
		defer close(watch.done)
		_, err := w.conn.reader.Peek(1)
		if watch.settled.CompareAndSwap(false, true) {
			watch.responded, watch.connErr = err == nil, err
			w.interrupt()
		}
	}()
	return watch
}

// respondedEarly reports whether the server responded before the whole request was written. It is called after write.
func (w *requestWriter) respondedEarly() bool {
	return w.earlyResponse != nil && w.earlyResponse.responded
}

// forwardBody writes a request whose body is still arriving. It stops if the server responds before the end of the
// body, as the server then does not need the rest.
func (w *requestWriter) forwardBody(req *http.Request, upload *inflight.Upload) error {
	netcall.LimitSendBuffer(w.conn.Conn)
	body := w.openBody(upload)
	w.earlyResponse = w.watchForResponse()
	req.Body = io.NopCloser(body)
	if upload.Length >= 0 {
		// net/http reads on after the last byte: an error there would be reported although the request is complete.
		req.Body = io.NopCloser(io.LimitReader(body, upload.Length))
	}
	err := w.writeBuffered(req)
	respondedFirst := !w.earlyResponse.settled.CompareAndSwap(false, true)
	if err != nil {
		return w.abortStream(upload, respondedFirst, err)
	}
	if respondedFirst {
		<-w.earlyResponse.done // the response came with the last byte: interrupt must not run after the next setDeadline
	}
	return nil
}

// openBody returns a reader of the body. stop and interrupt end its reads.
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

// writeBuffered writes the request through Write, in pieces of the size of a buffer.
func (w *requestWriter) writeBuffered(req *http.Request) error {
	size := streamBufferSize
	if w.routeCheck != nil {
		size = routedStreamBufferSize
	}
	buffer := bufio.NewWriterSize(w, size)
	if err := req.Write(buffer); err != nil {
		return err
	}
	return buffer.Flush()
}

// abortStream ends a request that was not written completely and returns the cause.
func (w *requestWriter) abortStream(upload *inflight.Upload, respondedFirst bool, err error) error {
	w.stop()
	<-w.earlyResponse.done
	switch {
	case upload.Failed(): // the client did not complete it
		return errAttemptObsolete
	case respondedFirst && w.earlyResponse.connErr != nil: // the connection broke
		return errors.Join(w.earlyResponse.connErr, syscall.EPIPE)
	}
	return err
}

// Write writes a piece of a request with a forwarded body. Each piece must be written within streamTimeout. The last
// checks are made before the first piece.
func (w *requestWriter) Write(p []byte) (int, error) {
	if err := w.extendWriteDeadline(); err != nil {
		return 0, err
	}
	if !w.started {
		if err := w.startStream(); err != nil {
			return 0, err
		}
		w.started = true
	}
	return w.conn.Write(p)
}

// extendWriteDeadline sets the deadline for the next piece, unless the writer was interrupted or stopped.
func (w *requestWriter) extendWriteDeadline() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != writerRunning {
		return errAttemptObsolete
	}
	deadline := time.Now().Add(streamTimeout)
	if !w.writeDeadline.IsZero() && w.writeDeadline.Before(deadline) {
		deadline = w.writeDeadline
	}
	w.conn.SetWriteDeadline(deadline)
	return nil
}

// startStream makes the last checks before the first byte: whether the client has disconnected, then the route. As the
// head has been rendered already, it returns ErrRevoked if the route counts the attempt under another revision.
func (w *requestWriter) startStream() error {
	if w.call != nil && w.call.ClientDisconnected() {
		return errAttemptObsolete
	}
	if w.routeCheck == nil {
		return nil
	}
	if revision, err := w.routeCheck.Begin(); err != nil || revision != w.headerRevision {
		return routing.ErrRevoked
	}
	return nil
}
