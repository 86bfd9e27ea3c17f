package loop

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"thymechute/internal/testutil"
)

// testingT is a test, or a case of a state machine.
type testingT interface {
	Helper()
	Cleanup(func())
	Error(args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

const testTimeout = 20 * time.Second

// echoHandler is a caller that owes an answer to each byte it reads, until it is told to give them; a "!" is a fault.
type echoHandler struct {
	host     *testHost
	conn     Conn
	pending  []byte
	received []byte
	closeErr error // why it closed
}

func (e *echoHandler) Opened(w Conn) {
	e.conn = w
	e.host.opened <- e
}

func (e *echoHandler) Received(p []byte) error {
	e.received = append(e.received, p...)
	for _, b := range p {
		if b == '!' {
			return errors.New("a fault")
		}
		e.pending = append(e.pending, b)
	}
	if e.host.replyImmediately {
		e.reply()
	}
	return nil
}

func (e *echoHandler) reply() {
	owed := e.pending
	e.pending = nil
	for _, b := range owed {
		e.conn.Write(bytes.Repeat([]byte{b}, max(e.host.replyWidth, 1)))
	}
}

func (e *echoHandler) HasPending() bool { return len(e.pending) > 0 }
func (e *echoHandler) Closed(err error) {
	e.closeErr = err
	e.host.closed <- e
}

// testHost is a host whose phase the test sets.
type testHost struct {
	t                testingT
	loop             *Loop
	address          string
	phase            atomic.Int32
	atCapacity       atomic.Bool
	replyImmediately bool
	replyWidth       int // of an answer, in copies of what it answers
	opened           chan *echoHandler
	closed           chan *echoHandler
	runResult        chan error
}

func (s *testHost) Accept() ServerHandler {
	if s.atCapacity.Load() {
		return nil
	}
	return &echoHandler{host: s}
}

func (s *testHost) Tick() (time.Time, Phase) {
	return time.Now().Add(5 * time.Millisecond), Phase(s.phase.Load())
}

func startHost(t *testing.T, atOnce bool) *testHost {
	t.Helper()
	s := newTestHost(t, atOnce, 64<<20)
	t.Cleanup(s.stop)
	return s
}

func newTestHost(t testingT, atOnce bool, memory int64) *testHost {
	t.Helper()
	s := &testHost{t: t, replyImmediately: atOnce, opened: make(chan *echoHandler, 1000), closed: make(chan *echoHandler, 1000), runResult: make(chan error, 1)}
	up := make(chan *Loop, 1)
	go func() {
		s.runResult <- Run("127.0.0.1:0", s, memory, 20, zap.NewNop(), func(l *Loop) { up <- l })
	}()
	s.loop = testutil.Next(t, up, "the loop")
	s.address = s.loop.listener.Addr().String()
	return s
}

func (s *testHost) stop() {
	s.t.Helper()
	s.phase.Store(int32(PhaseStopped))
	s.loop.Post(nil)
	if err := testutil.Next(s.t, s.runResult, "the end"); err != nil {
		s.t.Error(err)
	}
}

// runOnLoop runs f on the loop and waits for it.
func (s *testHost) runOnLoop(f func()) {
	s.t.Helper()
	done := make(chan struct{})
	s.loop.Post(func() {
		f()
		close(done)
	})
	testutil.Next(s.t, done, "a task")
}

// dial connects with a receive buffer of so many bytes, 0 for the usual one.
func (s *testHost) dial(buffer int) net.Conn {
	s.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if buffer > 0 {
			_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer) })
		}
		return err
	}}
	c, err := d.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// dialWithPending is a connection whose peer owes an answer to each byte of the text.
func (s *testHost) dialWithPending(buffer int, text string) (net.Conn, *echoHandler) {
	s.t.Helper()
	c := s.dial(buffer)
	e := testutil.Next(s.t, s.opened, "a connection")
	send(s.t, c, text)
	s.await(func() bool { return len(e.pending) == len(text) })
	return c, e
}

func send(t testingT, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// readAll reads up to the end of the connection, which must be no reset.
func readAll(t testingT, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%v after %d bytes", err, len(text))
	}
	return string(text)
}

// The bytes behind a fault are unread when the connection ends: a close over them would reset it, and what is open would
// get no answer at all.
func TestProtocolErrorClosesAfterPendingRepliesWithoutReset(t *testing.T) {
	s := startHost(t, false)
	c, e := s.dialWithPending(0, "abc")
	send(t, c, "!")
	s.await(func() bool { return e.conn.(*conn).state == stateDraining })
	send(t, c, "def")
	s.await(func() bool { return e.conn.(*conn).discarded == 3 })
	s.runOnLoop(e.reply)
	if got := readAll(t, c); got != "abc" {
		t.Errorf("got %q", got)
	}
	send(t, c, "ghi") // after the end
	s.await(func() bool { return e.conn.(*conn).discarded == 6 })
	c.Close()
	testutil.Next(t, s.closed, "the end")
	if string(e.received) != "abc!" {
		t.Errorf("its peer read %q", e.received)
	}
}

