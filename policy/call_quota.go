package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// unlimitedCalls is the quota, in concurrent calls, of a dependency without one; no server reaches it.
	unlimitedCalls = 1e6
	// minCallQuota is the least quota in concurrent calls; 0 would stop calls for ever.
	minCallQuota = 0.001
	// quotaScaleIncrease is added to the fraction of the quota in use in each period.
	quotaScaleIncrease = 0.1
	// quotaScaleDecreaseFactor is the factor on the fraction of the quota in use in a period with slow calls.
	quotaScaleDecreaseFactor = 0.8
	// minQuotaScale is the least fraction of the quota in use; some calls are needed to see that they are
	// fast again.
	minQuotaScale = 0.05
	// maxMeanQuotaUse is the part of the limit that may be used in the mean; the rest is a margin.
	maxMeanQuotaUse = 0.9
	// maxMeanFractionalUse is the part of the quota's fraction beyond whole calls that may be used in the mean.
	maxMeanFractionalUse = 0.5
	// maxFractionalCredit bounds the unused call-seconds that may be saved up, as a part of the quota's fraction
	// beyond whole calls over one window.
	maxFractionalCredit = 0.1
	// maxPartialCallUse bounds the call-seconds of one call beyond the whole calls, as a part of the unused
	// quota over one window.
	maxPartialCallUse = 0.4
)

// callQuota bounds the mean number of calls in flight over the window of the settings. A quota may be below
// one call; it is then met by pauses between calls.
type callQuota struct {
	quota      float64       // concurrent calls
	quotaScale float64       // part of the quota in use, 0 to 1
	overuse    float64       // call-seconds used beyond the allowed mean; negative: saved up
	meteredAt  time.Duration // when overuse was last brought up to date
}

// callUsage is the number of calls in flight, including abandoned ones that still count, and its limit.
type callUsage struct {
	inFlight float64
	limit    float64
}

// nextCallExceedsLimit reports whether one more call would be beyond the limit, at least in part.
func (u callUsage) nextCallExceedsLimit() bool { return u.inFlight+1 > u.limit }

// callQuotaOf returns the number of concurrent calls that the dependency sustains from this server.
func callQuotaOf(s settings.Server, cores int) float64 {
	switch s.Dependency {
	case settings.DependencyShared:
		return max(s.CallQuota.Or(1), minCallQuota)
	case settings.DependencyTier:
		perCore := s.MaxConcurrencyPerCore.Or(defaultConcurrencyPerCore)
		return max(math.Floor(perCore*float64(cores)*maxConcurrencyFraction), 1)
	default:
		return unlimitedCalls
	}
}

func (inst *Instance) quotaWindowSeconds() float64 {
	return inst.server.CallQuotaWindow.Seconds(1).Seconds()
}

// meterCalls adds the call-seconds since the last metering to the overuse, and returns the present usage.
// The part of the quota beyond whole calls is bounded in its mean (maxMeanFractionalUse), in what is saved up
// (maxFractionalCredit) and for a single call (maxPartialCallUse), since all servers use theirs at the same time
// when the dependency slows down.
func (inst *Instance) meterCalls(now time.Duration) callUsage {
	calls := &inst.calls
	usage := callUsage{
		inFlight: float64(calls.inFlight + len(calls.abandoned)),
		limit:    calls.quota * calls.quotaScale,
	}
	wholePart, fractionalPart := math.Modf(calls.quota)
	allowed := min(maxMeanQuotaUse*usage.limit, wholePart+maxMeanFractionalUse*fractionalPart)
	elapsed := (now - calls.meteredAt).Seconds()
	overuse := calls.overuse + (usage.inFlight-allowed)*elapsed
	calls.overuse = max(overuse, -maxFractionalCredit*fractionalPart*inst.quotaWindowSeconds())
	calls.meteredAt = now
	return usage
}

// maxPartialCallTime bounds the duration of a call that is only in part within the quota. An abandoned call
// counts for CallLinger seconds more, so these are subtracted.
func (inst *Instance) maxPartialCallTime(usage callUsage) time.Duration {
	unusedQuota := min(inst.calls.quota-usage.inFlight, 1)
	seconds := maxPartialCallUse * unusedQuota * inst.quotaWindowSeconds()
	return time.Duration(seconds*float64(time.Second)) - inst.server.CallLinger.Seconds(0)
}

// endCall meters a call that has ended and removes it from those in flight.
func (inst *Instance) endCall(now time.Duration) {
	inst.meterCalls(now)
	inst.calls.inFlight--
}

// countAbandonedCall counts an abandoned call as in flight for CallLinger seconds, as the dependency
// probably still works on it.
func (inst *Instance) countAbandonedCall(now time.Duration) {
	inst.calls.abandoned = append(inst.calls.abandoned, now+inst.server.CallLinger.Seconds(0))
}

// updateQuotaScale uses less of the quota while calls are slow: the dependency is overloaded long
// before it fails, and fewer calls at once let more of them succeed.
func (inst *Instance) updateQuotaScale() {
	inst.calls.quotaScale = min(inst.calls.quotaScale+quotaScaleIncrease, 1)
	if inst.areCallsSlow() {
		inst.calls.quotaScale = max(inst.calls.quotaScale*quotaScaleDecreaseFactor, minQuotaScale)
	}
}
