// This file owns one member's part: what it asks, and what it puts in force. It must never go back to an older version,
// serve a part of one, or make one.

package configuration

import (
	"slices"
	"time"

	"thymechute/internal/decide/random"
)

// Times of a member. A source that dies is left silence after its last word at most; another is tried for tryFor.
const (
	TickEvery  = 400 * time.Millisecond // how often Tick is to be called, at least
	pollEvery  = 2 * time.Second        // with a tenth of jitter
	pollAgain  = 800 * time.Millisecond // where one wasn't answered
	pollSoon   = 300 * time.Millisecond // where something newer is known
	silence    = 4 * time.Second
	tryFor     = 1600 * time.Millisecond
	staleAfter = 10 * time.Second // of age, over what polls down the tree add up to: the heir may know more
	staleTry   = 12 * time.Second // between changes of source for age, with jitter
	controlOld = 4 * time.Second  // of age: a control machine that the log's leader doesn't reach
	avoidFor   = 30 * time.Second // for which that one isn't asked
	homeAfter  = 10 * time.Second // back from another source to the first, with jitter
	homeSoon   = time.Second      // the same where it has got something newer from that other one
	blameFor   = time.Minute      // for which a source that sent what it shouldn't isn't asked
)

// Member is one process of the fleet, relay to those that ask it.
type Member struct {
	server
	chance  random.Source
	sources []string // Near, then Last
	near    int      // how many are Near
	to      int      // the source it asks, by place
	since   time.Duration
	heard   time.Duration // last word of that source; under since: none yet
	poll    time.Duration // when it asks next
	asked   time.Duration
	home    time.Duration // when it tries the first again
	newest  Version       // that its source is known to have
	stale   time.Duration // when it may leave a source for its age
	shunned []avoidance   // at most one a source
	repair  *repair
}

// NewMember is of a process that has just started with a state (Empty, or what it kept) of an age. seed is its own.
func NewMember(now time.Duration, h Host, s *State, age time.Duration, seed uint64) *Member {
	m := &Member{chance: random.New(seed), stale: now + staleTry}
	m.server = server{host: h, state: s, history: &History{}, fresh: now - age, mostChild: MostChildren,
		pace: Pace{Bin: relayBin, Budget: relayBudget}}
	return m
}

// Tick comes at least every TickEvery.
func (m *Member) Tick(now time.Duration) {
	m.tick(now)
	if len(m.sources) == 0 {
		return
	}
	quiet, most := now-m.heard, silence
	if m.heard < m.since {
		quiet, most = now-m.since, tryFor
	}
	switch {
	case quiet > most:
		m.turn(now, m.to+1)
	case m.Age(now) > staleAfter && now >= m.stale && m.near > 1 && !m.repairing():
		m.stale = now + staleTry + m.jitter(staleTry/2)
		m.turn(now, (min(m.to, m.near-1)+1)%m.near)
	case m.to >= m.homes() && now >= m.home && m.newest.Compare(m.state.version) <= 0:
		m.turn(now, 0)
	}
	if m.repair != nil {
		m.repair.tick(now, m)
	}
	if now >= m.poll {
		m.ask(now)
	}
}

func (m *Member) ask(now time.Duration) {
	m.asked, m.poll = now, now+pollAgain
	m.host.Send(m.source(), Hello{Version: m.state.version, Root: m.state.root})
}

// soon lets the next poll come early.
func (m *Member) soon(now time.Duration) { m.poll = min(m.poll, max(now, m.asked+pollSoon)) }

// Received takes a message. Errors: a *Refusal; it has changed nothing in force.
func (m *Member) Received(now time.Duration, from string, message Message) error {
	err := m.received(now, from, message)
	if err != nil {
		m.Counts.Refused++
	}
	return err
}

func (m *Member) received(now time.Duration, from string, message Message) error {
	switch message.(type) {
	case Hello, Sums, Buckets:
		m.server.ask(now, from, message)
		return nil
	}
	if !slices.Contains(m.sources, from) || m.refuses(from) {
		return refuse(Stranger, "answer of %s", from)
	}
	if from == m.source() {
		if m.heard < m.asked { // answered: the next poll is a regular one
			m.poll = m.asked + pollEvery*9/10 + m.jitter(pollEvery/5)
		}
		m.heard = now
	}
	switch message := message.(type) {
	case Head:
		return m.head(now, from, message)
	case Delta:
		return m.delta(now, from, message)
	case Groups:
		return m.groups(now, from, message)
	case Fill:
		return m.fill(now, from, message)
	case Refer:
		m.referred(now, from)
	}
	return nil
}

// confirmed notes how fresh the state in force is, where the sender knows nothing newer.
func (m *Member) confirmed(now time.Duration, a At) {
	if a.Version.Compare(m.state.version) <= 0 {
		m.fresh = max(m.fresh, now-a.Age)
	}
}

func (m *Member) head(now time.Duration, from string, h Head) error {
	m.confirmed(now, h.At)
	if from == m.source() {
		m.newest = h.Version
	}
	if h.Version.Compare(m.state.version) <= 0 || from != m.source() {
		m.old(now, from, h.At)
		return nil
	}
	if !h.Repair {
		m.soon(now)
		return nil
	}
	if m.repair == nil {
		m.repair = &repair{staged: m.state, again: notYet}
	}
	if m.repair.again == notYet {
		m.repair.begin(now)
		m.repair.tick(now, m)
	}
	return nil
}

func (m *Member) delta(now time.Duration, from string, d Delta) error {
	if d.Version.Compare(m.state.version) <= 0 {
		m.confirmed(now, d.At)
		return nil
	}
	if d.From != m.state.version {
		m.soon(now)
		return nil
	}
	changes := d.Changes
	if torn {
		changes = changes[:len(changes)/2]
	}
	next, err := m.state.With(d.Version, changes)
	if err == nil && next.root != d.Root && !unchecked && !torn {
		err = refuse(WrongDigest, "%v from %s", d.Version, from)
	}
	if err != nil {
		m.blame(now, from)
		return err
	}
	m.history.add(d.From, d.Version, d.Changes)
	m.install(now, next, d.At)
	return nil
}

// install puts a state in force, whole, and sends it on.
func (m *Member) install(now time.Duration, s *State, a At) {
	m.state, m.repair = s, nil
	m.confirmed(now, a)
	if m.to >= m.homes() { // it has what it came for
		m.home = min(m.home, now+m.jitter(homeSoon))
	}
	m.host.InForce(now, s)
	m.push(now)
}
