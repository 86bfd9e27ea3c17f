package instance

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"time"

	"thymechute/internal/lab/scale"
)

const (
	periodicReloadInterval = time.Second
	singleReloadRate       = 200.0            // requests per second during single reloads
	maxReloadTime          = 5 * time.Second  // a slower reload fails the trial
	idleReloadsTimeout     = 10 * time.Second // for all remaining reloads without load
	probedReloads          = 5                // total number of reloads at the end of runProbedReloads
	leadDivisor            = 5                // a reload starts after 1/leadDivisor of the duration of its load
	startProbeTimeout      = 300 * time.Millisecond
)

// trialScript runs the steps of one trial. It reloads two files alternately: before and after the change of a tenant or a class.
type trialScript struct {
	measurement *measurement
	rig         *rig
	probe       *probe
	trial       *trial
	files       [2][]byte
	limits      [2]limitState // state of the limit under each file
	active      int           // index of the file in force
	reloadCount int
}

// prepare encodes the two files.
func (s *trialScript) prepare(change func(*deploymentPlan)) (err error) {
	before, after := s.rig.deploymentPlan, s.rig.deploymentPlan
	change(&after)
	s.limits = [2]limitState{limitState(before.lastTenantLimited), limitState(after.lastTenantLimited)}
	if s.files[0], err = before.encode(); err != nil {
		return err
	}
	s.files[1], err = after.encode()
	s.trial.fileBytes = len(s.files[0])
	return err
}

// run runs all steps until a reload fails.
func (s *trialScript) run(loads loadMode) error {
	_, err := s.probe.waitUntil(s.context(), limitActive, startProbeTimeout)
	s.trial.limitActiveAtStart = err == nil
	steps := []func() error{s.runFirstReload, s.runProbedReloads, s.runIdleReloads, s.runAbnormalFiles}
	if loads == withLoads {
		steps = []func() error{s.runQuietLoads, s.runFirstReload, s.runProbedReloads, s.runReloadingLoads, s.runIdleReloads, s.runAbnormalFiles}
	}
	for _, step := range steps {
		if err := step(); err != nil || !s.trial.hasCompleted() {
			return err
		}
	}
	return nil
}

func (s *trialScript) context() context.Context { return s.measurement.ctx }

func (s *trialScript) workload() workload { return s.measurement.workload }

// load returns the options of the next load.
func (s *trialScript) load(rate float64, duration time.Duration) loadOptions {
	return loadOptions{rate: rate, duration: duration, seed: s.measurement.nextSeed()}
}

// inactiveFile returns the file that is not in force.
func (s *trialScript) inactiveFile() []byte { return s.files[1-s.active] }

// reloadInactive reloads the inactive file and records the reload.
func (s *trialScript) reloadInactive() (reload, error) {
	reloaded, err := s.rig.replaceFile(s.context(), s.inactiveFile())
	if err == nil {
		s.recordReload(reloaded)
	}
	return reloaded, err
}

// recordReload counts a reload of the inactive file. The trial fails unless the reload was applied in time.
func (s *trialScript) recordReload(reloaded reload) {
	s.reloadCount++
	switch reloaded.outcome {
	case unanswered:
		s.trial.failure = fmt.Sprintf("outcome of a reload not logged within %v", reloadTimeout)
	case rejected:
		s.trial.failure = fmt.Sprintf("reload rejected after %.0f ms", reloaded.millis())
	case applied:
		s.active = 1 - s.active
		if reloaded.millis() > scale.Milliseconds(maxReloadTime) {
			s.trial.failure = fmt.Sprintf("reload took %.0f ms", reloaded.millis())
		}
	}
}

// runQuietLoads measures the latency at each rate without reloads.
func (s *trialScript) runQuietLoads() error {
	for _, rate := range s.workload().rates {
		result, err := s.rig.load(s.context(), s.load(rate, s.workload().quietLoad))
		if err != nil {
			return err
		}
		s.trial.quietLatency[rate] = result.distribution()
		s.trial.unserved += result.unservedCount()
		s.trial.sent += len(result.samples)
		s.recordSendDelays(result)
	}
	return nil
}

func (s *trialScript) recordSendDelays(result loadResult) {
	s.trial.sendDelayP99 = max(s.trial.sendDelayP99, result.samples.SendDelays().Percentile(99))
}

// runFirstReload reloads under load, to measure the latency during a reload even if the reload is never applied.
func (s *trialScript) runFirstReload() error {
	load := s.load(singleReloadRate, s.workload().singleReloadLoad)
	result, err := s.rig.runUnderLoad(s.context(), load, func() (err error) {
		s.trial.firstReload, err = s.rig.replaceFile(s.context(), s.inactiveFile())
		return err
	})
	if err != nil {
		return err
	}
	s.recordReload(s.trial.firstReload)
	s.trial.reloadLatency = result.duringReloads([]reload{s.trial.firstReload})
	s.trial.resident1MB, err = s.rig.residentMB()
	return err
}

