package loop

import (
	"bytes"
	"errors"
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

// testingT is the part of *testing.T and *rapid.T that testHost uses.
type testingT interface {
	Helper()
	Cleanup(func())
	Error(args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

const testTimeout = 20 * time.Second // of each wait; far more than passing tests need

// echoHandler echoes each byte it receives: at once, or when reply is called. A "!" is a protocol error.
type echoHandler struct {
	host     *testHost
	conn     Conn
	pending  []byte
	received []byte
	closeErr error
}

func (e *echoHandler) Opened(c Conn) {
	e.conn = c
	e.host.opened <- e
}

func (e *echoHandler) Received(p []byte) error {
	e.host.maxUnflushed = max(e.host.maxUnflushed, unflushed(e.conn.(*conn).loop))
	e.received = append(e.received, p...)
	for _, b := range p {
		if b == '!' {
			return errors.New("protocol error")
		}
		e.pending = append(e.pending, b)
	}
	if e.host.replyMode == replyAtOnce {
		e.reply()
	}
	return nil
}

func (e *echoHandler) reply() {
	pending := e.pending
	e.pending = nil
	for _, b := range pending {
		e.conn.Write(bytes.Repeat([]byte{b}, max(e.host.replyWidth, 1)))
	}
}

func (e *echoHandler) HasPending() bool { return len(e.pending) > 0 }

func (e *echoHandler) Closed(err error) {
	e.closeErr = err
	e.host.closed <- e
}

// replyMode says when an echoHandler replies.
type replyMode int

const (
	replyOnDemand replyMode = iota
	replyAtOnce
)

// testHost is a Host with echo handlers, whose phase the test sets.
type testHost struct {
	t          testingT
	loop       *Loop
	address    string
	phase      atomic.Int32
	atCapacity atomic.Bool
	replyMode  replyMode
	replyWidth int // copies of each byte in a reply; 0 means one
	opened     chan *echoHandler
	closed     chan *echoHandler
	runResult  chan error

	maxUnflushed int // largest output of all connections that was not flushed when input was received, in bytes
}

// unflushed returns how many bytes of output of the accepted connections are not flushed.
func unflushed(l *Loop) (bytes int) {
	for c := range l.acceptedConns {
		bytes += len(c.output)
	}
	return bytes
}

func (h *testHost) Accept() ServerHandler {
	if h.atCapacity.Load() {
		return nil
	}
	return &echoHandler{host: h}
}

func (h *testHost) Tick() (time.Time, Phase) {
	return time.Now().Add(5 * time.Millisecond), Phase(h.phase.Load())
}

func startHost(t *testing.T, mode replyMode) *testHost {
	t.Helper()
	h := newTestHost(t, mode, 64<<20)
	t.Cleanup(h.stop)
	return h
}

func newTestHost(t testingT, mode replyMode, memoryLimit int64) *testHost {
	t.Helper()
	h := &testHost{
		t:         t,
		replyMode: mode,
		opened:    make(chan *echoHandler, 1000),
		closed:    make(chan *echoHandler, 1000),
		runResult: make(chan error, 1),
	}
	started := make(chan *Loop, 1)
	go func() {
		h.runResult <- Run(Config{
			Address:      "127.0.0.1:0",
			Host:         h,
			MemoryLimit:  memoryLimit,
			MaxLingering: 20,
			Log:          zap.NewNop(),
			OnStart:      func(l *Loop) { started <- l },
		})
	}()
	h.loop = testutil.Next(t, started, "the loop's start")
	h.address = h.loop.listener.Addr().String()
	return h
}

func (h *testHost) stop() {
	h.t.Helper()
	h.phase.Store(int32(PhaseStopped))
	h.loop.Post(nil)
	if err := testutil.Next(h.t, h.runResult, "the result of Run"); err != nil {
		h.t.Error(err)
	}
}

// blockLoop blocks the loop until release is called.
func (h *testHost) blockLoop() (release func()) {
	h.t.Helper()
	released := make(chan struct{})
	blocked := make(chan struct{})
	go h.loop.Post(func() {
		close(blocked)
		<-released
	})
	testutil.Next(h.t, blocked, "the loop to block")
	return func() { close(released) }
}

// runOnLoop runs f on the loop and waits for it.
func (h *testHost) runOnLoop(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.loop.Post(func() {
		f()
		close(done)
	})
	testutil.Next(h.t, done, "a posted task")
}

// dial connects with a receive buffer of that many bytes; 0 means the system's default.
func (h *testHost) dial(buffer int) net.Conn {
	h.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if buffer > 0 {
			_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer) })
		}
		return err
	}}
	c, err := d.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// dialWithPending connects and sends the text, and returns once the replies to all of it are pending.
func (h *testHost) dialWithPending(buffer int, text string) (net.Conn, *echoHandler) {
	h.t.Helper()
	c := h.dial(buffer)
	e := testutil.Next(h.t, h.opened, "a connection")
	send(h.t, c, text)
	h.await(func() bool { return len(e.pending) == len(text) })
	return c, e
}

func send(t testingT, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// readAll reads up to the end of the stream. It fails the test if the connection is reset.
func readAll(t testingT, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%v after %d bytes", err, len(text))
	}
	return string(text)
}

// await waits until the condition holds on the loop.
func (h *testHost) await(condition func() bool) {
	h.t.Helper()
	end := time.Now().Add(testTimeout)
	for ; ; time.Sleep(time.Millisecond) {
		isTrue := false
		h.runOnLoop(func() { isTrue = condition() })
		if isTrue {
			return
		}
		if time.Now().After(end) {
			h.t.Fatal("timed out waiting for a condition on the loop")
		}
	}
}

// shrinkSendBuffers gives all connections accepted from now on a small send buffer, which they inherit from the listener.
func (h *testHost) shrinkSendBuffers() {
	raw, _ := h.loop.listener.SyscallConn()
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10) })
}
