package configtest

import "marblelane/internal/sidecar/sidecartest"

// Managed gives a configuration a management address.
func Managed(c Conf) Conf {
	c["management"] = sidecartest.Loopback
	return c
}
