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

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"thymechute/internal/testutil"
)

// connModel is one connection in the hands of a state machine: what it was sent, what it owes, how far it may have come.
type connModel struct {
	*testHost
	client   net.Conn
	handler  *echoHandler
	sent     []byte // and read by the peer
	closing  bool   // on our side
	pending  []byte // answers of all that was read, in order
	received []byte // of them, on the other side
	state    connState
}

func (l *connModel) send(t *rapid.T, text string) {
	w, before := l.handler.conn.(*conn), 0
	l.runOnLoop(func() { before = w.discarded })
	if _, err := l.client.Write([]byte(text)); err != nil {
		t.Fatalf("the other side can't write: %v", err)
	}
	if l.closing {
		l.await(func() bool { return w.discarded == before+len(text) || len(l.handler.received) != len(l.sent) })
		return
	}
	if at := strings.IndexByte(text, '!'); at >= 0 {
		l.closing = true
	} else {
		for _, b := range []byte(text) {
			l.pending = append(l.pending, bytes.Repeat([]byte{b}, max(l.replyWidth, 1))...)
		}
	}
	l.sent = append(l.sent, text...)
	l.await(func() bool { return len(l.handler.received) >= len(l.sent) })
}

// Whatever the order of what is sent, answered, read and ended: the peer reads nothing after its end, the other side gets every
// answer to what was read, whole and in order, then the end and no reset; and the life only goes forward.
func TestConnectionStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := newTestHost(t, false, 64<<20)
		defer site.stop()
		site.replyWidth = rapid.SampledFrom([]int{1, 1, 30 << 10}).Draw(t, "width")
		l := &connModel{testHost: site, client: site.dial(rapid.SampledFrom([]int{0, 4 << 10}).Draw(t, "buffer"))}
		defer l.client.Close()
		l.handler = testutil.Next(site.t, site.opened, "a connection")
		w := l.handler.conn.(*conn)
		l.runOnLoop(func() { site.loop.lingerTimeout = testTimeout }) // the other side is as slow as the test
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if len(l.pending) < 100<<10 { // over it the connection would end by itself
					l.send(t, rapid.StringMatching("[a-z]{1,3}").Draw(t, "text"))
				}
			},
			"fault":  func(t *rapid.T) { l.send(t, "!") },
			"answer": func(*rapid.T) { l.runOnLoop(l.handler.reply) },
			"end": func(*rapid.T) {
				l.runOnLoop(l.handler.conn.Close)
				l.closing = true
			},
			"the program's end": func(*rapid.T) {
				l.phase.Store(int32(PhaseClosingConns))
				l.await(func() bool { return w.state > stateOpen })
				l.closing = true
			},
			"read": func(t *rapid.T) {
				p := make([]byte, rapid.IntRange(1, 8<<10).Draw(t, "bytes"))
				_ = l.client.SetReadDeadline(time.Now().Add(time.Millisecond))
				n, err := l.client.Read(p)
				if l.received = append(l.received, p[:n]...); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && err != io.EOF {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				if !bytes.HasPrefix(l.pending, l.received) {
					t.Fatalf("got %d bytes that are no answers", len(l.received))
				}
				l.runOnLoop(func() {
					if !bytes.Equal(l.handler.received, l.sent) {
						t.Fatalf("the peer read %q of %q", l.handler.received, l.sent)
					}
					if w.state < l.state || w.state == stateOpen && l.closing {
						t.Fatalf("state %d after %d, ended %v", w.state, l.state, l.closing)
					}
					if l.state = w.state; w.state == stateHalfClosed && (l.handler.HasPending() || w.socket.OutboundBuffered() > 0) {
						t.Fatal("half-closed over what is owed")
					}
				})
			},
		})
		if !l.closing {
			l.runOnLoop(l.handler.conn.Close)
		}
		l.runOnLoop(l.handler.reply)
		_ = l.client.SetReadDeadline(time.Now().Add(testTimeout))
		rest, err := io.ReadAll(l.client)
		if l.received = append(l.received, rest...); err != nil || !bytes.Equal(l.received, l.pending) {
			t.Fatalf("got %d bytes of %d, %v", len(l.received), len(l.pending), err)
		}
		l.client.Close()
		if testutil.Next(site.t, site.closed, "its end") != l.handler {
			t.Fatal("another connection closed")
		}
	})
}

