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

// Way is a direction on a link.
type Way uint8

// The directions; To is from the caller to the party that is called.
const (
	To   Way = 1 << iota
	From     // answers
	Both = To | From
)

// Rules is what a link does to what passes it. The zero value passes everything at once.
type Rules struct {
	Latency   time.Duration // one way, added to each read and write
	Jitter    float64       // each latency is drawn from Latency x (1 +- Jitter)
	Bandwidth int           // bytes a second each way; 0: no bound
	Cut       Way           // passes nothing this way; either way, new connections never come up
	Refuse    bool          // new connections are reset at once
	Break     int64         // each connection is reset after this many bytes; 0: never
	HalfClose bool          // answers end after their first bytes although the connection stays open to the caller
	Lose      float64       // share of answers that are swallowed: the connection stays open and silent
}

// Link is what lies between one caller and one party. Its rules can change at any time.
type Link struct {
	rules   atomic.Pointer[Rules]
	mu      sync.Mutex
	changed chan struct{} // closed at each change
	rng     *rand.Rand    // guarded by mu
}

// NewLink makes a link; its jitter and losses are drawn from seed.
func NewLink(rules Rules, seed uint64) *Link {
	l := &Link{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x6c696e6b))}
	l.rules.Store(&rules)
	return l
}

// Rules are those in force.
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

func (l *Link) watch() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Link) refuses() bool { return l.rules.Load().Refuse }

func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// delay is how long n bytes take.
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

var errBroken = errors.New("relay: the link broke this connection")

// peekEvery is how often a connection that is cut off is looked at for the caller's close.
const peekEvery = 5 * time.Millisecond

// Conn is a caller's connection as the party that is called sees it through the link.
type Conn struct {
	*net.TCPConn
	Caller int

	link   *Link
	passed atomic.Int64
	done   chan struct{}
	once   sync.Once
	// onPeerClose is told once if the caller closes while a cut hides it from the party.
	onPeerClose atomic.Pointer[func()]
}

func newConn(raw *net.TCPConn, link *Link, caller int) *Conn {
	return &Conn{TCPConn: raw, Caller: caller, link: link, done: make(chan struct{})}
}

// Done is closed when the party's side of the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Link is what the connection passes.
func (c *Conn) Link() *Link { return c.link }

// OnPeerClose calls f once if the caller closes while a cut hides that from the party. It replaces an earlier f.
func (c *Conn) OnPeerClose(f func()) { c.onPeerClose.Store(&f) }

// Read takes what the caller sent, late or not at all as the link has it.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.pass(To); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	r := c.link.rules.Load()
	if r.Cut&To != 0 {
		// What came was on its way when the cut began, and is lost to the party until it is over. An end that
		// came is seen then as well.
		if held := c.pass(To); held != nil {
			return 0, held
		}
	}
	if n > 0 {
		if werr := c.carry(r, n); werr != nil {
			return 0, werr
		}
	}
	return n, err
}

// Write sends to the caller, late or not at all as the link has it. While answers are cut, it blocks.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.pass(From); err != nil {
		return 0, err
	}
	r := c.link.rules.Load()
	if err := c.carry(r, len(p)); err != nil {
		return 0, err
	}
	if err := c.pass(From); err != nil { // it may have begun while this was on its way
		return 0, err
	}
	if r.HalfClose {
		n, err := c.TCPConn.Write(p[:min(len(p), 16)])
		if err == nil {
			err = c.TCPConn.CloseWrite()
		}
		return n, errors.Join(err, errBroken)
	}
	return c.TCPConn.Write(p)
}

// ReadFrom keeps the shaping in the way: the embedded connection's would go around it.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo keeps the shaping in the way.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// Loses draws whether the answer to be written now is swallowed.
func (c *Conn) Loses() bool {
	r := c.link.rules.Load()
	return r.Lose > 0 && c.link.draw() < r.Lose
}

// carry waits for the latency of n bytes and counts them.
func (c *Conn) carry(r *Rules, n int) error {
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
	if r.Break > 0 && c.passed.Add(int64(n)) > r.Break {
		c.Reset()
		return errBroken
	}
	return nil
}

// pass waits until the link carries this way.
func (c *Conn) pass(way Way) error {
	if c.link.rules.Load().Cut&way == 0 {
		return nil
	}
	tick := time.NewTicker(peekEvery)
	defer tick.Stop()
	told := false
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
			if !told && c.peerClosed() {
				told = true
				if f := c.onPeerClose.Load(); f != nil {
					(*f)()
				}
			}
		}
	}
}

// peerClosed asks the kernel whether the caller has closed, which the party cannot know through a cut.
func (c *Conn) peerClosed() bool {
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

func (c *Conn) detachFilter() {
	if raw, err := c.TCPConn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = detach(int(fd)) }) // an old socket without a filter is as good
	}
}

// Close ends the connection.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.done) })
	err := c.TCPConn.Close()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) {
		return nil
	}
	return err
}

// Reset ends the connection with a reset.
func (c *Conn) Reset() {
	_ = c.TCPConn.SetLinger(0) // on one that is closed already nothing is left to do
	_ = c.Close()
}
