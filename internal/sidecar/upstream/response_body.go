package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

const (
	// holdTime is how long the start of an answer of unknown length is held: all of it may be short.
	holdTime = 25 * time.Millisecond
	// minBodyBuffer is the first size of the buffer of a body.
	minBodyBuffer = 4 << 10
)

// bodyReader reads the body of an answer to its end, or up to where it may be forwarded to a client.
type bodyReader struct {
	conn       *serverConn
	resp       *http.Response
	deadline   time.Time // for the whole body, unless it is forwarded
	mayForward bool      // a long body may be forwarded; otherwise it is an error

	body      io.Reader
	startedAt time.Time // of the read that got the first bytes
	held      []byte
}

// read returns a body, or an error: one that is cut short is never taken for a complete one. more reports that there is more
// of it than is held, and that its start is to be forwarded.
func (r *bodyReader) read(ctx context.Context) (held []byte, more bool, err error) {
	length := r.resp.ContentLength
	switch {
	case length >= 0 && length <= inflight.MaxHeldBody:
		held = make([]byte, length)
		_, err = io.ReadFull(r.resp.Body, held)
		return held, false, err
	case length > inflight.MaxBody, length > inflight.MaxHeldBody && !r.mayForward:
		return nil, false, errAnswerLarge
	}
	r.conn.readLimit.N = math.MaxInt64 // from here on the body's own bounds hold
	r.body = unbuffered(r.conn, r.resp)
	return r.readStart(ctx)
}

// readStart reads a body that is long or of unknown length until its end, or until it may be forwarded.
func (r *bodyReader) readStart(ctx context.Context) (held []byte, more bool, err error) {
	r.startedAt = time.Now()
	for {
		if r.mayForward && len(r.held) > 0 {
			arrived, err := r.conn.moreBy(ctx, r.startedAt.Add(holdTime), r.deadline)
			if !arrived || err != nil {
				return r.held, err == nil, err
			}
		}
		err := r.readOnce()
		switch {
		case err == io.EOF && r.unframed() && len(r.held) == 0:
			return nil, false, errUnframed
		case err == io.EOF:
			return r.held, false, nil
		case err != nil:
			return nil, false, err
		case !r.mayForward && len(r.held) > inflight.MaxHeldBody:
			return nil, false, errAnswerLarge
		case r.mayForward && len(r.held) > 0 && r.isLong():
			return r.held, true, nil
		}
	}
}

// readOnce reads what has arrived.
func (r *bodyReader) readOnce() error {
	if len(r.held) == cap(r.held) {
		r.held = append(r.held, make([]byte, max(minBodyBuffer, len(r.held)))...)[:len(r.held)]
	}
	n, err := r.body.Read(r.held[len(r.held):cap(r.held)])
	if len(r.held) == 0 {
		r.startedAt = time.Now()
	}
	r.held = r.held[:len(r.held)+n]
	return err
}

// unframed reports whether the body ends with its connection.
func (r *bodyReader) unframed() bool {
	return r.resp.ContentLength < 0 && len(r.resp.TransferEncoding) == 0
}

// isLong reports whether the body is longer than what is held.
func (r *bodyReader) isLong() bool {
	return r.resp.ContentLength > inflight.MaxHeldBody || len(r.held) > inflight.MaxHeldBody
}

// moreBy waits for the next bytes or the end of the answer until a time, which is not after the deadline. It leaves the bytes
// to be read. An error is returned, as the system reports it only once.
func (c *serverConn) moreBy(ctx context.Context, until, deadline time.Time) (bool, error) {
	if c.in.Buffered() > 0 || until.After(deadline) {
		return true, nil
	}
	c.SetReadDeadline(until)
	_, err := c.in.Peek(1)
	c.SetReadDeadline(deadline)
	if ctx.Err() != nil { // the lines above may have undone the cancellation
		c.SetReadDeadline(netcall.PastDeadline)
	}
	switch {
	case err == nil, err == io.EOF:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, ctx.Err()
	default:
		return false, err
	}
}

// streamReader reads the rest of an answer that is forwarded as it arrives: the server may be slow, but must go on.
type streamReader struct {
	ctx  context.Context
	conn *serverConn
	body io.Reader
	left int64 // bytes up to inflight.MaxBody
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(streamTimeout))
	if err := r.ctx.Err(); err != nil { // the line above may have undone the cancellation
		return 0, err
	}
	n, err := r.body.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errAnswerLarge
	}
	return n, err
}

// unbuffered returns a reader of a body's bytes as they arrive. net/http's reader of chunks goes on until it has filled its
// buffer or a chunk has ended, and holds back what a slow server has sent.
func unbuffered(conn *serverConn, resp *http.Response) io.Reader {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return &chunkReader{conn.in, resp.Body}
}

// chunkReader reads a chunked body as it arrives.
type chunkReader struct {
	in   *bufio.Reader // under body
	body io.Reader
}

// Read never reads more than half of what has arrived, as the rest may be the framing of chunks. It stops at the end of a
// chunk, as the next one may not have started.
func (r *chunkReader) Read(p []byte) (n int, err error) {
	if _, err := r.in.Peek(1); err == io.EOF {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	for n < len(p) && err == nil {
		buffered := r.in.Buffered()
		if n > 0 {
			if next, _ := r.in.Peek(min(buffered, 1)); len(next) == 0 || next[0] == '\r' {
				break
			}
		}
		var more int
		more, err = r.body.Read(p[n : n+min(len(p)-n, max(buffered/2, 1))])
		n += more
	}
	return n, err
}
