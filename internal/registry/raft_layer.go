package registry

// This file carries raft's connections between the replicas.

import (
	"errors"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/listener"
)

// layer carries raft over TCP. It calls from the address it listens at, so that a firewall can tell the replicas apart.
type layer struct {
	net.Listener
	advertised net.Addr
	from       *net.TCPAddr
}

func listenRaft(listen, advertised string) (*layer, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	out := &layer{Listener: listener.Wrap(l, "raft", nil), advertised: l.Addr()}
	at := l.Addr().(*net.TCPAddr)
	if !at.IP.IsUnspecified() {
		out.from = &net.TCPAddr{IP: at.IP}
	} else if advertised == "" {
		return nil, errors.Join(errors.New("other copies need an address, not one for all interfaces: name this copy among the peers"), l.Close())
	}
	if advertised != "" {
		if out.advertised, err = net.ResolveTCPAddr("tcp", advertised); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return out, nil
}

// Addr is where other replicas reach this one.
func (l *layer) Addr() net.Addr { return l.advertised }

// Dial calls another replica.
func (l *layer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if l.from != nil {
		d.LocalAddr = l.from
	}
	return d.Dial("tcp", string(address))
}

// advertised is where the other replicas reach this one: as the peers have it, or where it listens.
func (c *Config) advertised() string {
	if c.Advertise != "" {
		return c.Advertise
	}
	for _, p := range c.Peers {
		if p.Name == c.Name {
			return p.Raft
		}
	}
	return ""
}
