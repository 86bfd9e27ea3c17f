// This file owns what a relay or control machine answers and pushes to those that ask it. It must never send what the
// pace doesn't allow, nor keep a queue: what a child lacks follows from the version it was sent or says it has.

package configuration

import (
	"slices"
	"time"
)

// What a server may hold and send.
const (
	MostChildren        = 12 // at a relay: its own, those of one that is gone, and some that change over
	MostControlChildren = 64 // at a control machine: the zones' first, and members that start

	mostRelayDelta   = 24 << 10  // bytes; a relay refers a child that lacks more to a control machine
	mostControlDelta = 256 << 10 // bytes; a control machine lets a child that lacks more compare digests
	mostRelayGroups  = 6         // groups that differ; a relay refers a child where more do
	mostRelayFill    = 8 << 10   // bytes
	mostControlFill  = 64 << 10  // bytes
	groupSumsSize    = 1 + 4*fan // bytes
	childSilence     = 10 * time.Second
	resendAfter      = time.Second // a delta sent to a child that still says its old version
	relayRate        = 1500        // bytes a second, mean
	relayBurst       = 150 << 10   // bytes: a version's most to each child and some that lost theirs
	controlRate      = 3 << 20
	controlBurst     = 3 << 20
)

// server answers for a state; the zero value is not usable.
type server struct {
	host      Host
	control   bool
	state     *State
	history   *History
	fresh     time.Duration // when the log last confirmed that the state is the newest
	pace      Pace
	children  []*child
	Counts    Counts
	mostChild int
}

// Counts are what a member or control machine has seen since its start.
type Counts struct {
	Refused  int // messages refused
	Referred int // children sent to a control machine
	Held     int // answers and pushes that the pace held back
	Repairs  int // states put in force by comparing digests
	Left     int // changes of source
}

// child is one that asks here.
type child struct {
	name    string
	heard   time.Duration
	version Version // it says it has, or was sent since
	sentAt  time.Duration
}

func (s *server) at(now time.Duration) At {
	return At{Version: s.state.version, Root: s.state.root, Age: now - s.fresh}
}

// State that is in force.
func (s *server) State() *State { return s.state }

// Age is how long ago the agreed log last confirmed, as far as is known here, that the state in force is the newest.
func (s *server) Age(now time.Duration) time.Duration { return now - s.fresh }

// Children is how many ask here.
func (s *server) Children() int { return len(s.children) }

func (s *server) child(name string) *child {
	for _, c := range s.children {
		if c.name == name {
			return c
		}
	}
	return nil
}

// ask answers what a child sends.
func (s *server) ask(now time.Duration, from string, m Message) {
	c := s.child(from)
	if c == nil {
		if _, hello := m.(Hello); !hello || len(s.children) >= s.mostChild {
			s.refer(from)
			return
		}
		c = &child{name: from}
		s.children = append(s.children, c)
	}
	c.heard = now
	switch m := m.(type) {
	case Hello:
		s.hello(now, c, m)
	case Sums:
		s.sums(now, c, m)
	case Buckets:
		s.buckets(now, c, m)
	}
}

func (s *server) refer(to string) {
	s.Counts.Referred++
	s.host.Send(to, Refer{})
}

func (s *server) hello(now time.Duration, c *child, m Hello) {
	inFlight := c.sentAt > 0 && now-c.sentAt < resendAfter && m.Version.Compare(c.version) < 0
	if !inFlight {
		c.version = m.Version
	}
	if c.version.Compare(s.state.version) >= 0 {
		s.host.Send(c.name, Head{At: s.at(now)})
		return
	}
	changes, kept := s.history.since(c.version)
	size := sizeOf(changes)
	switch {
	case !kept || s.control && size > mostControlDelta:
		s.host.Send(c.name, Head{At: s.at(now), Repair: true})
	case !s.control && size > mostRelayDelta:
		s.refer(c.name)
	case !s.send(now, c, changes, size):
		s.host.Send(c.name, Head{At: s.at(now)})
	}
}

// send brings a child from the version it has to the one in force, if the pace allows it.
func (s *server) send(now time.Duration, c *child, changes []Change, size int) bool {
	if !s.pace.take(now, size) {
		s.Counts.Held++
		return false
	}
	s.host.Send(c.name, Delta{At: s.at(now), From: c.version, Changes: changes})
	c.version, c.sentAt = s.state.version, now
	return true
}

// push sends what is new to all children that lack it and have it in the history.
func (s *server) push(now time.Duration) {
	for _, c := range s.children {
		if c.version.Compare(s.state.version) >= 0 {
			continue
		}
		changes, kept := s.history.since(c.version)
		if size := sizeOf(changes); kept && size <= mostRelayDelta {
			s.send(now, c, changes, size)
		}
	}
}

// tick forgets the silent and sends what was held back.
func (s *server) tick(now time.Duration) {
	s.children = slices.DeleteFunc(s.children, func(c *child) bool { return now-c.heard > childSilence })
	s.push(now)
}

func (s *server) sums(now time.Duration, c *child, m Sums) {
	answer := Groups{At: s.at(now)}
	for n, g := range s.state.groups {
		if uint32(g.sum) == m.Groups[n] {
			continue
		}
		sums := GroupSums{Group: uint8(n)}
		for k, b := range g.buckets {
			sums.Buckets[k] = uint32(b.sum)
		}
		answer.Groups = append(answer.Groups, sums)
	}
	switch {
	case !s.control && len(answer.Groups) > mostRelayGroups:
		s.refer(c.name)
	case s.pace.take(now, len(answer.Groups)*groupSumsSize):
		s.host.Send(c.name, answer)
	default:
		s.Counts.Held++
	}
}

func (s *server) buckets(now time.Duration, c *child, m Buckets) {
	most := mostRelayFill
	if s.control {
		most = mostControlFill
	}
	answer, size := Fill{At: s.at(now)}, 0
	for _, b := range m.Buckets {
		fill := s.state.bucket(int(b.Bucket)).fill(b)
		add := len(fill.Drop) * 4
		for _, r := range fill.Add {
			add += r.size() + changeOverhead
		}
		if size += add; size > most && len(answer.Buckets) > 0 {
			size -= add
			break
		}
		answer.Buckets = append(answer.Buckets, fill)
	}
	if !s.pace.take(now, size) {
		s.Counts.Held++
		return
	}
	s.host.Send(c.name, answer)
}

// fill turns a peer's bucket into this one.
func (b *bucket) fill(peer BucketSums) BucketFill {
	fill := BucketFill{Bucket: peer.Bucket}
	for _, r := range b.entries {
		if !slices.Contains(peer.Digests, uint32(r.digest)) {
			fill.Add = append(fill.Add, r)
		}
	}
	for _, d := range peer.Digests {
		if !slices.ContainsFunc(b.entries, func(r *Resource) bool { return uint32(r.digest) == d }) {
			fill.Drop = append(fill.Drop, d)
		}
	}
	return fill
}
