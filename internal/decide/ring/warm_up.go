package ring

import (
	"maps"
	"time"
)

// maxDepartedPerGrant bounds the participants that one grant removes; the rest waits for the next.
const maxDepartedPerGrant = 64

// WarmUpController is the leader's view of the backends that are warming up: their weights and the next grant. Its
// progress table holds an entry for each, removed by WeightedBackends.
type WarmUpController struct {
	slowStart SlowStart
	budget    CallBudget
	terms     LeaseTerms
	progress  map[string]*SlowStartProgress // by backend
	nextGrant time.Duration                 // when the next grant, or the pending one again, is due
	pending   *Grant                        // proposed, and not yet applied
}

// NewWarmUpController returns the controller of a leader that has just been elected. All grants of the previous leader
// precede its election in the log, so the first of its own is due after a whole interval.
func NewWarmUpController(now time.Duration, s SlowStart, b CallBudget, terms LeaseTerms) *WarmUpController {
	return &WarmUpController{slowStart: s, budget: b, terms: terms, progress: map[string]*SlowStartProgress{}, nextGrant: now + b.GrantInterval}
}

// WeightedBackends returns the wanted backends with the weights they may have now. A backend warms up if it is wanted so and
// does not stand at full weight in the table; one that a previous leader started resumes from its weight there.
func (c *WarmUpController) WeightedBackends(now time.Duration, wanted []Backend, t *Table) []Backend {
	weighted, isWarming := make([]Backend, len(wanted)), map[string]bool{}
	for n, backend := range wanted {
		weighted[n] = backend
		current, found := t.backendNamed(backend.Name)
		if !backend.WarmingUp || found && !current.WarmingUp {
			weighted[n].WarmingUp = false
			continue
		}
		isWarming[backend.Name] = true
		fraction := c.progressOf(now, backend, current).Advance(now, c.slowStart, 0, 0)
		weighted[n].Weight, weighted[n].WarmingUp = backend.Weight*fraction, fraction < 1
	}
	maps.DeleteFunc(c.progress, func(name string, _ *SlowStartProgress) bool { return !isWarming[name] })
	return weighted
}

// progressOf returns a backend's progress, started if need be; current is the backend in the table, or nil.
func (c *WarmUpController) progressOf(now time.Duration, wanted Backend, current *Backend) *SlowStartProgress {
	if c.progress[wanted.Name] == nil {
		c.progress[wanted.Name] = &SlowStartProgress{}
		if current != nil {
			*c.progress[wanted.Name] = ResumeSlowStart(now, c.slowStart, current.Weight/wanted.Weight)
		}
	}
	return c.progress[wanted.Name]
}

// NextGrant returns the grant to propose now, if one is due. isAlive reports whether a process still acknowledges.
func (c *WarmUpController) NextGrant(now time.Duration, state *ReplicatedState, isAlive func(process string) bool) (Grant, bool) {
	if now < c.nextGrant || !state.Active.HasWarmingUp() {
		return Grant{}, false
	}
	c.nextGrant = now + c.terms.Duration/proposalsPerLease
	if c.pending != nil && c.pending.Sequence > state.LastGrantSequence { // lost or in flight: the sequence makes it idempotent
		return *c.pending, true
	}
	grant := Grant{Sequence: state.LastGrantSequence + 1}
	for _, b := range state.Active.backends {
		if p := c.progress[b.Name]; b.WarmingUp && p != nil {
			grant.Quotas = append(grant.Quotas, BackendQuota{b.Name, c.budget.grantSize(grant.Sequence, p.fraction, c.terms)})
		}
	}
	for _, process := range state.Participants {
		if !isAlive(process) && len(grant.Departed) < maxDepartedPerGrant {
			grant.Departed = append(grant.Departed, process)
		}
	}
	c.pending = &grant
	return grant, true
}

// GrantApplied notes that a grant is in the log.
func (c *WarmUpController) GrantApplied(now time.Duration) {
	c.pending, c.nextGrant = nil, now+c.budget.GrantInterval
}
