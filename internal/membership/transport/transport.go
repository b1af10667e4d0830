// Package transport implements the transport of hashicorp/memberlist over UDP and TCP. It exchanges data only with
// addresses in the configured networks, and bounds the memory and the time that remote ends can consume.
package transport

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

// limits bound the memory and the time that remote ends can consume.
type limits struct {
	maxPacketBytes int           // maximum size of a packet in either direction, in bytes
	maxStreamBytes int64         // maximum size of a stream in each direction, in bytes
	maxStreams     int           // maximum number of incoming streams open at a time
	slotTimeout    time.Duration // how long an incoming stream waits for a free slot before it is dropped
	idleTimeout    time.Duration // maximum time without a byte while a stream is read
	streamLifetime time.Duration // maximum time from the opening of a stream to its end
}

// defaultLimits allow a push/pull of 4,096 names with 1 KiB each: at most 512 bytes of metadata, about 200 bytes of
// library data and about 200 bytes of roster entries. Packets of the library have at most 1,400 bytes, except for user
// messages.
var defaultLimits = limits{
	maxPacketBytes: 8 << 10,
	maxStreamBytes: 4096 << 10,
	maxStreams:     32,
	slotTimeout:    time.Second,
	idleTimeout:    5 * time.Second,
	streamLifetime: 15 * time.Second,
}

// Reasons why packets and streams are dropped. They are values of a metric label.
const (
	droppedNetwork   = "network" // the remote address is not in any of the networks
	droppedTooLong   = "long"    // the packet or stream has more bytes than its limit
	droppedEmpty     = "empty"   // a packet without bytes
	droppedIdle      = "idle"    // nothing arrived within idleTimeout
	droppedLifetime  = "late"    // the stream did not end within streamLifetime
	droppedOversized = "swollen" // the input announces too much, is compressed, or is a malformed or nested compound
	droppedNoSlot    = "streams" // no free slot within slotTimeout
)

// Config configures a transport.
type Config struct {
	Bind      string         // HOST:PORT for UDP and TCP; port 0 means one port for both, chosen by the system
	Advertise string         // HOST:PORT for other members; port 0 means the bound port, empty the bound address
	Networks  []netip.Prefix // networks of the members; empty means any address
	Log       *slog.Logger
	OnDrop    func(reason string) // called concurrently for each dropped packet and stream; may be nil
}

// Transport implements memberlist.NodeAwareTransport.
//
// It replaces the library's NetTransport, which accepts packets and streams from any address, bounds neither the length
// nor the number of streams, connects from any local address, and has goroutines that wait for the library without a
// timeout.
type Transport struct {
	limits
	networks []netip.Prefix
	log      *slog.Logger
	dropped  func(reason string)

	tcp       net.Listener
	udp       *net.UDPConn
	bound     netip.AddrPort
	advertise netip.AddrPort
	dialer    net.Dialer

	packetCh chan *memberlist.Packet
	streamCh chan net.Conn
	slots    chan struct{} // holds one element per open incoming stream

	ctx    context.Context // canceled by Shutdown
	cancel func()
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	streams map[*stream]struct{}
}

var _ memberlist.NodeAwareTransport = (*Transport)(nil)

// Open binds the sockets and starts the goroutines of the transport. Shutdown ends them.
func Open(cfg Config) (*Transport, error) {
	return openWithLimits(cfg, defaultLimits)
}

