package consensus

import (
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
)

const reconcileInterval = 250 * time.Millisecond

// voterManager manages raft's servers at the leader: every reachable member is one, and internal/decide/quorum decides which
// of them vote. It makes one change of the voters at a time, and waits until that is committed. It is used by one goroutine.
type voterManager struct {
	log        *Log
	config     quorum.Config
	onChange   func(quorum.Change)
	peers      peerTable
	learner    string // nonvoter chosen to be promoted; empty if none is
	lastReason string // of the last change, or for the last NoChange, at the leader
}

// ManageVoters starts a goroutine that manages raft's servers until Stop. It must be called at every member, and has an effect
// only at the leader. view returns the membership view; onChange is called with each change, and with NoChange whenever its
// reason is new. Both are called on that goroutine. ManageVoters must be called at most once, before Stop.
func (d *Driver) ManageVoters(view func() []Peer, config quorum.Config, onChange func(quorum.Change)) {
	m := &voterManager{log: d.Log, config: config, onChange: onChange, peers: peerTable{}}
	d.goroutines.Go(func() {
		ticker := time.NewTicker(reconcileInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				return
			case now := <-ticker.C:
				m.tick(view(), now)
			}
		}
	})
}

// tick merges the membership view into the peers. At the leader it then reconciles the servers with them, and reports the
// change, or the reason for none if that is new.
func (m *voterManager) tick(view []Peer, now time.Time) {
	m.peers.update(view, now)
	if _, isLeader := m.log.Leader(); !isLeader {
		m.learner = ""
		return
	}
	change := m.reconcile(now)
	if change.Kind != quorum.NoChange || change.Reason != m.lastReason {
		m.onChange(change)
	}
	m.lastReason = change.Reason
}

// reconcile adds all reachable peers as nonvoters, and makes at most one other change of the servers.
func (m *voterManager) reconcile(now time.Time) quorum.Change {
	servers, err := m.log.servers()
	if err != nil {
		return quorum.Change{}
	}
	voters, nonvoters := classifyServers(servers)
	for _, process := range nonvoters {
		if p := m.peers[process]; p == nil || p.isRemovable(now) {
			const reason = "nonvoter is unreachable or was replaced"
			return m.changeConfiguration(quorum.Change{Kind: quorum.RemoveServer, Process: process, Reason: reason})
		}
	}
	committed := m.log.raft.CommitIndex()
	addErr := m.addNonvoters(servers, now)
	members := m.quorumMembers(nonvoters, committed, now)
	if m.log.heartbeats.isNewLeader(now) {
		return quorum.Change{Reason: "the leader was elected too recently to know which servers have failed"}
	}
	fleet := quorum.Fleet{Members: members, Voters: voters, Learners: m.learners()}
	change := quorum.NextChange(fleet, m.config)
	if change.Kind == quorum.NoChange && addErr != nil {
		change.Reason += "; a nonvoter could not be added: " + addErr.Error()
	}
	return m.execute(change)
}

func classifyServers(servers []raft.Server) (voters, nonvoters []string) {
	for _, s := range servers {
		if s.Suffrage == raft.Voter {
			voters = append(voters, string(s.ID))
		} else {
			nonvoters = append(nonvoters, string(s.ID))
		}
	}
	return voters, nonvoters
}

// addNonvoters adds all reachable peers that are not servers yet. A failure does not keep it from adding the others; the last
// error is returned.
func (m *voterManager) addNonvoters(servers []raft.Server, now time.Time) (lastErr error) {
	for process, p := range m.peers {
		isServer := slices.ContainsFunc(servers, func(s raft.Server) bool { return string(s.ID) == process })
		if isServer || p.unreachableFor(now) > 0 || p.Draining || p.isReplaced {
			continue
		}
		if err := m.log.AddNonvoter(process, p.Address); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// quorumMembers returns all peers as members for package quorum. A peer that does not answer heartbeats counts as unreachable,
// but only for reconcileInterval: whether it has failed is for the membership layer to detect.
func (m *voterManager) quorumMembers(nonvoters []string, committed uint64, now time.Time) (members []quorum.Member) {
	for process, p := range m.peers {
		member := p.quorumMember(now)
		member.UnreachableFor = p.unreachableFor(now)
		if member.UnreachableFor == 0 && m.log.heartbeats.isFailing(process, now) {
			member.UnreachableFor = reconcileInterval
		}
		member.CaughtUp = p.isCaughtUp(committed, now) && slices.Contains(nonvoters, process)
		members = append(members, member)
	}
	return members
}

func (m *voterManager) learners() []string {
	if m.learner == "" {
		return nil
	}
	return []string{m.learner}
}

// execute makes a change. All peers are nonvoters already, so that adding a learner only means to choose it.
func (m *voterManager) execute(change quorum.Change) quorum.Change {
	switch change.Kind {
	case quorum.AddLearner:
		m.learner = change.Process
		return change
	case quorum.PromoteVoter:
		m.learner = ""
	case quorum.RemoveServer:
		if change.Process == m.learner {
			m.learner = ""
			return change
		}
	default:
		return change
	}
	return m.changeConfiguration(change)
}

// changeConfiguration changes raft's configuration. If that fails it returns NoChange, with the error in the reason.
func (m *voterManager) changeConfiguration(change quorum.Change) quorum.Change {
	var err error
	if change.Kind == quorum.PromoteVoter {
		err = m.log.AddVoter(change.Process, m.peers[change.Process].Address)
	} else {
		err = m.log.removeServer(change.Process)
	}
	if err != nil {
		change.Kind, change.Reason = quorum.NoChange, change.Reason+": "+err.Error()
	}
	return change
}
