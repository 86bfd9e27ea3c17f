package configuration

import (
	"slices"
	"time"
)

// server is the part that relays and control nodes share. It replies to the children that poll it and pushes deltas to them,
// within its byte budget. It queues nothing, as the changes that a child lacks follow from the version that it reported or was
// sent. The zero value is not usable.
type server struct {
	host        Host
	isControl   bool
	limits      serverLimits
	limiter     byteLimiter
	state       *State
	history     *history
	confirmedAt time.Duration // when the log last confirmed the state as the newest, as far as is known
	children    []*child
	Counters    Counters
}

// Counters counts events since a member or control node started.
type Counters struct {
	Rejected      int // messages and commands rejected
	Referred      int // referrals sent
	Throttled     int // replies and pushes not sent, as the byte budget did not allow them
	Repairs       int // states activated after comparing digests
	SourceChanges int // switches to another source
}

// referralInterval is the minimum time between two referrals of one child that do not answer a request.
const referralInterval = 10 * time.Second

// child is a member that polls this server.
type child struct {
	name         string
	lastRequest  time.Duration
	knownVersion Version       // that it last reported, or was sent since
	resendAt     time.Duration // until then the last delta sent may still be in flight
	referralAt   time.Duration // earliest time of the next referral that answers no request
}

// State returns the active state.
func (s *server) State() *State { return s.state }

// Age returns how long ago the log last confirmed, as far as is known here, that the active state is the newest.
func (s *server) Age(now time.Duration) time.Duration { return now - s.confirmedAt }

// ChildCount returns the number of members that poll this server.
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

// handleRequest replies to a child. The first Poll of a member adds it as a child; at maxChildren it gets a referral instead.
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
	c.lastRequest = now
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
	if now >= c.resendAt || m.Version.Compare(c.knownVersion) >= 0 {
		c.knownVersion = m.Version
	}
	if c.knownVersion.Compare(s.state.version) >= 0 {
		s.host.Send(c.name, PollReply{Position: s.position(now)})
		return
	}
	size, found := s.history.bytesSince(c.knownVersion)
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

// sendDelta sends a child the changes that it lacks, of the given size in bytes, and reports whether the byte budget allowed it.
func (s *server) sendDelta(now time.Duration, c *child, size int) bool {
	if !s.allow(now, size) {
		return false
	}
	changes, _ := s.history.changesSince(c.knownVersion)
	s.host.Send(c.name, Delta{Position: s.position(now), From: c.knownVersion, Changes: changes})
	c.knownVersion = s.state.version
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

// pushDeltas sends each child that lacks the newest state a delta to it. A relay refers a child that is too far behind for one
// delta to a control node.
func (s *server) pushDeltas(now time.Duration) {
	for _, c := range s.children {
		if c.knownVersion.Compare(s.state.version) >= 0 {
			continue
		}
		size, found := s.history.bytesSince(c.knownVersion)
		switch {
		case found && size <= s.limits.maxDeltaBytes:
			s.sendDelta(now, c, size)
		case found && !s.isControl && now >= c.referralAt:
			c.referralAt = now + referralInterval
			s.sendReferral(c.name)
		}
	}
}

// tick drops silent children and sends the deltas that the byte budget did not allow earlier.
func (s *server) tick(now time.Duration) {
	s.children = slices.DeleteFunc(s.children, func(c *child) bool { return now-c.lastRequest > s.limits.childTimeout })
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

// repairsWithinLimit returns the repairs of the request's first buckets, as many as the limit allows but at least one, and their
// approximate encoded size.
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