// openWithLimits is Open with the given limits.
func openWithLimits(cfg Config, l limits) (*Transport, error) {
	t := &Transport{limits: l, networks: cfg.Networks, log: cfg.Log, dropped: cfg.OnDrop,
		packetCh: make(chan *memberlist.Packet), streamCh: make(chan net.Conn), slots: make(chan struct{}, l.maxStreams),
		streams: map[*stream]struct{}{}}
	if t.log == nil {
		t.log = slog.New(slog.DiscardHandler)
	}
	if t.dropped == nil {
		t.dropped = func(string) {}
	}
	if err := t.bind(cfg.Bind); err != nil {
		return nil, fmt.Errorf("bind %q: %w", cfg.Bind, err)
	}
	if err := t.setAdvertise(cfg.Advertise); err != nil {
		return nil, errors.Join(fmt.Errorf("advertise %q: %w", cfg.Advertise, err), t.tcp.Close(), t.udp.Close())
	}
	// Members identify each other by their addresses, so outgoing connections use the bound address.
	t.dialer = net.Dialer{KeepAlive: -1, Control: deferPortChoice}
	if ip := t.bound.Addr(); !ip.IsUnspecified() {
		t.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.readPackets)
	t.wg.Go(t.acceptStreams)
	return t, nil
}

// deferPortChoice defers the choice of the local port until the socket connects, so that connections to different
// addresses may share a port. Where the system does not support this, each connection has a port of its own.
func deferPortChoice(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

// bind binds the same port for TCP and UDP. If the system chooses the port, its choice for TCP may be in use for UDP.
// In that case bind tries again.
func (t *Transport) bind(addr string) error {
	const maxAttempts = 16
	requested, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return err
	}
	for range maxAttempts {
		var tcp *net.TCPListener
		if tcp, err = net.ListenTCP("tcp", requested); err != nil {
			return err
		}
		t.tcp = listener.Wrap(tcp, "members", t.log)
		bound := t.tcp.Addr().(*net.TCPAddr).AddrPort()
		if t.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(bound)); err == nil {
			t.bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
			_ = t.udp.SetReadBuffer(1 << 20) // the system may allow less
			return nil
		}
		_ = t.tcp.Close() // no connection was accepted yet
		if requested.Port != 0 || !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return err
}

// setAdvertise determines the address at which other members reach this one.
func (t *Transport) setAdvertise(addr string) error {
	t.advertise = t.bound
	if addr != "" {
		resolved, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			return err
		}
		ip, _ := netip.AddrFromSlice(resolved.IP)
		t.advertise = netip.AddrPortFrom(ip.Unmap(), uint16(resolved.Port))
		if resolved.Port == 0 {
			t.advertise = netip.AddrPortFrom(ip.Unmap(), t.bound.Port())
		}
	}
	if ip := t.advertise.Addr(); !ip.IsValid() || ip.IsUnspecified() {
		return fmt.Errorf("no IP address to advertise (bound to %v)", t.bound)
	}
	if !InNetworks(t.networks, t.advertise.Addr()) {
		return fmt.Errorf("%v is not in any of the networks %v", t.advertise, t.networks)
	}
	return nil
}

// TransportAddr returns the bound address.
func (t *Transport) TransportAddr() netip.AddrPort { return t.bound }

// FinalAdvertiseAddr returns the address to advertise. It ignores the address of the library's configuration.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// parseTarget parses the address of a packet or stream to send. Such addresses come from other members, so they must be
// in the networks. Otherwise a member could make this one send to any address.
func (t *Transport) parseTarget(addr string) (netip.AddrPort, error) {
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return target, err
	}
	target = netip.AddrPortFrom(target.Addr().Unmap(), target.Port())
	if !InNetworks(t.networks, target.Addr()) {
		t.dropped(droppedNetwork)
		return target, fmt.Errorf("%s is not in any of the networks %v", addr, t.networks)
	}
	return target, nil
}

// PacketCh returns the channel of received packets.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packetCh }

// StreamCh returns the channel of accepted streams.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streamCh }

