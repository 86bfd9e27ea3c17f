package policy

import "go.uber.org/zap"

// maxRetryShareForUnhealthy is the share of retries among the requests read, 0 to 1, below which the other
// servers are assumed to be less loaded: overloaded servers would reject requests, and the callers would
// retry them here.
const maxRetryShareForUnhealthy = 0.1

// healthState is the health reported to the host.
type healthState struct {
	isUnhealthy      bool
	differingPeriods int // consecutive periods whose congestion calls for the opposite of the reported health
}

// updateHealth reports a congested server as unhealthy if the endpoint list follows health, so that callers
// without a recent advertised load avoid it too. A change in either direction needs dampeningPeriods
// consecutive periods. A draining server stays unhealthy.
func (inst *Instance) updateHealth() {
	if inst.isTooCongested() == inst.health.isUnhealthy {
		inst.health.differingPeriods = 0
		return
	}
	inst.health.differingPeriods++
	if inst.health.differingPeriods < dampeningPeriods || inst.isDraining() {
		return
	}
	inst.health.differingPeriods = 0
	inst.health.isUnhealthy = !inst.health.isUnhealthy
	inst.host.SetHealth(Health{Healthy: !inst.health.isUnhealthy, SkipSelfTest: true})
	inst.host.Log("health changed", zap.Bool("healthy", !inst.health.isUnhealthy),
		zap.Float64("read_delay_s", inst.readDelay), zap.Float64("retry_share", inst.retryShare))
}

// isTooCongested reports whether callers should avoid this server: under full read congestion, or under
// partial read congestion if other servers seem less loaded. An unhealthy server stays so until read
// congestion has ended.
func (inst *Instance) isTooCongested() bool {
	if !inst.server.EndpointsFollowHealth.On() {
		return false
	}
	congestion := inst.readCongestion()
	if congestion == 0 || congestion == 1 {
		return congestion == 1
	}
	return inst.health.isUnhealthy || inst.retryShare < maxRetryShareForUnhealthy
}
