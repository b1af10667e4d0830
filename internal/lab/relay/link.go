package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Direction is a set of the two directions of a link.
type Direction uint8

// The directions of a link, between a caller and the party that it calls.
const (
	To   Direction = 1 << iota // from the caller to the party
	From                       // from the party to the caller
	Both = To | From
)

// Rules are the faults of a link. The zero value passes all traffic without delay.
type Rules struct {
	Latency         time.Duration // one-way delay, added to each read and write
	Jitter          float64       // each latency is drawn from Latency x (1 +- Jitter)
	Bandwidth       int           // bytes per second in each direction; 0 means unlimited
	Cut             Direction     // directions that carry no data; handshakes are dropped by Port.Cut
	Reject          bool          // new connections are reset immediately
	ResetAfterBytes int64         // each connection is reset after this many bytes in both directions; 0 means never
	HalfClose       bool          // a response is cut after halfCloseBytes and the write side closed
	ResponseLoss    float64       // fraction of responses that are never written, 0 to 1; the connection stays open
}

// Link is the simulated network path between one caller and one party. Its rules can change at any time.
type Link struct {
	rules   atomic.Pointer[Rules]
	mu      sync.Mutex
	changed chan struct{} // closed at each change of the rules
	rng     *rand.Rand    // source of jitter and losses; guarded by mu
}

// NewLink returns a link. Its jitter and losses are drawn from seed.
func NewLink(rules Rules, seed uint64) *Link {
	l := &Link{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x6c696e6b))}
	l.rules.Store(&rules)
	return l
}

// Rules returns the rules in force.
func (l *Link) Rules() Rules { return *l.rules.Load() }

// Set changes the rules.
func (l *Link) Set(change func(*Rules)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := *l.rules.Load()
	change(&r)
	l.rules.Store(&r)
	close(l.changed)
	l.changed = make(chan struct{})
}

// watch returns a channel that is closed at the next change of the rules.
func (l *Link) watch() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Link) rejectsConns() bool { return l.rules.Load().Reject }

func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// delay returns the transfer time of n bytes, with jitter drawn.
func (l *Link) delay(r *Rules, n int) time.Duration {
	d := r.Latency
	if d > 0 && r.Jitter > 0 {
		d = time.Duration(float64(d) * (1 + r.Jitter*(2*l.draw()-1)))
	}
	if r.Bandwidth > 0 {
		d += time.Duration(float64(n) / float64(r.Bandwidth) * float64(time.Second))
	}
	return d
}

var errLinkReset = errors.New("relay: connection ended by a fault of its link")

// closePollInterval is how often a connection that is blocked by a cut is checked for a close by the caller.
const closePollInterval = 5 * time.Millisecond

// halfCloseBytes is how much of a response is written before a half-close.
const halfCloseBytes = 16

// Conn is the party's end of a caller's connection. Reads and writes are subject to the rules of the link.
type Conn struct {
	*net.TCPConn
	Caller int // number of the caller

	link         *Link
	carriedBytes atomic.Int64
	done         chan struct{}
	closeOnce    sync.Once
	// onPeerClose is called if the caller closes during a cut; nil until it is set.
	onPeerClose atomic.Pointer[func()]
}

func newConn(raw *net.TCPConn, link *Link, caller int) *Conn {
	return &Conn{TCPConn: raw, Caller: caller, link: link, done: make(chan struct{})}
}

// Done is closed when the party's side of the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Link returns the link that carries the connection.
func (c *Conn) Link() *Link { return c.link }

// OnPeerClose sets a function that is called if the caller closes the connection during a cut, which the party cannot
// detect itself. It replaces an earlier function.
func (c *Conn) OnPeerClose(f func()) { c.onPeerClose.Store(&f) }

// Read reads from the caller under the rules of the link. It blocks while the direction To is cut.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.waitWhileCut(To); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	r := c.link.rules.Load()
	if r.Cut&To != 0 {
		// Bytes, or the end of the stream, that arrived during a cut are passed on after it.
		if cutErr := c.waitWhileCut(To); cutErr != nil {
			return 0, cutErr
		}
	}
	if n > 0 {
		if limitErr := c.delayAndCount(r, n); limitErr != nil {
			return 0, limitErr
		}
	}
	return n, err
}

// Write writes to the caller under the rules of the link. It blocks while the direction From is cut.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.waitWhileCut(From); err != nil {
		return 0, err
	}
	r := c.link.rules.Load()
	if err := c.delayAndCount(r, len(p)); err != nil {
		return 0, err
	}
	if err := c.waitWhileCut(From); err != nil { // a cut may have started during the delay
		return 0, err
	}
	if r.HalfClose {
		n, err := c.TCPConn.Write(p[:min(len(p), halfCloseBytes)])
		if err == nil {
			err = c.TCPConn.CloseWrite()
		}
		return n, errors.Join(err, errLinkReset)
	}
	return c.TCPConn.Write(p)
}

// ReadFrom copies through Write: the embedded connection's own ReadFrom would bypass the link's rules.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo copies through Read: the embedded connection's own WriteTo would bypass the link's rules.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// LosesResponse draws whether the response to be written next is lost.
func (c *Conn) LosesResponse() bool {
	r := c.link.rules.Load()
	return r.ResponseLoss > 0 && c.link.draw() < r.ResponseLoss
}

// delayAndCount waits for the transfer time of n bytes and resets the connection past ResetAfterBytes.
func (c *Conn) delayAndCount(r *Rules, n int) error {
	if r.Latency > 0 || r.Bandwidth > 0 {
		if d := c.link.delay(r, n); d > 0 {
			t := time.NewTimer(d)
			defer t.Stop()
			select {
			case <-t.C:
			case <-c.done:
				return net.ErrClosed
			}
		}
	}
	if r.ResetAfterBytes > 0 && c.carriedBytes.Add(int64(n)) > r.ResetAfterBytes {
		c.Reset()
		return errLinkReset
	}
	return nil
}

// waitWhileCut blocks while the direction is cut. If the caller closes during that time, it calls onPeerClose.
func (c *Conn) waitWhileCut(way Direction) error {
	if c.link.rules.Load().Cut&way == 0 {
		return nil
	}
	tick := time.NewTicker(closePollInterval)
	defer tick.Stop()
	notified := false
	for {
		changed := c.link.watch()
		if c.link.rules.Load().Cut&way == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-c.done:
			return net.ErrClosed
		case <-tick.C:
			if !notified && c.isPeerClosed() {
				notified = true
				if f := c.onPeerClose.Load(); f != nil {
					(*f)()
				}
			}
		}
	}
}

// isPeerClosed reports whether the caller has closed, by the TCP state in the kernel. The party does not read during a
// cut and cannot detect it otherwise.
func (c *Conn) isPeerClosed() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return closed || err != nil
}

// detachFilter removes the filter that an accepted socket inherits from its listener.
func (c *Conn) detachFilter() {
	if raw, err := c.TCPConn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = detachSocketFilter(int(fd)) }) // a socket without a filter needs no detach
	}
}

// Close closes the connection. Closing it again is no error.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	err := c.TCPConn.Close()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) {
		return nil
	}
	return err
}

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	_ = c.TCPConn.SetLinger(0) // fails only if the connection is already closed
	_ = c.Close()
}
