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
	// quotaFractionRise is added to the fraction of the quota in use in each period.
	quotaFractionRise = 0.1
	// quotaFractionCut is the factor on the fraction of the quota in use in a period with slow calls.
	quotaFractionCut = 0.8
	// minQuotaFraction is the least fraction of the quota in use; some calls are needed to see that they are
	// fast again.
	minQuotaFraction = 0.05
	// meanQuotaUse is the part of the limit that may be used in the mean; the rest is a margin.
	meanQuotaUse = 0.9
	// fractionalUse is the part of the quota's fraction beyond whole calls that may be used in the mean.
	fractionalUse = 0.5
	// fractionalSaved bounds the unused call-seconds that may be saved up, as a part of the quota's fraction
	// beyond whole calls over one window.
	fractionalSaved = 0.1
	// partialCallUse bounds the call-seconds of one call beyond the whole calls, as a part of the unused
	// quota over one window.
	partialCallUse = 0.4
)

// callQuota bounds the mean number of calls in flight over the window of the settings. A quota may be below
// one call; it is then met by pauses between calls.
type callQuota struct {
	quota         float64       // concurrent calls
	quotaFraction float64       // part of the quota in use, 0 to 1
	overuse       float64       // call-seconds used beyond the allowed mean; negative: saved up
	meteredAt     time.Duration // when overuse was last brought up to date
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
		return max(math.Floor(perCore*float64(cores)*maxConcurrencyPart), 1)
	default:
		return unlimitedCalls
	}
}

func (inst *Instance) quotaWindowSeconds() float64 {
	return inst.server.CallQuotaWindow.Seconds(1).Seconds()
}

// meterCalls adds the call-seconds since the last metering to the overuse, and returns the present usage.
// The part of the quota beyond whole calls is bounded in its mean (fractionalUse), in what is saved up
// (fractionalSaved) and for a single call (partialCallUse), since all servers use theirs at the same time
// when the dependency slows down.
func (inst *Instance) meterCalls(now time.Duration) callUsage {
	calls := &inst.calls
	usage := callUsage{
		inFlight: float64(calls.inFlight + len(calls.abandoned)),
		limit:    calls.quota * calls.quotaFraction,
	}
	whole, fraction := math.Modf(calls.quota)
	allowed := min(meanQuotaUse*usage.limit, whole+fractionalUse*fraction)
	elapsed := (now - calls.meteredAt).Seconds()
	overuse := calls.overuse + (usage.inFlight-allowed)*elapsed
	calls.overuse = max(overuse, -fractionalSaved*fraction*inst.quotaWindowSeconds())
	calls.meteredAt = now
	return usage
}

// maxPartialCallTime bounds the duration of a call that is only in part within the quota. An abandoned call
// counts for CallLinger seconds more, so these are subtracted.
func (inst *Instance) maxPartialCallTime(usage callUsage) time.Duration {
	partLeft := min(inst.calls.quota-usage.inFlight, 1)
	seconds := partialCallUse * partLeft * inst.quotaWindowSeconds()
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

// updateQuotaFraction uses less of the quota while calls are slow: the dependency is overloaded long
// before it fails, and fewer calls at once let more of them succeed.
func (inst *Instance) updateQuotaFraction() {
	inst.calls.quotaFraction = min(inst.calls.quotaFraction+quotaFractionRise, 1)
	if inst.areCallsSlow() {
		inst.calls.quotaFraction = max(inst.calls.quotaFraction*quotaFractionCut, minQuotaFraction)
	}
}
