package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/lease"
)

// maxLatencyMS is the last bin of the latency histogram; it also counts all longer latencies.
const maxLatencyMS = 120_000

// configurationChecker applies each log entry when it is committed, independently of the processes, and checks the states
// that processes activate against the committed ones. Slices "by counter" are indexed by the counter of a version.
type configurationChecker struct {
	result        ConfigurationResult
	table         *lease.Table
	state         *configuration.State
	roots         []uint64                // by counter
	versions      []configuration.Version // by counter
	requestedAt   []time.Duration         // by counter
	latencyCounts []int                   // by ms
	sampleCount   int
}

func newConfigurationChecker(initial *configuration.State) configurationChecker {
	table, _ := lease.NewTable(configurationDuty)
	return configurationChecker{
		table:         table,
		state:         initial,
		roots:         []uint64{0, initial.Root()},
		versions:      []configuration.Version{{}, initial.Version()},
		requestedAt:   []time.Duration{0, 0},
		latencyCounts: make([]int, maxLatencyMS+1),
	}
}

func (c *configurationChecker) newestCounter() uint64 { return c.state.Version().Counter }

// commit applies an entry when it is committed, and reports whether the entry creates a new version.
func (c *configurationChecker) commit(index uint64, e configurationEntry, requestedAt time.Duration) (isEffective bool) {
	outcome := c.table.Apply(index, e.Command)
	if e.Kind == lease.Acquire && outcome.Accepted {
		c.result.LeaseChanges++
	}
	if e.Kind != lease.Decide {
		return false
	}
	if e.isStale {
		c.result.StaleProposed++
	}
	active, next := c.state.Version(), e.change.Version
	if !outcome.Accepted || e.change.Base != active || next.Token != e.Token || next.Counter != active.Counter+1 {
		return false
	}
	state, err := c.state.With(next, e.change.Changes)
	if err != nil {
		return false
	}
	c.state = state
	c.roots = append(c.roots, state.Root())
	c.versions = append(c.versions, state.Version())
	c.requestedAt = append(c.requestedAt, requestedAt)
	c.result.Versions++
	return true
}

// checkActivation checks a state that a process has activated, and records how long its changes took to arrive.
func (c *configurationChecker) checkActivation(p *configurationProcess, now time.Duration, state *configuration.State) {
	v := state.Version()
	if v.Compare(p.activeVersion) <= 0 {
		c.result.RolledBack++
	}
	if !c.isCommitted(state) {
		c.result.PartiallyApplied++
		p.activeVersion = v
		return
	}
	if p.member != nil {
		c.recordLatencies(p, now, v.Counter)
	}
	p.activeVersion = v
	c.recordCaughtUp(p, now)
}

func (c *configurationChecker) isCommitted(state *configuration.State) bool {
	v := state.Version()
	return v.Counter < uint64(len(c.roots)) && c.versions[v.Counter] == v && c.roots[v.Counter] == state.Root()
}

// recordLatencies records the latency of all versions after the active one up to a counter, except those requested while the
// process was unreachable.
func (c *configurationChecker) recordLatencies(p *configurationProcess, now time.Duration, upTo uint64) {
	for n := p.activeVersion.Counter + 1; n <= upTo; n++ {
		if c.requestedAt[n] < p.reachableSince {
			continue
		}
		latency := now - c.requestedAt[n]
		c.latencyCounts[min(int(latency.Milliseconds()), maxLatencyMS)]++
		c.sampleCount++
		c.result.PropagationMax = max(c.result.PropagationMax, latency)
	}
}

// recordCaughtUp records when a process first has the version that was the newest when it became reachable.
func (c *configurationChecker) recordCaughtUp(p *configurationProcess, now time.Duration) {
	if p.isCaughtUp || p.activeVersion.Counter < p.targetCounter {
		return
	}
	p.isCaughtUp = true
	duration := now - p.reachableSince
	if p.recovery == recoveryFromPartition {
		c.result.RecoveryMax = max(c.result.RecoveryMax, duration)
	} else if p.member != nil {
		c.result.Starts[p.recovery]++
		c.result.StartMax[p.recovery] = max(c.result.StartMax[p.recovery], duration)
		c.result.StartBytesMax[p.recovery] = max(c.result.StartBytesMax[p.recovery], p.traffic.startBytes)
	}
	p.traffic.markCaughtUp(now)
}

// recordTraffic records a process's bytes per second during one window, by the role of the process.
func (c *configurationChecker) recordTraffic(p *configurationProcess, bytesPerSecond float64) {
	r := &c.result
	switch {
	case p.control != nil:
		r.ControlBytesPerSecond = max(r.ControlBytesPerSecond, bytesPerSecond)
		return
	case p.hasRelayed:
		r.RelayBytesPerSecond = max(r.RelayBytesPerSecond, bytesPerSecond)
	default:
		r.LeafBytesPerSecond = max(r.LeafBytesPerSecond, bytesPerSecond)
	}
	r.MemberBytesPerSecond = max(r.MemberBytesPerSecond, bytesPerSecond)
}

// finish checks the final state of all processes that are up and returns the result. All partitions must have healed.
func (c *configurationChecker) finish(s *configurationSimulation) ConfigurationResult {
	for _, p := range s.processes {
		if p.isUp {
			c.checkFinalState(p, s.now)
		}
	}
	c.result.PropagationP99 = c.propagationP99()
	c.result.LateFraction = c.lateFraction()
	c.result.ControlPeers = s.maxControlPeers
	c.result.Resources = c.state.Len()
	c.result.StateBytes = s.initialState.Bytes()
	return c.result
}

func (c *configurationChecker) checkFinalState(p *configurationProcess, now time.Duration) {
	var state *configuration.State
	var counters configuration.Counters
	if p.member != nil {
		state, counters = p.member.State(), p.member.Counters
		c.result.Members++
		c.result.AgeMax = max(c.result.AgeMax, p.member.Age(now))
	} else {
		state, counters = p.control.State(), p.control.Counters
	}
	c.result.Repairs += counters.Repairs
	c.result.Referred += counters.Referred
	c.result.Throttled += counters.Throttled
	if state.Root() != c.state.Root() || state.Version() != c.state.Version() {
		c.result.Diverged++
	}
}

// propagationP99 returns the 99th percentile of the latencies, rounded down to ms.
func (c *configurationChecker) propagationP99() time.Duration {
	remaining := c.sampleCount - (c.sampleCount*99+99)/100
	for ms := maxLatencyMS; ms > 0; ms-- {
		if remaining -= c.latencyCounts[ms]; remaining < 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// lateFraction returns the fraction of the latencies that were maxPropagation or more.
func (c *configurationChecker) lateFraction() float64 {
	late := 0
	for _, count := range c.latencyCounts[maxPropagation.Milliseconds():] {
		late += count
	}
	return float64(late) / float64(max(1, c.sampleCount))
}
