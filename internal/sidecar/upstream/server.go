package upstream

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/netcall"
)

// Server is one incarnation of a server's process, as the endpoint list names it. A restart or a change of address
// creates a new Server, so that no connection or decision outlives the process that it was made for.
type Server struct {
	ID       balance.ServerID
	Endpoint string      // host:port
	BootMS   float64     // when the process started, in ms on the balancer's clock
	Retired  atomic.Bool // draining, removed or restarted: it gets no new requests

	// The fields below are guarded by Pool.mu.
	idle    []*serverConn // idle connections, the one that has been idle for longest first
	waiting []*connWaiter // attempts that wait for a new connection, in the order of their arrival
	dialing int           // number of dials that are running
}

// serverConn is a connection to a server. It carries one request at a time.
type serverConn struct {
	net.Conn
	reader    *bufio.Reader       // reads from readLimit
	readLimit *io.LimitedReader   // reads from head; limits the size of a response, including its head
	head      *framing.HeadConn   // reads from Conn; keeps the head of the response
	heads     *memory.Reservation // the memory for head
	server    *Server
	idleSince time.Time
}

// newServerConn wraps a connection that has carried no request. heads is the memory for the heads of its responses.
func newServerConn(conn net.Conn, server *Server, heads *memory.Reservation) *serverConn {
	head := framing.NewHeadConn(conn, heads)
	limited := &io.LimitedReader{R: head}
	return &serverConn{
		Conn: conn, reader: bufio.NewReader(limited), readLimit: limited, head: head, heads: heads, server: server,
		idleSince: time.Now(),
	}
}

// Close closes the connection and returns the memory for the head of its response.
func (c *serverConn) Close() error {
	c.heads.Close()
	return c.Conn.Close()
}

// reusable reports whether an idle connection is open and has no unread bytes. Its server may have closed it in the
// meantime: a request written to it would then fail with a reset, and count as one that may have run.
func (c *serverConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	open, unread := netcall.Peek(c.Conn)
	return open && !unread
}
