package membership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sys/unix"

	"marblelane/internal/listener"
	"marblelane/internal/retry"
)

// limits bound what callers can make a transport hold.
type limits struct {
	packet  int           // bytes of a packet, either way
	stream  int64         // bytes of a stream, each way
	streams int           // incoming streams at a time
	turn    time.Duration // how long a caller, and those behind it, wait for one to end before it is turned away
	idle    time.Duration // how long a stream may send nothing while it is read
	life    time.Duration // from a stream's opening to its end
}

// defaultLimits let a push/pull of 4,096 names through, with 1 KiB for each: of the library at most 512 bytes of
// metadata and some 200 of its own, and of the roster some 200. The library's packets are at most 1,400 bytes long;
// only a user message may be longer.
var defaultLimits = limits{packet: 8 << 10, stream: 4096 << 10, streams: 32, turn: time.Second, idle: 5 * time.Second,
	life: 15 * time.Second}

// Why a packet or a connection was dropped.
const (
	droppedNetwork = "network" // its other end lies in none of the networks
	droppedLong    = "long"    // more bytes than the limit
	droppedEmpty   = "empty"   // a packet of no bytes
	droppedIdle    = "idle"    // a stream that sent nothing for long
	droppedLate    = "late"    // a stream that did not end in time
	droppedSwollen = "swollen" // would take more memory than it has bytes
	droppedStreams = "streams" // too many streams at a time
)

// transportConfig says where a transport listens and whom it hears.
type transportConfig struct {
	Bind      string // HOST:PORT, UDP and TCP; port 0: the system's choice, the same for both
	Advertise string // HOST:PORT that others are told, port 0: the bound one; empty: Bind as it was bound
	Networks  []netip.Prefix
	Log       *slog.Logger
	Dropped   func(why string) // told of each drop, from many goroutines; nil: nothing
}

// transport carries memberlist's packets and streams.
//
// It is not built on the library's NetTransport: that hands on packets and connections from anywhere, bounds neither
// the length of a stream nor how many there are, calls from an address of the system's choice, and has its
// goroutines wait for the library without end.
type transport struct {
	limits
	networks []netip.Prefix
	log      *slog.Logger
	dropped  func(why string)

	tcp       net.Listener // accepts TCP connections alone
	udp       *net.UDPConn
	bound     netip.AddrPort
	advertise netip.AddrPort
	dialer    net.Dialer

	packetCh chan *memberlist.Packet
	streamCh chan net.Conn
	slots    chan struct{} // one in it for each incoming stream

	ctx    context.Context // ended by Shutdown
	cancel func()
	wg     sync.WaitGroup

	mu     sync.Mutex
	closed bool
	open   map[*stream]struct{}
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// newTransport binds and begins to listen. Shutdown ends it; it returns after the transport's goroutines have.
func newTransport(cfg transportConfig) (memberlist.NodeAwareTransport, error) {
	return openTransport(cfg, defaultLimits)
}

func openTransport(cfg transportConfig, l limits) (*transport, error) {
	t := &transport{limits: l, networks: cfg.Networks, log: cfg.Log, dropped: cfg.Dropped,
		packetCh: make(chan *memberlist.Packet), streamCh: make(chan net.Conn), slots: make(chan struct{}, l.streams),
		open: map[*stream]struct{}{}}
	if t.log == nil {
		t.log = slog.New(slog.DiscardHandler)
	}
	if t.dropped == nil {
		t.dropped = func(string) {}
	}
	if err := t.bind(cfg.Bind); err != nil {
		return nil, fmt.Errorf("bind %q: %w", cfg.Bind, err)
	}
	if err := t.announce(cfg.Advertise); err != nil {
		return nil, errors.Join(fmt.Errorf("advertise %q: %w", cfg.Advertise, err), t.tcp.Close(), t.udp.Close())
	}
	// Members tell each other by their addresses, so calls come from the one that is bound.
	t.dialer = net.Dialer{KeepAlive: -1, Control: latePort}
	if ip := t.bound.Addr(); !ip.IsUnspecified() {
		t.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.readPackets)
	t.wg.Go(t.acceptStreams)
	return t, nil
}

// latePort has the system choose the port of a bound call when it connects, when it may be one that another call
// uses to another address. Where it cannot, the call takes a port of its own.
func latePort(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

// bind takes a port of TCP and the same of UDP. Where the system chooses, the one it chose for TCP may be taken for
// UDP; then it chooses again.
func (t *transport) bind(addr string) error {
	const tries = 16
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return err
	}
	for range tries {
		var tcp *net.TCPListener
		if tcp, err = net.ListenTCP("tcp", at); err != nil {
			return err
		}
		t.tcp = listener.Wrap(tcp, "members", t.log)
		got := t.tcp.Addr().(*net.TCPAddr).AddrPort()
		if t.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(got)); err == nil {
			t.bound = netip.AddrPortFrom(got.Addr().Unmap(), got.Port())
			_ = t.udp.SetReadBuffer(1 << 20) // as much of it as the system allows
			return nil
		}
		_ = t.tcp.Close() // nobody was told of it
		if at.Port != 0 || !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return err
}

// announce settles the address that others are told.
func (t *transport) announce(addr string) error {
	t.advertise = t.bound
	if addr != "" {
		at, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			return err
		}
		ip, _ := netip.AddrFromSlice(at.IP)
		t.advertise = netip.AddrPortFrom(ip.Unmap(), uint16(at.Port))
		if at.Port == 0 {
			t.advertise = netip.AddrPortFrom(ip.Unmap(), t.bound.Port())
		}
	}
	if ip := t.advertise.Addr(); !ip.IsValid() || ip.IsUnspecified() {
		return fmt.Errorf("others cannot call %v: an address is needed", t.bound)
	}
	if !within(t.networks, t.advertise.Addr()) {
		return fmt.Errorf("%v lies in none of the networks %v", t.advertise, t.networks)
	}
	return nil
}

