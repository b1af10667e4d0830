package netcall

import (
	"slices"
	"syscall"
	"testing"
)

// A look at a connection whose answer cannot be had says neither that it may be used nor that its other end has gone.
func TestPeekResults(t *testing.T) {
	type looked struct {
		n   int
		err error
	}
	endless := slices.Repeat([]looked{{-1, syscall.EINTR}}, maxPeeks)
	for name, test := range map[string]struct {
		looks []looked
		want  peekResult
	}{
		"nothing there":          {[]looked{{-1, syscall.EAGAIN}}, peekQuiet},
		"would block":            {[]looked{{-1, syscall.EWOULDBLOCK}}, peekQuiet},
		"a byte":                 {[]looked{{1, nil}}, peekUnread},
		"the end":                {[]looked{{0, nil}}, peekEnded},
		"reset":                  {[]looked{{-1, syscall.ECONNRESET}}, peekEnded},
		"timed out":              {[]looked{{-1, syscall.ETIMEDOUT}}, peekEnded},
		"unreachable":            {[]looked{{-1, syscall.EHOSTUNREACH}}, peekEnded},
		"refused":                {[]looked{{-1, syscall.ECONNREFUSED}}, peekEnded},
		"not connected":          {[]looked{{-1, syscall.ENOTCONN}}, peekEnded},
		"interrupted, a byte":    {[]looked{{-1, syscall.EINTR}, {1, nil}}, peekUnread},
		"interrupted, the end":   {[]looked{{-1, syscall.EINTR}, {-1, syscall.EINTR}, {0, nil}}, peekEnded},
		"interrupted for ever":   {endless, peekUnknown},
		"no memory":              {[]looked{{-1, syscall.ENOMEM}}, peekUnknown},
		"no buffers":             {[]looked{{-1, syscall.ENOBUFS}}, peekUnknown},
		"not permitted":          {[]looked{{-1, syscall.EPERM}}, peekUnknown},
		"no such call":           {[]looked{{-1, syscall.ENOSYS}}, peekUnknown},
		"no descriptor":          {[]looked{{-1, syscall.EBADF}}, peekUnknown},
		"no socket":              {[]looked{{-1, syscall.ENOTSOCK}}, peekUnknown},
		"flags that cannot be":   {[]looked{{-1, syscall.EINVAL}}, peekUnknown},
		"address that cannot be": {[]looked{{-1, syscall.EFAULT}}, peekUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			got := peekWith(func() (int, error) {
				l := test.looks[next]
				next++
				return l.n, l.err
			})
			if got != test.want || next != len(test.looks) {
				t.Errorf("%v after %d looks, want %v after %d", got, next, test.want, len(test.looks))
			}
		})
	}
}
