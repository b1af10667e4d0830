package configtest

import "marblelane/internal/sidecar/sidecartest"

// WithManagement gives a configuration a management address.
func WithManagement(c Conf) Conf {
	c["management"] = sidecartest.Loopback
	return c
}
