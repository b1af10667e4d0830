package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"marblelane/internal/lab/relay"
)

// FreeSidecarAddr finds a port on the loopback address of a sidecar's clients.
func FreeSidecarAddr(sidecar int) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 32+sidecar>>16, sidecar>>8&255, sidecar&255)
	addr, err := relay.FreeAddr(host)
	if err != nil {
		return "", fmt.Errorf("lab: no address for sidecar %d: %w", sidecar, err)
	}
	return addr, nil
}

// ReserveAddr finds an unused port of a host and keeps it until Close, so that no other run takes it before the process
// listens there, or while the process is down. It is not for concurrent use.
func (r *Run) ReserveAddr(host string) (string, error) {
	reservation, err := relay.Reserve(host)
	if err != nil {
		return "", err
	}
	r.reservations = append(r.reservations, reservation)
	return reservation.Addr(), nil
}

// The ports of members lie below those at which relays listen on all addresses, as one of those could take a port before
// the process binds it.
const (
	minMemberPort      = 2048
	memberPortRange    = 8192
	memberPortAttempts = 64
)

// FreeMemberAddr finds a port on a loopback address that is free for connections and packets.
func FreeMemberAddr(host string) (string, error) {
	var lastErr error
	for range memberPortAttempts {
		addr := net.JoinHostPort(host, strconv.Itoa(minMemberPort+rand.IntN(memberPortRange)))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			lastErr = err
			continue
		}
		c, err := net.ListenPacket("udp4", addr)
		if l.Close(); err == nil {
			return addr, c.Close()
		}
		lastErr = err
	}
	return "", fmt.Errorf("lab: no address: %w", lastErr)
}

// Host is the host of an address that has a port.
func Host(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}
