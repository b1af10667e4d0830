package retry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"
)

// StartLimit is how long the calls of a program's start are repeated in all, from the first failure on.
const StartLimit = 5 * time.Second

// resourceErrnos are of calls that find nothing wrong with their arguments, but not what they need.
var resourceErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
}

// startErrnos may be over within seconds as well: an address that the process before still holds, a device or a file
// system that is slow to answer, an interface that is not up yet.
var startErrnos = []syscall.Errno{
	syscall.EADDRINUSE, syscall.EIO, syscall.EBUSY, syscall.ETXTBSY, syscall.ETIMEDOUT, syscall.ESTALE, syscall.ENETDOWN,
}

// ShortOfResources reports whether a system call failed because the system, or this process, had no descriptor, buffer
// or memory left for it, or was interrupted.
func ShortOfResources(err error) bool { return hasErrno(err, resourceErrnos) }

// HealsAtStart reports whether a failure of socket, bind, listen, open or read may be over within StartLimit. All others
// cannot heal without somebody's help, as EACCES, EPERM, ENOENT, EADDRNOTAVAIL or EAFNOSUPPORT.
func HealsAtStart(err error) bool { return hasErrno(err, resourceErrnos) || hasErrno(err, startErrnos) }

func hasErrno(err error, errnos []syscall.Errno) bool {
	if err == nil {
		return false
	}
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// Start repeats the calls of one program's start. All of them share StartLimit.
type Start struct {
	ctx context.Context
	log *slog.Logger

	mu       sync.Mutex
	deadline time.Time // zero: nothing has failed yet
}

// NewStart gives a start that ends with its context. No logger is the default one.
func NewStart(ctx context.Context, log *slog.Logger) *Start {
	if log == nil {
		log = slog.Default()
	}
	return &Start{ctx: ctx, log: log}
}

// Do makes a call, and makes it again while it fails in a way that HealsAtStart and StartLimit is not over. The name
// stands in the log. An error is that of the last call; if the context ended meanwhile its cause is joined to it.
func (s *Start) Do(name string, call func() error) error {
	backoff := NewBackoff()
	for first := true; ; first = false {
		err := call()
		if err == nil || !HealsAtStart(err) {
			return err
		}
		left := s.left()
		if left <= 0 {
			return fmt.Errorf("%w (it was tried for %v)", err, StartLimit)
		}
		if first {
			s.log.Warn("start: a call fails, trying again", "call", name, "error", err)
		}
		if cause := Sleep(s.ctx, min(backoff.Next(), left)); cause != nil {
			return errors.Join(cause, err)
		}
	}
}

// left is how long calls may still be repeated.
func (s *Start) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		s.deadline = time.Now().Add(StartLimit)
	}
	return time.Until(s.deadline)
}
