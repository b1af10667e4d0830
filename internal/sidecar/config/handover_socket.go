package config

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"path/filepath"
)

// HandoverSocket is where two processes for the same address meet; empty: they cannot. Without a management
// address nobody upgrades, and an address of the system's choice is never the same.
func (cfg *Config) HandoverSocket() string {
	_, port, err := net.SplitHostPort(cfg.Listen)
	if cfg.Management == "" || cfg.tempDir == "" || err != nil || port == "0" {
		return ""
	}
	h := fnv.New64a()
	io.WriteString(h, cfg.Listen)
	return filepath.Join(cfg.tempDir, fmt.Sprintf("serving-%016x", h.Sum64()))
}
