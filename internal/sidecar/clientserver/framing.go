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

// errFraming goes to clients.
var errFraming = errors.New("Transfer-Encoding beside Content-Length, or in a request whose head was not seen")

// HeadListener makes connections keep the head of the request that is being read.
type HeadListener struct {
	net.Listener
	connStates *netcall.ConnStateReader
}

// HeadListener wraps the listener from which the server is to be served.
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

// withConn lets handlers find their connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// headConn is the connection of a request; nil: it did not come through a HeadListener.
func headConn(r *http.Request) *framing.HeadConn {
	conn, _ := r.Context().Value(connKey{}).(*framing.HeadConn)
	return conn
}

// receivedAt is when the last byte of a request came that has just been read.
func receivedAt(r *http.Request) time.Time {
	if conn := headConn(r); conn != nil {
		return conn.ReceivedAt()
	}
	return time.Now()
}

// checkFraming fails for a request whose length two headers give (RFC 9112, 6.3). HTTP/1.0 has no chunks, and net/http
// reads such a request by its Content-Length alone.
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

// TrackConnections lets a Limiter know what net/http does with its connections. A request is at work once its head has
// been read: from then on net/http reads ahead, and the handler may not have run yet.
func TrackConnections(server *http.Server) *http.Server {
	connState, handler := server.ConnState, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*framing.HeadConn); ok && state == http.StateActive {
			conn.RequestRead()
		}
		connState(conn, state)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answered := false
		defer func() {
			if conn := headConn(r); conn != nil && !answered { // the handler has panicked
				conn.Conn.(*ClientConn).cutOff()
			}
		}()
		handler.ServeHTTP(w, r)
		answered = true
	})
	return server
}
