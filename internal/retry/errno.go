package retry

import (
	"errors"
	"slices"
	"syscall"
)

// resourceErrnos are the errors of valid calls that failed because the system or this process is short of resources, or
// because the call was interrupted.
var resourceErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
}

// startErrnos are the errors of conditions that may end within seconds while a program starts: an address that the
// previous process still holds, a device or a file system that is slow to respond, an interface that is not up yet.
var startErrnos = []syscall.Errno{
	syscall.EADDRINUSE, syscall.EIO, syscall.EBUSY, syscall.ETXTBSY, syscall.ETIMEDOUT, syscall.ESTALE, syscall.ENETDOWN,
}

// IsResourceShortage reports whether a system call failed because the system or this process had no descriptor, buffer,
// memory or space left for it, or because it was interrupted.
func IsResourceShortage(err error) bool { return hasErrno(err, resourceErrnos) }

// transientAtStart reports whether a failure of socket, bind, listen, open or read may end within StartLimit. Other
// failures, such as EACCES, EPERM, ENOENT, EADDRNOTAVAIL and EAFNOSUPPORT, need an operator.
func transientAtStart(err error) bool {
	return hasErrno(err, resourceErrnos) || hasErrno(err, startErrnos)
}

// hasErrno reports whether an error wraps one of the errnos.
func hasErrno(err error, errnos []syscall.Errno) bool {
	if err == nil {
		return false
	}
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
