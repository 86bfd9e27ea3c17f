// Package runtime is a fake of the runtime that owns an instance's cores. It serves the runtime's line protocol on loopback,
// simulates the tasks that it is told to start, and ends each after its run time. Like the real runtime it keeps running when the
// program that uses it crashes, and sends a new connection the notifications that the program has missed. A task that is running
// is not started again.
//
// Its tables are the running tasks (at most maxRuns; further starts are dropped) and the notifications, kept for connections that
// have missed them (at most maxNotifications; beyond that the older half is dropped). One mutex guards them, and is held while
// Work and the observers are called. Each connection has a goroutine; Close waits for all of them.
package runtime

import (
	"fmt"
	"net"
	"sync"
	"time"

	"thymechute/internal/fake/loopback"
)

// Limits of the tables, and of the length of a protocol line.
const (
	maxRuns          = 1 << 16
	maxNotifications = 1 << 16
	maxLineBytes     = 64 << 10
)

// Work determines the run time and the result of a task. A task with a run time of 0 ends immediately.
type Work func(class string, body []byte) (runTime time.Duration, result []byte)

// Runtime is the fake runtime.
type Runtime struct {
	work       Work
	onStart    func(class string, body []byte)
	onEnd      func(body []byte, took time.Duration)
	startTime  time.Time // of the runtime
	listener   net.Listener
	goroutines sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	servedConn    *servedConn // the connection that last sent sync, nil before the first
	hasSynced     bool        // a connection has sent sync
	lastIndex     uint64      // of the last notification
	firstIndex    uint64      // of the first stored notification
	notifications [][]byte
	runs          map[string]*time.Timer // of the running tasks, by task ID
}

// Start listens on a loopback address and returns the bound address. onStart is called for every task, in the order of their
// start commands and before work. Start returns a *loopback.AddressError or the listener's error.
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

// OnEnd sets an observer of tasks that complete. It is called just before the notification, with the task's body and the time
// since the task was started. Calls do not overlap. The observer must not block, and must not call the runtime.
func (r *Runtime) OnEnd(observer func(body []byte, took time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onEnd = observer
}

// RunCount returns the number of running tasks.
func (r *Runtime) RunCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Close stops all tasks, closes the listener and the served connection, and waits until all connections have ended.
func (r *Runtime) Close() {
	r.mu.Lock()
	r.closed = true
	for _, timer := range r.runs {
		timer.Stop()
	}
	if r.servedConn != nil {
		r.servedConn.net.Close()
	}
	r.mu.Unlock()
	r.listener.Close()
	r.goroutines.Wait()
}
