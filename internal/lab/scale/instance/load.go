// This file owns loads on the program and what it adds to them.

package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"thymechute/internal/fake/stub"
)

const (
	answersLimit    = 3 * time.Second  // waited for answers after a load
	longestStall    = 12 * time.Second // for which a load has connections enough
	openAConnection = 32
	mostConnections = 400
	overlap         = 50 * time.Millisecond // after a reload's end, in which requests still count as beside it
)

// added is a load's samples and what the program added to each: its latency, from when it was due, less its run time. A request
// without an answer counts with its age.
type added struct {
	samples stub.Samples
	times   []time.Duration
}

// load sends requests of all classes and of all tenants but the last, whose limit is the probe's, drawn by the seed.
// It ends early once stop is closed.
func (r *rig) load(ctx context.Context, rate float64, span time.Duration, seed uint64, stop <-chan struct{}) (added, error) {
	r.forget()
	chance := rand.New(rand.NewPCG(seed, 2))
	body := func(n int) string { return fmt.Sprintf("%c %d %d", workLoad, seed, n) }
	samples, err := stub.Load{Address: r.deployment.listen, Rate: rate, Duration: span, AnswerTimeout: answersLimit, Stop: stop, Seed: seed,
		Connections: min(max(int(rate*longestStall.Seconds())/openAConnection, 8), mostConnections),
		Request: func(n int) stub.Request {
			return stub.Request{Class: className(chance.IntN(r.classes)), Tenant: tenantName(chance.IntN(r.tenants - 1)),
				Body: []byte(body(n)), MemoryKB: 1}
		}}.Run(ctx)
	if err != nil {
		return added{}, err
	}
	a := added{samples: samples}
	for n, s := range samples {
		a.times = append(a.times, max(s.Latency-r.runTime(body(n)), 0))
	}
	return a, nil
}

// whileLoaded runs a load, and what is done beside it once a fifth of its span is over; the load goes on as long again after that.
func (r *rig) whileLoaded(ctx context.Context, rate float64, span time.Duration, seed uint64, do func() error) (a added, err error) {
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() {
		var err error
		a, err = r.load(ctx, rate, longestStall, seed, stop)
		done <- err
	}()
	time.Sleep(span / beforePart)
	begin := time.Now()
	err = do()
	time.Sleep(max(span-span/beforePart-time.Since(begin), span/beforePart))
	close(stop)
	return a, errors.Join(err, <-done)
}

// all is the distribution over the whole load.
func (a added) all() *stub.Distribution {
	return a.between(time.Time{}, time.Now())
}

// between is the distribution over requests that were due in that time.
func (a added) between(from, to time.Time) *stub.Distribution {
	d := stub.NewDistribution()
	for n, s := range a.samples {
		if !s.Due.Before(from) && !s.Due.After(to) {
			d.Add(a.times[n])
		}
	}
	return d
}

// beside is the distribution over requests that were due during one of the reloads or just after it.
func (a added) beside(reloads []reload) *stub.Distribution {
	d := stub.NewDistribution()
	for n, s := range a.samples {
		for _, one := range reloads {
			if !s.Due.Before(one.sent) && !s.Due.After(one.over.Add(overlap)) {
				d.Add(a.times[n])
				break
			}
		}
	}
	return d
}

// unserved are requests without a result, for any reason.
func (a added) unserved() int { return len(a.samples) - a.samples.Count(stub.Served) }

func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
