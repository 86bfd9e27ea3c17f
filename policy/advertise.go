package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// shedThresholdGain is the part of the share rejected that the threshold takes over a period.
	shedThresholdGain = 0.3
	// shedThresholdFallCalm is how far the threshold falls over a period in which nothing had to wait.
	shedThresholdFallCalm = 0.1
	// shedThresholdFallLight is how far it falls over a period with a backlog, but with lag within its
	// threshold.
	shedThresholdFallLight = 0.03
	// maxShedThreshold bounds the threshold that rejections lead to: some requests must come, or it would
	// never fall.
	maxShedThreshold = 0.95
	// minAdvertisedChange is the least change of the load that is advertised, and the least load that limits
	// windows.
	minAdvertisedChange = 0.01
	// minAdvertisedWindow is the least number of open requests for a caller; under 1 it spaces them out.
	minAdvertisedWindow = 0.1
	// windowPerConcurrency is the window of a calm server over its concurrency limit.
	windowPerConcurrency = 2
)

// advertisedLoad is the load reported to callers with all answers, so that they don't send what would be
// rejected.
type advertisedLoad struct {
	shedThreshold float64 // the rank under which callers should not send requests, 0 to 1
	last          float64 // the load advertised last
}

// updateShedThreshold follows the rejections of the period that callers heeding the threshold would not
// have avoided.
func (inst *Instance) updateShedThreshold() {
	threshold := inst.advertised.shedThreshold
	counts := &inst.period
	switch {
	case counts.rejectedOverThreshold > 0 && (inst.isShedding || inst.readCongestion() > 0):
		rise := shedThresholdGain * (1 - threshold)
		threshold += rise * float64(counts.rejectedOverThreshold) / float64(max(counts.read, counts.rejected))
	case counts.backlogTicks == 0:
		threshold -= shedThresholdFallCalm // nothing had to wait: callers hold back too much
	case inst.lag.current <= inst.lag.threshold:
		threshold -= shedThresholdFallLight
	}
	inst.advertised.shedThreshold = min(max(threshold, 0), maxShedThreshold)
}

// advertise sets the value that goes with all answers, in the form that the settings ask for.
func (inst *Instance) advertise(now time.Duration) {
	load := max(inst.advertised.shedThreshold, inst.readCongestion())
	if inst.isDrainGraceEnding(now) {
		load = 1 // until then it serves what comes
	}
	if math.Abs(load-inst.advertised.last) < minAdvertisedChange {
		return
	}
	inst.advertised.last = load
	switch inst.server.AdvertiseMode {
	case settings.AdvertiseThreshold:
		inst.host.Advertise(load)
	case settings.AdvertiseShare:
		inst.host.Advertise(1 - load)
	case settings.AdvertiseWindow:
		inst.host.Advertise(inst.callerWindow(load))
	}
}

// callerWindow is how many requests one caller may have open: what is free is divided among the callers of
// this period, and a calm server leaves all of it to each of them.
func (inst *Instance) callerWindow(load float64) float64 {
	window := windowPerConcurrency * inst.concurrency.limit
	if load < minAdvertisedChange {
		return window
	}
	callers := max(len(inst.period.callers), 1)
	return max(window*(1-load)/float64(callers), minAdvertisedWindow)
}
