package node

import (
	"strconv"
	"time"
)

// healthCheck is a deep health check that waits for the runtime's self-test.
type healthCheck struct {
	responder Responder
	messageID MessageID
	expiresAt time.Duration
}

// CheckHealth answers a health check: at once, or a deep one when the runtime's self-test has ended.
func (n *Instance) CheckHealth(responder Responder, id MessageID, depth HealthCheckDepth) {
	if depth == ShallowCheck || !n.canSelfTest() {
		responder.HealthChecked(id, n.healthResult(HealthOf(n.controller != nil && n.healthy)))
		return
	}
	n.selfTestCount++
	testID := "check" + strconv.Itoa(n.selfTestCount)
	n.healthChecks[testID] = healthCheck{responder: responder, messageID: id, expiresAt: n.now + selfTestTimeout}
	n.runtime.SelfTest(testID)
}

// canSelfTest tells whether a deep check is worth a self-test, and there is capacity for one.
func (n *Instance) canSelfTest() bool {
	return !n.healthCached && n.controller != nil && n.runtime.Up() && len(n.healthChecks) < maxHealthChecks
}

// SelfTestEnded is called when the runtime's self-test of that id has ended.
func (n *Instance) SelfTestEnded(testID string, status HealthStatus) {
	check, ok := n.healthChecks[testID]
	if !ok {
		return
	}
	delete(n.healthChecks, testID)
	check.responder.HealthChecked(check.messageID, n.healthResult(HealthOf(status == Healthy && n.healthy)))
}

// failHealthChecks answers the matching deep checks as unhealthy.
func (n *Instance) failHealthChecks(matches func(healthCheck) bool) {
	for testID, check := range n.healthChecks {
		if matches(check) {
			delete(n.healthChecks, testID)
			check.responder.HealthChecked(check.messageID, n.healthResult(Unhealthy))
		}
	}
}

func (n *Instance) healthResult(status HealthStatus) HealthCheckResult {
	return HealthCheckResult{Status: status, Advertised: n.advertised}
}

func anyHealthCheck(healthCheck) bool { return true }
