// Package loop owns the sockets: one gnet event loop, on whose goroutine everything of the instance happens. It
// hands bytes to the peer of their connection, gathers what is ready, then calls the host's Round once for all of
// it, and writes out what the peers have put down by then. Connections are accepted and dialled on goroutines of
// their own and join the loop when they stand. It must never block, decide, or know what the bytes mean; an
// error or a panic in a peer ends that peer's connection and nothing else. Its tables: dirty (emptied each round),
// stuck (bounded by mostUnsent each and an eighth of the memory in all; emptied as the peers read), callers (what we
// accepted; bounded by the host's Accept and by ending) and ending (bounded by what Run is given, emptied by time).
package loop

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
)

const (
	maxUnsentPerConn  = 256 << 10             // bytes that one peer may leave unread before its connection ends
	maxRetainedBuffer = 16 << 10              // output buffers over it are given back when they are empty
	stallThreshold    = 50 * time.Millisecond // a wake so late tells of a standstill
	maxDeferrals      = 64                    // rounds put off after a standstill while still more comes in
	readBufferSize    = 64 << 10              // what one connection may bring at a time
)

// Conn is a connection as its peer sees it. All calls are made on the loop.
type Conn interface {
	Write(p []byte) // copied, and sent at the end of the round
	Close()         // no more is read; the connection ends after what is written and owed, as conn.go says
}

// Handler is what sits on a connection. All calls are made on the loop.
type Handler interface {
	Opened(w Conn)
	Received(p []byte) error // p is valid in the call only; an error closes the connection
	Closed(err error)        // the last call; without Opened before it no connection came to be
}

// ServerHandler is what sits on a connection that we accepted.
type ServerHandler interface {
	Handler
	HasPending() bool // an answer is still to be written
}

// Phase is how far a host is with its life.
type Phase int

// The phases.
const (
	PhaseServing         Phase = iota
	PhaseClosingListener       // what is accepted by now is still taken, nothing after it
	PhaseClosingConns          // the host owes nothing: once the sockets owe nothing either, Run returns
	PhaseStopped               // Run returns, whatever is owed
)

// Host is told of the rounds.
type Host interface {
	Accept() ServerHandler    // nil: no room
	Tick() (time.Time, Phase) // all that was ready has been read; when to come again at the latest
}

// ConnError is why a connection ended, and how far it had come.
type ConnError struct {
	Connected bool
	Err       error
}

func (b *ConnError) Error() string {
	if b.Connected {
		return "connection broken: " + b.Err.Error()
	}
	return "no connection: " + b.Err.Error()
}

func (b *ConnError) Unwrap() error { return b.Err }

// Loop is the engine; its fields belong to the loop's goroutine.
type Loop struct {
	gnet.BuiltinEventEngine
	host      Host
	log       *zap.Logger
	client    *gnet.Client // gnet's engine without a listener of its own: see docs/design.md
	eventLoop gnet.EventLoop
	stopped   chan struct{}

	listener        *net.TCPListener
	listenerClosing bool // its end has begun
	listening       bool // it has not ended
	hasUnreadConns  bool // a connection, since the last round that asked

	tickQueued     bool // a round is
	hasReceived    bool // something came since the last round
	deferrals      int
	nextTick       time.Time
	tickTimer      *time.Timer
	phase          Phase
	dirty          []*conn // have output or are to be closed
	blocked        map[*conn]struct{}
	maxTotalUnsent int // bytes that all together may leave unread

	acceptedConns map[*conn]struct{}
	lingering     map[*conn]struct{} // of them, those on which nothing is owed any more
	maxLingering  int
	lingerTimeout time.Duration
}

// Run serves on the address, within the memory, until the host has ended; mostEnding is how many connections may be on
// their way to the end at a time. first is called once on the loop before anything else.
func Run(address string, host Host, memory int64, mostEnding int, log *zap.Logger, first func(*Loop)) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	l := &Loop{host: host, log: log, listener: listener, listening: true, stopped: make(chan struct{}), blocked: map[*conn]struct{}{},
		maxTotalUnsent: int(memory / 8), acceptedConns: map[*conn]struct{}{}, lingering: map[*conn]struct{}{}, maxLingering: mostEnding, lingerTimeout: lingerTimeout}
	l.client, err = gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferSize),
		gnet.WithLogger(log.Sugar()), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err == nil {
		err = l.client.Start()
	}
	if err == nil {
		err = l.attachEventLoop()
	}
	if err != nil {
		listener.Close()
		return err
	}
	l.Post(func() {
		l.tickTimer = time.AfterFunc(time.Hour, func() { l.Post(nil) })
		first(l)
	})
	go l.acceptConns()
	<-l.stopped
	return l.client.Stop()
}

