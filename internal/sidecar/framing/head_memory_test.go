package framing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/sidecartest"
)

// textConn is a connection whose input is a text.
type textConn struct {
	net.Conn
	*strings.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// Guards against a head that takes more memory than is reserved for it, so that the limit is exceeded: its record, the
// parsed request, the copies of its headers for the request and an attempt, and the attempt as it is written.
func TestHeadMemory_coversUse(t *testing.T) {
	const heads = 50
	for _, size := range []int{600, 2000, 3000, 6000, 13000, 20000, 25000, 30000} {
		for name, text := range sidecartest.LongHeads(size) {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				budget := memory.NewBudget(1 << 40)
				var held []any
				before := heapAlloc()
				for range heads {
					conn := &HeadConn{Conn: textConn{Reader: strings.NewReader(text + "\r\n")}, memory: budget.NewReservation()}
					held = append(held, conn, copyRequest(t, conn))
				}
				taken := (heapAlloc() - before) / heads
				used, _ := budget.Usage()
				if reserved := used/heads + freeHeadMemory; taken > reserved {
					t.Errorf("%d bytes in %d lines take %d bytes of memory, reserved are %d", len(text), strings.Count(text, "\n"), taken, reserved)
				}
				runtime.KeepAlive(held)
			})
		}
	}
}

// copyRequest reads a request and returns all that is retained of its head while an attempt is sent.
func copyRequest(t *testing.T, conn net.Conn) (retained []any) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	req.Body = nil
	received := req.Header
	var written strings.Builder
	req.Header = received.Clone()
	if err := req.Write(&written); err != nil {
		t.Fatal(err)
	}
	return []any{req, received, received.Clone(), written.String()}
}

// heapAlloc returns the size of the live objects on the heap, in bytes.
func heapAlloc() int64 {
	runtime.GC()
	runtime.GC() // pools keep their objects for one more collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against idle connections that hold the memory of a long head after its response, when nothing is reserved for
// it any more.
func TestHeadMemory_freedAfterResponse(t *testing.T) {
	const conns = 50
	budget := memory.NewBudget(1 << 40)
	text := sidecartest.LongHeads(30000)["lines of 45"] + "\r\n"
	var idle []*HeadConn
	before := heapAlloc()
	for range conns {
		conn := &HeadConn{Conn: textConn{Reader: strings.NewReader(text)}, memory: budget.NewReservation()}
		copyRequest(t, conn)
		conn.PrepareNextRequest()
		idle = append(idle, conn)
	}
	if used, _ := budget.Usage(); used != 0 {
		t.Errorf("%d bytes are still reserved, want none", used)
	}
	if held := (heapAlloc() - before) / conns; held > freeHeadMemory {
		t.Errorf("each idle connection holds %d bytes, want at most %d", held, freeHeadMemory)
	}
	runtime.KeepAlive(idle)
}

// Guards against a body that is counted as part of the head before it.
func TestHeadMemory_countsHeadOnly(t *testing.T) {
	budget := memory.NewBudget(0)
	text := "POST / HTTP/1.1\r\n\r\n" + strings.Repeat("\n", 1<<20)
	conn := &HeadConn{Conn: textConn{Reader: strings.NewReader(text)}, memory: budget.NewReservation()}
	if n, err := io.Copy(io.Discard, conn); n != int64(len(text)) || err != nil {
		t.Errorf("read %d bytes, %v; want %d", n, err, len(text))
	}
}
