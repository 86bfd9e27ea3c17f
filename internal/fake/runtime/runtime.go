// Package runtime is a fake of the runtime that owns an instance's cores. It serves the runtime's line protocol on loopback,
// runs the tasks it is given, and ends each after its run time. Like the real runtime it keeps running when the program beside
// it dies, and sends a new connection the notifications that it has missed. It never runs a task twice at a time.
//
// Its tables are the tasks that run (maxRuns; a further start is dropped) and the notifications, stored for connections that may
// have missed them (maxNotifications; beyond that the older half is dropped). One mutex guards them, and is locked while Work and
// the observers are called. Each connection has a goroutine, ended by Close.
package runtime

import (
	"fmt"
	"net"
	"sync"
	"time"

	"thymechute/internal/fake/loopback"
)

// Bounds of the tables, and of a line of the protocol.
const (
	maxRuns          = 1 << 16
	maxNotifications = 1 << 16
	maxLineBytes     = 64 << 10
)

// Work decides how long a task runs, and its result. A run time of 0 ends the task at once.
type Work func(class string, body []byte) (runTime time.Duration, result []byte)

// Runtime is the fake runtime.
type Runtime struct {
	work       Work
	onStart    func(class string, body []byte)
	onEnd      func(body []byte, took time.Duration)
	startTime  time.Time
	listener   net.Listener
	goroutines sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	connection    *connection // the newest that has sent sync
	synced        bool        // a connection has sent sync before
	lastIndex     uint64      // of the last notification
	firstIndex    uint64      // of the first stored notification
	notifications [][]byte
	runs          map[string]*time.Timer // by task
}

// Start listens at a loopback address and returns the bound address. onStart is called for every task, in order, before work.
// The error is a *loopback.AddressError or that of the listener.
func Start(address string, work Work, onStart func(class string, body []byte)) (*Runtime, string, error) {
	if _, err := loopback.Parse(address); err != nil {
		return nil, "", fmt.Errorf("runtime: %w", err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	r := &Runtime{work: work, onStart: onStart, listener: l, startTime: time.Now(), runs: map[string]*time.Timer{}, firstIndex: 1}
	r.goroutines.Add(1)
	go r.acceptLoop()
	return r, l.Addr().String(), nil
}

func (r *Runtime) acceptLoop() {
	defer r.goroutines.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Add(1)
		go r.serve(c)
	}
}

// OnEnd sets an observer of tasks that end by themselves, called just before the notification with the task's body and the time
// since its start command was read. Calls do not overlap; the observer must not block.
func (r *Runtime) OnEnd(observer func(body []byte, took time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onEnd = observer
}

// RunCount is the number of tasks that run.
func (r *Runtime) RunCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Close stops all tasks and ends the runtime.
func (r *Runtime) Close() {
	r.mu.Lock()
	r.closed = true
	for _, timer := range r.runs {
		timer.Stop()
	}
	if r.connection != nil {
		r.connection.net.Close()
	}
	r.mu.Unlock()
	r.listener.Close()
	r.goroutines.Wait()
}
