package configuration

import (
	"slices"
	"time"

	"thymechute/internal/decide/random"
)

// TickInterval bounds the time between two calls of Tick.
const TickInterval = 400 * time.Millisecond

// Intervals between polls.
const (
	pollInterval      = 2 * time.Second        // on average, with a jitter of 10% either way
	pollRetryInterval = 800 * time.Millisecond // while a poll has no reply
	minPollInterval   = 300 * time.Millisecond // while a newer version is known to exist
)

// Member is one process of the fleet, which is also the relay of the members that poll it. Its active version never decreases,
// and it activates complete states only.
type Member struct {
	server
	random          random.Source
	sources         []string // the primary ones, then the fallbacks
	primaryCount    int
	sourceIndex     int // index of the source that the member polls
	switchedAt      time.Duration
	lastReply       time.Duration // of the current source; none yet if before switchedAt
	nextPoll        time.Duration
	lastPoll        time.Duration
	failbackAt      time.Duration // when to return to the preferred source
	sourceVersion   Version       // active version of the current source, as last reported
	nextStaleSwitch time.Duration // earliest time to leave a source because the state is too old
	avoidedSources  []avoidedSource
	repair          *repair

	disabled disabledSafeguards
}

// disabledSafeguards are set only by tests, which prove that their checks detect the absence of each safeguard.
type disabledSafeguards struct {
	atomicity   bool // the member activates part of a version's changes
	digestCheck bool // the member activates a state without comparing its root digest
}

// NewMember returns the member of a process that has just started. The state is Empty, or one from before the restart that the
// log last confirmed as the newest the given age ago. The seed must differ between members, so that their jitter differs.
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

// Tick serves the children, switches sources, retries a repair and polls, each if due. It must be called at least once per
// TickInterval.
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

// pollSoon brings the next poll forward, at most to minPollInterval after the last one.
func (m *Member) pollSoon(now time.Duration) {
	m.nextPoll = min(m.nextPoll, max(now, m.lastPoll+minPollInterval))
}

// Receive handles a message. An error is a *RejectionError; a rejected message does not change the active state.
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
		return reject(ReasonUnknownSender, "reply from %q, which is not a trusted source of this member", from)
	}
	if from == m.Source() {
		m.recordReply(now)
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

// recordReply records a message from the current source. The first one after a poll schedules the next regular poll.
func (m *Member) recordReply(now time.Duration) {
	if m.lastReply < m.lastPoll {
		m.nextPoll = m.lastPoll + pollInterval*9/10 + m.jitter(pollInterval/5)
	}
	m.lastReply = now
}

// recordConfirmation records when the log last confirmed the active state as the newest, according to a sender whose version is
// not newer.
func (m *Member) recordConfirmation(now time.Duration, sender Position) {
	if sender.Version.Compare(m.state.version) <= 0 {
		m.confirmedAt = max(m.confirmedAt, now-sender.Age)
	}
}

func (m *Member) handlePollReply(now time.Duration, from string, reply PollReply) {
	m.recordConfirmation(now, reply.Position)
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
		m.recordConfirmation(now, d.Position)
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
		err = reject(ReasonDigestMismatch, "delta to version %v from %q gives root digest %x, expected %x", d.Version, from, next.root, d.Root)
	}
	if err != nil {
		m.distrust(now, from)
		return err
	}
	m.history.add(d.From, d.Version, d.Changes)
	m.activate(now, next, d.Position)
	return nil
}

// activate replaces the active state atomically and pushes the change to the children.
func (m *Member) activate(now time.Duration, s *State, source Position) {
	m.state = s
	m.repair = nil
	m.recordConfirmation(now, source)
	if !m.isAtPreferredSource() {
		m.failbackAt = min(m.failbackAt, now+m.jitter(upToDateFailbackDelay))
	}
	m.host.Activated(now, s)
	m.pushDeltas(now)
}
