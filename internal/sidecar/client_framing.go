package sidecar

// This file joins the connections of clients to net/http: heads are kept, and the limiter follows the requests.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

var errFraming = errors.New("Transfer-Encoding beside Content-Length, or in a request whose head was not seen")

// headListener makes connections keep the head of the request that is being read.
type headListener struct{ net.Listener }

func (l headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	late := false
	if g, ok := c.(*clientConn); ok {
		systemStates.learn(g.Conn)
		late = g.limiter.acceptsFailed() && sinceLastData(g.Conn) >= lateAccept
	}
	return newClientHeadConn(c, late), nil
}

// receivedAt is when the last byte of a request came that has just been read.
func receivedAt(r *http.Request) time.Time {
	if c, ok := r.Context().Value(connKey{}).(*headConn); ok {
		return c.received()
	}
	return time.Now()
}

type connKey struct{}

// withConn lets handlers find their connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// checkFraming refuses a request whose end two headers tell (RFC 9112, 6.3). HTTP/1.0 knows no chunks, and
// net/http reads such a request by its Content-Length alone.
func checkFraming(r *http.Request) error {
	if len(r.TransferEncoding) == 0 && r.ProtoAtLeast(1, 1) {
		return nil
	}
	c, ok := r.Context().Value(connKey{}).(*headConn)
	if !ok {
		return errFraming
	}
	switch chunked, length, err := c.lengths(); {
	case err != nil, chunked != (len(r.TransferEncoding) > 0), chunked && length:
		return errFraming
	}
	return nil
}

// followConns lets the room know what net/http does with its connections. A request is at work once its head has been
// read: from then on net/http reads ahead, and its handler may not have run yet.
func followConns(srv *http.Server) *http.Server {
	changed, handler := srv.ConnState, srv.Handler
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*headConn); ok && state == http.StateActive {
			c.work()
		}
		changed(c, state)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := false
		defer func() {
			if c, ok := r.Context().Value(connKey{}).(*headConn); ok && !whole {
				c.Conn.(*clientConn).cutOff()
			}
		}()
		handler.ServeHTTP(w, r)
		whole = true
	})
	return srv
}
