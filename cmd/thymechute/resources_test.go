package main

import "testing"

func TestSocketBuffersStayWithinTheirShareOfTheMemory(t *testing.T) {
	const megabyte = 1 << 20
	for _, c := range []struct{ memoryMB, sockets int }{{192, 1024}, {128, 512}, {64, 256}, {1024, 1024}} {
		share := (c.sockets - reservedDescriptors) / descriptorShares
		conns := (stubDescriptorShares + 2) * share
		size := socketBufferBytes(int64(c.memoryMB)*megabyte, share)
		total := size * buffersPerConn * bufferOverhead * conns
		if total > c.memoryMB*megabyte/2 || size < minSocketBuffer || size > maxSocketBuffer {
			t.Errorf("%d MB, %d sockets: buffers of %d bytes, %d in total", c.memoryMB, c.sockets, size, total)
		}
	}
}
