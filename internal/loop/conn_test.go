package loop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/testutil"
)

// connModel is the expected state of one connection in TestConnectionStateMachine.
type connModel struct {
	*testHost
	client   net.Conn
	handler  *echoHandler
	sent     []byte // by the client, and delivered to the handler
	closing  bool   // the server is closing the connection
	pending  []byte // replies to all delivered input, in order
	received []byte // replies that the client has received
	state    connState
}

func (m *connModel) send(t *rapid.T, text string) {
	server := m.handler.conn.(*conn)
	before := 0
	m.runOnLoop(func() { before = server.discardedBytes })
	if _, err := m.client.Write([]byte(text)); err != nil {
		t.Fatalf("client write failed: %v", err)
	}
	if m.closing {
		m.await(func() bool {
			return server.discardedBytes == before+len(text) || len(m.handler.received) != len(m.sent)
		})
		return
	}
	if at := strings.IndexByte(text, '!'); at >= 0 {
		m.closing = true
	} else {
		for _, b := range []byte(text) {
			m.pending = append(m.pending, bytes.Repeat([]byte{b}, max(m.replyWidth, 1))...)
		}
	}
	m.sent = append(m.sent, text...)
	m.await(func() bool { return len(m.handler.received) >= len(m.sent) })
}

// In any order of sends, replies, reads and closes, the handler receives nothing after the close, the client gets all replies to
// delivered input, complete and in order, then the end of the stream and no reset, and the state only advances.
func TestConnectionStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newTestHost(t, replyOnDemand, 64<<20)
		defer host.stop()
		host.replyWidth = rapid.SampledFrom([]int{1, 1, 30 << 10}).Draw(t, "width")
		m := &connModel{testHost: host, client: host.dial(rapid.SampledFrom([]int{0, 4 << 10}).Draw(t, "buffer"))}
		defer m.client.Close()
		m.handler = testutil.Next(host.t, host.opened, "a connection")
		server := m.handler.conn.(*conn)
		m.runOnLoop(func() { host.loop.lingerTimeout = testTimeout }) // the connection must not expire while the test runs
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if len(m.pending) < 100<<10 { // more would close the connection by the limit on unsent output
					m.send(t, rapid.StringMatching("[a-z]{1,3}").Draw(t, "text"))
				}
			},
			"protocol error": func(t *rapid.T) { m.send(t, "!") },
			"reply":          func(*rapid.T) { m.runOnLoop(m.handler.reply) },
			"close": func(*rapid.T) {
				m.runOnLoop(m.handler.conn.Close)
				m.closing = true
			},
			"shutdown": func(*rapid.T) {
				m.phase.Store(int32(PhaseClosingConns))
				m.await(func() bool { return server.state > stateOpen })
				m.closing = true
			},
			"read": func(t *rapid.T) {
				p := make([]byte, rapid.IntRange(1, 8<<10).Draw(t, "bytes"))
				_ = m.client.SetReadDeadline(time.Now().Add(time.Millisecond))
				n, err := m.client.Read(p)
				m.received = append(m.received, p[:n]...)
				if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && err != io.EOF {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				if !bytes.HasPrefix(m.pending, m.received) {
					t.Fatalf("the client got %d bytes that are no prefix of the replies", len(m.received))
				}
				m.runOnLoop(func() {
					if !bytes.Equal(m.handler.received, m.sent) {
						t.Fatalf("the handler received %q, want %q", m.handler.received, m.sent)
					}
					if server.state < m.state || server.state == stateOpen && m.closing {
						t.Fatalf("state %d after state %d, closing %v", server.state, m.state, m.closing)
					}
					m.state = server.state
					if server.state == stateHalfClosed && (m.handler.HasPending() || server.socket.OutboundBuffered() > 0) {
						t.Fatal("half-closed while replies are pending or unsent")
					}
				})
			},
		})
		if !m.closing {
			m.runOnLoop(m.handler.conn.Close)
		}
		m.runOnLoop(m.handler.reply)
		_ = m.client.SetReadDeadline(time.Now().Add(testTimeout))
		rest, err := io.ReadAll(m.client)
		m.received = append(m.received, rest...)
		if err != nil || !bytes.Equal(m.received, m.pending) {
			t.Fatalf("received %d bytes, want the %d bytes of all replies; error %v", len(m.received), len(m.pending), err)
		}
		m.client.Close()
		if testutil.Next(host.t, host.closed, "its close") != m.handler {
			t.Fatal("another connection closed")
		}
	})
}

