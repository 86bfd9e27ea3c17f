package consensus

import (
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
)

const reconcileInterval = 250 * time.Millisecond

// voterManager is the leader's management of who follows the log and who votes, by internal/decide/quorum. It makes one
// change of the voters at a time, and waits until each is committed. One goroutine uses it.
type voterManager struct {
	log        *Log
	config     quorum.Config
	onChange   func(quorum.Change)
	peers      peerTable
	learner    string // chosen to be promoted; empty if none is
	lastReason string // of the last change or NoChange as the leader
}

// ManageVoters starts a goroutine that manages the log's servers until Stop. It runs at every member, and acts at the leader
// alone. view returns the membership view; onChange is called with each change and each new reason for none. Both are
// called on that goroutine. It must be called at most once, before Stop.
func (d *Driver) ManageVoters(view func() []Peer, config quorum.Config, onChange func(quorum.Change)) {
	m := &voterManager{log: d.Log, config: config, onChange: onChange, peers: peerTable{}}
	d.running.Go(func() {
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

// tick takes over the membership view, reconciles the servers with it at the leader, and reports what is new.
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

// reconcile makes all peers follow the log, and makes at most one other change of the servers.
func (m *voterManager) reconcile(now time.Time) quorum.Change {
	servers, err := m.log.servers()
	if err != nil {
		return quorum.Change{}
	}
	voters, followers := classifyServers(servers)
	for _, process := range followers {
		if p := m.peers[process]; p == nil || p.isGone(now) {
			const reason = "a follower that is unreachable or was replaced"
			return m.commit(quorum.Change{Kind: quorum.RemoveServer, Process: process, Reason: reason})
		}
	}
	committed := m.log.raft.CommitIndex()
	followErr := m.addFollowers(servers, now)
	members := m.members(followers, committed, now)
	if m.log.heartbeats.isNewLeader(now) {
		return quorum.Change{Reason: "the leader was elected just now"}
	}
	fleet := quorum.Fleet{Members: members, Voters: voters, Learners: m.learners()}
	change := quorum.NextChange(fleet, m.config)
	if change.Kind == quorum.NoChange && followErr != nil {
		change.Reason += "; a follower was not added: " + followErr.Error()
	}
	return m.execute(change)
}

func classifyServers(servers []raft.Server) (voters, followers []string) {
	for _, s := range servers {
		if s.Suffrage == raft.Voter {
			voters = append(voters, string(s.ID))
		} else {
			followers = append(followers, string(s.ID))
		}
	}
	return voters, followers
}

// addFollowers makes all reachable peers follow the log. It returns the last error, so that one peer does not hold up the
// others.
func (m *voterManager) addFollowers(servers []raft.Server, now time.Time) (lastErr error) {
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

// members returns all peers as candidates. A peer that the heartbeats do not reach is unreachable, but for no longer than
// a moment: whether it has failed is for the membership layer to detect.
func (m *voterManager) members(followers []string, committed uint64, now time.Time) (members []quorum.Member) {
	for process, p := range m.peers {
		member := p.member(now)
		member.UnreachableFor = p.unreachableFor(now)
		if member.UnreachableFor == 0 && m.log.heartbeats.isFailing(process, now) {
			member.UnreachableFor = reconcileInterval
		}
		member.CaughtUp = p.isCaughtUp(committed, now) && slices.Contains(followers, process)
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

// execute carries out a change. All peers follow the log already, so to add a learner is only to choose it.
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
	return m.commit(change)
}

// commit changes raft's configuration, and returns NoChange with the reason if that fails.
func (m *voterManager) commit(change quorum.Change) quorum.Change {
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
