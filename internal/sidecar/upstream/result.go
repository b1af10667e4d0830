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
	// errNotNeeded ends an attempt before its first byte: its request was answered, its client left, its time ran out or
	// its server was retired. It is checked last of all, as the endpoint list may change while a connection comes up.
	errNotNeeded = errors.New("the attempt is not needed any more")

	// errStaleConn reports a reused connection that its server closed while it was idle, or that holds bytes which answer
	// no request.
	errStaleConn = errors.New("the reused connection is closed or out of step")

	// errNoSocket reports that all connections are in use.
	errNoSocket = errors.New("no socket is free")
)

// unsentResult is the result of an attempt without a connection.
func unsentResult(ctx context.Context, deadline time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errNotNeeded, err == errNoSocket, !time.Now().Before(deadline):
		return balance.NotSent // no failure of the server
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return balance.WriteFailed // something answered
	case netcall.LocalErrnos.Contains(err):
		return balance.LocalFailure
	case netcall.UnreachableErrnos.Contains(err):
		return balance.Unreachable
	default:
		return balance.ConnectFailed
	}
}

// unwrittenResult is the result of an attempt whose last byte was not written to an open connection. An errno then means
// that the connection is over and not that no server is there, unless it is this machine's own failure.
func unwrittenResult(ctx context.Context, deadline time.Time, err error) balance.Result {
	result := unsentResult(ctx, deadline, err)
	failed := result == balance.Unreachable || result == balance.ConnectFailed
	if failed && errors.As(err, new(syscall.Errno)) {
		return balance.WriteFailed
	}
	return result
}

// answerResult is the result of an attempt whose answer ended with an error. Only os.ErrDeadlineExceeded is this process's
// own deadline: the system's ETIMEDOUT also reports Timeout, and is a connection that broke.
func answerResult(ctx context.Context, err error) balance.Result {
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
