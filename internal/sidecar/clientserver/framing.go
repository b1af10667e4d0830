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

var errFraming = errors.New("Transfer-Encoding beside Content-Length, or in a request whose head was not seen")

// HeadListener makes connections keep the head of the request that is being read.
type HeadListener struct{ net.Listener }

func (l HeadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	late := false
	if g, ok := c.(*ClientConn); ok {
		netcall.SystemConnStates.Learn(g.Conn)
		late = g.limiter.acceptsFailed() && netcall.SinceLastData(g.Conn) >= netcall.LateAccept
	}
	return framing.NewClientHeadConn(c, late), nil
}

// receivedAt is when the last byte of a request came that has just been read.
func receivedAt(r *http.Request) time.Time {
	if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok {
		return c.ReceivedAt()
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
	c, ok := r.Context().Value(connKey{}).(*framing.HeadConn)
	if !ok {
		return errFraming
	}
	switch chunked, length, err := c.LengthHeaders(); {
	case err != nil, chunked != (len(r.TransferEncoding) > 0), chunked && length:
		return errFraming
	}
	return nil
}

// FollowConnections lets the room know what net/http does with its connections. A request is at work once its head has been
// read: from then on net/http reads ahead, and its handler may not have run yet.
func FollowConnections(srv *http.Server) *http.Server {
	changed, handler := srv.ConnState, srv.Handler
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*framing.HeadConn); ok && state == http.StateActive {
			c.RequestRead()
		}
		changed(c, state)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := false
		defer func() {
			if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok && !whole {
				c.Conn.(*ClientConn).cutOff()
			}
		}()
		handler.ServeHTTP(w, r)
		whole = true
	})
	return srv
}
