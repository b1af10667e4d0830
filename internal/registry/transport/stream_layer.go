package transport

// This file opens and accepts raft's connections between the replicas.

import (
	"errors"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/listener"
)

// StreamLayer carries raft over TCP. It dials from the IP address on which it listens, so that a firewall can
// distinguish the replicas.
type StreamLayer struct {
	net.Listener
	advertised net.Addr
	from       *net.TCPAddr
}

// Listen opens raft's listener. Other replicas reach it at advertised or, if that is empty, at the listen address.
func Listen(listen, advertised string) (*StreamLayer, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	out := &StreamLayer{Listener: listener.Wrap(l, "raft", nil), advertised: l.Addr()}
	at := l.Addr().(*net.TCPAddr)
	if !at.IP.IsUnspecified() {
		out.from = &net.TCPAddr{IP: at.IP}
	} else if advertised == "" {
		return nil, errors.Join(
			errors.New("the listen address is for all interfaces: list this replica with its address among the peers"),
			l.Close())
	}
	if advertised != "" {
		if out.advertised, err = net.ResolveTCPAddr("tcp", advertised); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return out, nil
}

// Addr returns the address at which other replicas reach this one.
func (l *StreamLayer) Addr() net.Addr { return l.advertised }

// Dial connects to another replica.
func (l *StreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if l.from != nil {
		d.LocalAddr = l.from
	}
	return d.Dial("tcp", string(address))
}
