package instance

import (
	"errors"
	"math"
	"time"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
)

// trial holds the measurements of one program with one configuration.
type trial struct {
	tenants, routes    int
	fileBytes          int
	startMillis        float64 // 0 when the program did not start
	limitActiveAtStart bool
	residentStartMB    float64
	resident1MB        float64 // after one reload
	resident5MB        float64 // after probedReloads reloads
	resident20MB       float64 // after all reloads; NaN if a timeout ended them early
	peakMB             float64
	unserved           int // requests that were not served in the loads without reloads
	sent               int // requests sent in the loads without reloads

	firstReload        reload
	effectiveMillis    []float64 // of each probed reload, until the probe observed the change of the limit
	loggedMillis       []float64 // of each probed reload, until its outcome was logged
	reloadLatency      *stub.Distribution
	cpuMillisPerReload float64
	unchangedReload    reload
	malformedReload    reload
	abnormalLatency    *stub.Distribution

	quietLatency     map[float64]*stub.Distribution // by rate, without reloads
	reloadingLatency map[float64]*stub.Distribution // by rate, with a reload every second
	sendDelayP99     time.Duration                  // 99th percentile of the load generator's delays
	failure          string                         // why the trial ended early; empty if it did not
}

// loadMode is whether a trial includes the loads without reloads and with periodic reloads.
type loadMode int

const (
	withoutLoads loadMode = iota
	withLoads
)

// hasStarted reports whether the program started.
func (t *trial) hasStarted() bool { return t.startMillis > 0 }

// hasCompleted reports whether every reload so far was applied in time.
func (t *trial) hasCompleted() bool { return t.failure == "" }

// isTruncated reports whether the observation of the first reload ended before the reload did, which truncates the latencies.
func (t *trial) isTruncated() bool { return t.firstReload.outcome == unanswered }

// latencyMillis returns a latency during reloads in milliseconds. It returns NaN for a truncated one, so that no fit includes it.
func (t *trial) latencyMillis(latency time.Duration) float64 {
	if t.isTruncated() {
		return math.NaN()
	}
	return scale.Milliseconds(latency)
}

// truncationPrefix returns the words that precede a truncated latency in text.
func (t *trial) truncationPrefix() string {
	if t.isTruncated() {
		return "at least "
	}
	return ""
}

// runTrial starts a program with that configuration and runs the trial's script on it. change makes the change that reloads apply and
// undo. If the program does not start, the trial has failed, but there is no error.
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
