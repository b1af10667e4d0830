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

const dialWait = time.Second

// Forward opens a port that passes connections on to a program elsewhere: the way to put faults before a party
// that is no stand-in. While a link is cut, nobody is dialled.
func Forward(links func(caller int) *Link, target func() string) (*Port, error) {
	return open(&Port{links: links, serve: forward(target)})
}

// ForwardBySource does so for callers that all know the party by one address, as the copies of a cluster do: each is
// told apart by the address it calls from, [SourceAddr] of its number.
func ForwardBySource(links func(caller int) *Link, target func() string) (*Port, error) {
	return open(&Port{links: links, serve: forward(target), bySource: true})
}

func forward(target func() string) func(*Conn) {
	return func(c *Conn) {
		if c.pass(To) != nil {
			return
		}
		far, err := net.DialTimeout("tcp4", target(), dialWait)
		if err != nil {
			c.Reset() // as if the program itself had refused
			return
		}
		defer far.Close()
		var back sync.WaitGroup
		back.Go(func() {
			_, err := c.ReadFrom(far)
			if err == nil {
				err = c.CloseWrite()
			}
			if err != nil {
				c.Reset() // wakes the other way
			}
		})
		_, err = c.WriteTo(far)
		if err == nil {
			err = far.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			_ = far.(*net.TCPConn).SetLinger(0)
			far.Close()
		}
		back.Wait()
	}
}

// Datagrams passes UDP packets on to one program, from any number of senders, who are told apart by the address
// they send from. The program sees each sender at an address of the relay's, and answers pass back the same way.
type Datagrams struct {
	in     *net.UDPConn
	target *net.UDPAddr
	link   func(from *net.UDPAddr) *Packets

	mu     sync.Mutex
	back   map[string]*net.UDPConn // by sender: where its answers come
	closed bool
	wg     sync.WaitGroup
}

// maxPacket is the largest UDP payload over IPv4.
const maxPacket = 65507

// Packets is what happens to the packets of one sender. The zero value passes all at once.
type Packets struct {
	mu  sync.Mutex
	r   PacketRules
	rng *rand.Rand
}

// PacketRules is what a link does to packets.
type PacketRules struct {
	Lose      float64 // share of packets each way
	Cut       Way     // passes nothing this way
	Latency   time.Duration
	Jitter    float64
	Duplicate float64 // share of packets that come twice
}

// NewPackets makes a link for packets; what is lost is drawn from seed.
func NewPackets(r PacketRules, seed uint64) *Packets {
	return &Packets{r: r, rng: rand.New(rand.NewPCG(seed, 0x7061636b))}
}

// Set changes the rules.
func (p *Packets) Set(change func(*PacketRules)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.r)
}

// fate draws how many times a packet comes and after how long.
func (p *Packets) fate(way Way) (times int, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.r.Cut&way != 0 || p.r.Lose > 0 && p.rng.Float64() < p.r.Lose {
		return 0, 0
	}
	times, after = 1, p.r.Latency
	if p.r.Duplicate > 0 && p.rng.Float64() < p.r.Duplicate {
		times = 2
	}
	if after > 0 && p.r.Jitter > 0 {
		after = time.Duration(float64(after) * (1 + p.r.Jitter*(2*p.rng.Float64()-1)))
	}
	return times, after
}

// ForwardPackets listens for packets on a loopback address (port 0: the system's choice) and passes them on.
func ForwardPackets(listen, target string, link func(from *net.UDPAddr) *Packets) (*Datagrams, error) {
	at, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if !at.IP.IsLoopback() || !to.IP.IsLoopback() {
		return nil, fmt.Errorf("relay: %s and %s are not both loopback addresses", listen, target)
	}
	in, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	d := &Datagrams{in: in, target: to, link: link, back: map[string]*net.UDPConn{}}
	d.wg.Go(func() {
		d.carry(in, func(from *net.UDPAddr, packet []byte) {
			out, err := d.out(from)
			if err != nil {
				return // no socket for it: lost, as packets are
			}
			d.send(link(from), To, packet, func(b []byte) { _, _ = out.Write(b) })
		})
	})
	return d, nil
}

// Addr is where senders send.
func (d *Datagrams) Addr() string { return d.in.LocalAddr().String() }

// Close ends it.
func (d *Datagrams) Close() {
	d.mu.Lock()
	d.closed = true
	for _, c := range d.back {
		c.Close()
	}
	d.mu.Unlock()
	d.in.Close()
	d.wg.Wait()
}

// carry hands on each packet until the socket is closed.
func (d *Datagrams) carry(c *net.UDPConn, f func(from *net.UDPAddr, packet []byte)) {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			continue // a refusal of an earlier packet is reported here
		}
		f(from, append([]byte(nil), buf[:n]...))
	}
}

// out is the socket for what a sender sends.
func (d *Datagrams) out(from *net.UDPAddr) (*net.UDPConn, error) {
	key := from.String()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, net.ErrClosed
	}
	if c := d.back[key]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp4", nil, d.target)
	if err != nil {
		return nil, err
	}
	d.back[key] = c
	d.wg.Go(func() {
		d.carry(c, func(_ *net.UDPAddr, packet []byte) {
			d.send(d.link(from), From, packet, func(b []byte) { _, _ = d.in.WriteToUDP(b, from) })
		})
	})
	return c, nil
}

// send lets a packet come as the link has it.
func (d *Datagrams) send(p *Packets, way Way, packet []byte, write func([]byte)) {
	if p == nil {
		write(packet)
		return
	}
	times, after := p.fate(way)
	if times == 0 {
		return
	}
	all := func() {
		for range times {
			write(packet)
		}
	}
	if after <= 0 {
		all()
		return
	}
	time.AfterFunc(after, all) // what is late when the relay closes finds closed sockets
}
