package netcall

import (
	"net"
	"os"

	"marblelane/internal/fault"
)

// faultyListener fails as planned before it accepts.
type faultyListener struct {
	net.Listener
	faults *fault.Plan
}

// WithFaults makes a listener's accepts fail as planned; without a plan it returns the listener itself.
func WithFaults(l net.Listener, faults *fault.Plan) net.Listener {
	if faults == nil {
		return l
	}
	return faultyListener{Listener: l, faults: faults}
}

// Accept returns the planned failure, or the next connection.
func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.faults.Call(fault.CallAccept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
	}
	return l.Listener.Accept()
}

// ReadFile reads a file, or fails as planned when it is opened.
func ReadFile(path string, faults *fault.Plan) ([]byte, error) {
	if err := faults.Call(fault.CallOpen); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}
