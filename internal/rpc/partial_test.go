package rpc

import (
	"fmt"
	"testing"
	"time"

	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/internal/testutil"
)

// openConn opens a connection that sent a request, which was answered, unless isNew is set.
func openConn(t *testing.T, server *Server, isNew bool) (*conn, *testutil.FakeConn) {
	t.Helper()
	handler := server.Accept()
	if handler == nil {
		t.Fatal("the connection was rejected")
	}
	transport := &testutil.FakeConn{}
	handler.Opened(transport)
	if !isNew {
		receive(t, handler, requestLine+"\n")
		handler.(*conn).Answer("7", node.Answer{})
	}
	transport.Out = ""
	return handler.(*conn), transport
}

func receive(t *testing.T, handler loop.ServerHandler, text string) {
	t.Helper()
	if err := handler.Received([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// Guards against review case 6: the idle close cut off a request of which a part had arrived.
func TestPartialMessageIsNotCutOffByIdleClose(t *testing.T) {
	for _, isNew := range []bool{false, true} {
		t.Run(fmt.Sprintf("first message %v", isNew), func(t *testing.T) {
			admission := &fakeAdmission{}
			server := newTestServer(admission, 2)
			server.SetIdleTimeout(time.Second)
			c, transport := openConn(t, server, isNew)
			start := time.Now()
			c.lastActive = start.Add(-requestTimeout + 100*time.Millisecond) // it rested
			receive(t, c, requestLine[:20])
			server.Sweep(start.Add(400 * time.Millisecond))
			server.Sweep(start.Add(800 * time.Millisecond))
			server.Sweep(start.Add(1400 * time.Millisecond))
			if transport.Closed {
				t.Error("closed while a message was being received")
			}
			admitted := admission.admitted
			receive(t, c, requestLine[20:]+"\n")
			if admission.admitted != admitted+1 {
				t.Error("the message was not admitted")
			}
		})
	}
}

// A client that sends its message a byte at a time does not hold its connection longer than requestTimeout and the grace period,
// and is notified before the close.
func TestPartialMessageHoldsConnectionForLimitedTime(t *testing.T) {
	server := newTestServer(&fakeAdmission{}, 2)
	server.SetIdleTimeout(time.Second)
	c, transport := openConn(t, server, false)
	start := time.Now()
	for n := range 10 {
		receive(t, c, requestLine[n:n+1])
		server.Sweep(start.Add(time.Duration(n) * requestTimeout / 10))
	}
	if transport.Closed || server.HasPending() != true {
		t.Errorf("closed %v, pending %v while the message was being received", transport.Closed, server.HasPending())
	}
	over := c.partialSince.Add(requestTimeout + sweepInterval)
	server.Sweep(over)
	if transport.Closed || transport.Out != string(closingNotification) {
		t.Errorf("closed %v with the notification %q", transport.Closed, transport.Out)
	}
	server.Sweep(over.Add(closingGracePeriod + sweepInterval))
	if !transport.Closed || server.HasPending() {
		t.Errorf("closed %v, pending %v after the time for the rest of the message", transport.Closed, server.HasPending())
	}
}

// At the connection limit a connection on which a message is being received is not evicted if it has sent requests before. Of those
// that have not, one makes room, so that clients that never complete a message do not lock out others.
func TestEvictionSparesPartialMessages(t *testing.T) {
	server := newTestServer(&fakeAdmission{}, 2)
	used, usedTransport := openConn(t, server, false)
	receive(t, used, requestLine[:20])
	_, restingTransport := openConn(t, server, false)
	openConn(t, server, false) // evicts the resting one in two steps
	if usedTransport.Out != "" || restingTransport.Out != string(closingNotification) {
		t.Errorf("notified %q and %q, want the resting connection alone", usedTransport.Out, restingTransport.Out)
	}
	openConn(t, server, true) // the spare connection is in use: closes the resting one
	if usedTransport.Closed || !restingTransport.Closed {
		t.Errorf("closed %v and %v, want the resting connection alone", usedTransport.Closed, restingTransport.Closed)
	}

	server = newTestServer(&fakeAdmission{}, 2)
	for range 3 {
		c, _ := openConn(t, server, true)
		receive(t, c, "{")
	}
	openConn(t, server, true)
}

// A graceful shutdown waits for the rest of a message.
func TestShutdownWaitsForPartialMessage(t *testing.T) {
	admission := &fakeAdmission{}
	server := newTestServer(admission, 2)
	c, _ := openConn(t, server, false)
	receive(t, c, requestLine[:20])
	server.Drain()
	if !server.HasPending() {
		t.Error("nothing is pending while a message is being received")
	}
	receive(t, c, requestLine[20:]+"\n")
	if server.HasPending() || admission.admitted != 2 {
		t.Errorf("pending %v after the message was received, %d admitted", server.HasPending(), admission.admitted)
	}
}
