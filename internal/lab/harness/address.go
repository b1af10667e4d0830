package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"marblelane/internal/lab/relay"
)

// FreeSidecarAddr returns an address with a free port at which a sidecar can listen. Each sidecar has a loopback IP
// address of its own.
func FreeSidecarAddr(sidecar int) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 32+sidecar>>16, sidecar>>8&255, sidecar&255)
	addr, err := relay.FreeAddr(host)
	if err != nil {
		return "", fmt.Errorf("lab: find address for sidecar %d: %w", sidecar, err)
	}
	return addr, nil
}

// ReserveAddr reserves an unused port of a host until Close and returns its address. No other run can take the port
// before the process listens at it, or while the process is down. It must not be called concurrently.
func (r *Run) ReserveAddr(host string) (string, error) {
	reservation, err := relay.Reserve(host)
	if err != nil {
		return "", err
	}
	r.reservations = append(r.reservations, reservation)
	return reservation.Addr(), nil
}

// Member ports are below the ports at which relays listen on all addresses. Otherwise a relay could take a member's
// port before the process binds it.
const (
	minMemberPort      = 2048
	memberPortRange    = 8192
	memberPortAttempts = 64
)

// FreeMemberAddr returns an address of a loopback host with a port that is free for both TCP and UDP.
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
	return "", fmt.Errorf("lab: find member address: %w", lastErr)
}

// Host returns the host of an address of the form host:port, or an empty string if the address is invalid.
func Host(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}
