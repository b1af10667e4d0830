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

// Parties of a run listen on ports below the ephemeral range. An outgoing connection could take a port of the ephemeral
// range between the search for a free port and its use, or while a party restarts.
const (
	lowestPort   = 10240 // lowest port that parties use
	minPortRange = 1000  // minimum number of ports below the ephemeral range; a smaller range is not used
	portAttempts = 100   // number of random ports that are tried
)

// listenOnFreePort calls listen with random ports until one is free. After portAttempts ports in use, it calls listen
// with port 0, so that the system chooses the port.
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

// firstEphemeralPort returns the lowest port that the system assigns to outgoing connections, or 0 if it is unknown.
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

// FreeAddr returns an address of a host with an unused port below the ephemeral range, if there is one. Another run may
// take the port before the caller listens on it; Reserve prevents that.
func FreeAddr(host string) (string, error) {
	r, err := Reserve(host)
	if err != nil {
		return "", err
	}
	return r.Addr(), r.Release()
}

// Reservation reserves a port of a host for a process that listens on it later, and again after each of its restarts.
// It is a socket that is bound and never listens. The process can bind the address too, as Go sets SO_REUSEADDR for
// every listener, while a search for a free port finds the port in use.
type Reservation struct {
	addr   string
	socket int
}

// Reserve finds an unused port of a host, below the ephemeral range if there is one, and reserves it until Release.
func Reserve(host string) (*Reservation, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() {
		return nil, fmt.Errorf("relay: reserve a port: %q is not an IPv4 address", host)
	}
	var r *Reservation
	err = listenOnFreePort(func(port int) (failed error) {
		r, failed = reserve(ip, port)
		return failed
	})
	if err != nil {
		return nil, fmt.Errorf("relay: reserve a port on %s: %w", host, err)
	}
	return r, nil
}

// Addr returns the reserved address.
func (r *Reservation) Addr() string { return r.addr }

// Release ends the reservation.
func (r *Reservation) Release() error {
	if err := unix.Close(r.socket); err != nil {
		return fmt.Errorf("relay: release reservation of %s: %w", r.addr, err)
	}
	return nil
}

// reserve reserves a port of an address; port 0 means any.
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
