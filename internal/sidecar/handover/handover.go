package handover

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/config"
)

// ListTimeout is how long the newer process waits for discovery when it knows a list that may be old. The older one
// serves meanwhile.
const ListTimeout = 1500 * time.Millisecond

// responseTimeout is for the older process to answer: it may hang, or be another program.
const responseTimeout = time.Second

// The bytes that the newer process sends.
const (
	servingByte = 's' // it serves
	EndingByte  = 'e' // it will soon stop serving
)

// Listen binds the clients' address. With a management address other processes may bind it too (SO_REUSEPORT), for an
// upgrade whose processes cannot meet.
func Listen(cfg *config.Config) (net.Listener, error) {
	var lc net.ListenConfig
	if cfg.Management != "" {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(err, failed)
		}
	}
	return lc.Listen(context.Background(), "tcp", cfg.Listen)
}
