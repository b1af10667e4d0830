package config

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"path/filepath"
)

// HandoverSocket returns the path of the Unix socket through which predecessor and successor, two processes with the
// same address, connect for the handover of an upgrade. It returns "" if a handover is impossible: without a management
// address or a shared directory, or if the system chooses the port.
func (cfg *Config) HandoverSocket() string {
	_, port, err := net.SplitHostPort(cfg.Listen)
	if cfg.Management == "" || cfg.tempDir == "" || err != nil || port == "0" {
		return ""
	}
	h := fnv.New64a()
	io.WriteString(h, cfg.Listen)
	return filepath.Join(cfg.tempDir, fmt.Sprintf("serving-%016x", h.Sum64()))
}
