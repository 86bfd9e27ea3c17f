package slots

import (
	"time"

	"thymechute/internal/decide/ring"
)

// LeaseAcquired makes this member the ring's leader.
func (c *Controller) LeaseAcquired(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make([]string, 0, len(c.lastAcknowledged))
	for process := range c.lastAcknowledged {
		known = append(known, process)
	}
	c.migrator = ring.NewMigrator(now, proposer{c}, c.config.Terms, known, c.state.Pending, c.state.MigratingSlots)
	if c.config.Budget != (ring.CallBudget{}) {
		c.warmUp = ring.NewWarmUpController(now, c.config.SlowStart, c.config.Budget, c.config.Terms)
	}
}

// LeaseLost ends this member's leadership.
func (c *Controller) LeaseLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.migrator = nil
	c.warmUp = nil
}

// tickLeader continues the migration in progress or starts the next one, and proposes grants.
func (c *Controller) tickLeader(now time.Duration) {
	c.migrator.Tick(now)
	c.startMigration(now)
	c.proposeGrant(now)
}

// startMigration starts the migration to the target backends, if one is needed and none is in progress.
func (c *Controller) startMigration(now time.Duration) {
	if c.migrator.InProgress() || c.state.Pending != nil || len(c.targetBackends) == 0 {
		return
	}
	active, target := c.state.Active, c.targetBackends
	if c.warmUp != nil {
		target = c.warmUp.WeightedBackends(now, target, active)
	}
	next, migrations, _, err := active.Plan(target, c.config.Bound, nil)
	if err != nil {
		return
	}
	if len(migrations) > 0 || len(active.Backends()) == 0 || next.WarmUpChangedSince(active) {
		c.migrator.Start(now, next, migrations)
	}
}

// proposeGrant proposes the next grant for the backends that are warming up, if one is due.
func (c *Controller) proposeGrant(now time.Duration) {
	if c.warmUp == nil {
		return
	}
	isAlive := func(process string) bool {
		_, ok := c.lastAcknowledged[process]
		return ok
	}
	if grant, isDue := c.warmUp.NextGrant(now, &c.state, isAlive); isDue {
		proposer{c}.propose(command{Grant: &grant})
	}
}

// proposer proposes the migrator's entries to the log. The migrator proposes an entry again if it is lost.
type proposer struct{ controller *Controller }

// ProposeFreeze implements ring.MigrationProposer.
func (p proposer) ProposeFreeze(next *ring.Table, _ []int) {
	slack := p.controller.config.Bound.Slack
	p.propose(command{Freeze: &freeze{Version: next.Version, Backends: next.Backends(), Slack: slack, Digest: next.Digest()}})
}

// ProposeActivation implements ring.MigrationProposer.
func (p proposer) ProposeActivation(next *ring.Table) { p.propose(command{Activate: next.Version}) }

func (p proposer) propose(c command) { p.controller.log.DecideNow(Duty, c.encode()) }
