package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// unlimitedCalls is the quota, in concurrent calls, of a dependency without a quota. No server reaches it.
	unlimitedCalls = 1e6
	// minCallQuota is the minimum quota in concurrent calls. A quota of 0 would stop calls forever.
	minCallQuota = 0.001
	// quotaScaleIncrease is added to the quota scale in each period.
	quotaScaleIncrease = 0.1
	// quotaScaleDecreaseFactor multiplies the quota scale in a period with slow calls.
	quotaScaleDecreaseFactor = 0.8
	// minQuotaScale is the minimum quota scale. Some calls are needed to detect that they are fast again.
	minQuotaScale = 0.05
	// maxMeanQuotaUse is the maximum mean use of the scaled quota, as a fraction of it; the rest is a margin.
	maxMeanQuotaUse = 0.9
	// maxMeanFractionalUse is the maximum mean use of the fractional part of the quota (0.7 of a quota of 1.7),
	// as a fraction of that part.
	maxMeanFractionalUse = 0.5
	// maxFractionalCredit is the maximum of the unused call-seconds that are credited to later calls, as a
	// fraction of what the fractional part of the quota allows in one window.
	maxFractionalCredit = 0.1
	// maxPartialCallUse is the maximum of the call-seconds of a call that is only partly within the quota, as a
	// fraction of what the unused quota allows in one window.
	maxPartialCallUse = 0.4
)

// callQuota limits the mean number of calls in flight over the window CallQuotaWindow of the settings. A
// quota below one call is enforced by pauses between calls.
type callQuota struct {
	quota      float64       // concurrent calls
	quotaScale float64       // adaptive factor on the quota, 0 to 1; reduced while calls are slow
	overuse    float64       // call-seconds used in excess of the allowed mean; negative: credit
	meteredAt  time.Duration // time of the last update of overuse
}

// callUsage is the number of calls in flight, including abandoned calls that still count, and its limit.
type callUsage struct {
	inFlight float64
	limit    float64
}

// nextCallExceedsLimit reports whether one more call would exceed the limit, at least partly.
func (u callUsage) nextCallExceedsLimit() bool { return u.inFlight+1 > u.limit }

// callQuotaOf returns the number of concurrent calls that the dependency can sustain from this server.
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

// meterCalls adds the call-seconds since the last metering to the overuse, and returns the current usage. Use
// of the fractional part of the quota is limited in its mean (maxMeanFractionalUse), its credit
// (maxFractionalCredit) and for a single call (maxPartialCallUse), because all servers use their fractional
// part at the same time when the dependency slows down.
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

// maxPartialCallTime returns the maximum duration of a call that is only partly within the quota. CallLinger
// is subtracted because an abandoned call still counts for that time.
func (inst *Instance) maxPartialCallTime(usage callUsage) time.Duration {
	unusedQuota := min(inst.calls.quota-usage.inFlight, 1)
	seconds := maxPartialCallUse * unusedQuota * inst.quotaWindowSeconds()
	return time.Duration(seconds*float64(time.Second)) - inst.server.CallLinger.Seconds(0)
}

// endCall meters the calls up to now and removes the ended call from those in flight.
func (inst *Instance) endCall(now time.Duration) {
	inst.meterCalls(now)
	inst.calls.inFlight--
}

// countAbandonedCall counts an abandoned call as in flight for CallLinger seconds, because the dependency
// probably still works on it.
func (inst *Instance) countAbandonedCall(now time.Duration) {
	inst.calls.abandoned = append(inst.calls.abandoned, now+inst.server.CallLinger.Seconds(0))
}

// updateQuotaScale reduces the used quota while calls are slow: the dependency is overloaded long before it
// fails, and with fewer concurrent calls more of them succeed.
func (inst *Instance) updateQuotaScale() {
	inst.calls.quotaScale = min(inst.calls.quotaScale+quotaScaleIncrease, 1)
	if inst.areCallsSlow() {
		inst.calls.quotaScale = max(inst.calls.quotaScale*quotaScaleDecreaseFactor, minQuotaScale)
	}
}
