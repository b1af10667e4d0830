package configtest

import (
	"marblelane/internal/sidecar/sidecartest"
)

func Managed(c Conf) Conf {
	c["management"] = sidecartest.Loopback
	return c
}
