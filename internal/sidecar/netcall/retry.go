package netcall

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"marblelane/internal/retry"
)

const (
	// maxQueryTries is the maximum number of times that RetryQuery makes a call.
	maxQueryTries = 3

	// RetryCall pauses for minCallPause to maxCallPause between two calls, and stops repeating after maxCallTime.
	minCallPause = time.Millisecond
	maxCallPause = 20 * time.Millisecond
	maxCallTime  = time.Second

	minRetryPause = 5 * time.Millisecond // first pause of RetryingReader; each further pause is twice the previous one
	// MaxRetryPause is the longest pause before a read or a call to a list service is repeated.
	MaxRetryPause = 100 * time.Millisecond
)

// RetryQuery makes a system call, and repeats it at once up to maxQueryTries calls in total while the system is short
// of resources.
func RetryQuery(call func() error) error {
	var err error
	for range maxQueryTries {
		if err = call(); !retry.IsResourceShortage(err) {
			return err
		}
	}
	return err
}

// RetryCall makes a call, and repeats it for up to maxCallTime while the system is short of resources.
func RetryCall(call func() error) error {
	err := call()
	if !retry.IsResourceShortage(err) {
		return err
	}
	backoff := retry.Backoff{Min: minCallPause, Max: maxCallPause}
	for startedAt := time.Now(); retry.IsResourceShortage(err) && time.Since(startedAt) < maxCallTime; err = call() {
		time.Sleep(backoff.Next())
	}
	return err
}

// RetryingConn repeats reads and writes that fail because the system is short of resources.
type RetryingConn struct{ net.Conn }

// Read reads the bytes that have arrived.
func (c RetryingConn) Read(p []byte) (n int, err error) {
	err = RetryCall(func() (readErr error) {
		n, readErr = c.Conn.Read(p)
		return readErr
	})
	return n, err
}

// Write writes all of p, or returns an error.
func (c RetryingConn) Write(p []byte) (n int, err error) {
	err = RetryCall(func() error {
		written, writeErr := c.Conn.Write(p[n:])
		n += written
		return writeErr
	})
	return n, err
}

// RetryingReader reads from a connection. It repeats a read that failed with a transient error, which has consumed no
// bytes, until the deadline of the connection passes. After any other failure all later reads return the same error:
// package bufio drops an error that follows the start of a line, and as the system may report the error only once, the
// remainder would otherwise be read as another line.
type RetryingReader struct {
	permanentErr error // returned by all later reads; nil after transient errors and after the deadline of the connection
}

// Fail makes all later reads return an error.
func (r *RetryingReader) Fail(err error) { r.permanentErr = err }

// Read reads from the connection and returns its errors except for transient ones.
func (r *RetryingReader) Read(conn io.Reader, p []byte) (int, error) {
	if r.permanentErr != nil {
		return 0, r.permanentErr
	}
	for pause := minRetryPause; ; pause = min(2*pause, MaxRetryPause) {
		n, err := conn.Read(p)
		if n == 0 && TransientErrnos.Contains(err) {
			time.Sleep(pause)
			continue
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.permanentErr = err
		}
		return n, err
	}
}
