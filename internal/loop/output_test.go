package loop

import (
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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

// Guards against kernel buffers that grow to megabytes for each connection whose peer does not read, or whose input is not read.
func TestSocketBuffersOfAcceptedConnectionsAreBounded(t *testing.T) {
	const bufferBytes = 16 << 10
	listener, err := listen("127.0.0.1:0", bufferBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := accepted.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, bufferBytes)
	for err == nil { // until the client's receive buffer and the send buffer are full
		_, err = accepted.Write(chunk)
	}
	raw, err := accepted.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, option := range map[string]int{"send": unix.SO_SNDBUF, "receive": unix.SO_RCVBUF} {
		var size int
		if controlErr := raw.Control(func(fd uintptr) {
			size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, option)
		}); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		if size > 2*bufferBytes {
			t.Errorf("%s buffer of %d bytes, want at most %d", name, size, 2*bufferBytes)
		}
	}
}
