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
	MostControlChildren = 96 // at a control machine: the zones' first, and members that start or lack much

	mostRelayDelta   = MostChangeBytes // a relay refers a child that lacks more to a control machine
	mostControlDelta = 400 << 10       // bytes; a control machine lets a child that lacks more compare digests
	mostRelayGroups  = 6               // groups that differ; a relay refers a child where more do
	mostRelayFill    = 8 << 10         // bytes
	mostControlFill  = 256 << 10       // bytes
	groupSumsSize    = 1 + 4*fan       // bytes
	datagramCost     = 100             // bytes of a message beside what it carries, with its carrier's, about
	streamCost       = 800             // the same of one that is too large for a datagram, and
	streamPart       = 16              // one byte more in so many
	mostDatagram     = 1100            // bytes that a datagram carries, about
	childSilence     = 10 * time.Second
	controlSilence   = 5 * time.Second // of a control machine's children
	resendAfter      = time.Second     // a delta sent to a child that still says its old version
	resendRate       = 64 << 10        // bytes a second at which a large one is taken to arrive

	relayBin      = 5 * time.Second // the pace's: a minute's window
	relayBudget   = 160 << 10       // bytes in a window: 2.7 KB/s of the 6, the rest for polls and what comes in
	controlBin    = time.Second / 4 // a window of three seconds
	controlBudget = 6 << 20         // bytes in a window
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
	version Version       // it says it has, or was sent since
	resend  time.Duration // before which what it was sent may still be under way
	refer   time.Duration // before which it isn't referred again unasked
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
	if now >= c.resend || m.Version.Compare(c.version) >= 0 {
		c.version = m.Version
	}
	if c.version.Compare(s.state.version) >= 0 {
		s.host.Send(c.name, Head{At: s.at(now)})
		return
	}
	size, kept := s.history.sizeSince(c.version)
	switch {
	case !kept || s.control && size > mostControlDelta:
		s.host.Send(c.name, Head{At: s.at(now), Repair: true})
	case !s.control && size > mostRelayDelta:
		s.refer(c.name)
	case s.send(now, c, size):
	case s.control:
		s.host.Send(c.name, Head{At: s.at(now)})
	default:
		s.refer(c.name) // a control machine has more to spend
	}
}

// cost is about what a message of a size takes on the wire.
func cost(size int) int {
	if size <= mostDatagram {
		return size + datagramCost
	}
	return size + size/streamPart + streamCost
}

// send brings a child from the version it has to the one in force, if the pace allows it.
func (s *server) send(now time.Duration, c *child, size int) bool {
	if !s.pace.take(now, cost(size)) {
		s.Counts.Held++
		return false
	}
	changes, _ := s.history.since(c.version)
	s.host.Send(c.name, Delta{At: s.at(now), From: c.version, Changes: changes})
	c.version, c.resend = s.state.version, now+resendAfter+time.Duration(size)*time.Second/resendRate
	return true
}

// push sends what is new to all children that lack it, and refers those that lack too much.
func (s *server) push(now time.Duration) {
	for _, c := range s.children {
		if c.version.Compare(s.state.version) >= 0 {
			continue
		}
		size, kept := s.history.sizeSince(c.version)
		switch {
		case kept && (size <= mostRelayDelta || s.control && size <= mostControlDelta):
			s.send(now, c, size)
		case kept && !s.control && now >= c.refer:
			c.refer = now + childSilence
			s.refer(c.name)
		}
	}
}

// tick forgets the silent and sends what was held back.
func (s *server) tick(now time.Duration) {
	most := childSilence
	if s.control {
		most = controlSilence
	}
	s.children = slices.DeleteFunc(s.children, func(c *child) bool { return now-c.heard > most })
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
	case s.pace.take(now, cost(len(answer.Groups)*groupSumsSize)):
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
	if !s.pace.take(now, cost(size)) {
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
