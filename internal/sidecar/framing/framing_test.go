package framing

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"marblelane/internal/sidecar/sidecartest"
)

// A read error at any byte of a client's request: EINTR is retried and the request is read completely; after ECONNRESET
// no request is read.
func TestHeadConnRead_errno(t *testing.T) {
	const text = "POST /api HTTP/1.1\r\nHost: b\r\nX-Timeout-Ms: 1000\r\nContent-Length: 4\r\n\r\ndone"
	for errno, complete := range map[syscall.Errno]bool{syscall.ECONNRESET: false, syscall.EINTR: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			sender := sidecartest.NewBackend(t, "a", sidecartest.Respond(text, true)) // sends a request, as a client does
			for n := range len(text) {
				c, err := net.Dial("tcp", sender.Target.Endpoint)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: b\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				fail := sidecartest.FailNth(int32(n+1), sidecartest.OpError("read", errno))
				client := &HeadConn{Conn: &sidecartest.FaultyConn{TCPConn: c.(*net.TCPConn), ByteAtATime: true, FailRead: fail}}
				client.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
				if got := readsRequest(client); got != complete {
					t.Errorf("error at byte %d: request read completely: %v, want %v", n, got, complete)
				}
			}
		})
	}
}

// readsRequest reports whether a complete request, including its body, can be read from the connection.
func readsRequest(conn net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.ReadAll(req.Body)
	return err == nil
}
