// Package stub is a fake of the platform's client stubs: an open-loop load generator for one instance, over line-delimited
// JSON-RPC. Requests are due at times drawn before anything is sent, and latency counts from the due time, so that a stall of
// the instance or of the generator shows in the latency of every request that was due meanwhile (no coordinated omission). A
// request that could not be sent, or has no answer, is counted with its age.
//
// A load has Load.Connections connections, at most 32 open requests on each (the protocol's limit), and one sample for each
// request that was due. A Load is a value and may be run several times; each run has its own state, locked by a mutex, with a
// reader goroutine for each connection, all ended when Run returns.
package stub

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// maxSamples bounds the samples of one load; the mean number of requests may be half of it.
const maxSamples = 1 << 20

// Load describes requests at a mean rate, with exponentially distributed intervals between them.
type Load struct {
	Address        string
	Rate           float64         // requests a second
	Duration       time.Duration   // within which requests are due
	AnswerTimeout  time.Duration   // wait for answers after the last request
	Stop           <-chan struct{} // when closed, no further request is due; may be nil
	Connections    int
	Seed           uint64                    // of the intervals and of the request IDs
	Request        func(n int) Request       // the n-th request, from 0
	GeneratorDelay func(n int) time.Duration // stalls the generator before request n, for tests; may be nil
}

// Request is the content of one request.
type Request struct {
	Class, Tenant string
	Body          []byte
	MemoryKB      float64
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	Unanswered Outcome = iota // no answer within the load's time
	Served
	Rejected // by admission control
	Failed   // answered with any other error
	Lost     // its connection ended first
	Unsent   // no connection had capacity for it
)

// Sample is the measurement of one request.
type Sample struct {
	Due       time.Time
	SendDelay time.Duration // from Due until the request was sent: the generator's own share
	Latency   time.Duration // from Due to the answer; without one, to the end of the load
	Outcome   Outcome
}

// Samples are the samples of one load, indexed by the number of the request.
type Samples []Sample

// ErrInvalidLoad is the error of Run for a load whose rate, duration or connections are out of bounds.
var ErrInvalidLoad = errors.New("stub: invalid load")

func (l Load) validate() error {
	if l.Rate <= 0 || l.Duration <= 0 || l.Connections <= 0 {
		return fmt.Errorf("%w: found rate %g/s, duration %v and %d connections, expected all over 0", ErrInvalidLoad, l.Rate, l.Duration, l.Connections)
	}
	if mean := l.Rate * l.Duration.Seconds(); mean > maxSamples/2 {
		return fmt.Errorf("%w: found %.0f requests on average, expected %d at most", ErrInvalidLoad, mean, maxSamples/2)
	}
	return nil
}

// Run sends the load and waits for its answers. It returns ErrInvalidLoad, the error of a failed dial before the first
// request, or that of the context.
func (l Load) Run(ctx context.Context) (Samples, error) {
	if err := l.validate(); err != nil {
		return nil, err
	}
	r := &loadRun{load: l, random: rand.New(rand.NewPCG(l.Seed, 1)), done: make(chan struct{}, 1)}
	defer r.closeConns()
	for range l.Connections {
		c, err := r.dial()
		if err != nil {
			return nil, fmt.Errorf("stub: %w", err)
		}
		r.conns = append(r.conns, c)
	}
	r.sendAll(ctx)
	r.await(ctx)
	return r.finish(), ctx.Err()
}
