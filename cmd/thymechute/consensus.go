package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/operator"
)

const (
	maxClockDrift   = 0.01                   // relative error of a clock's rate up to which leases exclude each other
	bootstrapWindow = time.Minute            // a start up to this long before or after the configured time bootstraps the log
	bootstrapDelay  = 2 * time.Second        // from the start until the bootstrap, for members that have a log to appear in the view
	publishInterval = 250 * time.Millisecond // of the applied index in the membership record

	// maxPublishLag is the number of entries applied since the last publication at which the index is published again. The leader
	// regards a follower up to 64 entries behind as caught up, so that this lag does not matter.
	maxPublishLag = 16
)

// duties are the names of the leases that the log grants, which must be the same in all members. A member's claim position for
// each duty is one after its position for the previous duty, so that different members acquire the leases.
var duties = []string{"ring", "roll"}

// consensusNode is this process's replica of the fleet's replicated log. It runs if the element fleet of the operator's settings
// has an element log. It logs changes of the leader, the voters and the leases, and updates the fields of the membership record
// that describe the replica.
type consensusNode struct {
	log         *zap.Logger
	member      *membership.Member
	process     string
	driver      atomic.Pointer[consensus.Driver]
	bootstrapAt time.Time // zero: this process does not bootstrap the log
	leader      string    // as last logged; owned by fleet.maintainRecord
}

// newConsensusNode returns a replica that is not started, and sets the process and the log's address in the membership record.
func newConsensusNode(settings *operator.Log, record *membership.Record, name string, log *zap.Logger) *consensusNode {
	c := &consensusNode{log: log, process: fmt.Sprintf("%s#%x", name, record.Epoch)}
	record.Process = c.process
	record.LogAddress = settings.Advertise
	if settings.Advertise == "" {
		record.LogAddress = settings.Bind
	}
	now := time.Now()
	if !settings.BootstrapAt.IsZero() && now.Sub(settings.BootstrapAt).Abs() < bootstrapWindow {
		c.bootstrapAt = now.Add(bootstrapDelay)
	}
	return c
}

// start starts the replica. It fails if an address cannot be bound or resolved.
func (c *consensusNode) start(settings *operator.Log, m *membership.Member, incarnation uint64) error {
	c.member = m
	duration := time.Duration(settings.LeaseDurationMS) * time.Millisecond
	leases := lease.Config{Duration: duration, MaxDrift: maxClockDrift, SafetyMargin: duration / 50}
	config := consensus.Config{
		Process:          c.process,
		Bind:             settings.Bind,
		Advertise:        settings.Advertise,
		Duties:           duties,
		HeartbeatTimeout: duration * 3 / 10,
	}
	driver, err := consensus.StartDriver(consensus.DriverConfig{
		Log: config, Leases: leases, Incarnation: incarnation, Watcher: c, Send: c.send,
	})
	if err != nil {
		return err
	}
	c.driver.Store(driver)
	voters := quorum.Config{MaxVoters: settings.MaxVoters, MinAge: duration, HoldDown: 2 * duration}
	driver.ManageVoters(c.peers, voters, c.logVoterChange)
	return nil
}

// send sends a message to the member that runs as the process.
func (c *consensusNode) send(process string, message []byte) error {
	name := process[:strings.LastIndexByte(process, '#')]
	return c.member.Send(name, message)
}

// receive handles a message from another member. It runs on a goroutine of memberlist, and ignores messages on a nil receiver
// and before start.
func (c *consensusNode) receive(message []byte) {
	if c == nil {
		return
	}
	if driver := c.driver.Load(); driver != nil {
		driver.ReceiveProposal(message)
	}
}

// peers returns the members in the view, in the form that package consensus takes.
func (c *consensusNode) peers() (peers []consensus.Peer) {
	for _, r := range c.member.View() {
		peers = append(peers, consensus.Peer{
			Process:  r.Process,
			Address:  r.LogAddress,
			Zone:     r.Zone,
			Region:   r.Region,
			Applied:  r.AppliedIndex,
			Draining: r.Flag == membership.FlagLeaving,
		})
	}
	return peers
}

// logVoterChange logs a change of the voters, or that the lost quorum prevents any change. It is called only at the leader.
func (c *consensusNode) logVoterChange(change quorum.Change) {
	process := zap.String("process", change.Process)
	reason := zap.String("reason", change.Reason)
	switch change.Kind {
	case quorum.AddLearner:
		c.log.Info("fleet log: learner chosen", process, reason)
	case quorum.PromoteVoter:
		c.log.Info("fleet log: voter added", process, reason)
	case quorum.RemoveServer:
		c.log.Info("fleet log: server removed", process, reason)
	default:
		if change.IsQuorumLost() {
			c.log.Warn("fleet log: quorum lost", reason)
		}
	}
}

// refresh bootstraps the log when that is due, logs a change of the leader, and updates the applied index in the membership
// record. It reports whether the record was changed.
func (c *consensusNode) refresh(record *membership.Record) (isChanged bool) {
	driver := c.driver.Load()
	if !c.bootstrapAt.IsZero() && time.Now().After(c.bootstrapAt) {
		c.bootstrapAt = time.Time{}
		c.bootstrap(driver)
	}
	if leader, _ := driver.Log.Leader(); leader != c.leader {
		c.leader = leader
		c.logLeader()
	}
	applied, _ := driver.Log.Applied()
	isFirst := record.AppliedIndex == 0 && applied > 0
	if !isFirst && applied < record.AppliedIndex+maxPublishLag {
		return false
	}
	record.AppliedIndex = applied
	return true
}

func (c *consensusNode) logLeader() {
	if c.leader == "" {
		c.log.Warn("fleet log: no leader")
		return
	}
	c.log.Info("fleet log: leader", zap.String("process", c.leader))
}

// bootstrap creates the log with this process as its only voter, unless another member has a log.
func (c *consensusNode) bootstrap(driver *consensus.Driver) {
	for _, r := range c.member.View() {
		if r.AppliedIndex > 0 && r.Process != c.process {
			c.log.Warn("fleet log: bootstrap skipped, another member has a log", zap.String("member", r.Name))
			return
		}
	}
	if err := driver.Log.Bootstrap(); err != nil {
		c.log.Warn("fleet log: bootstrap failed", zap.Error(err))
		return
	}
	c.log.Info("fleet log: bootstrapped", zap.String("process", c.process))
}

// setClaimPosition sets this member's claim position for each duty, which follows from its rank in the fleet.
func (c *consensusNode) setClaimPosition(rank int) {
	for n, duty := range duties {
		c.driver.Load().SetClaimPosition(duty, rank+n)
	}
}

// LeaseAcquired implements consensus.Watcher.
func (c *consensusNode) LeaseAcquired(duty string, token uint64) {
	c.log.Info("fleet log: lease acquired", zap.String("duty", duty), zap.Uint64("token", token))
}

// LeaseLost implements consensus.Watcher.
func (c *consensusNode) LeaseLost(duty string) {
	c.log.Info("fleet log: lease lost", zap.String("duty", duty))
}

// EntryApplied implements consensus.Watcher.
func (c *consensusNode) EntryApplied(uint64, lease.Command, lease.Outcome) {}

// SnapshotRestored implements consensus.Watcher.
func (c *consensusNode) SnapshotRestored([]byte) {}

// Tick implements consensus.Watcher.
func (c *consensusNode) Tick(time.Duration) {}
