package sidecar

import (
	"net"
	"os"

	"marblelane/internal/fault"
)

// plantedListener fails as the lab has planned before it accepts.
type plantedListener struct {
	net.Listener
	faults *fault.Plan
}

// plant makes a listener's accepts fail as planned; without a plan it stays as it is.
func plant(l net.Listener, faults *fault.Plan) net.Listener {
	if faults == nil {
		return l
	}
	return plantedListener{Listener: l, faults: faults}
}

// Accept gives the planned failure, or the next connection.
func (l plantedListener) Accept() (net.Conn, error) {
	if err := l.faults.Call(fault.CallAccept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
	}
	return l.Listener.Accept()
}

// plantedRead reads a file, or fails at its opening as planned.
func plantedRead(path string, faults *fault.Plan) ([]byte, error) {
	if err := faults.Call(fault.CallOpen); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}
