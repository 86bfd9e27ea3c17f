package instance

import (
	"math"
	"slices"

	"thymechute/internal/lab/scale"
)

// Bounds of one instance at the target size, in addition to those of package scale.
const (
	boundStartMillis         = 2000
	boundResidentMB          = 64
	boundPeakMB              = scale.MaxMemoryBytes >> 20
	boundReloadMillis        = 200
	boundReloadLatencyMillis = 20 // added to any request during a reload
)

// completeness is whether a figure needs a complete trial.
type completeness int

const (
	anyTrial completeness = iota
	completeTrial
)

// figure is one value of a trial. With completeTrial it counts as measured only if all reloads were applied in time.
type figure struct {
	name         string
	bound        float64
	completeness completeness
	value        func(*trial) float64
}

// valueIn returns the figure's value in a trial. ok is false if it was not measured.
func (f figure) valueIn(t *trial) (value float64, ok bool) {
	if !t.hasStarted() {
		return 0, false
	}
	if f.completeness == completeTrial && !t.hasCompleted() {
		return 0, false
	}
	value = f.value(t)
	return value, !math.IsNaN(value)
}

// maxOrNaN returns the largest value, or NaN if there is none.
func maxOrNaN(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return slices.Max(values)
}

// trialFigures are the figures of a trial. Stored results contain their names.
var trialFigures = []figure{
	{"file_bytes", 0, anyTrial, func(t *trial) float64 { return float64(t.fileBytes) }},
	{"start_ms", boundStartMillis, anyTrial, func(t *trial) float64 { return t.startMillis }},
	{"resident_mb_start", boundResidentMB, anyTrial, func(t *trial) float64 { return t.residentStartMB }},
	{"resident_mb_1_reload", boundPeakMB, completeTrial, func(t *trial) float64 { return t.resident1MB }},
	{"resident_mb_5_reloads", boundPeakMB, completeTrial, func(t *trial) float64 { return t.resident5MB }},
	{"resident_mb_20_reloads", boundPeakMB, completeTrial, func(t *trial) float64 { return t.resident20MB }},
	{"resident_mb_peak", boundPeakMB, anyTrial, func(t *trial) float64 { return t.peakMB }},
	{"reload_logged_ms_worst", boundReloadMillis, completeTrial, func(t *trial) float64 { return maxOrNaN(t.loggedMillis) }},
	{"reload_in_force_ms_worst", boundReloadMillis, completeTrial, func(t *trial) float64 { return maxOrNaN(t.effectiveMillis) }},
	{"reload_wait_p99_ms", scale.TargetAddedLatencyMillis, anyTrial, func(t *trial) float64 {
		return t.latencyMillis(t.reloadLatency.Percentile(99))
	}},
	{"reload_wait_longest_ms", boundReloadLatencyMillis, anyTrial, func(t *trial) float64 { return t.latencyMillis(t.reloadLatency.Max()) }},
	{"reload_processor_ms", 0, completeTrial, func(t *trial) float64 { return t.cpuMillisPerReload }},
	{"same_file_ms", 0, completeTrial, func(t *trial) float64 { return t.unchangedReload.millis() }},
	{"faulty_file_ms", 0, completeTrial, func(t *trial) float64 { return t.malformedReload.millis() }},
	{"odd_files_wait_longest_ms", boundReloadLatencyMillis, completeTrial, func(t *trial) float64 {
		return scale.Milliseconds(t.abnormalLatency.Max())
	}},
}
