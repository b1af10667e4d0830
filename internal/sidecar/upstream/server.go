package upstream

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/netcall"
)

// Server is one incarnation of a server's process, as the endpoint list names it. A restart or another address makes a new
// one, so that no connection or decision outlives the process that it was made for.
type Server struct {
	ID       balance.ServerID
	Endpoint string      // host:port
	BootMS   float64     // when its process started, on the balancer's clock
	Retired  atomic.Bool // draining, gone or restarted: nothing new goes there

	// Pool.mu guards these.
	idle    []*serverConn // the one that has been idle for longest first
	waiting []*connWaiter // attempts that wait for a new connection, the first to come first
	dialing int           // dials that are running
}

// serverConn is a connection to a server. It carries one request at a time.
type serverConn struct {
	net.Conn
	reader        *bufio.Reader     // reads readLimit
	readLimit *io.LimitedReader // reads head; bounds an answer, headers included
	head      *framing.HeadConn // reads Conn; has the head of the answer
	server    *Server
	idleSince time.Time
}

// newServerConn returns a connection that has carried no request.
func newServerConn(conn net.Conn, server *Server) *serverConn {
	head := framing.NewHeadConn(conn)
	limited := &io.LimitedReader{R: head}
	return &serverConn{Conn: conn, reader: bufio.NewReader(limited), readLimit: limited, head: head, server: server, idleSince: time.Now()}
}

// reusable reports whether an idle connection is open with nothing to read. A server may have closed it meanwhile; a request
// written to it would end as a reset, after which it may have run.
func (c *serverConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	open, unread := netcall.Peek(c.Conn)
	return open && !unread
}
