package config

import "math"

const (
	heapFraction = 0.75 // of the memory limit; the rest is for what the runtime does not count
	bodyFraction = 0.15 // of the memory limit, for held bodies of requests
	bytesPerMB   = 1 << 20
)

// MemoryLimit is the limit, in bytes, of the runtime in each of so many processes of this sidecar.
func (cfg *Config) MemoryLimit(processes int) int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(float64(cfg.MemoryMB) * heapFraction * bytesPerMB / float64(processes))
}

// BodyMemory is how many bytes held bodies may take in all processes of this sidecar together.
func (cfg *Config) BodyMemory() int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt32
	}
	return int64(float64(cfg.MemoryMB) * bodyFraction * bytesPerMB)
}
