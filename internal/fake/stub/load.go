// Package stub is a stand-in for client stubs: an open-loop load on one instance, in the platform's JSON-RPC by lines. Requests
// are due at times drawn before anything is sent, and latency counts from then, so that an instance (or a
// generator) that stands still can't hide what waited meanwhile. It owns the connections of one load and its samples.
// It must never leave out a request that was due: one that could not be sent, or has no answer, counts with its age.
//
// Tables: connections (Load.Connections, ended with the load), open requests (32 a connection, by the protocol; emptied by the
// answer or the connection's end), samples (one a request that was due: Rate times Span).
package stub

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	mostSamples  = 1 << 20               // of one load
	longestSleep = 20 * time.Millisecond // at a stretch: a load that is stopped ends so soon
)

// Load is requests at a mean rate, with exponential times between them.
type Load struct {
	Address     string
	Rate        float64         // requests a second
	Span        time.Duration   // in which requests are due
	Wait        time.Duration   // for answers after it
	Stop        <-chan struct{} // closed: nothing more is due; nil: never
	Connections int
	Seed        uint64                    // of the times between requests and of their ids
	Request     func(n int) Request       // the n-th, from 0
	Delay       func(n int) time.Duration // of the generator itself, for tests; nil: none
}

// Request is what one asks for.
type Request struct {
	Class, Tenant string
	Body          []byte
	MemoryKB      float64
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. Lost: its connection ended; Unanswered: nothing came in time; Unsent: no connection had room for it.
const (
	Unanswered Outcome = iota
	Served
	Rejected
	Failed
	Lost
	Unsent
)

// Sample is what became of one request.
type Sample struct {
	Due     time.Time     // when it was to be sent
	Late    time.Duration // how much later it was sent: the generator's own part
	Latency time.Duration // from Due to the answer; without one, to the load's end
	Outcome Outcome
}

// Samples are a load's, by the number of the request.
type Samples []Sample

var errLoad = errors.New("stub: expected a rate, a span and connections over 0, and 1,048,576 requests at most")

// Run sends the load and waits for its answers.
func (l Load) Run(ctx context.Context) (Samples, error) {
	if l.Rate <= 0 || l.Span <= 0 || l.Connections <= 0 || l.Rate*l.Span.Seconds() > mostSamples/2 {
		return nil, errLoad
	}
	r := &running{load: l, chance: rand.New(rand.NewPCG(l.Seed, 1)), done: make(chan struct{}, 1)}
	defer r.end()
	for range l.Connections {
		c, err := r.dial()
		if err != nil {
			return nil, fmt.Errorf("stub: %w", err)
		}
		r.conns = append(r.conns, c)
	}
	r.sendAll(ctx)
	r.await(ctx)
	return r.close(), ctx.Err()
}

// running is a load on its way.
type running struct {
	load   Load
	chance *rand.Rand
	conns  []*conn
	turn   int // the connection that is tried next

	mu      sync.Mutex
	samples Samples
	open    int  // sent and without an end
	sent    bool // all that was due
	over    bool // what comes now counts no more
	done    chan struct{}
	readers sync.WaitGroup
}

func (r *running) sendAll(ctx context.Context) {
	begin := time.Now()
	for due := r.gap(); due < r.load.Span; due += r.gap() {
		if !r.sleepUntil(ctx, begin.Add(due)) {
			break
		}
		r.send(begin.Add(due))
	}
	r.mu.Lock()
	r.sent = true
	r.mu.Unlock()
}

func (r *running) gap() time.Duration {
	return time.Duration(r.chance.ExpFloat64() / r.load.Rate * float64(time.Second))
}

// sleepUntil sleeps by the kernel's timers: Go's come up to a millisecond late. False: nothing more is due.
func (r *running) sleepUntil(ctx context.Context, at time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-r.load.Stop:
			return false
		default:
		}
		wait := min(time.Until(at), longestSleep)
		if wait <= 0 {
			return true
		}
		span := unix.NsecToTimespec(int64(wait))
		_ = unix.Nanosleep(&span, nil) // interrupted: the loop sleeps on
	}
}

func (r *running) send(due time.Time) {
	r.mu.Lock()
	n := len(r.samples)
	r.samples = append(r.samples, Sample{Due: due, Outcome: Unsent})
	r.mu.Unlock()
	if r.load.Delay != nil {
		time.Sleep(r.load.Delay(n))
	}
	r.mark(n, Unanswered) // before it is booked: its connection may end at once
	c, id := r.free(n)
	if c == nil {
		r.mark(n, Unsent)
		return
	}
	c.send(id, r.load.Request(n), r.chance.Uint64())
}

// mark notes that a request is on its way, or that it is not.
func (r *running) mark(n int, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples[n].Outcome = outcome
	r.samples[n].Late = time.Since(r.samples[n].Due)
	if outcome == Unanswered {
		r.open++
	} else {
		r.open--
	}
}

// free is a connection with room for the request, in turn, and its id there; one that has ended or was told to close is
// replaced.
func (r *running) free(n int) (*conn, int) {
	for range r.conns {
		r.turn = (r.turn + 1) % len(r.conns)
		c := r.conns[r.turn]
		if id, ok := c.take(n); ok {
			return c, id
		}
		if !c.ending() {
			continue
		}
		fresh, err := r.dial()
		if err != nil {
			continue
		}
		r.conns[r.turn] = fresh
		if id, ok := fresh.take(n); ok {
			return fresh, id
		}
	}
	return nil, 0
}

// ended notes the end of a request.
func (r *running) ended(n int, outcome Outcome) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || r.samples[n].Outcome != Unanswered {
		return
	}
	r.samples[n].Outcome = outcome
	r.samples[n].Latency = now.Sub(r.samples[n].Due)
	r.open--
	if r.sent && r.open == 0 {
		select {
		case r.done <- struct{}{}:
		default:
		}
	}
}

func (r *running) await(ctx context.Context) {
	r.mu.Lock()
	open := r.open
	r.mu.Unlock()
	if open == 0 {
		return
	}
	select {
	case <-r.done:
	case <-time.After(r.load.Wait):
	case <-ctx.Done():
	}
}

// close takes the samples; those without an end get their age.
func (r *running) close() Samples {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for n := range r.samples {
		s := &r.samples[n]
		if s.Outcome == Unanswered || s.Outcome == Unsent {
			s.Latency = now.Sub(s.Due)
		}
	}
	return r.samples
}

func (r *running) end() {
	for _, c := range r.conns {
		c.net.Close()
	}
	r.readers.Wait()
}
