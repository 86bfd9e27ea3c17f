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
	mostUnsent  = 256 << 10             // bytes that one peer may leave unread before its connection ends
	keptBuffer  = 16 << 10              // output buffers over it are given back when they are empty
	lateWake    = 50 * time.Millisecond // a wake so late tells of a standstill
	mostGathers = 64                    // rounds put off after a standstill while still more comes in
	readBuffer  = 64 << 10              // what one connection may bring at a time
)

// Wire is a connection as its peer sees it. All calls are made on the loop.
type Wire interface {
	Write(p []byte) // copied, and sent at the end of the round
	Close()         // no more is read; the connection ends after what is written and owed, as conn.go says
}

// Peer is what sits on a connection. All calls are made on the loop.
type Peer interface {
	Opened(w Wire)
	Read(p []byte) error // p is valid in the call only; an error closes the connection
	Closed(err error)    // the last call; without Opened before it no connection came to be
}

// Caller is what sits on a connection that we accepted.
type Caller interface {
	Peer
	Owes() bool // an answer is still to be written
}

// Phase is how far a host is with its life.
type Phase int

// The phases.
const (
	Serving   Phase = iota
	Unlisting       // what is accepted by now is still taken, nothing after it
	Ending          // the host owes nothing: once the sockets owe nothing either, Run returns
	Ended           // Run returns, whatever is owed
)

// Host is told of the rounds.
type Host interface {
	Accept() Caller            // nil: no room
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
	el     gnet.EventLoop
	ended  chan struct{}

	listener  *net.TCPListener
	unlisting bool // its end has begun
	listening bool // it has not ended
	joined    bool // a connection, since the last round that asked

	queued  bool // a round is
	read    bool // something came since the last round
	gathers int
	wake    time.Time
	timer   *time.Timer
	phase   Phase
	dirty   []*conn // have output or are to be closed
	stuck   map[*conn]struct{}
	unsent  int // bytes that all together may leave unread

	callers    map[*conn]struct{}
	ending     map[*conn]struct{} // of them, those on which nothing is owed any more
	mostEnding int
	linger     time.Duration
}

// Run serves on the address, within the memory, until the host has ended; mostEnding is how many connections may be on
// their way to the end at a time. first is called once on the loop before anything else.
func Run(address string, host Host, memory int64, mostEnding int, log *zap.Logger, first func(*Loop)) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	l := &Loop{host: host, log: log, listener: listener, listening: true, ended: make(chan struct{}), stuck: map[*conn]struct{}{},
		unsent: int(memory / 8), callers: map[*conn]struct{}{}, ending: map[*conn]struct{}{}, mostEnding: mostEnding, linger: lingerFor}
	l.client, err = gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBuffer),
		gnet.WithLogger(log.Sugar()), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err == nil {
		err = l.client.Start()
	}
	if err == nil {
		err = l.find()
	}
	if err != nil {
		listener.Close()
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
	if l.flush(); phase >= Unlisting {
		l.endListening()
	}
	if phase >= Ending && l.settled() {
		for c := range l.callers {
			c.Close()
		}
		l.flush()
	}
	if next := l.sweepEnding(time.Now()); !next.IsZero() && next.Before(l.wake) {
		l.wake = next
	}
	if phase == Ending && !l.owes() {
		phase = Ended
	}
	if l.phase = phase; phase == Ended {
		l.log.Info("ended", zap.Int("connections left", len(l.callers)))
		close(l.ended)
		return
	}
	l.timer.Reset(max(time.Until(l.wake), 0))
}

// settled tells whether all that joined has been read once: the poll behind its joining brings what it holds.
func (l *Loop) settled() bool {
	if l.joined {
		l.joined = false
		l.mark()
		return false
	}
	return !l.listening
}

// owes tells whether a connection that the system accepted has not come to its end yet.
func (l *Loop) owes() bool { return l.listening || len(l.callers) > 0 }

// flush writes what was put down, and ends what is to be.
func (l *Loop) flush() {
	for n := 0; n < len(l.dirty); n++ { // flushing may close, and closing may write elsewhere
		l.dirty[n].flush()
	}
	l.dirty = l.dirty[:0]
	if len(l.stuck) > 0 {
		l.unstick()
	}
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

// unstick ends the connections that leave too much unread: nothing more is read from them, what they still owe is
// written, and they close by their time. While all together hold too much the worst closes at once: memory goes first.
func (l *Loop) unstick() {
	for {
		var worst *conn
		most, all := 0, 0
		for c := range l.stuck {
			n := c.g.OutboundBuffered()
			if n == 0 {
				if delete(l.stuck, c); c.state == draining {
					c.finish()
				}
				continue
			}
			if n > mostUnsent && c.state == open {
				l.log.Warn("connection ends", zap.String("error", "peer does not read"), zap.Int("unsent", n))
				c.Close()
			}
			if all += n; n > most {
				worst, most = c, n
			}
		}
		if all <= l.unsent {
			return
		}
		l.log.Warn("connection closed", zap.String("error", "peers do not read"), zap.Int("unsent", most), zap.Int("of all", all))
		delete(l.stuck, worst)
		_ = l.el.Close(worst.g)
	}
}
