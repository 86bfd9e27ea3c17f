// Package stub is a fake of the platform's client stubs: an open-loop load generator for one instance, using line-delimited
// JSON-RPC. The due time of a request does not depend on earlier answers, and latency is measured from the due time. A stall of
// the instance or of the generator therefore shows in the latency of every request that was due meanwhile, which avoids
// coordinated omission. A request that could not be sent or was not answered counts with its age as latency.
//
// A load uses Load.Connections connections with at most 32 open requests each (the protocol's limit), and keeps one sample per
// due request. A Load can be run several times. Each run has its own state, guarded by a mutex, and one reader goroutine per
// connection; all of them have ended when Run returns.
package stub

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// maxSamples limits the samples of one load. The mean number of requests may be at most half of it, as the number is random.
const maxSamples = 1 << 20

// Load describes requests at a mean rate, with exponentially distributed intervals (a Poisson process).
type Load struct {
	Address        string
	Rate           float64         // requests per second
	Duration       time.Duration   // time during which requests are due
	AnswerTimeout  time.Duration   // how long to wait for answers after the last request
	Stop           <-chan struct{} // closing it ends the sending of requests; may be nil
	Connections    int
	Seed           uint64                    // determines the intervals and the request IDs
	Request        func(n int) Request       // returns request n, counted from 0
	GeneratorDelay func(n int) time.Duration // returns how long the generator stalls before request n, for tests; may be nil
}

// Request is the content of a request.
type Request struct {
	Class, Tenant string
	Body          []byte
	MemoryKB      float64
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of a request.
const (
	Unanswered Outcome = iota // no answer before the end of the load
	Served
	Rejected // by the instance's admission control
	Failed   // answered with another error
	Lost     // its connection was closed before the answer
	Unsent   // no connection could take it
)

// Sample is the measurement of one request.
type Sample struct {
	Due       time.Time
	SendDelay time.Duration // from Due until the request was sent: the generator's share of the latency
	Latency   time.Duration // from Due to the answer or the loss of the connection; otherwise to the end of the load
	Outcome   Outcome
}

// Samples are the samples of one load, indexed by the number of the request.
type Samples []Sample

// ErrInvalidLoad is returned by Run for a load whose rate, duration or number of connections is out of range.
var ErrInvalidLoad = errors.New("stub: invalid load")

func (l Load) validate() error {
	if l.Rate <= 0 || l.Duration <= 0 || l.Connections <= 0 {
		return fmt.Errorf("%w: found rate %g/s, duration %v and %d connections, all must be greater than 0", ErrInvalidLoad, l.Rate, l.Duration, l.Connections)
	}
	if mean := l.Rate * l.Duration.Seconds(); mean > maxSamples/2 {
		return fmt.Errorf("%w: rate times duration is %.0f requests, expected at most %d", ErrInvalidLoad, mean, maxSamples/2)
	}
	return nil
}

// Run sends the requests and waits for their answers. It returns ErrInvalidLoad, the error of opening the connections, or the
// context's error.
func (l Load) Run(ctx context.Context) (Samples, error) {
	if err := l.validate(); err != nil {
		return nil, err
	}
	r := &loadRun{load: l, random: rand.New(rand.NewPCG(l.Seed, 1)), done: make(chan struct{}, 1)}
	defer r.closeConns()
	for range l.Connections {
		c, err := r.dial()
		if err != nil {
			return nil, fmt.Errorf("stub: cannot open the connections of the load: %w", err)
		}
		r.conns = append(r.conns, c)
	}
	r.sendAll(ctx)
	r.awaitOutcomes(ctx)
	return r.finish(), ctx.Err()
}
