package sidecartest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// FinalAnswerSlack is how long after its timeout a request may get its final answer: half a second, and the 50 ms by
	// which every time limit is longer on sockets.
	FinalAnswerSlack = 550 * time.Millisecond
	// stoppedClientLimit is the time within which a client that has stopped in the middle of a request is owed an error.
	stoppedClientLimit = 3 * time.Second
	// watchTime is how long after its due time an answer is waited for, so that the outcome shows whether it came at all.
	watchTime = 12 * time.Second
)

// Upload is a request with a long body.
type Upload struct {
	ID, Class      string
	Lines          string        // further header lines, each with CRLF
	Timeout        time.Duration // what the client will wait, from its last byte on
	Size           int           // bytes of the body
	Chunked        bool          // false: with a Content-Length
	Piece          int           // bytes of each write, and of each chunk; 0: all at once
	BytesPerSecond int           // at which the body is written; 0: as fast as the connection takes it
	StopAfter      int           // bytes of the body after which the client writes nothing more and stays; 0: never
	StartAfter     time.Duration // the client waits this long before it connects
	SendBuffer     int           // size in bytes of the client's send buffer; 0: the system's default
	ReceiveBuffer  int           // size in bytes of the client's receive buffer; 0: the system's default
	ReadPerSecond  int           // bytes of the answer that the client reads; 0: as fast as they arrive
}

// UploadOutcome is how an Upload ended, as its client saw it.
type UploadOutcome struct {
	Upload   Upload
	Status   int           // of the answer; 0: there was none
	Written  bool          // all of the request was written before the answer came
	FirstAt  time.Time     // when the first byte was written
	LastAt   time.Time     // when the client wrote its last byte, or when the answer came if that was before
	Took     time.Duration // from LastAt to the end of the answer, or to the end of the wait for it
	Err      error         // why there is no answer
	Rejected bool          // the connection was refused
	Unheard  bool          // the connection ended without a byte of an answer
	Closes   bool          // the connection carries no further request
}

// Late reports whether the request got no final answer within the time that it is owed one, give or take a lag. A request
// whose client has stopped is owed an error or the end of its connection.
func (o UploadOutcome) Late(lag time.Duration) bool {
	if o.Upload.StopAfter > 0 {
		return !o.Rejected && (o.Status == 0 && !o.Unheard || o.Took > stoppedClientLimit+lag)
	}
	return !o.Rejected && (o.Status == 0 || o.Took > o.Upload.Timeout+FinalAnswerSlack+lag)
}

// String describes the outcome in one line.
func (o UploadOutcome) String() string {
	framing := "length"
	if o.Upload.Chunked {
		framing = "chunked"
	}
	return fmt.Sprintf("%s %s, %s %d bytes, %d a second, wait %v: last byte after %d ms (all written: %v), status %d %d ms later: %v",
		o.Upload.Class, o.Upload.ID, framing, o.Upload.Size, o.Upload.BytesPerSecond, o.Upload.Timeout,
		o.LastAt.Sub(o.FirstAt).Milliseconds(), o.Written, o.Status, o.Took.Milliseconds(), o.Err)
}

// Send sends the request on a new connection and waits for the answer.
func (u Upload) Send(addr string) UploadOutcome {
	time.Sleep(u.StartAfter)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return UploadOutcome{Upload: u, Rejected: true, Err: err}
	}
	defer conn.Close()
	return u.SendOn(conn)
}

// SendOn sends the request on a connection and waits for the answer.
func (u Upload) SendOn(conn net.Conn) UploadOutcome {
	if u.SendBuffer > 0 {
		_ = conn.(*net.TCPConn).SetWriteBuffer(u.SendBuffer)
	}
	if u.ReceiveBuffer > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(u.ReceiveBuffer)
	}
	o := UploadOutcome{Upload: u, FirstAt: time.Now()}
	var lastAt atomic.Pointer[time.Time]
	go func() {
		if err := u.write(conn); err == nil || err == errClientStopped {
			now := time.Now()
			lastAt.Store(&now)
			conn.SetReadDeadline(now.Add(u.Timeout + watchTime))
		}
	}()
	conn.SetReadDeadline(time.Now().Add(u.Timeout + u.writeTime() + 2*watchTime))
	u.readAnswer(conn, &o)
	now := time.Now()
	o.LastAt = now
	if at := lastAt.Load(); at != nil {
		o.Written, o.LastAt = u.StopAfter == 0, *at
	}
	o.Closes = o.Closes || o.Status == 0 || !o.Written
	o.Took = now.Sub(o.LastAt)
	return o
}

// readAnswer reads a complete answer at the client's pace.
func (u Upload) readAnswer(conn net.Conn, o *UploadOutcome) {
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		o.Err, o.Unheard = err, !errors.Is(err, os.ErrDeadlineExceeded)
		return
	}
	response, err := http.ReadResponse(in, nil)
	for err == nil && response.StatusCode < http.StatusOK { // an interim response
		response, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		o.Err = err
		return
	}
	o.Closes = response.Close
	if _, o.Err = io.Copy(io.Discard, newPacedReader(response.Body, u.ReadPerSecond)); o.Err == nil {
		o.Status = response.StatusCode
	}
}

// writeTime returns how long the client takes to write the body if nothing holds it back.
func (u Upload) writeTime() time.Duration {
	if u.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(u.Size) * time.Second / time.Duration(u.BytesPerSecond)
}

// errClientStopped is why a request that its client stops writing is not written completely.
var errClientStopped = errors.New("the client has stopped")

// part returns n bytes of the body as they are sent, after the given number of bytes.
func (u Upload) part(n, sent int) string {
	last := sent+n == u.Size
	missing := 0
	if u.StopAfter > 0 {
		missing, last = max(sent+n-u.StopAfter, 0), false
	}
	text := strings.Repeat("b", n-missing)
	if !u.Chunked {
		return text
	}
	text = fmt.Sprintf("%x\r\n%s", n, text)
	if missing == 0 {
		text += "\r\n"
	}
	if last {
		text += "0\r\n\r\n"
	}
	return text
}

// write writes the request at the client's pace.
func (u Upload) write(conn net.Conn) error {
	method, framing := http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", u.Size)
	switch {
	case u.Size == 0:
		method, framing = http.MethodGet, ""
	case u.Chunked:
		framing = "Transfer-Encoding: chunked\r\n"
	}
	_, err := fmt.Fprintf(conn, "%s /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s%s\r\n",
		method, u.ID, u.Class, u.Timeout.Milliseconds(), u.Lines, framing)
	piece := u.Piece
	if piece == 0 {
		piece = u.Size
	}
	startedAt := time.Now()
	for sent := 0; err == nil && sent < u.Size; {
		if u.StopAfter > 0 && sent >= u.StopAfter {
			break
		}
		part := u.part(min(piece, u.Size-sent), sent)
		sent += min(piece, u.Size-sent)
		if u.BytesPerSecond > 0 {
			time.Sleep(time.Until(startedAt.Add(time.Duration(sent) * time.Second / time.Duration(u.BytesPerSecond))))
		}
		_, err = io.WriteString(conn, part)
	}
	if err == nil && u.StopAfter > 0 {
		return errClientStopped
	}
	return err
}
