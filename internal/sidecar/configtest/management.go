package configtest

import "marblelane/internal/sidecar/sidecartest"

// WithManagement sets a management address in c and returns c.
func WithManagement(c Conf) Conf {
	c["management"] = sidecartest.Loopback
	return c
}