// WriteTo sends a packet.
func (t *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := t.parseTarget(addr)
	if err != nil {
		return time.Time{}, err
	}
	if len(b) > t.maxPacketBytes {
		return time.Time{}, fmt.Errorf("write packet to %s: %d bytes exceed the limit of %d", addr, len(b), t.maxPacketBytes)
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err // unwrapped: the library detects a failure of the remote end by the type of the error
}

// WriteToAddress sends a packet.
func (t *Transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout opens a stream from the bound address.
func (t *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to, err := t.parseTarget(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, min(timeout, t.streamLifetime))
	defer cancel()
	conn, err := t.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err // unwrapped, see WriteTo
	}
	return t.newStream(conn, func() {})
}

// DialAddressTimeout opens a stream from the bound address.
func (t *Transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown closes the sockets and all streams. It returns when the goroutines of the transport have ended.
func (t *Transport) Shutdown() error {
	t.mu.Lock()
	var open []*stream
	for s := range t.streams {
		open = append(open, s)
	}
	wasClosed := t.closed
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	var err error
	if !wasClosed {
		err = errors.Join(t.tcp.Close(), t.udp.Close())
	}
	for _, s := range open {
		_ = s.Close()
	}
	t.wg.Wait()
	return err
}

// readFailures holds the backoff and the rate limit of log lines after failed reads of packets.
type readFailures struct {
	backoff retry.Backoff
	limiter retry.LogLimiter
}

// waitAfterReadFailure logs a failed read of a packet and waits. It returns false if the transport was shut down.
func (t *Transport) waitAfterReadFailure(failures *readFailures, err error) bool {
	if t.ctx.Err() != nil {
		return false
	}
	if ok, suppressed := failures.limiter.Allow(); ok {
		t.log.Warn("members: read of a packet failed", "addr", t.bound, "err", err, "suppressed", suppressed)
	}
	return retry.Sleep(t.ctx, failures.backoff.Next()) == nil
}

func (t *Transport) readPackets() {
	buf := make([]byte, t.maxPacketBytes+1)
	failures := readFailures{backoff: retry.NewBackoff()}
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		receivedAt := time.Now()
		if err != nil {
			if !t.waitAfterReadFailure(&failures, err) {
				return
			}
			continue
		}
		failures.backoff.Reset()
		switch {
		case !InNetworks(t.networks, from.Addr()):
			t.dropped(droppedNetwork)
		case n > t.maxPacketBytes:
			t.dropped(droppedTooLong)
		case n == 0:
			t.dropped(droppedEmpty)
		case isCompressedOrNested(buf[:n]):
			t.dropped(droppedOversized)
		default:
			from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			packet := &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: net.UDPAddrFromAddrPort(from), Timestamp: receivedAt}
			select {
			case t.packetCh <- packet:
			case <-t.ctx.Done():
				return
			}
		}
	}
}

func (t *Transport) acceptStreams() {
	for {
		conn, err := t.tcp.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				t.log.Error("members: accept failed, stopped accepting streams", "addr", t.bound, "err", err)
			}
			return
		}
		if !InNetworks(t.networks, conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()) {
			t.dropped(droppedNetwork)
			_ = conn.Close()
			continue
		}
		if !t.acquireSlot() {
			t.dropped(droppedNoSlot)
			_ = conn.Close()
			continue
		}
		s, err := t.newStream(conn, func() { <-t.slots })
		if err != nil {
			return // the transport was shut down
		}
		select {
		case t.streamCh <- s:
		case <-t.ctx.Done():
			return // Shutdown closes s
		}
	}
}

// acquireSlot acquires a slot and returns true, or returns false after slotTimeout. No other stream is accepted
// meanwhile.
func (t *Transport) acquireSlot() bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	timeout := time.NewTimer(t.slotTimeout)
	defer timeout.Stop()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-timeout.C:
	case <-t.ctx.Done():
	}
	return false
}

// InNetworks reports whether an address is in one of the networks. If there are no networks, it returns true.
func InNetworks(networks []netip.Prefix, ip netip.Addr) bool {
	ip = ip.Unmap().WithZone("")
	for _, n := range networks {
		if n.Contains(ip) {
			return true
		}
	}
	return len(networks) == 0
}