func (s *testHost) await(holds func() bool) {
	s.t.Helper()
	for end, ok := time.Now().Add(testTimeout), false; ; time.Sleep(time.Millisecond) {
		if s.runOnLoop(func() { ok = holds() }); ok {
			return
		}
		if time.Now().After(end) {
			s.t.Fatal("never")
		}
	}
}

// Answers that the system did not take are written before the end, however slowly the other side reads.
func TestCloseWaitsForUnsentOutput(t *testing.T) {
	s := startHost(t, false)
	s.smallBuffers()
	c := s.dial(4 << 10)
	e := testutil.Next(t, s.opened, "a connection")
	answer := bytes.Repeat([]byte("0123456789abcdef"), 12<<10) // 192 KiB
	left := 0
	s.runOnLoop(func() {
		e.conn.Write(answer)
		e.conn.Close()
	})
	s.runOnLoop(func() { left = e.conn.(*conn).socket.OutboundBuffered() })
	if left == 0 {
		t.Fatal("the system took it all: this test shows nothing")
	}
	send(t, c, "unread") // stands in our receive buffer at the end
	if got := readAll(t, c); got != string(answer) {
		t.Errorf("%d bytes of %d came", len(got), len(answer))
	}
}

// Whoever neither reads nor ends is given up after a while, and so is the oldest beyond the room for such.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	s := startHost(t, true)
	var first *conn
	for n := range 25 {
		s.dial(0)
		e := testutil.Next(t, s.opened, "a connection")
		s.runOnLoop(func() {
			e.conn.Close()
			if n == 0 {
				first = e.conn.(*conn)
			}
		})
	}
	s.await(func() bool { return len(s.loop.lingering) == 20 && first.state == stateClosed })
	for range 5 {
		testutil.Next(t, s.closed, "the end of one beyond the room")
	}
	flood := s.dial(0)
	e := testutil.Next(t, s.opened, "a connection")
	s.runOnLoop(e.conn.Close)
	for err := error(nil); err == nil; { // until it closes over what comes
		_, err = flood.Write(make([]byte, 64<<10))
	}
	for range 21 { // by their time
		testutil.Next(t, s.closed, "the end of one that does not read")
	}
	s.await(func() bool { return len(s.loop.lingering) == 0 && len(s.loop.acceptedConns) == 0 })
}

// What the system accepted before the listener's end is owed an answer, whether or not the program had come to it: here
// the loop is held, one connection stands in the acceptor's hands and the others in the system's queue.
func TestListenerCloseServesAcceptedConnections(t *testing.T) {
	s := startHost(t, true)
	hold := make(chan struct{})
	held := make(chan struct{})
	go s.loop.Post(func() {
		close(held)
		<-hold
	})
	testutil.Next(t, held, "the loop's standstill")
	var conns []net.Conn
	for n := range 16 {
		c := s.dial(0)
		send(t, c, fmt.Sprintf("request %02d", n))
		conns = append(conns, c)
	}
	s.phase.Store(int32(PhaseClosingConns)) // at once: nothing was read, so the host owes nothing
	close(hold)
	for n, c := range conns {
		if got, want := readAll(t, c), fmt.Sprintf("request %02d", n); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		c.Close()
	}
	if err := testutil.Next(t, s.runResult, "the end"); err != nil {
		t.Error(err)
	}
	s.runResult <- nil // for the clean-up
	if c, err := net.Dial("tcp", s.address); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// The end waits for who still reads its last answers.
func TestShutdownWaitsForPendingReplies(t *testing.T) {
	s := startHost(t, false)
	c, e := s.dialWithPending(0, "abc")
	s.phase.Store(int32(PhaseClosingConns)) // an answer is owed by the peer all the same
	s.await(func() bool { return e.conn.(*conn).state == stateDraining })
	select {
	case <-s.runResult:
		t.Fatal("ended over an answer that is owed")
	default:
	}
	s.runOnLoop(e.reply)
	if got := readAll(t, c); got != "abc" {
		t.Errorf("got %q", got)
	}
	c.Close()
	s.runResult <- testutil.Next(t, s.runResult, "the end")
}

func TestNoCapacityClosesWithoutReset(t *testing.T) {
	s := startHost(t, true)
	hold, held := make(chan struct{}), make(chan struct{})
	go s.loop.Post(func() {
		close(held)
		<-hold
	})
	testutil.Next(t, held, "the loop's standstill")
	s.atCapacity.Store(true)
	c := s.dial(0)
	send(t, c, "abc") // unread at the end
	close(hold)
	if got := readAll(t, c); got != "" {
		t.Errorf("got %q", got)
	}
}