// Bytes that come in any number while answers are owed take none of them along.
func TestFloodAfterProtocolErrorKeepsPendingReplies(t *testing.T) {
	s := startHost(t, false)
	c, e := s.dialWithPending(0, "abc")
	send(t, c, "!")
	for range 8 {
		send(t, c, strings.Repeat("x", maxDiscarded/4))
	}
	s.await(func() bool { return e.conn.(*conn).discarded > maxDiscarded })
	s.runOnLoop(e.reply)
	if got, err := io.ReadAll(c); string(got) != "abc" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Who leaves too much unread is read no further, but gets what it is owed once it reads.
func TestSlowReaderGetsPendingReplies(t *testing.T) {
	s := startHost(t, false)
	s.smallBuffers()
	c, e := s.dialWithPending(4<<10, "abc")
	answer := bytes.Repeat([]byte("x"), maxUnsentPerConn+(64<<10))
	s.runOnLoop(func() { e.conn.Write(answer) })
	s.await(func() bool { return e.conn.(*conn).state == stateDraining })
	send(t, c, "def") // not read any more
	s.runOnLoop(e.reply)
	if got := readAll(t, c); got != string(answer)+"abc" {
		t.Errorf("%d bytes came, want %d", len(got), len(answer)+3)
	}
	if string(e.received) != "abc" {
		t.Errorf("its peer read %q", e.received)
	}
}

// All that is unread together keeps within its bound: memory goes before the answers of who reads nothing.
func TestTotalUnsentBytesAreBounded(t *testing.T) {
	s := newTestHost(t, false, 4<<20) // an eighth is 512 KiB
	defer s.stop()
	s.smallBuffers()
	var all []*echoHandler
	for range 6 {
		s.dial(4 << 10)
		e := testutil.Next(t, s.opened, "a connection")
		s.runOnLoop(func() { e.conn.Write(make([]byte, maxUnsentPerConn-1)) })
		all = append(all, e)
	}
	s.await(func() bool {
		unread, standing := 0, 0
		for _, e := range all {
			if w := e.conn.(*conn); w.state != stateClosed {
				standing++
				unread += w.socket.OutboundBuffered()
			}
		}
		return unread <= s.loop.maxTotalUnsent && standing >= 2
	})
}

func (s *testHost) smallBuffers() {
	raw, _ := s.loop.listener.SyscallConn()
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10) }) // those it accepts inherit it
}

// After the end no goroutine and no descriptor is left, however its connections ended.
func TestNoGoroutineOrDescriptorLeaks(t *testing.T) {
	count := func() (int, int) {
		fds, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip(err)
		}
		return runtime.NumGoroutine(), len(fds)
	}
	run := func() {
		s := newTestHost(t, true, 64<<20)
		for n := range 30 {
			d := net.Dialer{}
			c, err := d.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			e := testutil.Next(t, s.opened, "a connection")
			send(t, c, "abc")
			s.await(func() bool { return len(e.received) == 3 })
			switch n % 3 {
			case 0:
				s.runOnLoop(e.conn.Close)
			case 1:
				_ = c.(*net.TCPConn).SetLinger(0) // a reset
			}
			c.Close()
			testutil.Next(t, s.closed, "its end")
		}
		s.stop()
	}
	run() // what gnet keeps for good
	goroutines, fds := count()
	run()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		g, f := count()
		if g <= goroutines && f <= fds {
			return
		}
		if time.Now().After(end) {
			buf := make([]byte, 1<<16)
			t.Fatalf("%d goroutines, %d before; %d descriptors, %d before: %s", g, goroutines, f, fds, buf[:runtime.Stack(buf, true)])
		}
	}
}

// What has just joined is read once before the end: the poll behind its joining brings what it holds.
func TestNewConnectionsAreReadBeforeShutdown(t *testing.T) {
	l := &Loop{hasUnreadConns: true, tickQueued: true}
	if l.allAcceptedRead() {
		t.Error("settled over a connection that nothing was read from yet")
	}
	if !l.allAcceptedRead() {
		t.Error("never settled")
	}
}
