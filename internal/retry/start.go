package retry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// StartLimit is how long the calls of a program's start are retried in all, from the first failure on.
const StartLimit = 5 * time.Second

// StartRetrier retries the calls of one start of a program. All of them share StartLimit. It is safe for concurrent use.
type StartRetrier struct {
	ctx context.Context
	log *slog.Logger

	mu       sync.Mutex // guards deadline
	deadline time.Time  // zero: no call has failed yet
}

// NewStartRetrier returns a start that ends with its context. A nil logger stands for the default one.
func NewStartRetrier(ctx context.Context, log *slog.Logger) *StartRetrier {
	if log == nil {
		log = slog.Default()
	}
	return &StartRetrier{ctx: ctx, log: log}
}

// Do makes a call, and retries it while its failure is transient and StartLimit has not passed. The first failure is
// logged with the name of the call. Do returns the error of the last call; if the context ends in a pause, the context's
// cause is joined to it.
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

// remaining is how long calls may still be retried. The first call of it starts the limit.
func (s *StartRetrier) remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		s.deadline = time.Now().Add(StartLimit)
	}
	return time.Until(s.deadline)
}
