package configuration

import (
	"slices"
	"time"
)

// Times that decide when a member switches to another source.
const (
	sourceTimeout         = 4 * time.Second         // silence after which a source counts as failed
	firstReplyTimeout     = 1600 * time.Millisecond // the same, for a source that has not replied since the switch to it
	maxStateAge           = 10 * time.Second        // more than polls down the tree add up to; with an older state a member tries the backup
	staleSwitchInterval   = 12 * time.Second        // between switches because of an old state, plus jitter
	maxControlAge         = 4 * time.Second         // of a control node's state: an older one means that the log's leader does not reach it
	failbackDelay         = 10 * time.Second        // until a return to the preferred source, plus jitter
	upToDateFailbackDelay = time.Second             // the same, at most, after another source has provided a newer state
)

// Times for which a member does not switch to a source.
const (
	avoidDuration    = 30 * time.Second // for a control node that the log's leader does not reach
	distrustDuration = time.Minute      // for a source that sent something invalid
)

// avoidedSource is a source that a member does not switch to for a while. Replies from a distrusted one are rejected as well.
type avoidedSource struct {
	name         string
	until        time.Duration
	isDistrusted bool
}

// SetSources sets the member's sources. The member keeps its current source if that is a preferred one of the new list, or if a
// repair from it is in progress and it is still listed.
func (m *Member) SetSources(now time.Duration, s Sources) {
	previous, wasRepairing := m.Source(), m.isRepairing()
	m.sources = slices.Concat(s.Primary, s.Fallback)
	m.primaryCount = len(s.Primary)
	m.avoidedSources = slices.DeleteFunc(m.avoidedSources, func(a avoidedSource) bool { return !slices.Contains(m.sources, a.name) })
	m.sourceIndex = max(0, slices.Index(m.sources, previous))
	if previous != m.Source() || !m.isAtPreferredSource() && !wasRepairing {
		m.switchSource(now, 0)
	}
}

// Source returns the name of the source that the member polls, or "" before the first SetSources.
func (m *Member) Source() string {
	if m.sourceIndex >= len(m.sources) {
		return ""
	}
	return m.sources[m.sourceIndex]
}

// jitter returns a random duration from 0 up to span.
func (m *Member) jitter(span time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(span))
}

// checkSource switches away from a source that is silent or stale, and returns to the preferred one when that is due.
func (m *Member) checkSource(now time.Duration) {
	silence := now - m.lastReply
	timeout := sourceTimeout
	if m.lastReply < m.switchedAt {
		silence = now - m.switchedAt
		timeout = firstReplyTimeout
	}
	isStale := m.Age(now) > maxStateAge && now >= m.nextStaleSwitch
	switch {
	case silence > timeout:
		m.switchSource(now, m.sourceIndex+1)
	case isStale && m.primaryCount > 1 && !m.isRepairing():
		m.nextStaleSwitch = now + staleSwitchInterval + m.jitter(staleSwitchInterval/2)
		m.switchSource(now, (min(m.sourceIndex, m.primaryCount-1)+1)%m.primaryCount)
	case !m.isAtPreferredSource() && now >= m.failbackAt && m.sourceVersion.Compare(m.state.version) <= 0:
		m.switchSource(now, 0)
	}
}

// switchSource switches to the first source that is not avoided, starting at an index and wrapping around. If all are avoided,
// it switches to the one at the index.
func (m *Member) switchSource(now time.Duration, index int) {
	if len(m.sources) == 0 {
		return
	}
	m.avoidedSources = slices.DeleteFunc(m.avoidedSources, func(a avoidedSource) bool { return now >= a.until })
	m.sourceIndex = index % len(m.sources)
	for n := range m.sources {
		next := (index + n) % len(m.sources)
		if !m.isAvoided(m.sources[next]) {
			m.sourceIndex = next
			break
		}
	}
	m.Counters.SourceChanges++
	m.sourceVersion = Version{}
	m.switchedAt = now
	m.lastPoll = 0
	m.nextPoll = now + m.jitter(minPollInterval/3)
	m.failbackAt = now + failbackDelay + m.jitter(failbackDelay/2)
	if m.repair != nil {
		m.repair.restart(awaitingPollReply)
	}
}

func (m *Member) isAvoided(name string) bool {
	return slices.ContainsFunc(m.avoidedSources, func(a avoidedSource) bool { return a.name == name })
}

func (m *Member) isDistrusted(name string) bool {
	return slices.ContainsFunc(m.avoidedSources, func(a avoidedSource) bool { return a.name == name && a.isDistrusted })
}

func (m *Member) avoid(source avoidedSource) {
	m.avoidedSources = slices.DeleteFunc(m.avoidedSources, func(a avoidedSource) bool { return a.name == source.name })
	m.avoidedSources = append(m.avoidedSources, source)
}

// distrust avoids a source that sent something invalid. If it is the current source, the member switches to another one and drops
// the repair, which may contain invalid resources.
func (m *Member) distrust(now time.Duration, from string) {
	m.avoid(avoidedSource{name: from, until: now + distrustDuration, isDistrusted: true})
	if from == m.Source() {
		m.repair = nil
		m.switchSource(now, m.sourceIndex+1)
	}
}

// isRepairing reports whether the member is comparing digests with its current source.
func (m *Member) isRepairing() bool {
	return m.repair != nil && m.repair.nextRequest != awaitingPollReply
}

// isAtPreferredSource reports whether the current source is the first one, or an equally good one: at the top of a zone all
// sources are control nodes.
func (m *Member) isAtPreferredSource() bool {
	if m.primaryCount == len(m.sources) {
		return m.sourceIndex < m.primaryCount
	}
	return m.sourceIndex < 1
}

// isSourceRelay reports whether the current source is a relay rather than a control node.
func (m *Member) isSourceRelay() bool {
	return m.sourceIndex < m.primaryCount && m.primaryCount < len(m.sources)
}

// leaveStaleControl avoids a control node whose state is older than maxControlAge, and switches away from it if there is a
// source that is not avoided.
func (m *Member) leaveStaleControl(now time.Duration, from string, age time.Duration) {
	if from != m.Source() || m.isSourceRelay() || age <= maxControlAge {
		return
	}
	m.avoid(avoidedSource{name: from, until: now + avoidDuration})
	if slices.ContainsFunc(m.sources, func(name string) bool { return !m.isAvoided(name) }) {
		m.switchSource(now, m.sourceIndex+1)
	}
}

// handleReferral switches from a relay to a control node. A control node that sends a referral has its maximum number of
// children; the member then polls the next source after a backoff.
func (m *Member) handleReferral(now time.Duration, from string) {
	if from != m.Source() {
		return
	}
	if m.isSourceRelay() {
		m.switchSource(now, m.primaryCount)
		return
	}
	m.switchSource(now, m.sourceIndex+1)
	wait := minPollInterval + m.jitter(pollInterval)
	m.switchedAt += wait
	m.nextPoll = now + wait
}
