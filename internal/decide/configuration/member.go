// This file owns one member's part: whom it asks, when it leaves a source, and what it puts in force. It must never go
// back to an older version, serve a part of one, or make one.

package configuration

import (
	"slices"
	"time"

	"thymechute/internal/decide/chance"
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
	homeAfter  = 10 * time.Second // back from another source to the first, with jitter
	avoidFor   = 30 * time.Second
	blameFor   = time.Minute // for which a source that sent what it shouldn't isn't asked
)

// Member is one process of the fleet, relay to those that ask it.
type Member struct {
	server
	chance  chance.Source
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

// avoidance is a source that isn't turned to for a while; what one that is refused sends isn't taken either.
type avoidance struct {
	name    string
	until   time.Duration
	refused bool
}

// NewMember is of a process that has just started with a state (Empty, or what it kept) of an age. seed is its own.
func NewMember(now time.Duration, h Host, s *State, age time.Duration, seed uint64) *Member {
	m := &Member{chance: chance.New(seed), stale: now + staleTry}
	m.server = server{host: h, state: s, history: &History{}, fresh: now - age, mostChild: MostChildren,
		pace: Pace{Bin: relayBin, Budget: relayBudget}}
	return m
}

// Place gives the member its sources; it keeps the one it asks where that is still the
// first, or where it is in the middle of a repair.
func (m *Member) Place(now time.Duration, s Sources) {
	before, busy := m.source(), m.repairing()
	m.sources, m.near = slices.Concat(s.Near, s.Last), len(s.Near)
	m.shunned = slices.DeleteFunc(m.shunned, func(a avoidance) bool { return !slices.Contains(m.sources, a.name) })
	m.to = max(0, slices.Index(m.sources, before))
	if before != m.source() || m.to >= m.homes() && !busy {
		m.turn(now, 0)
	}
}

// source is the one it asks, "" before the first Place.
func (m *Member) source() string {
	if m.to >= len(m.sources) {
		return ""
	}
	return m.sources[m.to]
}

// Source it asks now.
func (m *Member) Source() string { return m.source() }

func (m *Member) jitter(span time.Duration) time.Duration {
	return time.Duration(m.chance.Float() * float64(span))
}

// turn goes to the first source from a place on that isn't avoided, to that place's where all are.
func (m *Member) turn(now time.Duration, place int) {
	if len(m.sources) == 0 {
		return
	}
	m.shunned = slices.DeleteFunc(m.shunned, func(a avoidance) bool { return now >= a.until })
	m.to = place % len(m.sources)
	for n := range m.sources {
		next := (place + n) % len(m.sources)
		if !m.avoided(m.sources[next]) {
			m.to = next
			break
		}
	}
	m.Counts.Left++
	m.newest = Version{}
	m.since, m.poll, m.asked = now, now+m.jitter(pollSoon/3), 0
	m.home = now + homeAfter + m.jitter(homeAfter/2)
	if m.repair != nil {
		m.repair.begin(notYet)
	}
}

func (m *Member) avoided(name string) bool {
	return slices.ContainsFunc(m.shunned, func(a avoidance) bool { return a.name == name })
}

func (m *Member) refuses(name string) bool {
	return slices.ContainsFunc(m.shunned, func(a avoidance) bool { return a.name == name && a.refused })
}

func (m *Member) avoid(now time.Duration, name string, span time.Duration, refused bool) {
	m.shunned = slices.DeleteFunc(m.shunned, func(a avoidance) bool { return a.name == name })
	m.shunned = append(m.shunned, avoidance{name, now + span, refused})
}

// blame leaves a source that sent what can't be, for a while.
func (m *Member) blame(now time.Duration, from string) {
	m.avoid(now, from, blameFor, true)
	if from == m.source() {
		m.repair = nil // what was staged may be its work
		m.turn(now, m.to+1)
	}
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

// repairing tells whether it is in the middle of comparing with its source.
func (m *Member) repairing() bool { return m.repair != nil && m.repair.again != notYet }

// homes is how many sources are as good as the first: the control machines at the top of a zone.
func (m *Member) homes() int {
	if m.near == len(m.sources) {
		return m.near
	}
	return 1
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

// old leaves a control machine that the agreed log doesn't reach, where there is another that isn't known to be so.
func (m *Member) old(now time.Duration, from string, a At) {
	isRelay := m.to < m.near && m.near < len(m.sources)
	if from != m.source() || isRelay || a.Age <= controlOld {
		return
	}
	m.avoid(now, from, avoidFor, false)
	if slices.ContainsFunc(m.sources, func(name string) bool { return !m.avoided(name) }) {
		m.turn(now, m.to+1)
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
	m.host.InForce(now, s)
	m.push(now)
}

// referred goes to a control machine; from one, to the next after a while, since its table is full.
func (m *Member) referred(now time.Duration, from string) {
	if from != m.source() {
		return
	}
	if m.to < m.near && m.near < len(m.sources) {
		m.turn(now, m.near)
		return
	}
	m.turn(now, m.to+1)
	wait := pollSoon + m.jitter(pollEvery)
	m.since, m.poll = m.since+wait, now+wait
}
