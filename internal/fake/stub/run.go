package stub

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxSleep bounds one sleep, and so how late a load that is stopped notices it.
const maxSleep = 20 * time.Millisecond

// loadRun is the state of one run of a load.
type loadRun struct {
	load     Load
	random   *rand.Rand
	conns    []*conn
	nextConn int // index of the connection to try next

	mu         sync.Mutex
	samples    Samples
	unfinished int  // requests sent and neither answered nor lost
	allSent    bool // no further request will be sent
	finished   bool // later answers are ignored
	done       chan struct{}
	readers    sync.WaitGroup
}

// sendAll sends every request at its due time, until the load is over, stopped or cancelled.
func (r *loadRun) sendAll(ctx context.Context) {
	begin := time.Now()
	for due := r.interval(); due < r.load.Duration; due += r.interval() {
		if !r.sleepUntil(ctx, begin.Add(due)) {
			break
		}
		r.send(begin.Add(due))
	}
	r.mu.Lock()
	r.allSent = true
	r.mu.Unlock()
}

// interval draws the time between two requests.
func (r *loadRun) interval() time.Duration {
	return time.Duration(r.random.ExpFloat64() / r.load.Rate * float64(time.Second))
}

// sleepUntil sleeps with the kernel's timers, since Go's fire up to a millisecond late. It returns false when the load has
// been stopped or cancelled.
func (r *loadRun) sleepUntil(ctx context.Context, at time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-r.load.Stop:
			return false
		default:
		}
		wait := min(time.Until(at), maxSleep)
		if wait <= 0 {
			return true
		}
		request := unix.NsecToTimespec(int64(wait))
		_ = unix.Nanosleep(&request, nil) // when interrupted, the loop sleeps again
	}
}

// send sends one request, or records that no connection had capacity for it.
func (r *loadRun) send(due time.Time) {
	r.mu.Lock()
	n := len(r.samples)
	r.samples = append(r.samples, Sample{Due: due, Outcome: Unsent})
	r.mu.Unlock()
	if r.load.GeneratorDelay != nil {
		time.Sleep(r.load.GeneratorDelay(n))
	}
	r.setOutcome(n, Unanswered) // before the reservation: the connection may end right after it
	c, id := r.reserve(n)
	if c == nil {
		r.setOutcome(n, Unsent)
		return
	}
	c.send(id, r.load.Request(n), r.random.Uint64())
}

// setOutcome records that a request is being sent (Unanswered), or that it could not be (Unsent).
func (r *loadRun) setOutcome(n int, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples[n].Outcome = outcome
	r.samples[n].SendDelay = time.Since(r.samples[n].Due)
	if outcome == Unanswered {
		r.unfinished++
	} else {
		r.unfinished--
	}
}

// reserve returns a connection with capacity for the request, round-robin, and the request's ID on it; nil when there is
// none. A connection that is closing is replaced.
func (r *loadRun) reserve(n int) (*conn, int) {
	for range r.conns {
		r.nextConn = (r.nextConn + 1) % len(r.conns)
		c := r.conns[r.nextConn]
		if id, ok := c.reserve(n); ok {
			return c, id
		}
		if !c.isClosing() {
			continue
		}
		fresh, err := r.dial()
		if err != nil {
			continue
		}
		r.conns[r.nextConn] = fresh
		if id, ok := fresh.reserve(n); ok {
			return fresh, id
		}
	}
	return nil, 0
}

// complete records the outcome of a request, unless it has one already.
func (r *loadRun) complete(n int, outcome Outcome) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished || r.samples[n].Outcome != Unanswered {
		return
	}
	r.samples[n].Outcome = outcome
	r.samples[n].Latency = now.Sub(r.samples[n].Due)
	r.unfinished--
	if r.allSent && r.unfinished == 0 {
		select {
		case r.done <- struct{}{}:
		default:
		}
	}
}

// await waits until every request has an outcome, at most AnswerTimeout.
func (r *loadRun) await(ctx context.Context) {
	r.mu.Lock()
	open := r.unfinished
	r.mu.Unlock()
	if open == 0 {
		return
	}
	select {
	case <-r.done:
	case <-time.After(r.load.AnswerTimeout):
	case <-ctx.Done():
	}
}

// finish returns the samples; a request without an outcome gets its age as latency.
func (r *loadRun) finish() Samples {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	for n := range r.samples {
		s := &r.samples[n]
		if s.Outcome == Unanswered || s.Outcome == Unsent {
			s.Latency = now.Sub(s.Due)
		}
	}
	return r.samples
}

// closeConns closes all connections and waits for their readers.
func (r *loadRun) closeConns() {
	for _, c := range r.conns {
		c.net.Close()
	}
	r.readers.Wait()
}
