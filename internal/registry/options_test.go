package registry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a success that no handler has given: a library below the handler answers OPTIONS * by itself.
func TestNode_generalOptions(t *testing.T) {
	replica := cluster(t, 1, nil)[0]
	conn, err := net.Dial("tcp", replica.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("%s, want status %d", resp.Status, http.StatusBadRequest)
	}
}
