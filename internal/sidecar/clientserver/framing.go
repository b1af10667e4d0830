package clientserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/netcall"
)

// errFraming is sent to clients.
var errFraming = errors.New("Transfer-Encoding beside Content-Length, or in a request whose head was not seen")

// HeadListener is a listener whose connections record the head of the request that is being read (framing.HeadConn).
type HeadListener struct {
	net.Listener
	connStates *netcall.ConnStateReader
}

// HeadListener wraps the listener that the HTTP server accepts connections from.
func (s *Server) HeadListener(listener net.Listener) HeadListener {
	return HeadListener{Listener: listener, connStates: s.options.ConnStates}
}

// Accept waits for the next connection.
func (l HeadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	acceptedLate := false
	if client, ok := conn.(*ClientConn); ok {
		l.connStates.VerifyQuery(client.Conn)
		acceptedLate = client.limiter.acceptsFailed() && netcall.SinceLastData(client.Conn) >= netcall.LateAcceptThreshold
	}
	return framing.NewClientHeadConn(conn, acceptedLate), nil
}

type connKey struct{}

// withConn stores the connection in the context of its requests, for headConn.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// headConn returns the connection of a request, or nil if it was not accepted by a HeadListener.
func headConn(r *http.Request) *framing.HeadConn {
	conn, _ := r.Context().Value(connKey{}).(*framing.HeadConn)
	return conn
}

// clientConn returns the client's connection of a request, or nil if it was not accepted by a Limiter.
func clientConn(r *http.Request) *ClientConn {
	if head := headConn(r); head != nil {
		conn, _ := head.Conn.(*ClientConn)
		return conn
	}
	return nil
}

// receivedAt returns when the last byte of a request that has just been read was received. A request that waited behind
// others on its connection was received before it was read.
func receivedAt(r *http.Request) time.Time {
	head := headConn(r)
	if head == nil {
		return time.Now()
	}
	received := head.ReceivedAt()
	if conn := clientConn(r); conn != nil {
		if at := conn.LastReadNotBefore(); !at.IsZero() && at.Before(received) {
			return at
		}
	}
	return received
}

// checkFraming returns an error if two headers of a request state its length (RFC 9112, 6.3). HTTP/1.0 has no chunked
// encoding, and net/http reads an HTTP/1.0 request with both headers by its Content-Length alone.
func checkFraming(r *http.Request) error {
	if len(r.TransferEncoding) == 0 && r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn := headConn(r)
	if conn == nil {
		return errFraming
	}
	switch chunked, length, err := conn.LengthHeaders(); {
	case err != nil, chunked != (len(r.TransferEncoding) > 0), chunked && length:
		return errFraming
	}
	return nil
}

// TrackConnections makes an HTTP server notify the Limiter of the progress of the requests on its connections. A
// request is active as soon as its head has been read: net/http then continues to read, possibly before the handler has
// run.
func TrackConnections(server *http.Server) *http.Server {
	connState, handler := server.ConnState, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*framing.HeadConn); ok && state == http.StateActive {
			conn.RequestRead()
		}
		connState(conn, state)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		returned := false
		defer func() {
			if conn := headConn(r); conn != nil && !returned { // the handler has panicked
				conn.Conn.(*ClientConn).markResponseIncomplete()
			}
		}()
		handler.ServeHTTP(w, r)
		returned = true
	})
	return server
}
