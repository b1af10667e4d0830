package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// HandshakeDelay delays the TCP handshake of a fraction of the new connections of some callers. A filter on the
// listening socket drops their SYNs, and the connections are found in the kernel's list of sockets in SYN_SENT. After
// the delay the party dials the caller, which TCP completes as a simultaneous open (RFC 9293, 3.5). Until then the
// caller's connect does not return, and no request byte can be written.
//
// Two simpler ways do not work. With a delayed accept, the caller can write its request first, so a request that is not
// idempotent cannot be sent to another server. If only the first SYN is dropped, the kernel retransmits it after 1 s.
//
// Limits: the source port decides whether a connection is delayed. A delay under about 20 ms may take longer, as it
// takes that long to find a pending connection.
type HandshakeDelay struct {
	fraction float64                   // fraction of new connections whose handshake is delayed, 0 to 1
	delay    func(*Link) time.Duration // draws the delay of one connection

	mu            sync.Mutex
	callersByPort map[*Port][]int  // callers with delayed handshakes
	lastDropCount map[*Port]uint32 // drop count of each listening socket at the last poll
	wg            sync.WaitGroup
	cancel        context.CancelFunc
	err           error // error that stopped the watch; nil if there was none
}

// dropPollInterval is how often the drop counts of the listening sockets are polled. The kernel is queried for pending
// connections only after a drop, as that query scans all sockets and takes about 15 ms.
const dropPollInterval = 5 * time.Millisecond

// NewHandshakeDelay returns the fault for a fraction of connections, 0 to 1. delay draws the delay of one connection of
// a link.
func NewHandshakeDelay(fraction float64, delay func(*Link) time.Duration) *HandshakeDelay {
	return &HandshakeDelay{fraction: fraction, delay: delay, callersByPort: map[*Port][]int{}, lastDropCount: map[*Port]uint32{}}
}

// Draw returns a random number from 0 to 1 from the link's seeded source.
func (l *Link) Draw() float64 { return l.draw() }

// Add applies the fault to a caller's new connections to a port. Call it before Start.
func (h *HandshakeDelay) Add(p *Port, caller int) {
	h.callersByPort[p] = append(h.callersByPort[p], caller)
}

// Start attaches the filters and starts the goroutine that opens delayed connections.
func (h *HandshakeDelay) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for p, callers := range h.callersByPort {
		if err := p.setDelayed(callers, h.fraction); err != nil {
			_ = h.Stop()
			return err
		}
	}
	h.wg.Go(func() { h.watch(ctx) })
	return nil
}

// Stop removes the filters and waits for the goroutines. Connections that are still pending complete when the kernel
// retransmits the SYN. It returns the error that stopped the watch, if any. A second Stop has no further effect.
func (h *HandshakeDelay) Stop() error {
	for p := range h.callersByPort {
		_ = p.setDelayed(nil, 0) // removing callers only shortens the filter
	}
	h.cancel()
	h.wg.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// watch finds pending connections and opens each after its delay, until the context ends or a query fails.
func (h *HandshakeDelay) watch(ctx context.Context) {
	tick := time.NewTicker(dropPollInterval)
	defer tick.Stop()
	scheduled := map[addrPair]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !h.anyFilterDropped() {
			continue
		}
		pending, err := pendingConns()
		if err != nil {
			h.mu.Lock()
			h.err = err
			h.mu.Unlock()
			return
		}
		for pair := range scheduled {
			if !slices.ContainsFunc(pending, func(w pendingConn) bool { return w.addrPair == pair }) {
				delete(scheduled, pair)
			}
		}
		for _, w := range pending {
			if scheduled[w.addrPair] || !portDropped(w.from.Port(), h.fraction) {
				continue
			}
			if p, n := h.portOf(w.to); p != nil {
				scheduled[w.addrPair] = true
				remaining := h.delay(p.links(n)) - w.age
				h.wg.Go(func() { p.openDelayed(ctx, w.addrPair, n, remaining) })
			}
		}
	}
}

// anyFilterDropped reports whether a filter has dropped a packet since the last call.
func (h *HandshakeDelay) anyFilterDropped() bool {
	changed := false
	for p := range h.callersByPort {
		if n := p.dropCount(); n != h.lastDropCount[p] {
			h.lastDropCount[p], changed = n, true
		}
	}
	return changed
}

// dropCount returns the number of packets that the listening socket has dropped, or 0 without a listener.
func (p *Port) dropCount() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return 0
	}
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return 0
	}
	var info [memInfoDrops + 1]uint32
	_ = raw.Control(func(fd uintptr) { // fails on a closed socket: the count is then 0
		size := uint32(len(info) * 4)
		_, _, _ = unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	return info[memInfoDrops]
}

// memInfoDrops is SK_MEMINFO_DROPS of linux/sock_diag.h, the index of the drop count in the result of SO_MEMINFO.
const memInfoDrops = 8

// portOf returns the port and the caller that a destination address belongs to; nil if the fault does not apply to it.
func (h *HandshakeDelay) portOf(to netip.AddrPort) (*Port, int) {
	n, ok := callerOf(to.Addr())
	if !ok {
		return nil, 0
	}
	for p, callers := range h.callersByPort {
		if p.portNumber() == int(to.Port()) && slices.Contains(callers, n) {
			return p, n
		}
	}
	return nil, 0
}

// portNumber returns the TCP port, or 0 before the first listen.
func (p *Port) portNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.port
}

