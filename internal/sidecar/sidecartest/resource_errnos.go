package sidecartest

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// FailFirst returns a function that returns the error in its first calls and nil afterwards. It is not safe for
// concurrent use.
func FailFirst(times int, err error) func() error {
	return func() error {
		if times == 0 {
			return nil
		}
		times--
		return err
	}
}

// ResourceErrnos are the errors of calls for which the system lacks resources, or that a signal has interrupted.
var ResourceErrnos = []syscall.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM}
