package config

import "math"

const (
	heapFraction = 0.75 // fraction of the memory limit for the Go runtime, which does not count all memory of the process
	bodyFraction = 0.15 // fraction of the memory limit for buffered request bodies
	headFraction = 0.1  // fraction of the memory limit for the heads of clients' requests
	// responseHeadFraction is the fraction of the memory limit for the heads of servers' responses.
	responseHeadFraction = 0.05
	bytesPerMB           = 1 << 20
)

// MemoryLimit returns the memory limit in bytes of the Go runtime in each process if the sidecar consists of that many
// processes.
func (cfg *Config) MemoryLimit(processes int) int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(float64(cfg.MemoryMB) * heapFraction * bytesPerMB / float64(processes))
}

// HeadMemory returns the maximum number of bytes of memory for the heads of clients' requests in all processes of this
// sidecar together.
func (cfg *Config) HeadMemory() int64 {
	return cfg.memoryShare(headFraction)
}

// ResponseHeadMemory returns the maximum number of bytes of memory for the heads of servers' responses in all processes
// of this sidecar together.
func (cfg *Config) ResponseHeadMemory() int64 { return cfg.memoryShare(responseHeadFraction) }

// BodyMemory returns the maximum number of bytes of buffered request bodies in all processes of this sidecar together.
func (cfg *Config) BodyMemory() int64 {
	return cfg.memoryShare(bodyFraction)
}

// memoryShare returns a fraction of the memory limit in bytes.
func (cfg *Config) memoryShare(fraction float64) int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt32
	}
	return int64(float64(cfg.MemoryMB) * fraction * bytesPerMB)
}
