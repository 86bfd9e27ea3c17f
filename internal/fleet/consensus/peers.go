package consensus

import (
	"time"

	"thymechute/internal/decide/quorum"
)

// Peer is one process as the membership layer knows it.
type Peer struct {
	Process  string
	Address  string // host:port of its log
	Zone     string
	Region   string // zones that may fail together; empty if it names none
	Applied  uint64 // last entry that it has applied, by its own account
	Draining bool
}

const (
	maxCatchUpLag    = 64               // entries behind the log at which a follower counts as caught up
	followerTimeout  = 30 * time.Second // after which an unreachable follower is removed from the log
	peerRetention    = 2 * followerTimeout
	reachableTimeout = 2 * reconcileInterval // within which a peer must be in the view to count as reachable
	// caughtUpTTL is for how long a peer counts as caught up after it last was. In a large fleet a member publishes its
	// Applied minutes apart, and a server that the leader replicates to stays caught up meanwhile.
	caughtUpTTL = 10 * time.Minute
)

// peerState is a peer with what the leader has learned of it.
type peerState struct {
	Peer
	firstSeen, lastSeen time.Time
	isReplaced          bool // a later process runs at its address

	judgedApplied uint64    // the last Applied that was compared with the leader's log
	caughtUpAt    time.Time // when that was within maxCatchUpLag; zero if it was not
}

// isCaughtUp reports whether the peer has caught up with the committed entries, or had when it last published Applied.
func (p *peerState) isCaughtUp(committed uint64, now time.Time) bool {
	isWithinLag := p.Applied+maxCatchUpLag >= committed
	if p.Applied != p.judgedApplied {
		p.judgedApplied, p.caughtUpAt = p.Applied, time.Time{}
		if isWithinLag {
			p.caughtUpAt = now
		}
	}
	return isWithinLag || (!p.caughtUpAt.IsZero() && now.Sub(p.caughtUpAt) < caughtUpTTL)
}

// isGone reports whether a follower is to be removed from the log.
func (p *peerState) isGone(now time.Time) bool {
	return p.isReplaced || now.Sub(p.lastSeen) > followerTimeout
}

// unreachableFor returns for how long the peer has been missing from the view; 0 if that is a moment.
func (p *peerState) unreachableFor(now time.Time) time.Duration {
	if missing := now.Sub(p.lastSeen); missing >= reachableTimeout {
		return missing
	}
	return 0
}

// member returns the peer as a candidate for the quorum, reachable and not caught up.
func (p *peerState) member(now time.Time) quorum.Member {
	return quorum.Member{Process: p.Process, Zone: p.Zone, Region: p.Region, Age: now.Sub(p.firstSeen), Draining: p.Draining,
		Replaced: p.isReplaced}
}

// peerTable is all peers by process: at most those in the membership view, and those that were within peerRetention.
type peerTable map[string]*peerState

// update takes over the present view.
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

// markReplaced marks all but the latest process at each address.
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
