package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

const (
	// A server that sends a head without end must not fill the memory.
	maxHeldAnswer = framing.MaxHeader + 2*inflight.MaxHeldBody
	// holdTime is how long the beginning of an answer of unknown length is held: it may be short.
	holdTime = 25 * time.Millisecond
)

var (
	errNotHTTP1          = errors.New("an answer in a protocol that was not asked for")
	errConflictingLength = errors.New("an answer with Transfer-Encoding beside Content-Length")
	// errAnswerLarge is for answers above 32 MB, and long ones that nobody is served with.
	errAnswerLarge = errors.New("body too large")
)

// rejectedEarly reads the answer of a server that did not wait for the whole request.
func (p *Pool) rejectedEarly(conn *ServerConn, req *http.Request) bool {
	conn.SetDeadline(time.Now().Add(healthCheckTimeout))
	resp, err := http.ReadResponse(conn.in, req)
	return err == nil && rejectedUnprocessed(resp)
}

func rejectedUnprocessed(resp *http.Response) bool {
	return resp.Header.Get("X-Not-Processed") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
}

// readReply reads the answer to a request that was written whole: what breaks from here on may have run.
func (p *Pool) readReply(ctx context.Context, conn *ServerConn, cut time.Time, req *http.Request, a *Attempt,
	idle time.Duration) (inflight.Reply, bool) {
	resp, err := http.ReadResponse(conn.in, req)
	interim := false
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		interim = true
		resp, err = http.ReadResponse(conn.in, req)
	}
	lost := conn.readLimit.N == maxHeldAnswer // without a byte
	if err == nil {
		err = checkAnswer(conn, resp, interim)
	}
	var body []byte
	if err == nil {
		var more bool
		if body, more, err = readBody(ctx, conn, cut, resp, a != nil); more {
			p.idleAges.note(time.Now(), idle, false)
			return p.passAnswer(ctx, conn, resp, a, body)
		}
	}
	r := inflight.Reply{Result: resultOf(ctx, err)}
	p.idleAges.note(time.Now(), idle, r.Result == balance.Reset && lost)
	if err != nil {
		return r, false
	}
	r.Report = parseReport(resp.Header.Get("X-Server-Load"), p.reportNames)
	switch {
	case resp.StatusCode == http.StatusOK:
		r.Answer = inflight.Answer{Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Body: body}
	case rejectedUnprocessed(resp):
		r.Result = balance.Rejected
	default: // also 503 without the mark: it may have run
		r.Result = balance.Failed
	}
	return r, !resp.Close && conn.in.Buffered() == 0
}

// resultOf is the result of an answer that ended with an error. Only os.ErrDeadlineExceeded is this process's own
// deadline: the system's ETIMEDOUT reports Timeout as well, and is a connection that broke.
func resultOf(ctx context.Context, err error) balance.Result {
	switch {
	case err == nil:
		return balance.OK
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	default:
		return balance.Reset
	}
}

// passAnswer offers an answer that has begun to the client and stays until all of it was passed on.
func (p *Pool) passAnswer(ctx context.Context, conn *ServerConn, resp *http.Response, a *Attempt, first []byte) (inflight.Reply, bool) {
	s := &inflight.AnswerStream{
		Length: resp.ContentLength, First: first, Remaining: &streamReader{ctx, conn, unbuffered(conn, resp), inflight.MaxBody - int64(len(first))}, Ended: make(chan error, 1),
	}
	p.Post(AnswerStarted{a, inflight.Answer{Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Stream: s}})
	var err error
	select {
	case err = <-s.Ended:
	case <-p.Stopped: // nobody takes the offer any more
		err = inflight.ErrBodyUnwanted
	}
	r := inflight.Reply{Report: parseReport(resp.Header.Get("X-Server-Load"), p.reportNames)}
	switch {
	case err == inflight.ErrBodyUnwanted, err == inflight.ErrClientGone:
		r.Result = balance.Cancelled
	default:
		r.Result = resultOf(ctx, err)
	}
	return r, err == nil && !resp.Close && conn.in.Buffered() == 0
}

// streamReader reads an answer that may be slow, but must go on.
type streamReader struct {
	ctx  context.Context
	conn *ServerConn
	body io.Reader
	left int64 // of the longest answer
}

func (r *streamReader) Read(p []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(streamTimeout))
	if err := r.ctx.Err(); err != nil { // the line above may have undone the cancel
		return 0, err
	}
	n, err := r.body.Read(p)
	if r.left -= int64(n); r.left < 0 { // it has no end
		return 0, errAnswerLarge
	}
	return n, err
}

