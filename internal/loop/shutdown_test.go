package loop

import (
	"bytes"
	"fmt"
	"net"
	"testing"

	"thymechute/internal/testutil"
)

// Bytes that follow a protocol error are unread when the connection closes. An immediate close would reset the connection, and
// the pending replies would be lost.
func TestProtocolErrorClosesAfterPendingRepliesWithoutReset(t *testing.T) {
	host := startHost(t, replyOnDemand)
	c, e := host.dialWithPending(0, "abc")
	send(t, c, "!")
	host.await(func() bool { return e.conn.(*conn).state == stateDraining })
	send(t, c, "def")
	host.await(func() bool { return e.conn.(*conn).discardedBytes == 3 })
	host.runOnLoop(e.reply)
	if got := readAll(t, c); got != "abc" {
		t.Errorf("got %q", got)
	}
	send(t, c, "ghi") // after the close
	host.await(func() bool { return e.conn.(*conn).discardedBytes == 6 })
	c.Close()
	testutil.Next(t, host.closed, "the close")
	if string(e.received) != "abc!" {
		t.Errorf("its handler received %q", e.received)
	}
}

// Output that the kernel did not accept at once is sent before the close, however slowly the client reads.
func TestCloseWaitsForUnsentOutput(t *testing.T) {
	host := startHost(t, replyOnDemand)
	host.shrinkSendBuffers()
	c := host.dial(4 << 10)
	e := testutil.Next(t, host.opened, "a connection")
	reply := bytes.Repeat([]byte("0123456789abcdef"), 12<<10) // 192 KiB
	unsent := 0
	host.runOnLoop(func() {
		e.conn.Write(reply)
		e.conn.Close()
	})
	host.runOnLoop(func() { unsent = e.conn.(*conn).socket.OutboundBuffered() })
	if unsent == 0 {
		t.Fatal("the kernel accepted all output, so this test checks nothing")
	}
	send(t, c, "unread") // still in the server's receive buffer at the close
	if got := readAll(t, c); got != string(reply) {
		t.Errorf("received %d bytes, or other ones than the %d bytes of the reply", len(got), len(reply))
	}
}

// A connection whose client neither reads nor closes is closed after the linger timeout; the oldest above the limit are closed
// earlier.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	host := startHost(t, replyAtOnce)
	var first *conn
	for n := range 25 {
		host.dial(0)
		e := testutil.Next(t, host.opened, "a connection")
		host.runOnLoop(func() {
			e.conn.Close()
			if n == 0 {
				first = e.conn.(*conn)
			}
		})
	}
	host.await(func() bool { return len(host.loop.lingering) == 20 && first.state == stateClosed })
	for range 5 {
		testutil.Next(t, host.closed, "the close of one over the limit")
	}
	flood := host.dial(0)
	e := testutil.Next(t, host.opened, "a connection")
	host.runOnLoop(e.conn.Close)
	for err := error(nil); err == nil; { // until the flood of input closes the connection
		_, err = flood.Write(make([]byte, 64<<10))
	}
	for range 21 { // by the linger timeout
		testutil.Next(t, host.closed, "the close of one that does not read")
	}
	host.await(func() bool { return len(host.loop.lingering) == 0 && len(host.loop.acceptedConns) == 0 })
}

// Connections that the kernel accepted before the listener closed get their replies, whether or not the program had accepted
// them. In this test the loop is blocked, the accept goroutine has one connection and the others are in the kernel's queue.
func TestListenerCloseServesAcceptedConnections(t *testing.T) {
	host := startHost(t, replyAtOnce)
	release := host.blockLoop()
	var conns []net.Conn
	for n := range 16 {
		c := host.dial(0)
		send(t, c, fmt.Sprintf("request %02d", n))
		conns = append(conns, c)
	}
	host.phase.Store(int32(PhaseClosingConns)) // at once: nothing was received, so the host has nothing pending
	release()
	for n, c := range conns {
		if got, want := readAll(t, c), fmt.Sprintf("request %02d", n); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		c.Close()
	}
	if err := testutil.Next(t, host.runResult, "the close"); err != nil {
		t.Error(err)
	}
	host.runResult <- nil // for stop
	if c, err := net.Dial("tcp", host.address); err == nil {
		c.Close()
		t.Error("the listener accepts connections after Run has returned")
	}
}

// Shutdown waits for pending replies to be written and read.
func TestShutdownWaitsForPendingReplies(t *testing.T) {
	host := startHost(t, replyOnDemand)
	c, e := host.dialWithPending(0, "abc")
	host.phase.Store(int32(PhaseClosingConns)) // the handler still has replies pending
	host.await(func() bool { return e.conn.(*conn).state == stateDraining })
	select {
	case <-host.runResult:
		t.Fatal("Run returned before a pending reply was sent")
	default:
	}
	host.runOnLoop(e.reply)
	if got := readAll(t, c); got != "abc" {
		t.Errorf("got %q", got)
	}
	c.Close()
	host.runResult <- testutil.Next(t, host.runResult, "the close")
}

func TestNoCapacityClosesWithoutReset(t *testing.T) {
	host := startHost(t, replyAtOnce)
	release := host.blockLoop()
	host.atCapacity.Store(true)
	c := host.dial(0)
	send(t, c, "abc") // unread at the close
	release()
	if got := readAll(t, c); got != "" {
		t.Errorf("got %q", got)
	}
}
