package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Parties of a run listen on ports below the ephemeral range. An outgoing connection could take a port of that range
// between the search for a free port and its use, or while a party is restarting.
const (
	lowestPort   = 10240
	minPortRange = 1000 // a smaller range below the ephemeral ports is not used
	portAttempts = 100
)

// listenOnFreePort calls listen with random ports until one is free, and after portAttempts with 0: chosen by the system.
func listenOnFreePort(listen func(port int) error) error {
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

// FreeAddr finds an unused port of a host outside the range of outgoing connections. Another run may take it before the
// caller listens on it; see Reserve.
func FreeAddr(host string) (string, error) {
	r, err := Reserve(host)
	if err != nil {
		return "", err
	}
	return r.Addr(), r.Release()
}

// Reservation keeps a port of a host for a process that listens on it later, and again after each of its restarts. It is
// a socket that is bound and never listens: the process may bind the address too, with SO_REUSEADDR, which Go sets for
// every listener, while a search for a free port finds it taken.
type Reservation struct {
	addr   string
	socket int
}

// Reserve finds an unused port of a host outside the range of outgoing connections and keeps it until Release.
func Reserve(host string) (*Reservation, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() {
		return nil, fmt.Errorf("relay: %q is no IPv4 address", host)
	}
	var r *Reservation
	err = listenOnFreePort(func(port int) (failed error) {
		r, failed = reserve(ip, port)
		return failed
	})
	if err != nil {
		return nil, fmt.Errorf("relay: no address on %s: %w", host, err)
	}
	return r, nil
}

// Addr is the reserved address.
func (r *Reservation) Addr() string { return r.addr }

// Release gives the address up.
func (r *Reservation) Release() error {
	if err := unix.Close(r.socket); err != nil {
		return fmt.Errorf("relay: release %s: %w", r.addr, err)
	}
	return nil
}

func reserve(ip netip.Addr, port int) (*Reservation, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	if err := bindExclusively(socket, ip, port); err != nil {
		return nil, errors.Join(err, unix.Close(socket))
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("getsockname: %w", err), unix.Close(socket))
	}
	addr := netip.AddrPortFrom(ip, uint16(bound.(*unix.SockaddrInet4).Port))
	return &Reservation{addr: addr.String(), socket: socket}, nil
}

// bindExclusively binds a socket to an address that no other socket is bound to, and lets others bind it from then on.
func bindExclusively(socket int, ip netip.Addr, port int) error {
	if err := unix.Bind(socket, &unix.SockaddrInet4{Port: port, Addr: ip.As4()}); err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("setsockopt SO_REUSEADDR: %w", err)
	}
	return nil
}