// openDelayed waits, then opens a pending connection by dialling the caller from the called address, and serves it. If
// the caller has closed its socket, its kernel resets the dial.
func (p *Port) openDelayed(ctx context.Context, w addrPair, caller int, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
	}
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	if l == nil { // the party is down: the kernel resets the retransmitted SYN
		return
	}
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(w.to), Timeout: time.Second, KeepAlive: -1, Control: allowAddrReuse}
	d.SetMultipathTCP(false)
	c, err := d.DialContext(ctx, "tcp4", w.from.String())
	if err != nil {
		return
	}
	p.serveConn(l, c.(*net.TCPConn), caller)
}

// allowAddrReuse allows a socket to be bound to the address of a listener.
func allowAddrReuse(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	})
	return errors.Join(err, sockErr)
}

// The filter hashes source ports to 16 bits by a multiplication and drops packets whose hash is below the fraction.
const (
	portMultiplier = 40503 // multiplier of the hash: odd, near 2^16 over the golden ratio
	portSpace      = 1 << 16
)

// portDropped reports whether the filter drops packets from this source port.
func portDropped(port uint16, fraction float64) bool {
	return uint32(port)*portMultiplier%portSpace < uint32(fraction*portSpace)
}

// fractionFilter returns the instructions that drop a fraction of one caller's packets. They expect the address in the
// accumulator. For a packet of this caller they return the verdict, for others they fall through.
func fractionFilter(addr uint32, fraction float64) []unix.SockFilter {
	return []unix.SockFilter{
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 6, K: addr},
		{Code: unix.BPF_LD | unix.BPF_H | unix.BPF_ABS, K: networkHeader + sourcePortOffset},
		{Code: unix.BPF_ALU | unix.BPF_MUL | unix.BPF_K, K: portMultiplier},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: portSpace - 1},
		{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, Jt: 1, K: uint32(fraction * portSpace)},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptedBytes},
	}
}

// sourcePortOffset is the offset of the TCP source port after an IPv4 header without options.
const sourcePortOffset = 20

// setDelayed sets the callers with delayed handshakes and the fraction of their handshakes that is delayed.
func (p *Port) setDelayed(callers []int, fraction float64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayed, p.delayedFraction = callers, fraction
	return p.applyFilter()
}

// addrPair is the source and the destination address of a connection.
type addrPair struct{ from, to netip.AddrPort }

// pendingConn is a connection whose handshake is not complete.
type pendingConn struct {
	addrPair
	age time.Duration // time since the first SYN of the connection
}

// synRetransmitTimeout is the kernel's first SYN retransmission timeout (RFC 6298, 2.1). The age of the first SYN is
// derived from the time until the retransmission.
const (
	synRetransmitTimeout = time.Second
	kernelTick           = 10 * time.Millisecond // resolution of the retransmission timer
)

// Sizes and field offsets, in bytes, of the kernel's inet_diag_req_v2 and inet_diag_msg; the state TCP_SYN_SENT; and
// the size of the receive buffer.
const (
	diagRequestSize       = 56
	diagResponseSize      = 72
	diagRetriesOffset     = 3
	diagPortsOffset       = 4
	diagSourceOffset      = 8
	diagDestinationOffset = 24
	diagTimerOffset       = 52
	tcpSynSent            = 2
	netlinkBufferSize     = 64 << 10
)

// pendingConns queries the kernel for all IPv4 connections in SYN_SENT.
func pendingConns() ([]pendingConn, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, fmt.Errorf("relay: query pending connections: open netlink socket: %w", err)
	}
	defer unix.Close(fd)
	req := make([]byte, unix.NLMSG_HDRLEN+diagRequestSize)
	binary.NativeEndian.PutUint32(req, uint32(len(req)))
	binary.NativeEndian.PutUint16(req[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(req[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := req[unix.NLMSG_HDRLEN:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], 1<<tcpSynSent)
	if err := unix.Sendto(fd, req, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("relay: query pending connections: send request: %w", err)
	}
	var conns []pendingConn
	buf := make([]byte, netlinkBufferSize)
	for {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if err != nil {
			return nil, fmt.Errorf("relay: query pending connections: receive response: %w", err)
		}
		messages, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			return nil, fmt.Errorf("relay: query pending connections: parse response: %w", err)
		}
		for _, m := range messages {
			switch {
			case m.Header.Type == unix.NLMSG_DONE:
				return conns, nil
			case m.Header.Type == unix.NLMSG_ERROR:
				return nil, errors.New("relay: query pending connections: netlink returned an error message")
			case len(m.Data) < diagResponseSize:
				continue
			}
			addr := func(at, port int) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte(m.Data[at:at+4])), binary.BigEndian.Uint16(m.Data[port:]))
			}
			w := pendingConn{addrPair: addrPair{addr(diagSourceOffset, diagPortsOffset), addr(diagDestinationOffset, diagPortsOffset+2)}, age: synRetransmitTimeout - kernelTick}
			if m.Data[diagRetriesOffset] == 0 {
				untilRetransmit := time.Duration(binary.NativeEndian.Uint32(m.Data[diagTimerOffset:])) * time.Millisecond
				w.age = max(synRetransmitTimeout-untilRetransmit-kernelTick, 0)
			}
			conns = append(conns, w)
		}
	}
}
