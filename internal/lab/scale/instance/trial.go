package instance

import (
	"errors"
	"math"
	"time"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
)

// trial is the measurements of one program with one configuration.
type trial struct {
	tenants, routes    int
	fileBytes          int
	startMillis        float64 // 0 when the program did not start
	limitActiveAtStart bool
	residentStartMB    float64
	resident1MB        float64 // after one reload
	resident5MB        float64 // after probedReloads
	resident20MB       float64 // after all reloads; not a number when a timeout ended them
	peakMB             float64
	unserved           int // requests of the loads without reloads
	sent               int

	firstReload        reload
	effectiveMillis    []float64 // of each probed reload, until the limit was in force or not
	loggedMillis       []float64 // of each probed reload, until it was logged
	reloadLatency      *stub.Distribution
	cpuMillisPerReload float64
	unchangedReload    reload
	malformedReload    reload
	abnormalLatency    *stub.Distribution

	quietLatency     map[float64]*stub.Distribution // by rate, without reloads
	reloadingLatency map[float64]*stub.Distribution // by rate, with a reload each second
	sendDelayP99     time.Duration                  // of the load generator
	failure          string                         // why the trial ended early
}

// loadMode is whether a trial includes loads with and without periodic reloads.
type loadMode int

const (
	withoutLoads loadMode = iota
	withLoads
)

// hasStarted reports whether the program started.
func (t *trial) hasStarted() bool { return t.startMillis > 0 }

// hasCompleted reports whether every reload was applied in time.
func (t *trial) hasCompleted() bool { return t.failure == "" }

// isTruncated reports whether the first reload had not ended when it was last observed, so that latencies were cut off.
func (t *trial) isTruncated() bool { return t.firstReload.outcome == unanswered }

// latencyMillis is a latency during reloads in milliseconds; not a number when it was cut off, so that no fit includes it.
func (t *trial) latencyMillis(latency time.Duration) float64 {
	if t.isTruncated() {
		return math.NaN()
	}
	return scale.Milliseconds(latency)
}

// truncationPrefix precedes a latency in text that was cut off.
func (t *trial) truncationPrefix() string {
	if t.isTruncated() {
		return "at least "
	}
	return ""
}

// runTrial starts a program with that configuration, and takes it through the trial's script. change makes the change that
// reloads apply and undo. A program that does not start is a failed trial and no error.
func (m *measurement) runTrial(d deploymentPlan, change func(*deploymentPlan), loads loadMode) (*trial, error) {
	d.sockets, d.lastTenantLimited = maxSockets, true
	r, startTime, err := m.startRig(d)
	if notStarted := (*startError)(nil); errors.As(err, &notStarted) {
		return &trial{tenants: d.tenants, routes: d.classes, failure: err.Error(), reloadLatency: stub.NewDistribution()}, nil
	}
	if err != nil {
		return nil, err
	}
	defer r.close()
	t := &trial{tenants: d.tenants, routes: d.classes, startMillis: scale.Milliseconds(startTime),
		quietLatency: map[float64]*stub.Distribution{}, reloadingLatency: map[float64]*stub.Distribution{}}
	s := &trialScript{measurement: m, rig: r, probe: r.newProbe(), trial: t}
	defer s.probe.close()
	if t.residentStartMB, err = r.residentMB(); err != nil {
		return nil, err
	}
	if err := s.prepare(change); err != nil {
		return nil, err
	}
	if err := s.run(loads); err != nil {
		return nil, err
	}
	t.peakMB = r.peakMB()
	return t, nil
}
