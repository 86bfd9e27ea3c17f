package policy

import "go.uber.org/zap"

// maxRetryShareForUnhealthy is the share of marked retries read under which other servers are taken to be
// better off.
const maxRetryShareForUnhealthy = 0.1

// healthState is the health reported to the host.
type healthState struct {
	isUnhealthy     bool
	changingPeriods int // consecutive periods that speak for a change
}

// updateHealth takes a congested server off the endpoint list, where the list follows health: callers that
// meet this server too seldom to remember what it advertised stay away as well. Both changes need several
// periods in a row. A draining server stays unhealthy.
func (inst *Instance) updateHealth() {
	if inst.isTooCongested() == inst.health.isUnhealthy {
		inst.health.changingPeriods = 0
		return
	}
	inst.health.changingPeriods++
	if inst.health.changingPeriods < dampeningPeriods || inst.isDraining() {
		return
	}
	inst.health.changingPeriods = 0
	inst.health.isUnhealthy = !inst.health.isUnhealthy
	inst.host.SetHealth(Health{Healthy: !inst.health.isUnhealthy, Cached: true})
	inst.host.Log("health changed", zap.Bool("healthy", !inst.health.isUnhealthy),
		zap.Float64("read_delay_s", inst.readDelay), zap.Float64("retry_share", inst.retryShare))
}

// isTooCongested reports whether callers should stay away: under full congestion, and under a lighter one
// while other servers seem better off or until it has ended.
func (inst *Instance) isTooCongested() bool {
	if !inst.server.EndpointsFollowHealth.On() {
		return false
	}
	congestion := inst.readCongestion()
	isLastingOrLocal := inst.health.isUnhealthy || inst.retryShare < maxRetryShareForUnhealthy
	return congestion == 1 || congestion > 0 && isLastingOrLocal
}