// TransportAddr is the address that was bound.
func (t *transport) TransportAddr() netip.AddrPort { return t.bound }

// FinalAdvertiseAddr is the address that others are told. What the library's configuration says of it does not count.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// callable reads an address to call or send to. Others name such addresses, so they are held to the networks as well:
// else a member could have this one send to anybody.
func (t *transport) callable(addr string) (netip.AddrPort, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return to, err
	}
	to = netip.AddrPortFrom(to.Addr().Unmap(), to.Port())
	if !within(t.networks, to.Addr()) {
		t.dropped(droppedNetwork)
		return to, fmt.Errorf("%s lies in none of the networks %v", addr, t.networks)
	}
	return to, nil
}

// PacketCh gives the packets that came in.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packetCh }

// StreamCh gives the streams that others opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streamCh }

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := t.callable(addr)
	if err != nil {
		return time.Time{}, err
	}
	if len(b) > t.packet {
		return time.Time{}, fmt.Errorf("packet to %s of %d bytes is longer than %d", addr, len(b), t.packet)
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err // as it is: the library tells by its type whether the other end failed
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout opens a stream, from the bound address.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to, err := t.callable(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, min(timeout, t.life))
	defer cancel()
	conn, err := t.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err // as it is, see WriteTo
	}
	return t.newStream(conn, func() {})
}

// DialAddressTimeout opens a stream, from the bound address.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown closes the sockets and all streams.
func (t *transport) Shutdown() error {
	t.mu.Lock()
	var open []*stream
	for s := range t.open {
		open = append(open, s)
	}
	was := t.closed
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	var err error
	if !was {
		err = errors.Join(t.tcp.Close(), t.udp.Close())
	}
	for _, s := range open {
		_ = s.Close()
	}
	t.wg.Wait()
	return err
}

// readFailures paces the reading of packets after failures, and bounds their lines in the log.
type readFailures struct {
	backoff retry.Backoff
	limiter retry.LogLimiter
}

// pause waits a moment after a failure of the packets' socket; false: the transport has ended.
func (t *transport) pause(failures *readFailures, err error) bool {
	if t.ctx.Err() != nil {
		return false
	}
	if ok, suppressed := failures.limiter.Allow(); ok {
		t.log.Warn("members: read packets", "addr", t.bound, "error", err, "suppressed", suppressed)
	}
	return retry.Sleep(t.ctx, failures.backoff.Next()) == nil
}

func (t *transport) readPackets() {
	buf := make([]byte, t.packet+1)
	failures := readFailures{backoff: retry.NewBackoff()}
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		at := time.Now()
		if err != nil {
			if !t.pause(&failures, err) {
				return
			}
			continue
		}
		failures.backoff.Reset()
		switch {
		case !within(t.networks, from.Addr()):
			t.dropped(droppedNetwork)
		case n > t.packet:
			t.dropped(droppedLong)
		case n == 0:
			t.dropped(droppedEmpty)
		case swollen(buf[:n]):
			t.dropped(droppedSwollen)
		default:
			from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			p := &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: net.UDPAddrFromAddrPort(from), Timestamp: at}
			select {
			case t.packetCh <- p:
			case <-t.ctx.Done():
				return
			}
		}
	}
}

func (t *transport) acceptStreams() {
	for {
		conn, err := t.tcp.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				t.log.Error("members: no stream can be accepted any more", "addr", t.bound, "error", err)
			}
			return
		}
		if !within(t.networks, conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()) {
			t.dropped(droppedNetwork)
			_ = conn.Close()
			continue
		}
		if !t.takeSlot() {
			t.dropped(droppedStreams)
			_ = conn.Close()
			continue
		}
		s, err := t.newStream(conn, func() { <-t.slots })
		if err != nil {
			return // the transport has ended
		}
		select {
		case t.streamCh <- s:
		case <-t.ctx.Done():
			return // Shutdown closes it
		}
	}
}

// takeSlot waits for its turn: callers behind the one that waits are not accepted meanwhile.
func (t *transport) takeSlot() bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	turn := time.NewTimer(t.turn)
	defer turn.Stop()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-turn.C:
	case <-t.ctx.Done():
	}
	return false
}
