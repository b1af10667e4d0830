package retry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// StartLimit is the total time for which the calls of a program's start are retried, from the first failure on.
const StartLimit = 5 * time.Second

// StartRetrier retries the calls that a program makes at its start. All calls share StartLimit. It is safe for
// concurrent use.
type StartRetrier struct {
	ctx context.Context
	log *slog.Logger

	mu       sync.Mutex // guards deadline
	deadline time.Time  // time at which the retries end; zero if no call has failed yet
}

// NewStartRetrier returns a StartRetrier that stops retrying when the context ends. If log is nil, it uses
// slog.Default.
func NewStartRetrier(ctx context.Context, log *slog.Logger) *StartRetrier {
	if log == nil {
		log = slog.Default()
	}
	return &StartRetrier{ctx: ctx, log: log}
}

// Do makes a call, and retries it while its failure is transient and StartLimit has not passed. It logs the first
// failure with the name of the call. It returns the error of the last call. If the context ends during a pause, the
// error also wraps the context's cause.
func (s *StartRetrier) Do(name string, call func() error) error {
	backoff := NewBackoff()
	for attempt := 1; ; attempt++ {
		err := call()
		if err == nil || !transientAtStart(err) {
			return err
		}
		remaining := s.remaining()
		if remaining <= 0 {
			return fmt.Errorf("%w (retried for %v)", err, StartLimit)
		}
		if attempt == 1 {
			s.log.Warn("start: call failed, retrying", "call", name, "err", err)
		}
		if cause := Sleep(s.ctx, min(backoff.Next(), remaining)); cause != nil {
			return errors.Join(cause, err)
		}
	}
}

// remaining returns the time for which calls may still be retried. StartLimit starts with the first call of remaining.
func (s *StartRetrier) remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		s.deadline = time.Now().Add(StartLimit)
	}
	return time.Until(s.deadline)
}
