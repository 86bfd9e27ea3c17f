// Package loop owns the sockets: one gnet event loop, on whose goroutine everything of the instance happens. It
// hands bytes to the peer of their connection, gathers what is ready, then calls the host's Round once for all of
// it, and writes out what the peers have put down by then. Outbound connections are dialled on a goroutine of
// their own and join the loop when they stand. It must never block, decide, or know what the bytes mean; an
// error or a panic in a peer ends that peer's connection and nothing else.
package loop

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/panjf2000/gnet/v2"
	gerrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"go.uber.org/zap"
)

const (
	mostUnsent  = 512 << 10              // bytes that a peer may leave unread before its connection is closed
	keptBuffer  = 16 << 10               // output buffers over it are given back when they are empty
	lateWake    = 50 * time.Millisecond  // a wake so late tells of a standstill
	mostGathers = 64                     // rounds put off after a standstill while still more comes in
	readBuffer  = 64 << 10               // what one connection may bring at a time
	bootGap     = 100 * time.Millisecond // between tries to get the first socket into the loop
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

// Host is told of the rounds.
type Host interface {
	Accept() Peer             // nil: no room
	Round() (time.Time, bool) // all that was ready has been read; when to come again at the latest, and whether to end
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
	host    Host
	address string
	log     *zap.Logger
	engine  gnet.Engine
	el      gnet.EventLoop
	first   func() // once, on the loop, when it turns

	booted  bool
	queued  bool // a round is
	read    bool // something came since the last round
	gathers int
	wake    time.Time
	timer   *time.Timer
	dirty   []*conn // have output or are to be closed; emptied each round
	ending  bool
}

type conn struct {
	l       *Loop
	g       gnet.Conn
	peer    Peer
	out     []byte // emptied each round
	dirty   bool
	closing bool
}

// Run serves on the address until the host ends it. first is called once on the loop.
func Run(address string, host Host, log *zap.Logger, first func(*Loop)) error {
	l := &Loop{host: host, address: address, log: log}
	l.first = func() { first(l) }
	return gnet.Run(l, "tcp://"+address, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithLoadBalancing(gnet.LeastConnections), gnet.WithTicker(true), gnet.WithReadBufferCap(readBuffer),
		gnet.WithLogger(log.Sugar()), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
}

// OnBoot keeps the engine.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	return gnet.None
}

// OnTick comes on a goroutine of gnet's once the loop exists; it is used this once, to get hold of the loop.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if l.booted {
		return time.Hour, gnet.None
	}
	l.booted = true
	for {
		// gnet names its loop only through a connection on it. This datagram socket sends nothing.
		c, err := net.Dial("udp", l.address)
		if err == nil {
			var came <-chan gnet.RegisteredResult
			if came, err = l.engine.Register(gnet.NewNetConnContext(context.Background(), c)); err == nil {
				if r := <-came; r.Err == nil {
					el := r.Conn.EventLoop()
					_ = el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
						l.el = el
						_ = el.Close(r.Conn)
						l.timer = time.AfterFunc(time.Hour, func() { l.Do(nil) })
						l.first()
						l.round()
						return nil
					}))
					return time.Hour, gnet.None
				}
			}
		}
		time.Sleep(bootGap)
	}
}

// Do runs f on the loop, and a round after it. It may be called from any goroutine once first has been.
func (l *Loop) Do(f func()) {
	_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if f != nil {
			l.guard("task", f)
		}
		return l.round()
	}))
}

// Dial opens a connection for the peer; Opened or Closed follows on the loop.
func (l *Loop) Dial(network, address string, patience time.Duration, p Peer) {
	go func() {
		c, err := net.DialTimeout(network, address, patience)
		if err == nil {
			ctx := gnet.NewNetConnContext(gnet.NewContext(context.Background(), p), c)
			var came <-chan gnet.RegisteredResult
			if came, err = l.engine.Register(ctx); err == nil {
				if r := <-came; r.Err == nil {
					return
				} else {
					err = r.Err
				}
			}
		}
		l.Do(func() { p.Closed(&Broken{false, err}) })
	}()
}

// OnOpen greets a connection of either kind.
func (l *Loop) OnOpen(g gnet.Conn) (out []byte, action gnet.Action) {
	p, outbound := g.Context().(Peer)
	if !outbound {
		if g.LocalAddr() != nil && g.LocalAddr().Network() == "udp" {
			return nil, gnet.None // the socket of OnTick
		}
		if p = l.host.Accept(); p == nil {
			return nil, gnet.Close
		}
	}
	c := &conn{l: l, g: g, peer: p}
	g.SetContext(c)
	l.guard("open", func() { p.Opened(c) })
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
	err := fmt.Errorf("peer failed")
	l.guard("read", func() { err = c.peer.Read(data) })
	if err == nil {
		return gnet.None
	}
	l.log.Warn("connection closed", zap.Error(err), zap.String("peer", fmt.Sprint(g.RemoteAddr())))
	c.flush()
	return gnet.Close
}

// OnClose tells the peer.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*conn); ok {
		c.closing = true
		if err == nil {
			err = net.ErrClosed
		}
		l.guard("close", func() { c.peer.Closed(&Broken{true, err}) })
		l.mark()
	}
	return gnet.None
}

// guard keeps a panic from going further than the connection or task that it came from.
func (l *Loop) guard(what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic", zap.String("in", what), zap.Any("cause", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// mark asks for a round after all that is ready now: gnet runs tasks behind the events of the poll they are in.
func (l *Loop) mark() {
	if !l.queued && l.el != nil {
		l.queued = true
		_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { return l.round() }))
	}
}

func (l *Loop) round() error {
	l.queued = false
	if l.ending {
		return gerrors.ErrEngineShutdown
	}
	// After a standstill all that waits is read first, so that the pause is not taken for load.
	if l.read && l.gathers < mostGathers && !l.wake.IsZero() && time.Since(l.wake) > lateWake {
		l.read = false
		l.gathers++
		l.mark()
		return nil
	}
	l.read, l.gathers = false, 0
	var end bool
	l.guard("round", func() { l.wake, end = l.host.Round() })
	for n := 0; n < len(l.dirty); n++ { // flushing may close, and closing may write elsewhere
		l.dirty[n].flush()
	}
	l.dirty = l.dirty[:0]
	if end {
		l.ending = true
		l.mark()
	}
	l.timer.Reset(max(time.Until(l.wake), 0))
	return nil
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
	if len(c.out) > 0 {
		if c.g.Context() == c {
			_, _ = c.g.Write(c.out)
		}
		if c.out = c.out[:0]; cap(c.out) > keptBuffer {
			c.out = nil
		}
	}
	if c.g.Context() != c {
		return // closed meanwhile
	}
	if c.g.OutboundBuffered() > mostUnsent {
		c.l.log.Warn("connection closed", zap.String("error", "peer does not read"))
		c.closing = true
	}
	if c.closing {
		_ = c.l.el.Close(c.g)
	}
}
