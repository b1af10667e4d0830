package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"
)

// Parties of a run listen on ports below the ephemeral range. An outgoing connection could take a port of that range
// between the search for a free port and its use, or while a party is restarting.
const (
	lowestPort   = 10240
	minPortRange = 1000 // a smaller range below the ephemeral ports is not used
	portAttempts = 100
)

// anyPort calls listen with random ports until one is free, and after portAttempts with 0: chosen by the system.
func anyPort(listen func(port int) error) error {
	if span := firstEphemeralPort() - lowestPort; span >= minPortRange {
		for range portAttempts {
			err := listen(lowestPort + rand.IntN(span))
			if !errors.Is(err, syscall.EADDRINUSE) {
				return err
			}
		}
	}
	return listen(0)
}

// firstEphemeralPort is the lowest port that the system assigns to outgoing connections; 0: unknown.
func firstEphemeralPort() int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0
	}
	low := 0
	if _, err := fmt.Sscan(string(text), &low); err != nil {
		return 0
	}
	return low
}

// FreeAddr finds an unused port of a host outside the range of outgoing connections.
func FreeAddr(host string) (string, error) {
	addr := ""
	err := anyPort(func(port int) error {
		l, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			return err
		}
		addr = l.Addr().String()
		return l.Close()
	})
	if err != nil {
		return "", fmt.Errorf("relay: no address on %s: %w", host, err)
	}
	return addr, nil
}
