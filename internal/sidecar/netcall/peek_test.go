package netcall

import (
	"slices"
	"syscall"
	"testing"
)

// A connection whose peek fails is neither reusable nor closed.
func TestPeekResults(t *testing.T) {
	type callResult struct {
		n   int
		err error
	}
	interrupted := slices.Repeat([]callResult{{-1, syscall.EINTR}}, maxPeekTries)
	for name, test := range map[string]struct {
		calls []callResult
		want  peekResult
	}{
		"nothing to read":      {[]callResult{{-1, syscall.EAGAIN}}, peekQuiet},
		"would block":          {[]callResult{{-1, syscall.EWOULDBLOCK}}, peekQuiet},
		"a byte":               {[]callResult{{1, nil}}, peekUnread},
		"the end":              {[]callResult{{0, nil}}, peekEnded},
		"reset":                {[]callResult{{-1, syscall.ECONNRESET}}, peekEnded},
		"timed out":            {[]callResult{{-1, syscall.ETIMEDOUT}}, peekEnded},
		"unreachable":          {[]callResult{{-1, syscall.EHOSTUNREACH}}, peekEnded},
		"refused":              {[]callResult{{-1, syscall.ECONNREFUSED}}, peekEnded},
		"not connected":        {[]callResult{{-1, syscall.ENOTCONN}}, peekEnded},
		"interrupted, a byte":  {[]callResult{{-1, syscall.EINTR}, {1, nil}}, peekUnread},
		"interrupted, the end": {[]callResult{{-1, syscall.EINTR}, {-1, syscall.EINTR}, {0, nil}}, peekEnded},
		"always interrupted":   {interrupted, peekUnknown},
		"no memory":            {[]callResult{{-1, syscall.ENOMEM}}, peekUnknown},
		"no buffers":           {[]callResult{{-1, syscall.ENOBUFS}}, peekUnknown},
		"not permitted":        {[]callResult{{-1, syscall.EPERM}}, peekUnknown},
		"no such call":         {[]callResult{{-1, syscall.ENOSYS}}, peekUnknown},
		"bad descriptor":       {[]callResult{{-1, syscall.EBADF}}, peekUnknown},
		"not a socket":         {[]callResult{{-1, syscall.ENOTSOCK}}, peekUnknown},
		"invalid flags":        {[]callResult{{-1, syscall.EINVAL}}, peekUnknown},
		"invalid address":      {[]callResult{{-1, syscall.EFAULT}}, peekUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			got := peekWith(func() (int, error) {
				result := test.calls[next]
				next++
				return result.n, result.err
			})
			if got != test.want || next != len(test.calls) {
				t.Errorf("result %v after %d calls, want %v after %d", got, next, test.want, len(test.calls))
			}
		})
	}
}
