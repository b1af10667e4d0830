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
	// maxBufferTime is how long the start of a response of unknown length is buffered before it is forwarded, as the
	// whole response may be short.
	maxBufferTime = 25 * time.Millisecond
	// minBodyBuffer is the initial size of the buffer of a body, in bytes.
	minBodyBuffer = 4 << 10
)

// bodyReader reads the body of a response completely, or until it may be forwarded to a client.
type bodyReader struct {
	conn       *serverConn
	resp       *http.Response
	deadline   time.Time // for the whole body, unless it is forwarded
	mayForward bool      // whether a long body may be forwarded; if not, it is an error

	body        io.Reader
	firstReadAt time.Time // when the first bytes were read; until then, when reading started
	buffered    []byte
}

// read returns a body, or an error: a truncated body is never returned as complete. If more is true, the returned
// bytes are the start of a body that is to be forwarded.
func (r *bodyReader) read(ctx context.Context) (buffered []byte, more bool, err error) {
	length := r.resp.ContentLength
	switch {
	case length >= 0 && length <= inflight.MaxHeldBody:
		buffered = make([]byte, length)
		_, err = io.ReadFull(r.resp.Body, buffered)
		return buffered, false, err
	case length > inflight.MaxBody, length > inflight.MaxHeldBody && !r.mayForward:
		return nil, false, errBodyTooLarge
	}
	r.conn.readLimit.N = math.MaxInt64 // from here on the limits of the body apply
	r.body = streamingBody(r.conn, r.resp)
	return r.readStart(ctx)
}

// readStart reads a body that is long or of unknown length, until its end or until it may be forwarded.
func (r *bodyReader) readStart(ctx context.Context) (buffered []byte, more bool, err error) {
	r.firstReadAt = time.Now()
	for {
		if r.mayForward && len(r.buffered) > 0 {
			arrived, err := r.conn.waitForMore(ctx, r.firstReadAt.Add(maxBufferTime), r.deadline)
			if !arrived || err != nil {
				return r.buffered, err == nil, err
			}
		}
		err := r.readOnce()
		switch {
		case err == io.EOF && r.unframed() && len(r.buffered) == 0:
			return nil, false, errHeadOnly
		case err == io.EOF:
			return r.buffered, false, nil
		case err != nil:
			return nil, false, err
		case !r.mayForward && len(r.buffered) > inflight.MaxHeldBody:
			return nil, false, errBodyTooLarge
		case r.mayForward && len(r.buffered) > 0 && r.exceedsBuffer():
			return r.buffered, true, nil
		}
	}
}

// readOnce reads the bytes that have arrived, or waits for the next ones.
func (r *bodyReader) readOnce() error {
	if len(r.buffered) == cap(r.buffered) {
		r.buffered = append(r.buffered, make([]byte, max(minBodyBuffer, len(r.buffered)))...)[:len(r.buffered)]
	}
	n, err := r.body.Read(r.buffered[len(r.buffered):cap(r.buffered)])
	if len(r.buffered) == 0 {
		r.firstReadAt = time.Now()
	}
	r.buffered = r.buffered[:len(r.buffered)+n]
	return err
}

// unframed reports whether the end of the body is the end of the connection.
func (r *bodyReader) unframed() bool {
	return r.resp.ContentLength < 0 && len(r.resp.TransferEncoding) == 0
}

// exceedsBuffer reports whether the body is longer than what may be buffered.
func (r *bodyReader) exceedsBuffer() bool {
	return r.resp.ContentLength > inflight.MaxHeldBody || len(r.buffered) > inflight.MaxHeldBody
}

// waitForMore reports whether the next bytes or the end of the response arrive before the time until. If until is
// after the deadline, it returns true without waiting. It consumes no bytes. A connection error is returned, as the
// system reports it only once.
func (c *serverConn) waitForMore(ctx context.Context, until, deadline time.Time) (bool, error) {
	if c.reader.Buffered() > 0 || until.After(deadline) {
		return true, nil
	}
	c.SetReadDeadline(until)
	_, err := c.reader.Peek(1)
	c.SetReadDeadline(deadline)
	if ctx.Err() != nil { // the calls above may have replaced the deadline that the cancellation set
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

// streamReader reads the rest of a response that is forwarded as it arrives. The next bytes must arrive within
// streamTimeout each time.
type streamReader struct {
	ctx       context.Context
	conn      *serverConn
	body      io.Reader
	remaining int64 // bytes that may still be read, up to inflight.MaxBody in all
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(streamTimeout))
	if err := r.ctx.Err(); err != nil { // the call above may have replaced the deadline that the cancellation set
		return 0, err
	}
	n, err := r.body.Read(p)
	if r.remaining -= int64(n); r.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// streamingBody returns a reader that returns the bytes of a body as they arrive. net/http's reader of chunked bodies
// reads on until its buffer is full or a chunk has ended, and so delays the bytes of a slow server.
func streamingBody(conn *serverConn, resp *http.Response) io.Reader {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return &chunkReader{conn.reader, resp.Body}
}

// chunkReader reads a chunked body as it arrives.
type chunkReader struct {
	buffer *bufio.Reader // the buffered connection that body reads from
	body   io.Reader
}

// Read never reads more than half of the buffered bytes, as the rest may be the framing of chunks. It stops at the end
// of a chunk, as the next chunk may not have started.
func (r *chunkReader) Read(p []byte) (n int, err error) {
	if _, err := r.buffer.Peek(1); err == io.EOF {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	for n < len(p) && err == nil {
		buffered := r.buffer.Buffered()
		if n > 0 {
			if next, _ := r.buffer.Peek(min(buffered, 1)); len(next) == 0 || next[0] == '\r' {
				break
			}
		}
		var more int
		more, err = r.body.Read(p[n : n+min(len(p)-n, max(buffered/2, 1))])
		n += more
	}
	return n, err
}
