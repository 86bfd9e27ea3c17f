// Package loop owns the sockets: one gnet event loop, on whose goroutine everything of the instance happens. It
// hands bytes to the peer of their connection, gathers what is ready, then calls the host's Round once for all of
// it, and writes out what the peers have put down by then. Connections are accepted and dialled on goroutines of
// their own and join the loop when they stand. It must never block, decide, or know what the bytes mean; an
// error or a panic in a peer ends that peer's connection and nothing else. Its tables: dirty (emptied each round)
// and stuck (bounded by mostUnsent each and an eighth of the memory in all; emptied as the peers read).
package loop

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	mostUnsent  = 256 << 10             // bytes that one peer may leave unread before its connection is closed
	keptBuffer  = 16 << 10              // output buffers over it are given back when they are empty
	lateWake    = 50 * time.Millisecond // a wake so late tells of a standstill
	mostGathers = 64                    // rounds put off after a standstill while still more comes in
	readBuffer  = 64 << 10              // what one connection may bring at a time
	acceptGap   = 5 * time.Millisecond  // after a failed accept
)

// Wire is a connection as its peer sees it. All calls are made on the loop.
type Wire interface {
	Write(p []byte) // copied, and sent at the end of the round
	Close()         // at the end of the round, after what was written
}

// Peer is what sits on a connection. All calls are made on the loop.
type Peer interface {
	Opened(w Wire)
	Read(p []byte) error // p is valid in the call only; an error closes the connection
	Closed(err error)    // the last call; without Opened before it no connection came to be
}

// Phase is how far a host is with its life.
type Phase int

// The phases.
const (
	Serving Phase = iota
	Closing       // no further connection is accepted
	Ended
)

// Host is told of the rounds.
type Host interface {
	Accept() Peer              // nil: no room
	Round() (time.Time, Phase) // all that was ready has been read; when to come again at the latest
}

// Broken is why a connection ended, and how far it had come.
type Broken struct {
	Connected bool
	Err       error
}

func (b *Broken) Error() string {
	if b.Connected {
		return "connection broken: " + b.Err.Error()
	}
	return "no connection: " + b.Err.Error()
}

func (b *Broken) Unwrap() error { return b.Err }

// Loop is the engine; its fields belong to the loop's goroutine.
type Loop struct {
	gnet.BuiltinEventEngine
	host   Host
	log    *zap.Logger
	client *gnet.Client // gnet's engine without a listener of its own: see docs/design.md
	listen net.Listener
	el     gnet.EventLoop
	ended  chan struct{}

	queued  bool // a round is
	read    bool // something came since the last round
	gathers int
	wake    time.Time
	timer   *time.Timer
	phase   Phase
	dirty   []*conn // have output or are to be closed
	stuck   map[*conn]struct{}
	unsent  int // bytes that all together may leave unread
}

type conn struct {
	l       *Loop
	g       gnet.Conn
	peer    Peer
	out     []byte // emptied each round
	dirty   bool
	closing bool
}

// Run serves on the address, within the memory, until the host has ended. first is called once on the loop before
// anything else.
func Run(address string, host Host, memory int64, log *zap.Logger, first func(*Loop)) error {
	// Who supervises the instance may keep its address bound between two lives, so it has to be shared.
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		failed := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return cmp.Or(err, failed)
	}}
	listen, err := shared.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	l := &Loop{host: host, log: log, listen: listen, ended: make(chan struct{}), stuck: map[*conn]struct{}{},
		unsent: int(memory / 8)}
	l.client, err = gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBuffer),
		gnet.WithLogger(log.Sugar()), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err == nil {
		err = l.client.Start()
	}
	if err == nil {
		err = l.find()
	}
	if err != nil {
		listen.Close()
		return err
	}
	l.Do(func() {
		l.timer = time.AfterFunc(time.Hour, func() { l.Do(nil) })
		first(l)
	})
	go l.accept()
	<-l.ended
	return l.client.Stop()
}

// find gets hold of gnet's loop, which gnet names only through a connection on it. This datagram socket sends
// nothing and goes at once.
func (l *Loop) find() error {
	c, err := net.Dial("udp", l.listen.Addr().String())
	if err != nil {
		return err
	}
	g, err := l.client.Enroll(c)
	if err != nil {
		return err
	}
	l.el = g.EventLoop()
	return g.Close()
}

// accept brings the callers' connections into the loop, until the listener is closed.
func (l *Loop) accept() {
	for {
		c, err := l.listen.Accept()
		if err == nil {
			_, err = l.client.EnrollContext(c, accepted{})
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("not accepted", zap.Error(err))
			time.Sleep(acceptGap)
		}
	}
}

type accepted struct{}

// Do runs f on the loop, and a round after it. It may be called from any goroutine.
func (l *Loop) Do(f func()) {
	_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if f != nil {
			Guard(l.log, "task", f)
		}
		l.round()
		return nil
	}))
}

