package policy

import (
	"testing"

	"thymechute/policy/settings"
)

func advertiseThreshold(s *settings.Settings) { s.Server.AdvertiseMode = settings.AdvertiseThreshold }

func TestShedThresholdFallsWithoutBacklog(t *testing.T) {
	inst, host := newTestInstance(advertiseThreshold)
	inst.advertised.shedThreshold = 0.5
	inst.isShedding = true
	inst.updateShedThreshold()
	inst.advertise(0)
	host.expectCalls(t, 1, "advertise 0.400")
	inst.period.rejected = 10
	inst.period.rejectedOverThreshold = 10
	inst.period.read = 20
	inst.updateShedThreshold()
	inst.advertise(0)
	host.expectCalls(t, 1, "advertise 0.490")
}

func TestShedThresholdIgnoresRejectionsBelowIt(t *testing.T) {
	inst, _ := newTestInstance(advertiseThreshold)
	inst.isShedding = true
	inst.advertised.shedThreshold = 0.5
	low := requestOf(0)
	high := requestOf(0)
	low.Priority = 0.2
	high.Priority = 0.7
	inst.Admit(0, 0, low)
	inst.Admit(0, 1, high)
	inst.reject(0, 0, retryOnAnyServer)
	inst.reject(0, 1, retryOnAnyServer)
	if rejected, over := inst.period.rejected, inst.period.rejectedOverThreshold; rejected != 2 || over != 1 {
		t.Errorf("%d rejected, %d of them over the threshold, want 2 and 1", rejected, over)
	}
}

func TestWindowIsSharedByTheCallersOfThePeriod(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Server.AdvertiseMode = settings.AdvertiseWindow
		s.Server.CallerCount = settings.NumberOf(1000)
	})
	for id := range RequestID(2) {
		req := requestOf(0)
		req.Caller = 7 + int(id)
		inst.Admit(0, id, req)
	}
	inst.advertised.shedThreshold = 0.5
	inst.advertise(0)
	host.expectCalls(t, 1, "advertise 1.000") // half of a window of 4, divided among two callers
	inst.advertised.shedThreshold = 0
	inst.advertise(0)
	host.expectCalls(t, 1, "advertise 4.000") // without load, the whole window for each caller
	inst.endPeriod(periodLength)
	if len(inst.period.callers) != 0 {
		t.Error("callers of the previous period were not removed")
	}
}
