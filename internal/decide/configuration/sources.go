package configuration

import (
	"slices"
	"time"
)

// Times after which a member switches to another source.
const (
	sourceTimeout        = 4 * time.Second // of silence
	firstReplyTimeout    = 1600 * time.Millisecond
	maxSourceAge         = 10 * time.Second // of the state's age, more than polls down the tree add up to: the backup may be newer
	staleSwitchInterval  = 12 * time.Second // between switches for age, on top of jitter
	maxControlAge        = 4 * time.Second  // of a control node's state: the log's leader does not reach it
	failbackDelay        = 10 * time.Second // until it returns to the preferred source, on top of jitter
	currentFailbackDelay = time.Second      // the same, at most, once it has received a newer state from another source
)

// Times for which a source is not used.
const (
	avoidDuration    = 30 * time.Second // a control node that the log's leader does not reach
	distrustDuration = time.Minute      // a source that sent something invalid
)

// avoidedSource is a source that is not switched to for a while. Messages from a distrusted one are rejected too.
type avoidedSource struct {
	name         string
	until        time.Duration
	isDistrusted bool
}

// SetSources gives the member its sources. It stays with its current one if that is still the preferred one, or while it
// repairs from it.
func (m *Member) SetSources(now time.Duration, s Sources) {
	previous, wasRepairing := m.Source(), m.isRepairing()
	m.sources = slices.Concat(s.Primary, s.Fallback)
	m.primaryCount = len(s.Primary)
	m.avoidedSources = slices.DeleteFunc(m.avoidedSources, func(a avoidedSource) bool { return !slices.Contains(m.sources, a.name) })
	m.current = max(0, slices.Index(m.sources, previous))
	if previous != m.Source() || !m.isAtPreferredSource() && !wasRepairing {
		m.switchSource(now, 0)
	}
}

// Source is the one that the member polls, "" before the first SetSources.
func (m *Member) Source() string {
	if m.current >= len(m.sources) {
		return ""
	}
	return m.sources[m.current]
}

func (m *Member) jitter(span time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(span))
}

// checkSource leaves a source that is silent or stale, and returns to the preferred one when that is due.
func (m *Member) checkSource(now time.Duration) {
	silence := now - m.lastHeard
	timeout := sourceTimeout
	if m.lastHeard < m.switchedAt {
		silence = now - m.switchedAt
		timeout = firstReplyTimeout
	}
	isStale := m.Age(now) > maxSourceAge && now >= m.nextStaleSwitch
	switch {
	case silence > timeout:
		m.switchSource(now, m.current+1)
	case isStale && m.primaryCount > 1 && !m.isRepairing():
		m.nextStaleSwitch = now + staleSwitchInterval + m.jitter(staleSwitchInterval/2)
		m.switchSource(now, (min(m.current, m.primaryCount-1)+1)%m.primaryCount)
	case !m.isAtPreferredSource() && now >= m.failbackAt && m.sourceVersion.Compare(m.state.version) <= 0:
		m.switchSource(now, 0)
	}
}

// switchSource switches to the first source that is not avoided, starting at an index and wrapping around; if all are avoided,
// to the one at the index.
func (m *Member) switchSource(now time.Duration, index int) {
	if len(m.sources) == 0 {
		return
	}
	m.avoidedSources = slices.DeleteFunc(m.avoidedSources, func(a avoidedSource) bool { return now >= a.until })
	m.current = index % len(m.sources)
	for n := range m.sources {
		next := (index + n) % len(m.sources)
		if !m.isAvoided(m.sources[next]) {
			m.current = next
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

// distrust leaves a source that sent something invalid, and drops the repair that may rely on it.
func (m *Member) distrust(now time.Duration, from string) {
	m.avoid(avoidedSource{name: from, until: now + distrustDuration, isDistrusted: true})
	if from == m.Source() {
		m.repair = nil
		m.switchSource(now, m.current+1)
	}
}

// isRepairing reports whether it is comparing digests with its source.
func (m *Member) isRepairing() bool {
	return m.repair != nil && m.repair.nextRequest != awaitingPollReply
}

// isAtPreferredSource reports whether the current source is the first or as good as that: at the top of a zone all are control
// nodes.
func (m *Member) isAtPreferredSource() bool {
	if m.primaryCount == len(m.sources) {
		return m.current < m.primaryCount
	}
	return m.current < 1
}

// isSourceRelay reports whether the current source is a relay and not a control node.
func (m *Member) isSourceRelay() bool {
	return m.current < m.primaryCount && m.primaryCount < len(m.sources)
}

// leaveStaleControl avoids a control node whose state is older than maxControlAge, and leaves it if another source is not
// avoided.
func (m *Member) leaveStaleControl(now time.Duration, from string, age time.Duration) {
	if from != m.Source() || m.isSourceRelay() || age <= maxControlAge {
		return
	}
	m.avoid(avoidedSource{name: from, until: now + avoidDuration})
	if slices.ContainsFunc(m.sources, func(name string) bool { return !m.isAvoided(name) }) {
		m.switchSource(now, m.current+1)
	}
}

// handleReferral switches to a control node. A control node sends a referral if its table of children is full; the member then
// polls the next source after a backoff.
func (m *Member) handleReferral(now time.Duration, from string) {
	if from != m.Source() {
		return
	}
	if m.isSourceRelay() {
		m.switchSource(now, m.primaryCount)
		return
	}
	m.switchSource(now, m.current+1)
	wait := minPollInterval + m.jitter(pollInterval)
	m.switchedAt += wait
	m.nextPoll = now + wait
}
