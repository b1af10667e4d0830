package gossip

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	packetQueueSize = 1024                   // maximum packets queued at a port; more are dropped as by a socket buffer
	backlog         = 128                    // maximum streams not yet accepted; a dial beyond it is retried
	firstDialRetry  = time.Second            // delay before the first retry of a lost dial; doubles each time
	firstRetransmit = 200 * time.Millisecond // delay of the first retransmission on a stream; doubles each time
)

// Counts holds the traffic counters of a port. Bytes are the payload of packets and streams, without lower-layer
// headers.
type Counts struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
	LostPackets                    uint64 // sent packets lost on the network
	OverflowPackets                uint64 // incoming packets dropped because the queue was full
	Streams                        uint64 // streams that the port opened
	RejectedDials                  uint64 // dials of the port that were refused
}

// counters holds the values of Counts for concurrent updates.
type counters struct {
	sentPackets, sentBytes, receivedPackets, receivedBytes, lost, overflow, streams, rejected atomic.Uint64
}

// Port is the memberlist transport of one member.
type Port struct {
	net     *Network
	addr    netip.AddrPort
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	counts  counters

	mu          sync.Mutex
	rng         *rand.Rand
	openStreams map[*Stream]struct{}
	closed      bool
}

var _ memberlist.NodeAwareTransport = (*Port)(nil)

// Addr returns the address of the port.
func (p *Port) Addr() netip.AddrPort { return p.addr }

// Counts returns the traffic counters so far.
func (p *Port) Counts() Counts {
	c := &p.counts
	return Counts{SentPackets: c.sentPackets.Load(), SentBytes: c.sentBytes.Load(),
		ReceivedPackets: c.receivedPackets.Load(), ReceivedBytes: c.receivedBytes.Load(), LostPackets: c.lost.Load(),
		OverflowPackets: c.overflow.Load(), Streams: c.streams.Load(), RejectedDials: c.rejected.Load()}
}

// FinalAdvertiseAddr returns the address of the port and ignores the configured address.
func (p *Port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return p.addr.Addr().AsSlice(), int(p.addr.Port()), nil
}

// PacketCh returns the channel of received packets.
func (p *Port) PacketCh() <-chan *memberlist.Packet { return p.packets }

// StreamCh returns the channel of streams that other ports opened.
func (p *Port) StreamCh() <-chan net.Conn { return p.streams }

// sampleDelivery samples whether a packet is lost and its delay otherwise.
func (p *Port) sampleDelivery(r Rules) (lost bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.rng.Float64() < r.Loss
	if delay = r.Delay; r.Jitter > 0 {
		delay += time.Duration(p.rng.Int64N(int64(r.Jitter)))
	}
	return lost || r.Cut, delay
}

// WriteTo sends a packet. A lost packet is not an error.
func (p *Port) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return now, err
	}
	select {
	case <-p.done:
		return now, net.ErrClosed
	default:
	}
	p.counts.sentPackets.Add(1)
	p.counts.sentBytes.Add(uint64(len(b)))
	rules, receiver, _ := p.net.lookup(p.addr, to)
	lost, delay := p.sampleDelivery(rules)
	if lost || receiver == nil {
		p.counts.lost.Add(1)
		return now, nil
	}
	packet := &memberlist.Packet{Buf: bytes.Clone(b), From: net.UDPAddrFromAddrPort(p.addr)}
	if delay == 0 {
		receiver.receive(packet)
	} else {
		time.AfterFunc(delay, func() { receiver.receive(packet) })
	}
	return now, nil
}

// receive queues an incoming packet, or drops it if the queue is full.
func (p *Port) receive(packet *memberlist.Packet) {
	select {
	case <-p.done:
		return
	default:
	}
	size := uint64(len(packet.Buf)) // read before the receiver owns the buffer
	packet.Timestamp = time.Now()
	select {
	case p.packets <- packet:
		p.counts.receivedPackets.Add(1)
		p.counts.receivedBytes.Add(size)
	default:
		p.counts.overflow.Add(1)
	}
}

// WriteToAddress sends a packet.
func (p *Port) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return p.WriteTo(b, a.Addr)
}

// DialAddressTimeout opens a stream.
func (p *Port) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return p.DialTimeout(a.Addr, timeout)
}

// DialTimeout opens a stream. Lost dials are retried until the timeout. A dial to an address without a port fails with
// ECONNREFUSED if neither direction is cut.
func (p *Port) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fail := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Source: net.TCPAddrFromAddrPort(p.addr),
			Addr: net.TCPAddrFromAddrPort(to), Err: err}
	}
	if timeout <= 0 {
		return nil, fail(os.ErrDeadlineExceeded)
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	wait := func(d time.Duration) error {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return nil
		case <-deadline.C:
			return fail(os.ErrDeadlineExceeded)
		case <-p.done:
			return fail(net.ErrClosed)
		}
	}
	for retry := firstDialRetry; ; retry *= 2 {
		rules, listener, _ := p.net.lookup(p.addr, to)
		backRules, _, _ := p.net.lookup(to, p.addr)
		lost, delay := p.sampleDelivery(rules)
		lostBack, delayBack := p.sampleDelivery(backRules)
		if lost || lostBack {
			if err := wait(retry); err != nil {
				return nil, err
			}
			continue
		}
		if err := wait(delay + delayBack); err != nil {
			return nil, err
		}
		if listener == nil || rules.RejectDials {
			p.counts.rejected.Add(1)
			return nil, fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
		}
		stream, err := p.openStream(listener)
		if err != nil {
			return nil, fail(err)
		}
		if stream != nil {
			return stream, nil
		}
		if err := wait(retry); err != nil { // the backlog is full
			return nil, err
		}
	}
}

// Shutdown closes the port and resets its streams. Its address refuses connections afterwards.
func (p *Port) Shutdown() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.done)
	streams := p.openStreams
	p.openStreams = nil
	p.mu.Unlock()
	p.net.remove(p)
	for s := range streams {
		s.reset()
	}
	return nil
}
