package sidecartest

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Flood sends a request over and over at full speed on one connection, until the end of the test.
func Flood(t *testing.T, addr, request string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	go func() {
		for many := strings.Repeat(request, 50); ; {
			if _, err := io.WriteString(conn, many); err != nil {
				return
			}
		}
	}()
}
