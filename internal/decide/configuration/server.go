package configuration

import (
	"slices"
	"time"
)

// server is what relays and control nodes share: it answers and pushes to the children that poll it, within its byte budget.
// It queues nothing, as what a child lacks follows from the version that it was sent or reports. The zero value is not usable.
type server struct {
	host        Host
	isControl   bool
	limits      serverLimits
	limiter     byteLimiter
	state       *State
	history     *history
	confirmedAt time.Duration // when the log last confirmed that the state is the newest
	children    []*child
	Counters    Counters
}

// Counters are events since the start of a member or control node.
type Counters struct {
	Rejected      int // messages and commands rejected
	Referred      int // referrals to a control node
	Throttled     int // replies and pushes that the byte budget did not allow
	Repairs       int // states activated by comparing digests
	SourceChanges int // switches to another source
}

// referralInterval is the time between unrequested referrals of one child.
const referralInterval = 10 * time.Second

// child is a member that polls this server.
type child struct {
	name       string
	lastHeard  time.Duration
	version    Version       // that it reports, or was sent since
	resendAt   time.Duration // before then what it was sent may still be in flight
	referralAt time.Duration // before then it is not referred again unrequested
}

// State returns the active state.
func (s *server) State() *State { return s.state }

// Age is how long ago the log last confirmed, as far as is known here, that the active state is the newest.
func (s *server) Age(now time.Duration) time.Duration { return now - s.confirmedAt }

// ChildCount is the number of members that poll this server.
func (s *server) ChildCount() int { return len(s.children) }

func (s *server) position(now time.Duration) Position {
	return Position{Version: s.state.version, Root: s.state.root, Age: s.Age(now)}
}

func (s *server) findChild(name string) *child {
	for _, c := range s.children {
		if c.name == name {
			return c
		}
	}
	return nil
}

// handleRequest answers a child. A new one is added by its first Poll, unless the table is full.
func (s *server) handleRequest(now time.Duration, from string, m Message) {
	c := s.findChild(from)
	if c == nil {
		if _, isPoll := m.(Poll); !isPoll || len(s.children) >= s.limits.maxChildren {
			s.sendReferral(from)
			return
		}
		c = &child{name: from}
		s.children = append(s.children, c)
	}
	c.lastHeard = now
	switch m := m.(type) {
	case Poll:
		s.handlePoll(now, c, m)
	case DigestRequest:
		s.handleDigestRequest(now, c, m)
	case RepairRequest:
		s.handleRepairRequest(now, c, m)
	}
}

func (s *server) sendReferral(to string) {
	s.Counters.Referred++
	s.host.Send(to, Referral{})
}

func (s *server) handlePoll(now time.Duration, c *child, m Poll) {
	if now >= c.resendAt || m.Version.Compare(c.version) >= 0 {
		c.version = m.Version
	}
	if c.version.Compare(s.state.version) >= 0 {
		s.host.Send(c.name, PollReply{Position: s.position(now)})
		return
	}
	size, found := s.history.bytesSince(c.version)
	switch {
	case !found || s.isControl && size > s.limits.maxDeltaBytes:
		s.host.Send(c.name, PollReply{Position: s.position(now), NeedsRepair: true})
	case size > s.limits.maxDeltaBytes:
		s.sendReferral(c.name)
	case s.sendDelta(now, c, size):
	case s.isControl:
		s.host.Send(c.name, PollReply{Position: s.position(now)})
	default:
		s.sendReferral(c.name) // a control node has a larger budget
	}
}

// sendDelta brings a child from its version to the active one, and reports whether the byte budget allowed it.
func (s *server) sendDelta(now time.Duration, c *child, size int) bool {
	if !s.allow(now, size) {
		return false
	}
	changes, _ := s.history.changesSince(c.version)
	s.host.Send(c.name, Delta{Position: s.position(now), From: c.version, Changes: changes})
	c.version = s.state.version
	c.resendAt = now + minResendDelay + time.Duration(size)*time.Second/assumedBytesPerSecond
	return true
}

// allow charges a message's payload to the byte budget, and reports whether it may be sent.
func (s *server) allow(now time.Duration, size int) bool {
	isAllowed := s.limiter.allow(now, wireCost(size))
	if !isAllowed {
		s.Counters.Throttled++
	}
	return isAllowed
}

// pushDeltas sends the newest state to all children that lack it. Those too far behind for one delta are referred to a control
// node.
func (s *server) pushDeltas(now time.Duration) {
	for _, c := range s.children {
		if c.version.Compare(s.state.version) >= 0 {
			continue
		}
		size, found := s.history.bytesSince(c.version)
		switch {
		case found && size <= s.limits.maxDeltaBytes:
			s.sendDelta(now, c, size)
		case found && !s.isControl && now >= c.referralAt:
			c.referralAt = now + referralInterval
			s.sendReferral(c.name)
		}
	}
}

// tick drops silent children and sends what the byte budget has not allowed before.
func (s *server) tick(now time.Duration) {
	s.children = slices.DeleteFunc(s.children, func(c *child) bool { return now-c.lastHeard > s.limits.childTimeout })
	s.pushDeltas(now)
}

func (s *server) handleDigestRequest(now time.Duration, c *child, m DigestRequest) {
	groups := s.state.differingGroups(m)
	switch {
	case len(groups) > s.limits.maxDigestGroups:
		s.sendReferral(c.name)
	case s.allow(now, len(groups)*groupDigestsBytes):
		s.host.Send(c.name, DigestReply{Position: s.position(now), Groups: groups})
	}
}

func (s *server) handleRepairRequest(now time.Duration, c *child, m RepairRequest) {
	repairs, size := s.repairsWithinLimit(m)
	if s.allow(now, size) {
		s.host.Send(c.name, RepairReply{Position: s.position(now), Buckets: repairs})
	}
}

// repairsWithinLimit answers the request's first buckets, as many as the limit allows and at least one.
func (s *server) repairsWithinLimit(m RepairRequest) (repairs []BucketRepair, size int) {
	for _, b := range m.Buckets {
		repair := s.state.bucket(int(b.Bucket)).repairFor(b)
		added := repair.sizeBytes()
		if size+added > s.limits.maxRepairBytes && len(repairs) > 0 {
			break
		}
		size += added
		repairs = append(repairs, repair)
	}
	return repairs, size
}
