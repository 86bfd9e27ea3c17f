package loop

import (
	"net"
	"strings"
	"testing"

	"thymechute/internal/testutil"
)

// Guards against memory that grows with the number of connections whose input arrives in one poll, as a process would be killed
// whose clients send health checks and do not read the answers.
func TestOutputOfManyConnectionsIsFlushedBeforeTheTick(t *testing.T) {
	const (
		clients     = 60
		memoryLimit = 16 << 20
		input       = 1000 // bytes from each client
		replyWidth  = 100
		replies     = input * replyWidth // bytes of output for one client
	)
	host := newTestHost(t, replyAtOnce, memoryLimit)
	t.Cleanup(host.stop)
	host.runOnLoop(func() { host.replyWidth = replyWidth })
	var conns []net.Conn
	for range clients {
		conns = append(conns, host.dial(0))
		testutil.Next(t, host.opened, "a connection")
	}
	release := host.blockLoop()
	for _, c := range conns {
		send(t, c, strings.Repeat("x", input))
	}
	release()
	host.await(func() bool {
		received := 0
		for c := range host.loop.acceptedConns {
			received += len(c.handler.(*echoHandler).received)
		}
		return received == clients*input
	})
	host.runOnLoop(func() {
		if limit := memoryLimit/flushMemoryDivisor + replies; host.maxUnflushed > limit {
			t.Errorf("%d bytes of output were not flushed when input was received, want at most %d", host.maxUnflushed, limit)
		}
	})
}
