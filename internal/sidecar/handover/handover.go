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

// ListTimeout is how long a successor waits for discovery if it was started with a server list, which may be outdated.
// The predecessor serves meanwhile.
const ListTimeout = 1500 * time.Millisecond

// responseTimeout bounds the wait for the predecessor's response. The process at the socket may hang, or be another
// program.
const responseTimeout = time.Second

// The bytes that the successor sends to the predecessor.
const (
	servingByte = 's' // the successor serves
	EndingByte  = 'e' // the successor will soon stop serving
)

// Listen binds the address for clients. With a management address it sets SO_REUSEPORT, so that an upgrade also works
// if the successor cannot reach the handover socket of its predecessor.
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
