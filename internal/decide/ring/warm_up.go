package ring

import (
	"maps"
	"time"
)

// maxDepartedPerGrant is the largest number of participants that one grant removes; later grants remove the rest.
const maxDepartedPerGrant = 64

// WarmUpController decides, at the leader, on the weights of the backends that are warming up and on the grants of calls to
// them. Its progress map holds one entry per such backend, which WeightedBackends removes once the warm-up has ended.
type WarmUpController struct {
	slowStart SlowStart
	budget    CallBudget
	terms     LeaseTerms
	progress  map[string]*SlowStartProgress // by backend
	nextGrant time.Duration                 // when to propose the next grant, or the pending one again
	pending   *Grant                        // proposed but not yet applied; nil if there is none
}

// NewWarmUpController returns the controller of a newly elected leader. All grants of the previous leader precede the
// election in the log, so waiting for a whole GrantInterval from now keeps the first grant far enough from them.
func NewWarmUpController(now time.Duration, s SlowStart, b CallBudget, terms LeaseTerms) *WarmUpController {
	return &WarmUpController{slowStart: s, budget: b, terms: terms, progress: map[string]*SlowStartProgress{}, nextGrant: now + b.GrantInterval}
}

// WeightedBackends returns the wanted backends with the weights that they may have now. A backend warms up if it is marked
// WarmingUp in wanted, unless the table has it as warmed up already. A warm-up that a previous leader began resumes from
// the weight in the table.
func (c *WarmUpController) WeightedBackends(now time.Duration, wanted []Backend, t *Table) []Backend {
	weighted, isWarmingUp := make([]Backend, len(wanted)), map[string]bool{}
	for n, backend := range wanted {
		weighted[n] = backend
		current, found := t.backendNamed(backend.Name)
		if !backend.WarmingUp || found && !current.WarmingUp {
			weighted[n].WarmingUp = false
			continue
		}
		isWarmingUp[backend.Name] = true
		fraction := c.progressOf(now, backend, current).Advance(now, c.slowStart, 0, 0)
		weighted[n].Weight, weighted[n].WarmingUp = backend.Weight*fraction, fraction < 1
	}
	maps.DeleteFunc(c.progress, func(name string, _ *SlowStartProgress) bool { return !isWarmingUp[name] })
	return weighted
}

// progressOf returns a backend's progress, and creates it if there is none yet. current is the backend in the table, or nil.
func (c *WarmUpController) progressOf(now time.Duration, wanted Backend, current *Backend) *SlowStartProgress {
	if c.progress[wanted.Name] == nil {
		c.progress[wanted.Name] = &SlowStartProgress{}
		if current != nil {
			*c.progress[wanted.Name] = ResumeSlowStart(now, c.slowStart, current.Weight/wanted.Weight)
		}
	}
	return c.progress[wanted.Name]
}

// NextGrant returns the grant to propose now, or false if none is due. isAlive reports whether a process still sends
// acknowledgements.
func (c *WarmUpController) NextGrant(now time.Duration, state *ReplicatedState, isAlive func(process string) bool) (Grant, bool) {
	if now < c.nextGrant || !state.Active.HasWarmingUp() {
		return Grant{}, false
	}
	c.nextGrant = now + c.terms.Duration/proposalsPerLease
	if c.pending != nil && c.pending.Sequence > state.LastGrantSequence { // lost or still in flight; the sequence prevents a duplicate
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

// GrantApplied records that the pending grant is in the log.
func (c *WarmUpController) GrantApplied(now time.Duration) {
	c.pending, c.nextGrant = nil, now+c.budget.GrantInterval
}
