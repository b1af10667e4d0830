package upstream

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/netcall"
)

var (
	// errAttemptObsolete ends an attempt before its first byte is written: its request has a response already, its
	// client has disconnected, its time is up or its server was retired. This is checked last, as the endpoint list may
	// change while a connection is being opened.
	errAttemptObsolete = errors.New("attempt is no longer needed")

	// errStaleConn reports a reused connection that its server closed while it was idle, or that has unread bytes,
	// which belong to no request.
	errStaleConn = errors.New("reused connection was closed or has unexpected bytes to read")

	// errPoolExhausted reports that the connection limit is reached and no connection is idle.
	errPoolExhausted = errors.New("connection limit is reached and no connection is idle")
)

// unsentResult returns the result of an attempt that got no connection or was not written to one.
func unsentResult(ctx context.Context, deadline time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errAttemptObsolete, err == errPoolExhausted, !time.Now().Before(deadline):
		return balance.NotSent // not a failure of the server
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return balance.WriteFailed // a process responded
	case netcall.LocalErrnos.Contains(err):
		return balance.LocalFailure
	case netcall.UnreachableErrnos.Contains(err):
		return balance.Unreachable
	default:
		return balance.ConnectFailed
	}
}

// unwrittenResult returns the result of an attempt whose last byte was not written to an open connection. An errno
// then means that the connection has failed and not that the server is unreachable, unless it reports a failure of
// this machine.
func unwrittenResult(ctx context.Context, deadline time.Time, err error) balance.Result {
	result := unsentResult(ctx, deadline, err)
	failed := result == balance.Unreachable || result == balance.ConnectFailed
	if failed && errors.As(err, new(syscall.Errno)) {
		return balance.WriteFailed
	}
	return result
}

// responseResult returns the result of an attempt whose response was read with the given error. Only
// os.ErrDeadlineExceeded reports a deadline of this process: the system's ETIMEDOUT also reports Timeout, but means
// that the connection broke.
func responseResult(ctx context.Context, err error) balance.Result {
	switch {
	case err == nil:
		return balance.OK
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	default:
		return balance.Reset
	}
}
