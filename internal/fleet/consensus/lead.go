// This file owns the leader's care for the others: who follows the log, and who votes (by internal/decide/quorum). It
// must never change two things at once.

package consensus

import (
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
)

// Peer is one process as membership has it.
type Peer struct {
	Process, Address, Zone string
	Region                 string // several zones that may be lost together; "" where it names none
	Applied                uint64
	Draining               bool
}

const (
	careEvery = 250 * time.Millisecond
	changeFor = 2 * time.Second
	lagging   = 64               // entries behind, under which a follower has caught up
	forgetOld = 30 * time.Second // a follower silent for so long is dropped
	// caughtFor is how long one that had caught up when it last told how far it is counts so: in a large fleet a member
	// tells it minutes apart (member.Set), and what is fed by the leader stays caught up.
	caughtFor = 10 * time.Minute
)

type seen struct {
	Peer
	first, last time.Time
	ended       bool // a later process stands at its address

	judged uint64    // the last Applied that was held against the leader's log
	caught time.Time // when it had caught up by it; zero: it had not
}

// caughtUp says whether it has caught up with what is agreed, or had when it last told how far it is.
func (s *seen) caughtUp(committed uint64, now time.Time) bool {
	within := s.Applied+lagging >= committed
	if s.Applied != s.judged {
		s.judged, s.caught = s.Applied, time.Time{}
		if within {
			s.caught = now
		}
	}
	return within || (!s.caught.IsZero() && now.Sub(s.caught) < caughtFor)
}

// candidate is what the choice of voters knows of it.
func (s *seen) candidate(silent time.Duration, caughtUp bool, now time.Time) quorum.Member {
	return quorum.Member{Process: s.Process, Zone: s.Zone, Region: s.Region, Age: now.Sub(s.first), UnreachableFor: silent, Draining: s.Draining,
		CaughtUp: caughtUp, Replaced: s.ended}
}

// ManageVoters runs at every member, and acts only at the leader, until stop: peers gives the view, say tells each change and each
// new reason for none.
func (d *Driver) ManageVoters(peers func() []Peer, b quorum.Config, say func(quorum.Change)) {
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		known, learner, last := map[string]*seen{}, "", ""
		tick := time.NewTicker(careEvery)
		defer tick.Stop()
		for {
			select {
			case <-d.stop:
				return
			case now := <-tick.C:
				look(known, peers(), now)
				if _, leads := d.Log.Leader(); !leads {
					learner = ""
					continue
				}
				c := d.Log.care(known, &learner, now, b)
				if c.Kind != quorum.NoChange || c.Reason != last {
					say(c)
				}
				last = c.Reason
			}
		}
	}()
}

// look takes the view in: at most as many as membership holds, and those lately silent.
func look(known map[string]*seen, peers []Peer, now time.Time) {
	for _, p := range peers {
		if p.Process == "" {
			continue
		}
		if s := known[p.Process]; s != nil {
			s.Peer, s.last = p, now
		} else {
			known[p.Process] = &seen{Peer: p, first: now, last: now}
		}
	}
	latest := map[string]time.Time{}
	for _, s := range known {
		if s.first.After(latest[s.Address]) {
			latest[s.Address] = s.first
		}
	}
	for process, s := range known {
		s.ended = s.first.Before(latest[s.Address])
		if now.Sub(s.last) > 2*forgetOld {
			delete(known, process)
		}
	}
}

// care makes one change at most, and waits until it is in force.
func (l *Log) care(known map[string]*seen, learner *string, now time.Time, b quorum.Config) quorum.Change {
	future := l.raft.GetConfiguration()
	if future.Error() != nil {
		return quorum.Change{}
	}
	votes, follows := []string{}, map[string]bool{}
	for _, s := range future.Configuration().Servers {
		if id := string(s.ID); s.Suffrage == raft.Voter {
			votes = append(votes, id)
		} else if follows[id] = true; known[id] == nil || known[id].ended || now.Sub(known[id].last) > forgetOld {
			return l.change(quorum.Change{Kind: quorum.RemoveServer, Process: id, Reason: "a follower long silent, or ended"}, "")
		}
	}
	var members []quorum.Member
	failed := ""
	committed := l.raft.CommitIndex()
	for id, s := range known {
		silent := now.Sub(s.last)
		if silent < 2*careEvery {
			silent = 0
		}
		at := 0
		for at < len(votes) && votes[at] != id {
			at++
		}
		if at == len(votes) && !follows[id] && silent == 0 && !s.Draining && !s.ended {
			if err := l.AddLearner(id, s.Address); err != nil {
				failed = "a follower could not be added: " + err.Error() // not to hold up the rest
			}
		}
		if silent == 0 && l.contact.misses(id, now) {
			silent = careEvery // not heard, and no longer than that: membership tells who is dead
		}
		members = append(members, s.candidate(silent, s.caughtUp(committed, now) && follows[id], now))
	}
	if l.contact.early(now) {
		return quorum.Change{Reason: "it has just begun to lead"}
	}
	var learners []string
	if *learner != "" {
		learners = []string{*learner}
	}
	c := quorum.NextChange(quorum.Fleet{Members: members, Voters: votes, Learners: learners}, b)
	if c.Kind == quorum.NoChange && failed != "" {
		c.Reason += "; " + failed
	}
	switch c.Kind {
	case quorum.AddLearner: // it follows the log already, as all do: it is only chosen
		*learner = c.Process
	case quorum.PromoteVoter:
		*learner = ""
		c = l.change(c, known[c.Process].Address)
	case quorum.RemoveServer:
		if c.Process == *learner {
			*learner = ""
			return c
		}
		c = l.change(c, "")
	}
	return c
}

// change carries one out, and tells in Why if it could not be.
func (l *Log) change(c quorum.Change, address string) quorum.Change {
	var err error
	if c.Kind == quorum.PromoteVoter {
		err = l.AddVoter(c.Process, address)
	} else {
		err = l.raft.RemoveServer(raft.ServerID(c.Process), 0, changeFor).Error()
	}
	if err != nil {
		c.Kind, c.Reason = quorum.NoChange, c.Reason+": "+err.Error()
	}
	return c
}
