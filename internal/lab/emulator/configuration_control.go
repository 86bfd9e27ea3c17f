package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/lease"
)

// configurationDuty is the duty whose lease holder may change the configuration.
const configurationDuty = "configuration"

var configurationLease = lease.Config{Duration: 2 * time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}

// configurationControlNode is a control node with its store, its replica of the lease table and its elector, for which it
// implements lease.Host.
type configurationControlNode struct {
	*configuration.ControlNode
	process        *configurationProcess
	store          *configuration.Store
	table          *lease.Table
	elector        *lease.Elector
	appliedEntries int
	lastToken      uint64 // fencing token of the last lease that it held; 0 for none since the start
	startedAt      time.Duration
	isolatedSince  time.Duration // when it lost contact with a log leader that has a quorum; 0: it has contact
}

func newConfigurationControlNode(p *configurationProcess) *configurationControlNode {
	c := &configurationControlNode{process: p, store: configuration.NewStore(p.simulation.initialState, 0)}
	if onStart := p.simulation.scenario.OnStart.Store; onStart != nil {
		onStart(c.store)
	}
	c.table, _ = lease.NewTable(configurationDuty)
	c.start()
	return c
}

// start starts the process with what it keeps on disk: the applied entries of the log, the lease table and the store.
func (c *configurationControlNode) start() {
	s, p := c.process.simulation, c.process
	p.incarnation++
	p.isUp = true
	p.isPaused = false
	p.activeVersion = c.store.State().Version()
	c.startedAt = s.now
	c.lastToken = 0
	c.ControlNode = configuration.NewControlNode(s.now, p, c.store)
	c.elector = lease.NewElector(c, c.table, configurationLease, p.name, uint64(p.incarnation))
	c.elector.SetClaimPosition(configurationDuty, p.index)
	c.elector.SetCaughtUp(0)
	p.traffic.reset(s.now)
	p.traffic.markCaughtUp(s.now)
}

// clock returns the time since the process started.
func (c *configurationControlNode) clock() time.Duration {
	return c.process.simulation.now - c.startedAt
}

// Propose implements lease.Host.
func (c *configurationControlNode) Propose(command lease.Command) {
	c.process.simulation.propose(c.process, command)
}

// LeaseAcquired implements lease.Host. It stores the token for proposeWithoutLeaseCheck.
func (c *configurationControlNode) LeaseAcquired(_ string, token uint64) { c.lastToken = token }

// LeaseLost implements lease.Host. The token stays, for proposeWithoutLeaseCheck.
func (c *configurationControlNode) LeaseLost(string) {}

// proposeWithoutLeaseCheck proposes a change with the token of the last lease, like a node that was paused between the check
// of its lease and the proposal.
func (c *configurationControlNode) proposeWithoutLeaseCheck() {
	if c.lastToken == 0 {
		return
	}
	active := c.State().Version()
	v := configuration.Version{Token: c.lastToken, Counter: active.Counter + 1}
	r, err := configuration.NewResource(configuration.Tenant, tenantName(0), "late", v)
	if err != nil {
		return
	}
	command := configuration.Command{Base: active, Version: v, Changes: []configuration.Change{{Resource: r}}}
	c.Propose(lease.Command{Kind: lease.Decide, Duty: configurationDuty, Member: c.process.name, Incarnation: uint64(c.process.incarnation),
		Token: c.lastToken, Body: string(command.Encode())})
}

// applyEntries applies the first upTo entries of the log to a control node, unless the log's leader cannot reach it.
func (s *configurationSimulation) applyEntries(p *configurationProcess, upTo int) {
	if !p.isRunning() || !s.network.isReachable(s.leader(), p) {
		return
	}
	c := p.control
	for ; c.appliedEntries < upTo; c.appliedEntries++ {
		e := s.log.entries[c.appliedEntries]
		outcome := c.elector.Apply(c.clock(), uint64(c.appliedEntries+1), e.Command)
		if e.Kind == lease.Acquire && outcome.Accepted {
			c.LeaseGranted(outcome.Token)
		}
		if e.change == nil {
			continue
		}
		if err := c.Apply(s.now, *e.change); err == nil && e.isStale {
			s.checker.result.StaleAccepted++
		}
	}
}
