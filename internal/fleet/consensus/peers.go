package consensus

import (
	"time"

	"thymechute/internal/decide/quorum"
)

// Peer is one process as the membership layer knows it.
type Peer struct {
	Process  string
	Address  string // host:port of its log transport
	Zone     string
	Region   string // zones that may fail together; empty if the process names none
	Applied  uint64 // index of the last entry that it has applied, as it last published
	Draining bool
}

const (
	maxCatchUpLag    = 64               // entries by which a server may be behind and still count as caught up
	nonvoterTimeout  = 30 * time.Second // after which an unreachable nonvoter is removed from raft's servers
	peerRetention    = 2 * nonvoterTimeout
	reachableTimeout = 2 * reconcileInterval // how long a peer counts as reachable after it was last in the view
	// caughtUpTTL is how long a peer counts as caught up after its published index was. In a large fleet a member publishes
	// its applied index only every few minutes; a server that the leader replicates to stays caught up in between.
	caughtUpTTL = 10 * time.Minute
)

// peerState is a peer and what this process has observed of it.
type peerState struct {
	Peer
	firstSeen, lastSeen time.Time
	isReplaced          bool // another process was first seen later at its address

	comparedApplied uint64    // the value of Applied that was last compared with the leader's log
	caughtUpAt      time.Time // when that value was found within maxCatchUpLag; zero if it was not
}

// isCaughtUp reports whether the peer has caught up with the committed entries, or had within caughtUpTTL by the index that
// it last published.
func (p *peerState) isCaughtUp(committed uint64, now time.Time) bool {
	isWithinLag := p.Applied+maxCatchUpLag >= committed
	if p.Applied != p.comparedApplied {
		p.comparedApplied, p.caughtUpAt = p.Applied, time.Time{}
		if isWithinLag {
			p.caughtUpAt = now
		}
	}
	return isWithinLag || (!p.caughtUpAt.IsZero() && now.Sub(p.caughtUpAt) < caughtUpTTL)
}

// isRemovable reports whether the peer, if it is a nonvoter, is to be removed from raft's servers.
func (p *peerState) isRemovable(now time.Time) bool {
	return p.isReplaced || now.Sub(p.lastSeen) > nonvoterTimeout
}

// unreachableFor returns how long the peer has been missing from the view; 0 up to reachableTimeout.
func (p *peerState) unreachableFor(now time.Time) time.Duration {
	if missing := now.Sub(p.lastSeen); missing >= reachableTimeout {
		return missing
	}
	return 0
}

// quorumMember returns the peer as a member for package quorum, without UnreachableFor and CaughtUp.
func (p *peerState) quorumMember(now time.Time) quorum.Member {
	return quorum.Member{Process: p.Process, Zone: p.Zone, Region: p.Region, Age: now.Sub(p.firstSeen), Draining: p.Draining,
		Replaced: p.isReplaced}
}

// peerTable holds peers by process: those in the membership view, and those that were in it within peerRetention.
type peerTable map[string]*peerState

// update merges the current membership view into the table, and forgets peers after peerRetention.
func (t peerTable) update(view []Peer, now time.Time) {
	for _, p := range view {
		if p.Process == "" {
			continue
		}
		if known := t[p.Process]; known != nil {
			known.Peer, known.lastSeen = p, now
		} else {
			t[p.Process] = &peerState{Peer: p, firstSeen: now, lastSeen: now}
		}
	}
	t.markReplaced()
	for process, p := range t {
		if now.Sub(p.lastSeen) > peerRetention {
			delete(t, process)
		}
	}
}

// markReplaced marks a process as replaced if another one at its address was first seen later.
func (t peerTable) markReplaced() {
	latest := map[string]time.Time{}
	for _, p := range t {
		if p.firstSeen.After(latest[p.Address]) {
			latest[p.Address] = p.firstSeen
		}
	}
	for _, p := range t {
		p.isReplaced = p.firstSeen.Before(latest[p.Address])
	}
}