// Pending replies are sent however much input follows a protocol error.
func TestFloodAfterProtocolErrorLosesNoPendingReply(t *testing.T) {
	host := startHost(t, replyOnDemand)
	c, e := host.dialWithPending(0, "abc")
	send(t, c, "!")
	for range 8 {
		send(t, c, strings.Repeat("x", maxDiscardedBytes/4))
	}
	host.await(func() bool { return e.conn.(*conn).discardedBytes > maxDiscardedBytes })
	host.runOnLoop(e.reply)
	if got, err := io.ReadAll(c); string(got) != "abc" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Input of a client with too much unsent output is discarded, but the client gets its pending replies once it reads.
func TestSlowReaderGetsPendingReplies(t *testing.T) {
	host := startHost(t, replyOnDemand)
	host.shrinkSendBuffers()
	c, e := host.dialWithPending(4<<10, "abc")
	answer := bytes.Repeat([]byte("x"), maxUnsentBytesPerConn+(64<<10))
	host.runOnLoop(func() { e.conn.Write(answer) })
	host.await(func() bool { return e.conn.(*conn).state == stateDraining })
	send(t, c, "def") // discarded
	host.runOnLoop(e.reply)
	if got := readAll(t, c); got != string(answer)+"abc" {
		t.Errorf("received %d bytes, want %d", len(got), len(answer)+3)
	}
	if string(e.received) != "abc" {
		t.Errorf("its handler received %q", e.received)
	}
}

// Total unsent output stays within its bound. The bound takes precedence over the replies to clients that do not read.
func TestTotalUnsentBytesAreBounded(t *testing.T) {
	host := newTestHost(t, replyOnDemand, 4<<20) // the bound is an eighth, 512 KiB
	defer host.stop()
	host.shrinkSendBuffers()
	var all []*echoHandler
	for range 6 {
		host.dial(4 << 10)
		e := testutil.Next(t, host.opened, "a connection")
		host.runOnLoop(func() { e.conn.Write(make([]byte, maxUnsentBytesPerConn-1)) })
		all = append(all, e)
	}
	host.await(func() bool {
		unsent := 0
		openConns := 0
		for _, e := range all {
			if server := e.conn.(*conn); server.state != stateClosed {
				openConns++
				unsent += server.socket.OutboundBuffered()
			}
		}
		return unsent <= host.loop.maxTotalUnsentBytes && openConns >= 2
	})
}

// After Run has returned, no goroutine and no descriptor is left, however the connections were closed.
func TestNoGoroutineOrDescriptorLeaks(t *testing.T) {
	count := func() (int, int) {
		fds, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip(err)
		}
		return runtime.NumGoroutine(), len(fds)
	}
	run := func() {
		host := newTestHost(t, replyAtOnce, 64<<20)
		for n := range 30 {
			d := net.Dialer{}
			c, err := d.Dial("tcp", host.address)
			if err != nil {
				t.Fatal(err)
			}
			e := testutil.Next(t, host.opened, "a connection")
			send(t, c, "abc")
			host.await(func() bool { return len(e.received) == 3 })
			switch n % 3 {
			case 0:
				host.runOnLoop(e.conn.Close)
			case 1:
				_ = c.(*net.TCPConn).SetLinger(0) // a reset
			}
			c.Close()
			testutil.Next(t, host.closed, "its close")
		}
		host.stop()
	}
	run() // gnet retains some goroutines and descriptors of the first run
	goroutines, fds := count()
	run()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		g, f := count()
		if g <= goroutines && f <= fds {
			return
		}
		if time.Now().After(end) {
			buf := make([]byte, 1<<16)
			t.Fatalf("%d goroutines, %d after the first run; %d descriptors, %d after the first run: %s",
				g, goroutines, f, fds, buf[:runtime.Stack(buf, true)])
		}
	}
}

// A connection that has just joined is read from once before the shutdown: the poll after it joined delivers its input.
func TestNewConnectionsAreReadBeforeShutdown(t *testing.T) {
	l := &Loop{hasUnreadConns: true, tickQueued: true}
	if l.allAcceptedRead() {
		t.Error("reported true before a new connection was read from")
	}
	if !l.allAcceptedRead() {
		t.Error("reported false after all connections were read from")
	}
}

// Guards against requests that are run although their client had left before they were read: input that is read after the peer has
// left is not delivered.
func TestInputOfPeerThatHasLeftIsNotDelivered(t *testing.T) {
	for leaving, leave := range map[string]func(c *net.TCPConn){
		"plain close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			c.Close()
		},
		"half close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	} {
		t.Run(leaving, func(t *testing.T) {
			host := startHost(t, replyOnDemand)
			client := host.dial(0)
			handler := testutil.Next(t, host.opened, "a connection")
			send(t, client, "a")
			host.await(func() bool { return len(handler.received) == 1 })
			release := host.blockLoop()
			send(t, client, strings.Repeat("b", 1000))
			leave(client.(*net.TCPConn))
			release()
			testutil.Next(t, host.closed, "the end of the connection")
			host.runOnLoop(func() {
				if string(handler.received) != "a" {
					t.Errorf("%d bytes were delivered after the peer had left", len(handler.received)-1)
				}
			})
		})
	}
}
