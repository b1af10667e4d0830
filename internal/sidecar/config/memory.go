package config

import "math"

const (
	bytesPerMB = 1 << 20

	// programMemory is the resident memory of an idle process: the pages of its program and the runtime, in bytes.
	programMemory = 13 * bytesPerMB
	// unmanagedMemory is the part of programMemory that the Go runtime does not count, in bytes.
	unmanagedMemory = 12 * bytesPerMB
	// minAvailableFraction of the memory limit is shared out even if the program needs nearly all of it.
	minAvailableFraction = 0.25
	heapFraction         = 0.75 // fraction of the memory limit for the Go runtime, which does not count all memory of the process

	// The fractions below are of the available memory, which is the memory limit without programMemory. Together they are 1.

	connFraction = 0.45 // for the connections of clients, each with a request that is being parsed
	// streamFraction is for requests whose body is forwarded as it arrives.
	streamFraction = 0.25
	bodyFraction   = 0.15 // for buffered request bodies
	headFraction   = 0.1  // for the heads of clients' requests
	// responseHeadFraction is for the heads of servers' responses.
	responseHeadFraction = 0.05

	// connMemory is the memory for a client connection with a request that is being parsed: buffers, goroutines, headers,
	// in bytes.
	connMemory = 24 << 10
	// streamMemory is the memory for a request whose body is forwarded, beside its connection and the held part of its
	// body, in bytes: the buffers between client and server, the server's connection, goroutines.
	streamMemory = 128 << 10
)

// MemoryLimit returns the memory limit in bytes of the Go runtime in each process if the sidecar consists of that many
// processes. They share the pages of the program.
func (cfg *Config) MemoryLimit(processes int) int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt64
	}
	limit := float64(cfg.MemoryMB) * bytesPerMB
	managed := math.Max(limit-unmanagedMemory, limit*minAvailableFraction)
	return int64(math.Min(limit*heapFraction, managed) / float64(processes))
}

// MaxClientConns returns how many connections of clients the memory limit allows in all processes of this sidecar
// together.
func (cfg *Config) MaxClientConns() int { return int(cfg.memoryShare(connFraction) / connMemory) }

// MaxStreams returns how many concurrent requests with a forwarded body the memory limit allows in all processes of this
// sidecar together.
func (cfg *Config) MaxStreams() int { return int(cfg.memoryShare(streamFraction) / streamMemory) }

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

// memoryShare returns a fraction of the available memory in bytes.
func (cfg *Config) memoryShare(fraction float64) int64 {
	if cfg.MemoryMB == 0 {
		return math.MaxInt32
	}
	limit := float64(cfg.MemoryMB) * bytesPerMB
	return int64(math.Max(limit-programMemory, limit*minAvailableFraction) * fraction)
}
