package sidecartest

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// FailFirst gives an error so often, and then none.
func FailFirst(times int, err error) func() error {
	return func() error {
		if times == 0 {
			return nil
		}
		times--
		return err
	}
}

// ResourceErrnos are of calls that the system is short of resources for, or that a signal has interrupted.
var ResourceErrnos = []syscall.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM}
