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
	answerTimeout         = 3 * time.Second  // after a load's last request
	maxStall              = 12 * time.Second // of the program, for which a load has enough connections
	requestsPerConnection = 32               // the protocol's limit
	minConnections        = 8
	maxConnections        = 400
	reloadAftermath       = 50 * time.Millisecond // after a reload, in which requests still count as during it
)

// loadResult is a load's samples, and the latency that the program added to each request: its latency from when it was due, less
// its run time. A request without an answer counts with its age.
type loadResult struct {
	samples      stub.Samples
	addedLatency []time.Duration
}

// loadOptions describe a load.
type loadOptions struct {
	rate     float64 // requests a second
	duration time.Duration
	seed     uint64
	stop     <-chan struct{} // ends the load early when closed; may be nil
}

// connections is enough to send all requests that are due during maxStall.
func (o loadOptions) connections() int {
	return min(max(int(o.rate*maxStall.Seconds())/requestsPerConnection, minConnections), maxConnections)
}

// load sends requests of all classes, and of all tenants but the last, whose limit the probe tests.
func (r *rig) load(ctx context.Context, options loadOptions) (loadResult, error) {
	r.resetRunTimes()
	random := rand.New(rand.NewPCG(options.seed, 2))
	body := func(n int) string { return fmt.Sprintf("%c %d %d", workLoad, options.seed, n) }
	load := stub.Load{
		Address:       r.deploymentPlan.listen,
		Rate:          options.rate,
		Duration:      options.duration,
		AnswerTimeout: answerTimeout,
		Stop:          options.stop,
		Seed:          options.seed,
		Connections:   options.connections(),
		Request: func(n int) stub.Request {
			return stub.Request{Class: className(random.IntN(r.classes)), Tenant: tenantName(random.IntN(r.tenants - 1)),
				Body: []byte(body(n)), MemoryKB: 1}
		},
	}
	samples, err := load.Run(ctx)
	if err != nil {
		return loadResult{}, err
	}
	result := loadResult{samples: samples}
	for n, s := range samples {
		result.addedLatency = append(result.addedLatency, max(s.Latency-r.runTime(body(n)), 0))
	}
	return result, nil
}

// runUnderLoad runs act during a load. act starts after 1/leadPart of the load's duration, and the load continues for at least as
// long after act.
func (r *rig) runUnderLoad(ctx context.Context, options loadOptions, act func() error) (result loadResult, err error) {
	duration, lead := options.duration, options.duration/leadPart
	stop, done := make(chan struct{}), make(chan error, 1)
	options.duration, options.stop = maxStall, stop
	go func() {
		var err error
		result, err = r.load(ctx, options)
		done <- err
	}()
	time.Sleep(lead)
	begin := time.Now()
	err = act()
	time.Sleep(max(duration-lead-time.Since(begin), lead))
	close(stop)
	return result, errors.Join(err, <-done)
}

// distribution is that of the latency added to all requests.
func (l loadResult) distribution() *stub.Distribution {
	return l.distributionOf(func(stub.Sample) bool { return true })
}

// duringReloads is the distribution over the requests that were due during a reload or in its aftermath.
func (l loadResult) duringReloads(reloads []reload) *stub.Distribution {
	return l.distributionOf(func(s stub.Sample) bool {
		for _, r := range reloads {
			if !s.Due.Before(r.sent) && !s.Due.After(r.completed.Add(reloadAftermath)) {
				return true
			}
		}
		return false
	})
}

func (l loadResult) distributionOf(isIncluded func(stub.Sample) bool) *stub.Distribution {
	d := stub.NewDistribution()
	for n, s := range l.samples {
		if isIncluded(s) {
			d.Add(l.addedLatency[n])
		}
	}
	return d
}

// unservedCount is the number of requests without a result, for any reason.
func (l loadResult) unservedCount() int { return len(l.samples) - l.samples.Count(stub.Served) }
