package fault

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// errnoLimit is greater than every errno of Linux (errno(3)).
const errnoLimit = 134

// Errno returns the error number for a name such as "ENOBUFS". ok is false if the system does not define the name.
func Errno(name string) (errno syscall.Errno, ok bool) {
	for errno = 1; errno < errnoLimit; errno++ {
		if unix.ErrnoName(errno) == name {
			return errno, true
		}
	}
	return 0, false
}