// runProbedReloads reloads without load. If the change is that of a limit, a probe measures when the change takes effect.
func (s *trialScript) runProbedReloads() (err error) {
	for s.reloadCount < probedReloads {
		reloaded, effective, err := s.runProbedReload()
		if err != nil {
			return err
		}
		s.recordReload(reloaded)
		if !s.trial.hasCompleted() {
			return nil
		}
		s.trial.loggedMillis = append(s.trial.loggedMillis, reloaded.millis())
		if !effective.IsZero() {
			s.trial.effectiveMillis = append(s.trial.effectiveMillis, max(reloaded.millis(), scale.Milliseconds(effective.Sub(reloaded.sent))))
		}
	}
	s.trial.resident5MB, err = s.rig.residentMB()
	return err
}

// runProbedReload reloads once. effective is the time at which the probe observed the change of the limit; zero if no limit changes.
func (s *trialScript) runProbedReload() (reloaded reload, effective time.Time, err error) {
	if s.limits[0] == s.limits[1] {
		reloaded, err = s.rig.replaceFile(s.context(), s.inactiveFile())
		return reloaded, effective, err
	}
	wanted, probed := s.limits[1-s.active], make(chan error, 1)
	go func() {
		var err error
		effective, err = s.probe.waitUntil(s.context(), wanted, reloadTimeout)
		probed <- err
	}()
	reloaded, err = s.rig.replaceFile(s.context(), s.inactiveFile())
	if probeErr := <-probed; err == nil && reloaded.outcome == applied {
		err = probeErr
	}
	return reloaded, effective, err
}

// runReloadingLoads measures the latency at each rate with a reload every second.
func (s *trialScript) runReloadingLoads() error {
	for _, rate := range s.workload().rates {
		var reloads []reload
		load := s.load(rate, s.workload().reloadingLoad)
		result, err := s.rig.runUnderLoad(s.context(), load, func() (err error) {
			files := [2][]byte{s.inactiveFile(), s.files[s.active]}
			reloads, err = s.rig.reloadPeriodically(s.context(), s.workload().reloadingLoad, files)
			return err
		})
		if err != nil {
			return err
		}
		for _, reloaded := range reloads {
			s.recordReload(reloaded)
		}
		s.trial.reloadingLatency[rate] = result.distribution()
		s.trial.reloadLatency.Merge(result.duringReloads(reloads))
		s.recordSendDelays(result)
	}
	return nil
}

// runIdleReloads runs the remaining reloads without load, and measures their CPU time and the memory afterwards.
func (s *trialScript) runIdleReloads() error {
	cpu, countBefore := s.rig.cpuTime(), s.reloadCount
	for begin := time.Now(); s.reloadCount < s.workload().reloadCount && time.Since(begin) < idleReloadsTimeout; {
		if _, err := s.reloadInactive(); err != nil || !s.trial.hasCompleted() {
			return err
		}
	}
	s.trial.cpuMillisPerReload = scale.Milliseconds(s.rig.cpuTime()-cpu) / float64(s.reloadCount-countBefore)
	residentMB, err := s.rig.residentMB()
	s.trial.resident20MB = residentMB
	if s.reloadCount < s.workload().reloadCount {
		s.trial.resident20MB = math.NaN()
	}
	return err
}

// runAbnormalFiles reloads an unchanged file and a malformed one under load.
func (s *trialScript) runAbnormalFiles() error {
	load := s.load(singleReloadRate, s.workload().singleReloadLoad)
	result, err := s.rig.runUnderLoad(s.context(), load, func() (err error) {
		if s.trial.unchangedReload, err = s.rig.replaceFile(s.context(), s.files[s.active]); err != nil {
			return err
		}
		s.trial.malformedReload, err = s.rig.replaceFile(s.context(), bytes.TrimSuffix(s.inactiveFile(), []byte("}")))
		return err
	})
	if err != nil {
		return err
	}
	s.trial.abnormalLatency = result.duringReloads([]reload{s.trial.unchangedReload, s.trial.malformedReload})
	s.checkAbnormalFiles()
	return nil
}

// checkAbnormalFiles checks that the unchanged file was applied, that the malformed file was rejected, and that the state of the limit
// is unchanged.
func (s *trialScript) checkAbnormalFiles() {
	t, result := s.trial, s.measurement.result
	if t.unchangedReload.outcome != applied || t.malformedReload.outcome != rejected {
		result.AddFault("%d tenants, %d classes: unchanged file logged %q, expected it to be applied; malformed file logged %q, expected "+
			"it to be rejected", t.tenants, t.routes, t.unchangedReload.logLine, t.malformedReload.logLine)
	}
	if _, err := s.probe.waitUntil(s.context(), s.limits[s.active], startProbeTimeout); err != nil {
		result.AddFault("%d tenants, %d classes: after a malformed file: %v", t.tenants, t.routes, err)
	}
}
