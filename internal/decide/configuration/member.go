package configuration

import (
	"slices"
	"time"

	"thymechute/internal/decide/random"
)

// TickInterval bounds the time between two calls of Tick.
const TickInterval = 400 * time.Millisecond

// Times of polls.
const (
	pollInterval      = 2 * time.Second // on average, with a jitter of a tenth
	pollRetryInterval = 800 * time.Millisecond
	minPollInterval   = 300 * time.Millisecond // where a newer version is known to exist
)

// Member is one process of the fleet, and a relay to the members that poll it. Its active version never decreases, and it only
// activates complete states.
type Member struct {
	server
	random          random.Source
	sources         []string // the primary ones first
	primaryCount    int
	current         int // index of the source that it polls
	switchedAt      time.Duration
	lastHeard       time.Duration // from the current source; before switchedAt: nothing yet
	nextPoll        time.Duration
	lastPoll        time.Duration
	failbackAt      time.Duration // when it returns to the preferred source
	sourceVersion   Version       // that the current source is known to have
	nextStaleSwitch time.Duration // before then it does not leave a source for its age
	avoidedSources  []avoidedSource
	repair          *repair

	disabled disabledSafeguards
}

// disabledSafeguards are set by tests alone, to prove that a check detects a member without each of them.
type disabledSafeguards struct {
	atomicity   bool // it activates a version's changes before all of them are known
	digestCheck bool // it accepts a state without comparing its digest
}

// NewMember makes the member of a process that has just started. The state is Empty or one from before the restart, which the
// log confirmed age ago. The seed must differ between members.
func NewMember(now time.Duration, h Host, s *State, age time.Duration, seed uint64) *Member {
	m := &Member{random: random.New(seed), nextStaleSwitch: now + staleSwitchInterval}
	m.server = server{
		host:        h,
		limits:      relayLimits,
		limiter:     byteLimiter{slotLength: relayLimiterSlot, budget: relayBudgetBytes},
		state:       s,
		history:     &history{},
		confirmedAt: now - age,
	}
	return m
}

// Tick switches sources, retries repairs and polls, each if it is due. It must be called at least once per TickInterval.
func (m *Member) Tick(now time.Duration) {
	m.tick(now)
	if len(m.sources) == 0 {
		return
	}
	m.checkSource(now)
	if m.repair != nil {
		m.repair.request(now, m)
	}
	if now >= m.nextPoll {
		m.poll(now)
	}
}

func (m *Member) poll(now time.Duration) {
	m.lastPoll = now
	m.nextPoll = now + pollRetryInterval
	m.host.Send(m.Source(), Poll{Version: m.state.version, Root: m.state.root})
}

// pollSoon brings the next poll forward.
func (m *Member) pollSoon(now time.Duration) {
	m.nextPoll = min(m.nextPoll, max(now, m.lastPoll+minPollInterval))
}

// Receive handles a message. Errors: a *RejectionError; a rejected message has not changed the active state.
func (m *Member) Receive(now time.Duration, from string, message Message) error {
	err := m.dispatch(now, from, message)
	if err != nil {
		m.Counters.Rejected++
	}
	return err
}

func (m *Member) dispatch(now time.Duration, from string, message Message) error {
	switch message.(type) {
	case Poll, DigestRequest, RepairRequest:
		m.handleRequest(now, from, message)
		return nil
	}
	if !slices.Contains(m.sources, from) || m.isDistrusted(from) {
		return reject(ReasonUnknownSender, "reply from %s", from)
	}
	if from == m.Source() {
		m.noteReply(now)
	}
	switch message := message.(type) {
	case PollReply:
		m.handlePollReply(now, from, message)
	case Delta:
		return m.handleDelta(now, from, message)
	case DigestReply:
		return m.handleDigestReply(now, from, message)
	case RepairReply:
		return m.handleRepairReply(now, from, message)
	case Referral:
		m.handleReferral(now, from)
	}
	return nil
}

// noteReply records a message of the current source. The first one since a poll sets the time of the next regular poll.
func (m *Member) noteReply(now time.Duration) {
	if m.lastHeard < m.lastPoll {
		m.nextPoll = m.lastPoll + pollInterval*9/10 + m.jitter(pollInterval/5)
	}
	m.lastHeard = now
}

// noteConfirmation records when the log confirmed the active state, according to a sender that knows no newer one.
func (m *Member) noteConfirmation(now time.Duration, sender Position) {
	if sender.Version.Compare(m.state.version) <= 0 {
		m.confirmedAt = max(m.confirmedAt, now-sender.Age)
	}
}

func (m *Member) handlePollReply(now time.Duration, from string, reply PollReply) {
	m.noteConfirmation(now, reply.Position)
	isFromSource := from == m.Source()
	if isFromSource {
		m.sourceVersion = reply.Version
	}
	if reply.Version.Compare(m.state.version) <= 0 || !isFromSource {
		m.leaveStaleControl(now, from, reply.Age)
		return
	}
	if !reply.NeedsRepair {
		m.pollSoon(now)
		return
	}
	if m.repair == nil {
		m.repair = &repair{staged: m.state, nextRequest: awaitingPollReply}
	}
	if m.repair.nextRequest == awaitingPollReply {
		m.repair.restart(now)
		m.repair.request(now, m)
	}
}

func (m *Member) handleDelta(now time.Duration, from string, d Delta) error {
	if d.Version.Compare(m.state.version) <= 0 {
		m.noteConfirmation(now, d.Position)
		return nil
	}
	if d.From != m.state.version {
		m.pollSoon(now)
		return nil
	}
	changes := d.Changes
	if m.disabled.atomicity {
		changes = changes[:len(changes)/2]
	}
	next, err := m.state.With(d.Version, changes)
	if err == nil && next.root != d.Root && m.disabled == (disabledSafeguards{}) {
		err = reject(ReasonDigestMismatch, "delta to %v from %s: found root %x, expected %x", d.Version, from, next.root, d.Root)
	}
	if err != nil {
		m.distrust(now, from)
		return err
	}
	m.history.add(d.From, d.Version, d.Changes)
	m.activate(now, next, d.Position)
	return nil
}

// activate replaces the active state atomically and pushes it to the children.
func (m *Member) activate(now time.Duration, s *State, source Position) {
	m.state = s
	m.repair = nil
	m.noteConfirmation(now, source)
	if !m.isAtPreferredSource() {
		m.failbackAt = min(m.failbackAt, now+m.jitter(currentFailbackDelay))
	}
	m.host.Activated(now, s)
	m.pushDeltas(now)
}
