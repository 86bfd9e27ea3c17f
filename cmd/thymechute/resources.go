package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"thymechute/internal/config"
)

const (
	heapFraction      = 0.7 // of the memory limit, for the Go runtime; the rest is for the kernel and the code of the program
	heapGrowthPercent = 100 // growth of the heap between two garbage collections, while it is below its limit

	// reservedDescriptors file descriptors are for the links, the Go runtime and connections that are being opened. The others
	// are divided into descriptorShares equal shares: stubDescriptorShares for connections of stubs, and one share each for
	// spare connections of stubs, for connections that are closing, and for calls.
	reservedDescriptors  = 32
	descriptorShares     = 8
	stubDescriptorShares = 5

	// The kernel's buffers of the stubs' connections may take half of the memory, as they count against the limit where that is
	// set for a control group. Each connection has two buffers, and Linux allocates up to twice the size that is set.
	socketMemoryDivisor = 2
	buffersPerConn      = 2
	bufferOverhead      = 2
	minSocketBuffer     = 4 << 10  // bytes; room for one message of usual size
	maxSocketBuffer     = 32 << 10 // bytes
)

// socketBufferBytes returns the size of each of the kernel's buffers for a stub's connection, so that all connections together, also
// the spare ones and those that are closing, stay within their share of the memory.
func socketBufferBytes(memoryBytes int64, descriptorShare int) int {
	const shares = stubDescriptorShares + 2 // with the spare connections and the closing ones
	conns := max(int64(shares*descriptorShare), 1)
	size := memoryBytes / socketMemoryDivisor / (conns * buffersPerConn * bufferOverhead)
	return int(min(max(size, minSocketBuffer), maxSocketBuffer))
}

// limitRuntime sets the limits of the Go runtime according to the instance's cores and memory.
func limitRuntime(c config.Config) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryBytes) * heapFraction))
	debug.SetGCPercent(heapGrowthPercent)
}

// descriptorShare returns the number of file descriptors in one share, according to the configured limit or the limit of the
// operating system, whichever is lower.
func descriptorShare(c config.Config) int {
	limit := c.MaxSockets
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur)
	}
	return (limit - reservedDescriptors) / descriptorShares
}
