package membership

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// instanceTransport is the transport of one instance of the library, backed by that of the group. Shutdown closes no
// sockets, as the next instance of this process uses them under its new name.
type instanceTransport struct {
	memberlist.NodeAwareTransport
	closed atomic.Bool
}

// WriteTo sends a packet.
func (t *instanceTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet.
func (t *instanceTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if t.closed.Load() {
		return time.Time{}, net.ErrClosed
	}
	return t.NodeAwareTransport.WriteToAddress(b, a)
}

// DialTimeout opens a stream.
func (t *instanceTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a stream.
func (t *instanceTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.closed.Load() {
		return nil, net.ErrClosed
	}
	return t.NodeAwareTransport.DialAddressTimeout(a, timeout)
}

// Shutdown makes all later sends and dials fail with net.ErrClosed.
func (t *instanceTransport) Shutdown() error {
	t.closed.Store(true)
	return nil
}
