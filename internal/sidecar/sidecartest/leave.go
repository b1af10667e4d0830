package sidecartest

import (
	"net"
	"time"
)

// SendAndLeave sends a request on a new connection and closes it after a time, without waiting for the answer. A reset
// ends the connection at once on both sides.
func (u Upload) SendAndLeave(addr string, after time.Duration, reset bool) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if reset {
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			return err
		}
	}
	err = u.write(conn)
	time.Sleep(after)
	return err
}
