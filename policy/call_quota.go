package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// unlimitedCalls is the quota where the dependency sets none: more than a server can make.
	unlimitedCalls = 1e6
	// minCallQuota is the least quota; 0 would stop calls for ever.
	minCallQuota = 0.001
	// quotaFractionRise is how far the used part of the quota grows over a period.
	quotaFractionRise = 0.1
	// quotaFractionCut is what the used part is multiplied by in a period in which calls are slow.
	quotaFractionCut = 0.8
	// minQuotaFraction is the least part used; some calls must be made to see that they are fast again.
	minQuotaFraction = 0.05
	// meanQuotaUse is the part of the quota used in the mean, which leaves a margin.
	meanQuotaUse = 0.9
	// fractionalUse is the part used steadily of the quota's fraction beyond whole calls.
	fractionalUse = 0.5
	// fractionalSaved is the part of that fraction, over a window, that unused call-seconds are saved up to.
	fractionalSaved = 0.1
	// partialCallUse is the part of the quota left, over a window, that one call beyond the whole calls may
	// take.
	partialCallUse = 0.4
)

// callQuota is how many calls may be in flight, in the mean over the settings' window; it may be under one.
type callQuota struct {
	quota         float64
	quotaFraction float64 // part of the quota in use
	overuse       float64 // call-seconds used beyond the mean that is allowed; negative: saved up
	meteredAt     time.Duration
}

// callUsage is the number of calls in flight, those given up included, and its limit.
type callUsage struct {
	inFlight float64
	limit    float64
}

// nextExceeds reports whether one more call is over the limit, as a whole or in part.
func (u callUsage) nextExceeds() bool { return u.inFlight+1 > u.limit }

// callQuotaOf is the number of concurrent calls that the dependency sustains.
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

// meterCalls books the calls in flight since the last metering against the allowed mean, and returns the
// usage now. The use beyond whole calls is bounded, steadily, in what is saved up and by one call, since
// all servers do the same when the dependency slows down.
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

// maxPartialCallTime bounds a call that is only in part within the quota, less the time for which it counts
// after it was given up.
func (inst *Instance) maxPartialCallTime(usage callUsage) time.Duration {
	partLeft := min(inst.calls.quota-usage.inFlight, 1)
	seconds := partialCallUse * partLeft * inst.quotaWindowSeconds()
	return time.Duration(seconds*1e9) - inst.server.CallLinger.Seconds(0)
}

// endCall books a call that is in flight no longer.
func (inst *Instance) endCall(now time.Duration) {
	inst.meterCalls(now)
	inst.calls.inFlight--
}

// countAbandonedCall counts a call given up as in flight for a while, as the dependency likely goes on with
// it.
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
