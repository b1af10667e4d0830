package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// dialTimeout is the timeout of a connection to the upstream.
const dialTimeout = time.Second

// Forward opens a port that proxies connections to target, so that faults can be injected in front of a real
// program. While a link is cut, the upstream is not dialled.
func Forward(links func(caller int) *Link, target func() string) (*Port, error) {
	return openPort(&Port{links: links, serve: proxyTo(target)})
}

// ForwardBySource is like Forward, for callers that all dial the same address, as the members of a cluster do. The
// source address identifies the caller: it must call from [CallerAddr] of its number.
func ForwardBySource(links func(caller int) *Link, target func() string) (*Port, error) {
	return openPort(&Port{links: links, serve: proxyTo(target), bySource: true})
}

// proxyTo returns a function that serves a connection by copying it to and from the target.
func proxyTo(target func() string) func(*Conn) {
	return func(c *Conn) {
		if c.waitWhileCut(To) != nil {
			return
		}
		upstream, err := net.DialTimeout("tcp4", target(), dialTimeout)
		if err != nil {
			c.Reset() // as if the upstream itself had rejected the connection
			return
		}
		defer upstream.Close()
		var responses sync.WaitGroup
		responses.Go(func() {
			_, err := c.ReadFrom(upstream)
			if err == nil {
				err = c.CloseWrite()
			}
			if err != nil {
				c.Reset() // unblocks the copy to the upstream
			}
		})
		_, err = c.WriteTo(upstream)
		if err == nil {
			err = upstream.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			_ = upstream.(*net.TCPConn).SetLinger(0)
			upstream.Close()
		}
		responses.Wait()
	}
}

// PacketProxy proxies UDP packets to one upstream, from any number of senders, each identified by its source address.
// The proxy uses one socket per sender towards the upstream, and responses return through it.
type PacketProxy struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	link     func(from *net.UDPAddr) *PacketLink

	mu        sync.Mutex
	upstreams map[string]*net.UDPConn // upstream socket by sender address
	closed    bool
	wg        sync.WaitGroup
}

// maxPacketBytes is the largest UDP payload over IPv4, in bytes.
const maxPacketBytes = 65507

// PacketLink applies PacketRules to the packets of one sender. The zero value delivers every packet immediately.
type PacketLink struct {
	mu    sync.Mutex
	rules PacketRules
	rng   *rand.Rand
}

// PacketRules are the faults of a packet link.
type PacketRules struct {
	PacketLoss float64       // fraction of packets dropped in each direction, 0 to 1
	Cut        Direction     // directions in which every packet is dropped
	Latency    time.Duration // one-way delay of each packet
	Jitter     float64       // each delay is drawn from Latency x (1 +- Jitter)
	Duplicate  float64       // fraction of packets delivered twice, 0 to 1
}

// NewPacketLink returns a link for packets. Loss, duplication and jitter are drawn from seed.
func NewPacketLink(r PacketRules, seed uint64) *PacketLink {
	return &PacketLink{rules: r, rng: rand.New(rand.NewPCG(seed, 0x7061636b))}
}

// Set changes the rules.
func (p *PacketLink) Set(change func(*PacketRules)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.rules)
}

// drawDelivery draws how many times a packet is delivered (0 if it is lost) and after which delay.
func (p *PacketLink) drawDelivery(way Direction) (copies int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rules.Cut&way != 0 || p.rules.PacketLoss > 0 && p.rng.Float64() < p.rules.PacketLoss {
		return 0, 0
	}
	copies, delay = 1, p.rules.Latency
	if p.rules.Duplicate > 0 && p.rng.Float64() < p.rules.Duplicate {
		copies = 2
	}
	if delay > 0 && p.rules.Jitter > 0 {
		delay = time.Duration(float64(delay) * (1 + p.rules.Jitter*(2*p.rng.Float64()-1)))
	}
	return copies, delay
}

// ForwardPackets listens for packets on a loopback address and proxies them to target. With port 0, the system chooses
// the port. If link returns nil, the packets pass without faults.
func ForwardPackets(listen, target string, link func(from *net.UDPAddr) *PacketLink) (*PacketProxy, error) {
	at, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: resolve listen address: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, fmt.Errorf("relay: resolve target address: %w", err)
	}
	if !at.IP.IsLoopback() || !to.IP.IsLoopback() {
		return nil, fmt.Errorf("relay: proxy packets from %s to %s: both must be loopback addresses", listen, target)
	}
	in, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("relay: listen for packets: %w", err)
	}
	d := &PacketProxy{listener: in, target: to, link: link, upstreams: map[string]*net.UDPConn{}}
	d.wg.Go(func() {
		d.receive(in, func(from *net.UDPAddr, packet []byte) {
			out, err := d.upstream(from)
			if err != nil {
				return // no upstream socket: the packet is lost
			}
			d.deliver(link(from), To, packet, func(b []byte) { _, _ = out.Write(b) })
		})
	})
	return d, nil
}

// Addr returns the address that senders use.
func (d *PacketProxy) Addr() string { return d.listener.LocalAddr().String() }

// Close closes all sockets and waits for the goroutines that read them.
func (d *PacketProxy) Close() {
	d.mu.Lock()
	d.closed = true
	for _, c := range d.upstreams {
		c.Close()
	}
	d.mu.Unlock()
	d.listener.Close()
	d.wg.Wait()
}

// receive calls f with each packet until the socket is closed.
func (d *PacketProxy) receive(c *net.UDPConn, f func(from *net.UDPAddr, packet []byte)) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier packet is reported here
		}
		f(from, append([]byte(nil), buf[:n]...))
	}
}

// upstream returns the upstream socket of a sender, opened on its first packet.
func (d *PacketProxy) upstream(from *net.UDPAddr) (*net.UDPConn, error) {
	key := from.String()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, net.ErrClosed
	}
	if c := d.upstreams[key]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp4", nil, d.target)
	if err != nil {
		return nil, err
	}
	d.upstreams[key] = c
	d.wg.Go(func() {
		d.receive(c, func(_ *net.UDPAddr, packet []byte) {
			d.deliver(d.link(from), From, packet, func(b []byte) { _, _ = d.listener.WriteToUDP(b, from) })
		})
	})
	return c, nil
}

// deliver writes a packet, dropped, duplicated or delayed by the rules of its link. Without a link, it writes it at
// once.
func (d *PacketProxy) deliver(p *PacketLink, way Direction, packet []byte, write func([]byte)) {
	if p == nil {
		write(packet)
		return
	}
	copies, delay := p.drawDelivery(way)
	if copies == 0 {
		return
	}
	writeAll := func() {
		for range copies {
			write(packet)
		}
	}
	if delay <= 0 {
		writeAll()
		return
	}
	time.AfterFunc(delay, writeAll) // a packet still delayed when the proxy closes is lost
}
