package clientserver

import (
	"errors"
	"io"
	"testing"
	"time"

	"marblelane/internal/sidecar/inflight"
)

// The time of the last byte is never later than when it can have been written, and follows the client as far as reads
// that wait and the limit of the buffers show.
func TestInputClock(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	unread := func(n int) func() (int, error) { return func() (int, error) { return n, nil } }
	unknown := func() (int, error) { return 0, errors.New("not supported") }
	for name, test := range map[string]struct {
		play      func(c *inputClock)
		remaining int64
		unread    func() (int, error)
		want      time.Time
	}{
		"nothing read":             {func(c *inputClock) {}, 0, unread(0), time.Time{}},
		"held back after the read": {func(c *inputClock) { c.record(at(1), 100, unread(0)) }, 0, unread(0), at(1)},
		"read late, without a wait": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.record(at(7), 100, unread(0))
		}, 0, unread(0), at(1)},
		"read after a wait": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.startWaiting()
			c.record(at(7), 100, unread(0))
		}, 0, unread(0), at(7)},
		"still waiting": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.startWaiting()
		}, 0, unread(0), time.Time{}},
		"read after a wait that was ended": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.startWaiting()
			c.endRead(at(6))
			c.record(at(7), 100, unread(0))
		}, 0, unread(0), at(6)},
		"read before a wait that was ended": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.startWaiting()
			c.endRead(at(6))
		}, 0, unread(0), at(1)},
		"far ahead of what was read": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.record(at(2), positionInterval, unread(1000))
			c.record(at(7), maxSendBuffer+1001, unread(0))
		}, 0, unread(0), at(2)},
		"not far enough": {func(c *inputClock) {
			c.record(at(1), 100, unread(0))
			c.record(at(2), positionInterval, unread(1000))
			c.record(at(7), maxSendBuffer+1000, unread(0))
		}, 0, unread(0), at(1)},
		"more is missing than buffers hold": {func(c *inputClock) { c.record(at(1), 100, unread(0)) }, maxSendBuffer + 1, unread(0), time.Time{}},
		"buffers may hold what is missing":  {func(c *inputClock) { c.record(at(1), 100, unread(0)) }, maxSendBuffer + 1, unread(1), at(1)},
		"unread bytes not known":            {func(c *inputClock) { c.record(at(1), 100, unknown) }, maxSendBuffer + 1, unknown, at(1)},
	} {
		t.Run(name, func(t *testing.T) {
			var c inputClock
			test.play(&c)
			if got := c.lastByteNotBefore(at(9), test.remaining, test.unread); !got.Equal(test.want) {
				t.Errorf("the last byte was not written before %v, want %v", got.Sub(start), test.want.Sub(start))
			}
		})
	}
}

// A body that was held back and is then read to its end does not start its client's time anew because the next read, which
// is behind the body, waits.
func TestInputClock_waitBehindBody(t *testing.T) {
	start := time.Now()
	conn := &ClientConn{}
	conn.input.record(start, 100, conn.unreadBytes)
	upload := inflight.NewUpload(-1, nil)
	upload.Input = conn
	conn.input.record(start.Add(5*time.Second), 100, conn.unreadBytes)
	conn.input.startWaiting()
	upload.Put(nil, io.EOF)
	if at := upload.CompletedAt(); !at.Equal(start) {
		t.Errorf("the client's time starts %v after the last byte can have been written", at.Sub(start))
	}
}
