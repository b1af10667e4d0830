package config

import (
	"math"
)

const (
	heapFraction = 0.75 // of the limit; the rest is for what the runtime does not count
	bodyFraction = 0.15 // of the limit, for bodies of requests that are held
)

// MemoryLimit is the part of the limit that the runtime of each of so many processes is held to.
func (cfg *Config) MemoryLimit(parts int) int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(float64(cfg.MemoryMB) * heapFraction * (1 << 20) / float64(parts))
}

// BodyMemory is what bodies that are held may take, of all processes.
func (cfg *Config) BodyMemory() int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt32
	}
	return int64(float64(cfg.MemoryMB) * bodyFraction * (1 << 20))
}
