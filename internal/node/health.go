package node

import (
	"strconv"
	"time"

	"go.uber.org/zap"
)

// healthCheck is a deep health check that waits for the runtime's self-test.
type healthCheck struct {
	responder Responder
	messageID MessageID
	expiresAt time.Duration
}

// healthState holds the controller's verdict on the instance's health and the deep checks in progress.
type healthState struct {
	isHealthy bool
	isSilent  bool                   // the runtime has not responded for runtimeSilenceTimeout, so that nothing can be served
	isCached  bool                   // deep checks are answered without a self-test
	checks    map[string]healthCheck // by the id of their self-test; at most maxHealthChecks
	selfTests int                    // self-tests requested so far; numbers their ids
}

// CheckHealth answers a health check: a shallow one at once, a deep one when the runtime's self-test has ended or after
// selfTestTimeout. A deep check for which no self-test is possible is answered like a shallow one.
func (n *Instance) CheckHealth(responder Responder, id MessageID, depth HealthCheckDepth) {
	if depth == ShallowCheck || !n.canSelfTest() {
		responder.AnswerHealthCheck(id, n.healthResult(n.healthStatus()))
		return
	}
	n.health.selfTests++
	testID := "check" + strconv.Itoa(n.health.selfTests)
	n.health.checks[testID] = healthCheck{responder: responder, messageID: id, expiresAt: n.now + selfTestTimeout}
	n.runtime.SelfTest(testID)
}

// healthStatus returns the verdict of a shallow check.
func (n *Instance) healthStatus() HealthStatus {
	return HealthOf(n.controller != nil && n.health.isHealthy && !n.health.isSilent)
}

// updateSilence marks the instance as unhealthy while its runtime does not respond, and logs each change.
func (n *Instance) updateSilence() {
	silence := n.now - n.runtimeProcess.respondedAt
	isSilent := silence > runtimeSilenceTimeout
	if isSilent == n.health.isSilent {
		return
	}
	n.health.isSilent = isSilent
	if isSilent {
		n.log.Warn("runtime does not respond, health checks fail", zap.Bool("link_up", n.runtime.Up()), zap.Duration("silent_for", silence))
		return
	}
	n.log.Info("runtime responds again")
}

// canSelfTest reports whether a deep check requests a self-test: the controller does not ask for cached verdicts, the runtime
// is connected, and fewer than maxHealthChecks deep checks are in progress.
func (n *Instance) canSelfTest() bool {
	return !n.health.isCached && n.controller != nil && n.runtime.Up() && len(n.health.checks) < maxHealthChecks
}

// SelfTestEnded is called when the runtime's self-test with this id has ended.
func (n *Instance) SelfTestEnded(testID string, status HealthStatus) {
	check, ok := n.health.checks[testID]
	if !ok {
		return
	}
	delete(n.health.checks, testID)
	check.responder.AnswerHealthCheck(check.messageID, n.healthResult(HealthOf(status == Healthy && n.health.isHealthy)))
}

// failHealthChecks answers the matching deep checks as unhealthy.
func (n *Instance) failHealthChecks(matches func(healthCheck) bool) {
	for testID, check := range n.health.checks {
		if matches(check) {
			delete(n.health.checks, testID)
			check.responder.AnswerHealthCheck(check.messageID, n.healthResult(Unhealthy))
		}
	}
}

func (n *Instance) healthResult(status HealthStatus) HealthCheckResult {
	return HealthCheckResult{Status: status, AdvertisedLoad: n.advertisedLoad}
}

func anyHealthCheck(healthCheck) bool { return true }
