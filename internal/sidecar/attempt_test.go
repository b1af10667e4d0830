package sidecar

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"marblelane/balance"
)

// heldConn holds back the end of the write that completes a request until the answer has been noticed.
type heldConn struct {
	*net.TCPConn
	length  int // of the request
	written int
	noticed chan struct{}
	returns chan struct{}
	once    sync.Once
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.written += n; c.written == c.length {
		<-c.noticed
		close(c.returns)
	}
	return n, err
}

func (c *heldConn) SetDeadline(t time.Time) error {
	if t.Equal(longAgo) {
		defer c.once.Do(func() { close(c.noticed) })
	}
	return c.TCPConn.SetDeadline(t)
}

// uploading makes an attempt one whose body is passed on, of a length that puts the end of the request at a multiple
// of size, and some bytes more. It gives the length of the request.
func uploading(t *testing.T, a *attempt, size, more int) int {
	t.Helper()
	req := &http.Request{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b",
		Header: http.Header{"User-Agent": nil, "X-Timeout-Ms": {"9000"}}}
	length := 4 * size
	req.ContentLength, req.Body = int64(length), io.NopCloser(bytes.NewReader(pattern(length)))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		t.Fatal(err)
	}
	length -= text.Len() % size
	length += more
	a.call.wait = 9 * time.Second
	a.call.out = &outbound{method: "POST", url: req.URL, host: "b", header: http.Header{}}
	body := pattern(length)
	a.call.out.upload = newUpload(int64(length), body[:size])
	go a.call.out.upload.feed(bytes.NewReader(body[size:]))
	t.Cleanup(a.call.out.upload.drop)
	return text.Len()/size*size + more
}

// The answer to a body that is passed on may be noticed before the write of its last byte returns: it is the answer to
// a whole request, and is read to its end. The last byte may go out before the body's end is known.
func TestAnswerWithTheLastByteOfABody(t *testing.T) {
	const size = copySize / 2 // of one write
	for name, more := range map[string]int{"with the last write": 10, "ahead of the body's end": 0} {
		t.Run(name, func(t *testing.T) {
			returns := make(chan struct{})
			b := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
				<-returns
				_, err := io.WriteString(c, "done")
				return err == nil
			})
			p, a, conn, _ := exchanging(t, b)
			held := &heldConn{TCPConn: conn.Conn.(*net.TCPConn), noticed: make(chan struct{}), returns: returns}
			held.length = uploading(t, a, size, more)
			conn.Conn, conn.head.Conn = held, held
			p.put(conn)
			if r := p.send(a); r.result != balance.OK || string(r.answer.body) != "done" {
				t.Errorf("result %v with %q, want the server's answer", r.result, r.answer.body)
			}
			if n := b.requests.Load(); n != 1 {
				t.Errorf("the server got %d whole requests, want 1", n)
			}
		})
	}
}