// Post runs f on the loop, and a round after it. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	_ = l.eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if f != nil {
			WithRecover(l.log, "task", f)
		}
		l.tick()
		return nil
	}))
}

// WithRecover keeps a panic from going further than the connection, task or event that it came from.
func WithRecover(log *zap.Logger, what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			log.Error("panic", zap.String("in", what), zap.String("cause", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// scheduleTick asks for a round after all that is ready now: gnet runs tasks behind the events of the poll they are in.
func (l *Loop) scheduleTick() {
	if !l.tickQueued {
		l.tickQueued = true
		_ = l.eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			l.tickQueued = false
			l.tick()
			return nil
		}))
	}
}

func (l *Loop) tick() {
	if l.phase == PhaseStopped {
		return
	}
	if l.deferTick(time.Now()) {
		l.scheduleTick()
		return
	}
	phase := l.phase
	WithRecover(l.log, "round", func() { l.nextTick, phase = l.host.Tick() })
	if l.flush(); phase >= PhaseClosingListener {
		l.closeListener()
	}
	if phase >= PhaseClosingConns && l.allAcceptedRead() {
		for c := range l.acceptedConns {
			c.Close()
		}
		l.flush()
	}
	if next := l.closeExpired(time.Now()); !next.IsZero() && next.Before(l.nextTick) {
		l.nextTick = next
	}
	if phase == PhaseClosingConns && !l.hasAcceptedConns() {
		phase = PhaseStopped
	}
	if l.phase = phase; phase == PhaseStopped {
		l.log.Info("ended", zap.Int("connections left", len(l.acceptedConns)))
		close(l.stopped)
		return
	}
	l.tickTimer.Reset(max(time.Until(l.nextTick), 0))
}

// allAcceptedRead tells whether all that joined has been read once: the poll behind its joining brings what it holds.
func (l *Loop) allAcceptedRead() bool {
	if l.hasUnreadConns {
		l.hasUnreadConns = false
		l.scheduleTick()
		return false
	}
	return !l.listening
}

// hasAcceptedConns tells whether a connection that the system accepted has not come to its end yet.
func (l *Loop) hasAcceptedConns() bool { return l.listening || len(l.acceptedConns) > 0 }

// flush writes what was put down, and ends what is to be.
func (l *Loop) flush() {
	for n := 0; n < len(l.dirty); n++ { // flushing may close, and closing may write elsewhere
		l.dirty[n].flush()
	}
	l.dirty = l.dirty[:0]
	if len(l.blocked) > 0 {
		l.enforceUnsentLimits()
	}
}

// deferTick tells whether more is read before this round: after a standstill all that waits is, so that the pause is
// not taken for load.
func (l *Loop) deferTick(now time.Time) bool {
	off := l.hasReceived && l.deferrals < maxDeferrals && !l.nextTick.IsZero() && now.Sub(l.nextTick) > stallThreshold
	if l.hasReceived = false; !off {
		l.deferrals = 0
		return false
	}
	l.deferrals++
	return true
}

// enforceUnsentLimits ends the connections that leave too much unread: nothing more is read from them, what they still owe is
// written, and they close by their time. While all together hold too much the worst closes at once: memory goes first.
func (l *Loop) enforceUnsentLimits() {
	for {
		var worst *conn
		most, all := 0, 0
		for c := range l.blocked {
			n := c.socket.OutboundBuffered()
			if n == 0 {
				if delete(l.blocked, c); c.state == stateDraining {
					c.advanceClose()
				}
				continue
			}
			if n > maxUnsentPerConn && c.state == stateOpen {
				l.log.Warn("connection ends", zap.String("error", "peer does not read"), zap.Int("unsent", n))
				c.Close()
			}
			if all += n; n > most {
				worst, most = c, n
			}
		}
		if all <= l.maxTotalUnsent {
			return
		}
		l.log.Warn("connection closed", zap.String("error", "peers do not read"), zap.Int("unsent", most), zap.Int("of all", all))
		delete(l.blocked, worst)
		_ = l.eventLoop.Close(worst.socket)
	}
}
