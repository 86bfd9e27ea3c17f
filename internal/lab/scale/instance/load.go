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
	maxStall              = 12 * time.Second // longest stall of the program for which a load has enough connections
	requestsPerConnection = 32               // limit of the protocol
	minConnections        = 8
	maxConnections        = 400
	reloadAftermath       = 50 * time.Millisecond // period after a reload whose requests still count as during the reload
)

// loadResult holds the samples of a load and the latency that the program added to each request: the latency since the request was
// due, minus its run time. A request without an answer counts with its age.
type loadResult struct {
	samples      stub.Samples
	addedLatency []time.Duration
}

// loadOptions are the parameters of a load.
type loadOptions struct {
	rate     float64 // requests per second
	duration time.Duration
	seed     uint64
	stop     <-chan struct{} // ends the load early when closed; may be nil
}

// connections returns enough connections to send all requests that are due during maxStall.
func (o loadOptions) connections() int {
	return min(max(int(o.rate*maxStall.Seconds())/requestsPerConnection, minConnections), maxConnections)
}

// load sends requests of all classes and of all tenants except the last one, whose limit the probe tests.
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

// runUnderLoad runs an action during a load. The action starts after 1/leadDivisor of the load's duration, and the load continues for
// at least as long after the action.
func (r *rig) runUnderLoad(ctx context.Context, options loadOptions, action func() error) (result loadResult, err error) {
	duration, lead := options.duration, options.duration/leadDivisor
	stop, done := make(chan struct{}), make(chan error, 1)
	options.duration, options.stop = maxStall, stop
	go func() {
		var err error
		result, err = r.load(ctx, options)
		done <- err
	}()
	time.Sleep(lead)
	begin := time.Now()
	err = action()
	time.Sleep(max(duration-lead-time.Since(begin), lead))
	close(stop)
	return result, errors.Join(err, <-done)
}

// distribution returns the distribution of the latency added to all requests.
func (l loadResult) distribution() *stub.Distribution {
	return l.distributionOf(func(stub.Sample) bool { return true })
}

// duringReloads returns the distribution over the requests that were due during a reload or within reloadAftermath after it.
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

// unservedCount returns the number of requests that were not served, for any reason.
func (l loadResult) unservedCount() int { return len(l.samples) - l.samples.Count(stub.Served) }
