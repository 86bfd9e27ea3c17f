package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// shedThresholdGain is the part of the rejected share that is added to the threshold in a period.
	shedThresholdGain = 0.3
	// shedThresholdFallWithoutBacklog is how far the threshold falls in a period without a backlog.
	shedThresholdFallWithoutBacklog = 0.1
	// shedThresholdFallWithBacklog is how far the threshold falls in a period with a backlog, while lag is within
	// its own threshold.
	shedThresholdFallWithBacklog = 0.03
	// maxShedThreshold bounds the threshold. It is below 1, since without any requests the server could not
	// see that the overload has ended.
	maxShedThreshold = 0.95
	// minAdvertisedChange is the least change of the load that is advertised anew, and the least load that
	// reduces callers' windows.
	minAdvertisedChange = 0.01
	// minAdvertisedWindow is the least number of open requests advertised to a caller; a value below 1 makes
	// the caller pause between requests.
	minAdvertisedWindow = 0.1
	// windowPerConcurrency is the ratio of the window to the concurrency limit on a server without load.
	windowPerConcurrency = 2
)

// advertisedLoad is the load, 0 to 1, that callers get with each answer, so that they do not send requests
// that would be rejected.
type advertisedLoad struct {
	shedThreshold float64 // the priority below which callers should not send requests, 0 to 1
	lastLoad      float64 // the load advertised last
}

// updateShedThreshold raises the threshold by the period's rejections of requests above it, which callers
// that follow the threshold would have sent, and lowers it otherwise.
func (inst *Instance) updateShedThreshold() {
	threshold := inst.advertised.shedThreshold
	counts := &inst.period
	switch {
	case counts.rejectedOverThreshold > 0 && (inst.isShedding || inst.readCongestion() > 0):
		rise := shedThresholdGain * (1 - threshold)
		threshold += rise * float64(counts.rejectedOverThreshold) / float64(max(counts.read, counts.rejected))
	case counts.backlogTicks == 0:
		threshold -= shedThresholdFallWithoutBacklog // no backlog: callers hold back more than needed
	case inst.lag.current <= inst.lag.threshold:
		threshold -= shedThresholdFallWithBacklog
	}
	inst.advertised.shedThreshold = min(max(threshold, 0), maxShedThreshold)
}

// advertise passes a changed load to the host, in the form selected by the settings.
func (inst *Instance) advertise(now time.Duration) {
	load := max(inst.advertised.shedThreshold, inst.readCongestion())
	if inst.isDrainGraceEnding(now) {
		load = 1 // requests are accepted until the grace period ends
	}
	if math.Abs(load-inst.advertised.lastLoad) < minAdvertisedChange {
		return
	}
	inst.advertised.lastLoad = load
	switch inst.server.AdvertiseMode {
	case settings.AdvertiseThreshold:
		inst.host.Advertise(load)
	case settings.AdvertiseShare:
		inst.host.Advertise(1 - load)
	case settings.AdvertiseWindow:
		inst.host.Advertise(inst.callerWindow(load))
	}
}

// callerWindow returns how many requests one caller may have open. Under load the free part is divided among
// the callers seen in this period; without load each caller gets the whole window.
func (inst *Instance) callerWindow(load float64) float64 {
	window := windowPerConcurrency * inst.concurrency.limit
	if load < minAdvertisedChange {
		return window
	}
	callers := max(len(inst.period.callers), 1)
	return max(window*(1-load)/float64(callers), minAdvertisedWindow)
}