// Dial opens a connection for the peer; Opened or Closed follows on the loop.
func (l *Loop) Dial(network, address string, patience time.Duration, p Peer) {
	go func() {
		c, err := net.DialTimeout(network, address, patience)
		if err == nil {
			_, err = l.client.EnrollContext(c, p)
		}
		if err != nil {
			l.Do(func() { p.Closed(&Broken{false, err}) })
		}
	}()
}

// OnOpen greets a connection of either kind.
func (l *Loop) OnOpen(g gnet.Conn) (out []byte, action gnet.Action) {
	var p Peer
	switch of := g.Context().(type) {
	case Peer:
		p = of
	case accepted:
		if p = l.host.Accept(); p == nil {
			return nil, gnet.Close
		}
	default:
		return nil, gnet.None // the socket of find
	}
	c := &conn{l: l, g: g, peer: p}
	g.SetContext(c)
	Guard(l.log, "open", func() { p.Opened(c) })
	l.mark()
	return nil, gnet.None
}

// OnTraffic hands over what came.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	data, _ := g.Next(-1)
	if !ok || c.closing {
		return gnet.None
	}
	l.read = true
	l.mark()
	err := errors.New("peer failed")
	Guard(l.log, "read", func() { err = c.peer.Read(data) })
	if err == nil {
		return gnet.None
	}
	l.log.Warn("connection closed", zap.Error(err), zap.Stringer("peer", g.RemoteAddr()))
	c.flush()
	return gnet.Close
}

// OnClose tells the peer.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*conn); ok && l.phase != Ended {
		if delete(l.stuck, c); err == nil {
			err = net.ErrClosed
		}
		c.closing = true
		Guard(l.log, "close", func() { c.peer.Closed(&Broken{true, err}) })
		l.mark()
	}
	return gnet.None
}

// Guard keeps a panic from going further than the connection, task or event that it came from.
func Guard(log *zap.Logger, what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			log.Error("panic", zap.String("in", what), zap.String("cause", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// mark asks for a round after all that is ready now: gnet runs tasks behind the events of the poll they are in.
func (l *Loop) mark() {
	if !l.queued {
		l.queued = true
		_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			l.queued = false
			l.round()
			return nil
		}))
	}
}

func (l *Loop) round() {
	if l.phase == Ended {
		return
	}
	if l.putOff(time.Now()) {
		l.mark()
		return
	}
	phase := l.phase
	Guard(l.log, "round", func() { l.wake, phase = l.host.Round() })
	for n := 0; n < len(l.dirty); n++ { // flushing may close, and closing may write elsewhere
		l.dirty[n].flush()
	}
	l.dirty = l.dirty[:0]
	if len(l.stuck) > 0 {
		l.unstick()
	}
	if phase > Serving && l.phase == Serving {
		l.log.Info("no longer listening")
		l.listen.Close()
	}
	if l.phase = phase; phase == Ended {
		l.log.Info("ended")
		close(l.ended)
		return
	}
	l.timer.Reset(max(time.Until(l.wake), 0))
}

// putOff tells whether more is read before this round: after a standstill all that waits is, so that the pause is
// not taken for load.
func (l *Loop) putOff(now time.Time) bool {
	off := l.read && l.gathers < mostGathers && !l.wake.IsZero() && now.Sub(l.wake) > lateWake
	if l.read = false; !off {
		l.gathers = 0
		return false
	}
	l.gathers++
	return true
}

// unstick closes the connections that leave too much unread, and the worst while all together hold too much.
func (l *Loop) unstick() {
	for {
		var worst *conn
		most, all := 0, 0
		for c := range l.stuck {
			n := c.g.OutboundBuffered()
			if all += n; n == 0 {
				delete(l.stuck, c)
			} else if n > most {
				worst, most = c, n
			}
		}
		if most <= mostUnsent && all <= l.unsent {
			return
		}
		l.log.Warn("connection closed", zap.String("error", "peer does not read"), zap.Int("unsent", most))
		delete(l.stuck, worst)
		_ = l.el.Close(worst.g)
	}
}

// Write puts bytes down for the end of the round.
func (c *conn) Write(p []byte) {
	c.out = append(c.out, p...)
	c.touch()
}

// Close ends the connection at the end of the round.
func (c *conn) Close() {
	c.closing = true
	c.touch()
}

func (c *conn) touch() {
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
		c.l.mark()
	}
}

func (c *conn) flush() {
	c.dirty = false
	if c.g.Context() == c && len(c.out) > 0 {
		_, _ = c.g.Write(c.out) // closes the connection itself if it fails
	}
	if c.out = c.out[:0]; cap(c.out) > keptBuffer {
		c.out = nil
	}
	if c.g.Context() != c {
		return // closed meanwhile
	}
	if c.g.OutboundBuffered() > 0 {
		c.l.stuck[c] = struct{}{}
	}
	if c.closing {
		_ = c.l.el.Close(c.g)
	}
}
