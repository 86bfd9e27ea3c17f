package stub

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxSleep limits a single sleep, and therefore the delay until a run notices that it has been stopped.
const maxSleep = 20 * time.Millisecond

// loadRun is the state of one run of a load.
type loadRun struct {
	load     Load
	random   *rand.Rand
	conns    []*conn
	nextConn int // index of the connection to try next

	mu         sync.Mutex
	samples    Samples
	unfinished int           // requests that are being sent or are sent, and neither answered nor lost
	allSent    bool          // no further request will be sent
	finished   bool          // further answers are ignored
	done       chan struct{} // receives a value once allSent is set and unfinished is 0
	readers    sync.WaitGroup
}

// sendAll sends every request at its due time, until the load's duration has passed or the load is stopped or cancelled.
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

// sleepUntil sleeps by nanosleep(2), as Go's timers fire up to a millisecond late. It returns false when the load has been
// stopped or cancelled.
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
		_ = unix.Nanosleep(&request, nil) // the loop continues a sleep that was interrupted
	}
}

// send sends the next request, or records it as Unsent when no connection can take it.
func (r *loadRun) send(due time.Time) {
	r.mu.Lock()
	n := len(r.samples)
	r.samples = append(r.samples, Sample{Due: due, Outcome: Unsent})
	r.mu.Unlock()
	if r.load.GeneratorDelay != nil {
		time.Sleep(r.load.GeneratorDelay(n))
	}
	r.setOutcome(n, Unanswered) // before reserve: the connection may end, and lose the request, right after it
	c, id := r.reserve(n)
	if c == nil {
		r.setOutcome(n, Unsent)
		return
	}
	c.send(id, r.load.Request(n), r.random.Uint64())
}

// setOutcome records that request n is being sent (Unanswered), or that it could not be sent (Unsent).
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

// reserve selects a connection for request n, round-robin, and returns it with the request's JSON-RPC ID. It returns nil when no
// connection can take the request. It replaces connections that are closing.
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

// complete records the outcome of request n, unless it has one already.
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

// awaitOutcomes waits until every request has an outcome, for at most AnswerTimeout.
func (r *loadRun) awaitOutcomes(ctx context.Context) {
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

// finish returns the samples. The latency of a request without an answer is set to its age.
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

// closeConns closes all connections and waits for their reader goroutines.
func (r *loadRun) closeConns() {
	for _, c := range r.conns {
		c.net.Close()
	}
	r.readers.Wait()
}
