// Package loop runs one gnet event loop, whose goroutine owns all state of a service instance. After each poll it delivers
// received bytes to the Handler of each connection, calls Host.Tick once, and then sends the output that the handlers have
// written. Connections are accepted and dialled on separate goroutines and join the loop once they are established.
//
// Nothing on the loop may block. An error or a panic in a handler while it receives closes only the connection of that handler.
//
// All tables are bounded: unsent output by maxUnsentBytesPerConn for each connection and an eighth of the memory limit in
// total, output that is not flushed yet by a 64th of it and what one connection's input causes, the kernel's buffers of an
// accepted connection by Config.SocketBufferBytes, accepted connections by Host.Accept, and closing connections by
// Config.MaxLingering and lingerTimeout.
package loop

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	readBufferSize      = 64 << 10  // bytes read from one connection at a time
	unsentMemoryDivisor = 8         // memory limit divided by this bounds the unsent output of all connections
	flushMemoryDivisor  = 64        // memory limit divided by this bounds the output written between two flushes
	initialTickDelay    = time.Hour // placeholder until the first tick sets the timer
)

// Phase is the progress of a host's shutdown. Phases are ordered, and a host never returns to an earlier one.
type Phase int

const (
	// PhaseServing accepts and serves connections.
	PhaseServing Phase = iota
	// PhaseClosingListener serves the connections established so far and closes the listener.
	PhaseClosingListener
	// PhaseClosingConns closes the accepted connections once their handlers have nothing pending; Run then returns.
	PhaseClosingConns
	// PhaseStopped makes Run return at once, even if replies are pending.
	PhaseStopped
)

// Host is the application that a Loop drives. All calls are made on the loop.
type Host interface {
	// Accept returns the handler of a new connection, or nil if there is no capacity for it.
	Accept() ServerHandler
	// Tick is called after all input that was ready has been received. It returns the time by which it must be called
	// again and the current phase.
	Tick() (next time.Time, phase Phase)
}

// Config configures Run.
type Config struct {
	Address      string      // to listen on, host:port
	Host         Host        // the application
	MemoryLimit  int64       // memory limit of the instance, in bytes; bounds the unsent output
	MaxLingering int         // bounds the accepted connections that wait for their peers to close
	Log          *zap.Logger // for connection errors and panics
	OnStart      func(*Loop) // called once on the loop, before any other callback

	// SocketBufferBytes is the size of the kernel's send buffer and that of its receive buffer for each accepted connection; 0
	// means the system's default, with which the kernel lets them grow to megabytes. Linux allocates up to twice this size.
	SocketBufferBytes int
}

// Loop is a running event loop. Its fields belong to the loop's goroutine.
type Loop struct {
	gnet.BuiltinEventEngine
	host      Host
	log       *zap.Logger
	client    *gnet.Client // a gnet engine without a listener, as the listener has to close before the engine stops
	eventLoop gnet.EventLoop
	stopped   chan struct{} // closed at PhaseStopped

	listener        *net.TCPListener
	listenerClosing bool
	listening       bool // the goroutine of acceptConns is running
	hasUnreadConns  bool // a connection was accepted since the last call of allAcceptedRead

	tickQueued  bool
	hasReceived bool // input was received since the last tick
	deferrals   int  // ticks deferred in a row
	nextTick    time.Time
	tickTimer   *time.Timer
	phase       Phase

	flushQueue          []*conn            // connections with output to send, or to be closed; emptied by each tick
	connsWithUnsent     map[*conn]struct{} // connections with unsent output, as their peers do not read
	maxTotalUnsentBytes int                // of all connections together
	unflushedBytes      int                // written by handlers since the last flush
	maxUnflushedBytes   int                // above this, output is flushed before further input is received

	polled        [1]unix.PollFd // argument of hasPeerLeft
	acceptedConns map[*conn]struct{}
	lingering     map[*conn]struct{} // accepted connections that are closing and have nothing pending
	maxLingering  int
	lingerTimeout time.Duration
}

// Run listens on the configured address and drives the host until its phase is PhaseStopped, or PhaseClosingConns with all
// accepted connections closed. It returns an error if it cannot listen, or if the engine fails to start or stop.
func Run(config Config) error {
	listener, err := listen(config.Address, config.SocketBufferBytes)
	if err != nil {
		return err
	}
	l := newLoop(config, listener)
	if err := l.startEngine(); err != nil {
		listener.Close()
		return err
	}
	l.Post(func() {
		l.tickTimer = time.AfterFunc(initialTickDelay, func() { l.Post(nil) })
		config.OnStart(l)
	})
	go l.acceptConns()
	<-l.stopped
	return l.client.Stop()
}

func newLoop(config Config, listener *net.TCPListener) *Loop {
	return &Loop{
		host:                config.Host,
		log:                 config.Log,
		stopped:             make(chan struct{}),
		listener:            listener,
		listening:           true,
		connsWithUnsent:     map[*conn]struct{}{},
		maxTotalUnsentBytes: int(config.MemoryLimit / unsentMemoryDivisor),
		maxUnflushedBytes:   int(config.MemoryLimit / flushMemoryDivisor),
		acceptedConns:       map[*conn]struct{}{},
		lingering:           map[*conn]struct{}{},
		maxLingering:        config.MaxLingering,
		lingerTimeout:       lingerTimeout,
	}
}

func (l *Loop) startEngine() (err error) {
	l.client, err = gnet.NewClient(l,
		gnet.WithNumEventLoop(1),
		gnet.WithReadBufferCap(readBufferSize),
		gnet.WithLogger(l.log.Sugar()),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
	)
	if err != nil {
		return err
	}
	if err := l.client.Start(); err != nil {
		return err
	}
	return l.attachEventLoop()
}

// attachEventLoop sets l.eventLoop, which gnet exposes only through a connection on it. The UDP socket enrolled for this
// purpose sends nothing and is closed at once.
func (l *Loop) attachEventLoop() error {
	c, err := net.Dial("udp", l.listener.Addr().String())
	if err != nil {
		return err
	}
	socket, err := l.client.Enroll(c)
	if err != nil {
		return err
	}
	l.eventLoop = socket.EventLoop()
	return socket.Close()
}

// Post runs task on the loop, followed by a tick. If task is nil, it runs only the tick. It may be called from any goroutine and
// does not wait.
func (l *Loop) Post(task func()) {
	l.execute(func() {
		if task != nil {
			WithRecover(l.log, "task", task)
		}
		l.tick()
	})
}

// After runs task on the loop after the delay. It may be called from any goroutine and does not wait.
func (l *Loop) After(delay time.Duration, task func()) {
	time.AfterFunc(delay, func() { l.Post(task) })
}

func (l *Loop) execute(task func()) {
	_ = l.eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		task()
		return nil
	}))
}

// WithRecover calls f, recovers from a panic in it and logs the panic with the name of the operation. A panic thus affects only
// the operation in which it occurs.
func WithRecover(log *zap.Logger, operation string, f func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		log.Error("panic recovered",
			zap.String("operation", operation),
			zap.String("cause", fmt.Sprint(cause)),
			zap.ByteString("stack", debug.Stack()))
	}()
	f()
}
