package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"thymechute/internal/config"
)

const (
	heapFraction      = 0.7 // of the memory limit, for Go; the rest is for the kernel and the program's code
	heapGrowthPercent = 100 // growth of the heap between two garbage collections, below that limit

	// Some file descriptors are reserved for the links, the Go runtime and connections that are being opened. The others are
	// divided into parts: stubDescriptorParts for the stubs' connections, and one each for spare stub connections, for
	// connections that are closing, and for calls.
	reservedDescriptors = 32
	descriptorParts     = 8
	stubDescriptorParts = 5
)

// limitRuntime sets the limits of the Go runtime by the instance's cores and memory.
func limitRuntime(c config.Config) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryBytes) * heapFraction))
	debug.SetGCPercent(heapGrowthPercent)
}

// descriptorPart returns the number of file descriptors in one part, by the configured limit or the system's if that is
// lower.
func descriptorPart(c config.Config) int {
	limit := c.MaxSockets
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur)
	}
	return (limit - reservedDescriptors) / descriptorParts
}
