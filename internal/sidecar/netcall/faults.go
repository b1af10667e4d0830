package netcall

import (
	"net"
	"os"

	"marblelane/internal/fault"
)

// faultyListener returns the planned failures from Accept.
type faultyListener struct {
	net.Listener
	faults *fault.Injector
}

// WithFaults returns a listener whose Accept fails as planned. Without a plan it returns the listener itself.
func WithFaults(l net.Listener, faults *fault.Injector) net.Listener {
	if faults == nil {
		return l
	}
	return faultyListener{Listener: l, faults: faults}
}

// Accept returns the planned failure, or the next connection.
func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.faults.CallError(fault.CallAccept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
	}
	return l.Listener.Accept()
}

// ReadFile reads a file. Opening it fails if the plan says so.
func ReadFile(path string, faults *fault.Injector) ([]byte, error) {
	if err := faults.CallError(fault.CallOpen); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}
