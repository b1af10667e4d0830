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
	// maxQueries is how often RetryQuery makes a call in all.
	maxQueries = 3

	// RetryCall pauses for minCallPause to maxCallPause between two calls, and for maxCallTime in all.
	minCallPause = time.Millisecond
	maxCallPause = 20 * time.Millisecond
	maxCallTime  = time.Second

	minRetryPause = 5 * time.Millisecond // of RetryingReader; each pause is twice the one before
	// MaxRetryPause is the longest pause before a read or a call to a list service is made again.
	MaxRetryPause = 100 * time.Millisecond
)

// RetryQuery makes a system call again, at once and a few times, while the system is short of resources for it.
func RetryQuery(call func() error) error {
	var err error
	for range maxQueries {
		if err = call(); !retry.ShortOfResources(err) {
			return err
		}
	}
	return err
}

// RetryCall makes a call again for up to maxCallTime while the system is short of resources for it.
func RetryCall(call func() error) error {
	err := call()
	if !retry.ShortOfResources(err) {
		return err
	}
	backoff := retry.Backoff{Min: minCallPause, Max: maxCallPause}
	for startedAt := time.Now(); retry.ShortOfResources(err) && time.Since(startedAt) < maxCallTime; err = call() {
		time.Sleep(backoff.Next())
	}
	return err
}

// RetryingConn repeats reads and writes for which the system is short of resources.
type RetryingConn struct{ net.Conn }

// Read reads what has come.
func (c RetryingConn) Read(p []byte) (n int, err error) {
	err = RetryCall(func() (failed error) {
		n, failed = c.Conn.Read(p)
		return failed
	})
	return n, err
}

// Write writes all of p, or returns an error.
func (c RetryingConn) Write(p []byte) (n int, err error) {
	err = RetryCall(func() error {
		written, failed := c.Conn.Write(p[n:])
		n += written
		return failed
	})
	return n, err
}

// RetryingReader reads a connection. After a momentary failure of the system it reads again until the connection's deadline
// ends it: a read that failed so has taken no bytes. After any other failure it goes on to fail: package bufio drops an error
// behind the start of a line, and as the system may report it only once the remainder would be read as another line.
type RetryingReader struct {
	failed error // nil after momentary failures and the connection's deadline
}

// Read returns the errors of the connection but for momentary ones.
func (r *RetryingReader) Read(conn io.Reader, p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	for pause := minRetryPause; ; pause = min(2*pause, MaxRetryPause) {
		n, err := conn.Read(p)
		if n == 0 && TransientErrnos.Contains(err) {
			time.Sleep(pause)
			continue
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.failed = err
		}
		return n, err
	}
}
