package sidecar

import (
	"net"

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
