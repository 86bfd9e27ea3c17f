package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// shedThresholdGain is the largest rise of the threshold in a period, as a fraction of its distance from 1.
	// The rise is proportional to the share of requests rejected at or above the threshold.
	shedThresholdGain = 0.3
	// shedThresholdFallWithoutBacklog is the decrease of the threshold in a period without a backlog.
	shedThresholdFallWithoutBacklog = 0.1
	// shedThresholdFallWithBacklog is the decrease of the threshold in a period with a backlog in which lag
	// does not exceed the lag threshold.
	shedThresholdFallWithBacklog = 0.03
	// maxShedThreshold is the maximum threshold. It is below 1 because without any requests the server could
	// not detect the end of the overload.
	maxShedThreshold = 0.95
	// minAdvertisedChange is the smallest change of the load that is advertised, and the smallest load that
	// reduces the callers' windows.
	minAdvertisedChange = 0.01
	// minAdvertisedWindow is the minimum number of open requests advertised to a caller. A value below 1 makes
	// the caller pause between requests.
	minAdvertisedWindow = 0.1
	// windowPerConcurrency is the ratio of the window to the concurrency limit on an unloaded server.
	windowPerConcurrency = 2
)

// advertisedLoad is the state behind the load, 0 to 1, that callers receive with each answer so that they do
// not send requests that would be rejected.
type advertisedLoad struct {
	shedThreshold float64 // the priority below which callers should not send requests, 0 to 1
	lastLoad      float64 // most recently advertised load
}

// updateShedThreshold raises the threshold if load shedding or read congestion rejected requests at or above
// it in this period, since callers that respect the threshold still send such requests. Otherwise it lowers
// the threshold if there was no backlog or lag does not exceed the lag threshold.
func (inst *Instance) updateShedThreshold() {
	threshold := inst.advertised.shedThreshold
	counts := &inst.period
	switch {
	case counts.rejectedOverThreshold > 0 && (inst.isShedding || inst.readCongestion() > 0):
		rise := shedThresholdGain * (1 - threshold)
		threshold += rise * float64(counts.rejectedOverThreshold) / float64(max(counts.read, counts.rejected))
	case counts.backlogTicks == 0:
		threshold -= shedThresholdFallWithoutBacklog // callers hold back more than needed
	case inst.lag.current <= inst.lag.threshold:
		threshold -= shedThresholdFallWithBacklog
	}
	inst.advertised.shedThreshold = min(max(threshold, 0), maxShedThreshold)
}

// advertise passes the load to the host if it has changed, in the form selected by the settings.
func (inst *Instance) advertise(now time.Duration) {
	load := max(inst.advertised.shedThreshold, inst.readCongestion())
	if inst.isDrainGraceEnding(now) {
		load = 1 // requests that arrive after the grace period are rejected
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

// callerWindow returns how many requests one caller may have open. Under load, the unused part of the window
// is divided among the callers seen in this period; without load, each caller gets the whole window.
func (inst *Instance) callerWindow(load float64) float64 {
	window := windowPerConcurrency * inst.concurrency.limit
	if load < minAdvertisedChange {
		return window
	}
	callers := max(len(inst.period.callers), 1)
	return max(window*(1-load)/float64(callers), minAdvertisedWindow)
}
