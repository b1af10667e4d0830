package retry

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// newTestStart returns a StartRetrier that logs nothing.
func newTestStart(t *testing.T) *StartRetrier {
	t.Helper()
	return NewStartRetrier(t.Context(), slog.New(slog.DiscardHandler))
}

func TestStart_transientErrno(t *testing.T) {
	for _, errno := range []syscall.Errno{
		unix.EINTR, unix.EAGAIN, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRINUSE, unix.EIO,
		unix.EBUSY, unix.ETXTBSY, unix.ETIMEDOUT, unix.ESTALE, unix.ENETDOWN,
	} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				err := newTestStart(t).Do("open", func() error {
					if calls++; calls < 4 {
						return &os.PathError{Op: "open", Path: "c.json", Err: os.NewSyscallError("open", errno)}
					}
					return nil
				})
				if err != nil || calls != 4 {
					t.Errorf("%v after %d calls", err, calls)
				}
			})
		})
	}
}

func TestStart_permanentError(t *testing.T) {
	failures := []error{errors.New("malformed")}
	for _, errno := range []syscall.Errno{
		unix.EACCES, unix.EPERM, unix.ENOENT, unix.ENOTDIR, unix.EISDIR, unix.ELOOP, unix.ENAMETOOLONG, unix.EADDRNOTAVAIL,
		unix.EAFNOSUPPORT, unix.EINVAL, unix.EBADF,
	} {
		failures = append(failures, os.NewSyscallError("bind", errno))
	}
	for _, failure := range failures {
		t.Run(failure.Error(), func(t *testing.T) {
			calls := 0
			err := newTestStart(t).Do("bind", func() error {
				calls++
				return failure
			})
			if !errors.Is(err, failure) || calls != 1 {
				t.Errorf("%v after %d calls", err, calls)
			}
		})
	}
}

// All calls of a StartRetrier share one time limit, which starts with the first failure.
func TestStart_sharedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := newTestStart(t)
		time.Sleep(time.Minute)
		started := time.Now()
		inUse := os.NewSyscallError("bind", unix.EADDRINUSE)
		for name, call := range map[string]func() error{
			"one": func() error { return inUse }, "another": func() error { return inUse },
		} {
			if err := start.Do(name, call); !errors.Is(err, unix.EADDRINUSE) || !strings.Contains(err.Error(), "retried for 5s") {
				t.Errorf("%s: %v", name, err)
			}
		}
		if elapsed := time.Since(started); elapsed != StartLimit {
			t.Errorf("two calls were retried for %v", elapsed)
		}
	})
}

func TestStart_contextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		err := NewStartRetrier(ctx, slog.New(slog.DiscardHandler)).Do("bind", func() error { return unix.ENFILE })
		if !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, unix.ENFILE) || time.Since(started) != time.Second {
			t.Errorf("%v after %v", err, time.Since(started))
		}
	})
}
