package clientserver

import (
	"sync"
	"time"
)

const (
	// maxSendBuffer is how many bytes the system of a client holds back at most while this system accepts none, in
	// bytes: the default maximum of Linux (net.ipv4.tcp_wmem).
	maxSendBuffer = 4 << 20
	// positionInterval is the number of bytes that are read between two entries of inputClock.positions.
	positionInterval = 256 << 10
)

// inputClock determines the earliest time at which a client can have written the last byte of a request. That can be long
// before the byte is read: while this process does not read, because it waits for a server, bytes wait in the buffers of
// both systems, of which only the one on this side can be seen.
//
// There are two kinds of evidence. When a read has to wait, the client has written nothing beyond what was read before.
// And the buffers are limited, so that a byte is written later than those that are far ahead of it are read.
type inputClock struct {
	mu           sync.Mutex // guards the fields below
	notBefore    time.Time  // the last byte that was read was not written earlier; zero: nothing was read
	waiting      bool       // a read waits for the client's next bytes
	emptyAt      time.Time  // the last time since the last byte was read at which nothing was there to read; zero: none
	read         int64      // number of bytes that were read
	nextPosition int64      // number of bytes that have to be read for the next entry of positions
	positions    []inputPosition
}

// inputPosition states that a client had written at most so many bytes at a time.
type inputPosition struct {
	at         time.Time
	maxWritten int64
}

// startWaiting records that a read waits because there is nothing to read.
func (c *inputClock) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
}

// endRead records that a read has ended. net/http ends one that waits when a response has been written.
func (c *inputClock) endRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.waiting, c.emptyAt = false, now
	}
}

// record records that n bytes were read. unread returns the number of further bytes that wait to be read.
func (c *inputClock) record(now time.Time, n int, unread func() (int, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.waiting || c.notBefore.IsZero():
		c.restart(now)
	case !c.emptyAt.IsZero():
		c.restart(c.emptyAt)
	}
	c.read += int64(n)
	if c.read >= c.nextPosition {
		c.addPosition(now, unread)
	}
	c.advance(c.read)
}

// restart records that the next byte to be read was not written before a time. The caller holds the lock.
func (c *inputClock) restart(notBefore time.Time) {
	c.waiting, c.emptyAt, c.notBefore, c.positions = false, time.Time{}, notBefore, nil
	c.nextPosition = c.read + positionInterval
}

// lastByteNotBefore returns the earliest time at which the client can have written the last byte of its request, of which
// at least remaining bytes were not read. It returns the zero time if the client has not written that byte yet.
func (c *inputClock) lastByteNotBefore(now time.Time, remaining int64, unread func() (int, error)) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remaining > maxSendBuffer {
		c.addPosition(now, unread)
	}
	c.advance(c.read + remaining)
	if c.waiting || c.notBefore.Equal(now) {
		return time.Time{}
	}
	return c.notBefore
}

// lastReadNotBefore returns the earliest time at which the client can have written the last byte that was read. It is
// zero if nothing was read.
func (c *inputClock) lastReadNotBefore() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notBefore
}

// addPosition records how far the client can have written by now. The caller holds the lock.
func (c *inputClock) addPosition(now time.Time, unread func() (int, error)) {
	c.nextPosition = c.read + positionInterval
	if received, err := unread(); err == nil {
		c.positions = append(c.positions, inputPosition{now, c.read + int64(received) + maxSendBuffer})
	}
}

// advance applies the positions that the byte with the given number is beyond. The caller holds the lock.
func (c *inputClock) advance(number int64) {
	for len(c.positions) > 0 && c.positions[0].maxWritten < number {
		c.notBefore, c.positions = c.positions[0].at, c.positions[1:]
	}
}