// checkAnswer refuses what net/http reads all the same, but would leave the connection out of step.
func checkAnswer(conn *ServerConn, resp *http.Response, interim bool) error {
	if resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
		return errNotHTTP1
	}
	if len(resp.TransferEncoding) == 0 {
		return nil
	}
	if interim {
		resp.Close = true // the head kept is the first one's
		return nil
	}
	if _, length, err := conn.head.LengthHeaders(); err != nil || length {
		return errConflictingLength
	}
	return nil
}

// errUnframed: the end of a connection right behind a head that does not tell where its answer ends.
var errUnframed = errors.New("an answer of nothing but its head")

// readBody reads all of a body, or fails: what is cut short is never passed on as whole. More tells that there is
// more of it than is held: its beginning may be passed on. An answer other than 200 is never longer.
func readBody(ctx context.Context, conn *ServerConn, cut time.Time, resp *http.Response, mayPass bool) (first []byte, more bool, err error) {
	length := resp.ContentLength
	unframed := length < 0 && len(resp.TransferEncoding) == 0 // it ends with its connection
	mayPass = mayPass && resp.StatusCode == http.StatusOK
	if length >= 0 && length <= inflight.MaxHeldBody {
		first = make([]byte, length)
		_, err = io.ReadFull(resp.Body, first)
		return first, false, err
	}
	if length > inflight.MaxBody || length > inflight.MaxHeldBody && !mayPass {
		return nil, false, errAnswerLarge
	}
	conn.readLimit.N = math.MaxInt64 // from here on nothing is held without a bound
	body := unbuffered(conn, resp)
	for begin := time.Now(); ; {
		if len(first) == cap(first) {
			first = append(first, make([]byte, max(4<<10, len(first)))...)[:len(first)]
		}
		if mayPass && len(first) > 0 {
			in, err := conn.moreBy(ctx, begin.Add(holdTime), cut)
			if !in || err != nil {
				return first, err == nil, err
			}
		}
		n, err := body.Read(first[len(first):cap(first)])
		if len(first) == 0 {
			begin = time.Now()
		}
		first = first[:len(first)+n]
		switch {
		case err == io.EOF && unframed && len(first) == 0:
			return nil, false, errUnframed
		case err == io.EOF:
			return first, false, nil
		case err != nil:
			return nil, false, err
		case !mayPass && len(first) > inflight.MaxHeldBody:
			return nil, false, errAnswerLarge
		case mayPass && len(first) > 0 && (length > inflight.MaxHeldBody || len(first) > inflight.MaxHeldBody):
			return first, true, nil
		}
	}
}

// parseReport reads "name=value,name=value" in the order of names; a report that lacks one is none.
func parseReport(text string, names []string) []float32 {
	if text == "" || len(names) == 0 {
		return nil
	}
	report, found := make([]float32, len(names)), 0
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		for i := range names {
			if names[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					report[i] = float32(v)
					found++
				}
			}
		}
	}
	if found != len(names) {
		return nil
	}
	return report
}

// unbuffered gives a body's bytes as they come. The reader of chunks goes on until it has filled what it is given, or
// a chunk has ended, and holds back what a slow server has sent.
func unbuffered(conn *ServerConn, resp *http.Response) io.Reader {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return &chunkReader{conn.in, resp.Body}
}

type chunkReader struct {
	in   *bufio.Reader // under body
	body io.Reader
}

// Read never asks for more than half of what is there: the rest may be the frames of chunks. Behind the end of a
// chunk it stops, as the next one may not have begun.
func (r *chunkReader) Read(p []byte) (n int, err error) {
	if _, err := r.in.Peek(1); err == io.EOF {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	for n < len(p) && err == nil {
		there := r.in.Buffered()
		if n > 0 {
			if next, _ := r.in.Peek(min(there, 1)); len(next) == 0 || next[0] == '\r' {
				break
			}
		}
		var more int
		more, err = r.body.Read(p[n : n+min(len(p)-n, max(there/2, 1))])
		n += more
	}
	return n, err
}

// moreBy waits for the next bytes, or the end, until a time and no longer than cut. It leaves them to be read, but
// not an error: the system tells that only once.
func (c *ServerConn) moreBy(ctx context.Context, until, cut time.Time) (bool, error) {
	if c.in.Buffered() > 0 || until.After(cut) {
		return true, nil
	}
	c.SetReadDeadline(until)
	_, err := c.in.Peek(1)
	c.SetReadDeadline(cut)
	if ctx.Err() != nil { // the lines above may have undone the cancel
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
