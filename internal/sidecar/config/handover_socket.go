package config

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"path/filepath"
)

// HandoverSocket is the path of the Unix socket where two processes for the same address meet at an upgrade; empty: they
// cannot, as there is no management address or no shared directory, or the system chooses the port.
func (cfg *Config) HandoverSocket() string {
	_, port, err := net.SplitHostPort(cfg.Listen)
	if cfg.Management == "" || cfg.tempDir == "" || err != nil || port == "0" {
		return ""
	}
	h := fnv.New64a()
	io.WriteString(h, cfg.Listen)
	return filepath.Join(cfg.tempDir, fmt.Sprintf("serving-%016x", h.Sum64()))
}
