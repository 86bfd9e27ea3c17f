package invariant

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Checker checks events as they are reported. It keeps an entry for each work item and attempt of the run. It is not safe for
// concurrent use. Times are since the start of the run.
type Checker struct {
	keyWindow  time.Duration
	items      map[string]*workItem
	attempts   map[string]*attempt // by ID
	instances  map[string]*instance
	violations []Violation
	outcomes   map[Outcome]int

	DuplicateAnswers          int // answers to attempts that were already answered or never received
	LateAnswers               int // answers after the deadline
	DuplicateRunsSameInstance int // repeated runs of an item at one instance that its idempotency forbids
	DuplicateRuns             int // the same, plus such runs at further instances
}

type workItem struct {
	name             string
	idempotency      Idempotency
	startsByInstance map[string][]time.Duration
}

type attempt struct {
	Attempt
	outcome Outcome // "": none yet
	hasRun  bool    // a run of the item started at the instance while this attempt was open
}

type instance struct {
	graceEnd     time.Duration // end of the grace period; 0: not draining
	openAttempts map[string]struct{}
}

// New returns an empty checker. Within keyWindow an idempotent item may not run twice at one instance.
func New(keyWindow time.Duration) *Checker {
	return &Checker{
		keyWindow: keyWindow,
		items:     map[string]*workItem{},
		attempts:  map[string]*attempt{},
		instances: map[string]*instance{},
		outcomes:  map[Outcome]int{},
	}
}

// addViolation records a violation; its detail is formatted from format and args.
func (c *Checker) addViolation(rule Rule, item, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, item, fmt.Sprintf(format, args...)})
}

func (c *Checker) instance(name string) *instance {
	i := c.instances[name]
	if i == nil {
		i = &instance{openAttempts: map[string]struct{}{}}
		c.instances[name] = i
	}
	return i
}

func (c *Checker) item(name string, idempotency Idempotency) *workItem {
	item := c.items[name]
	if item == nil {
		item = &workItem{name: name, idempotency: idempotency, startsByInstance: map[string][]time.Duration{}}
		c.items[name] = item
	}
	return item
}

// Received reports that an instance received an attempt.
func (c *Checker) Received(a Attempt) {
	c.item(a.Item, a.Idempotency)
	if c.attempts[a.ID] != nil {
		c.addViolation(AnsweredOnce, a.Item, "attempt %s was received twice", a.ID)
		return
	}
	c.attempts[a.ID] = &attempt{Attempt: a}
	c.instance(a.Instance).openAttempts[a.ID] = struct{}{}
}

// Started reports that an instance started to run an item.
func (c *Checker) Started(at time.Duration, instanceName, itemName string, idempotency Idempotency) {
	item := c.item(itemName, idempotency)
	if idempotency != Safe {
		c.checkOtherInstances(item, instanceName)
		c.checkSameInstance(at, item, instanceName, idempotency)
	}
	item.startsByInstance[instanceName] = append(item.startsByInstance[instanceName], at)
	for id := range c.instance(instanceName).openAttempts {
		if a := c.attempts[id]; a.Item == itemName {
			a.hasRun = true
		}
	}
}

func (c *Checker) checkOtherInstances(item *workItem, instanceName string) {
	for other, starts := range item.startsByInstance {
		if other != instanceName && len(starts) > 0 {
			c.DuplicateRuns++
			c.addViolation(NoDuplicateEffect, item.name, "ran at two instances, %s and %s", other, instanceName)
			return
		}
	}
}

func (c *Checker) checkSameInstance(at time.Duration, item *workItem, instanceName string, idempotency Idempotency) {
	for _, earlier := range item.startsByInstance[instanceName] {
		if idempotency == NonIdempotent || at-earlier < c.keyWindow {
			c.DuplicateRunsSameInstance++
			c.DuplicateRuns++
			c.addViolation(NoDuplicateEffect, item.name, "ran twice at %s, at %v and at %v", instanceName, earlier, at)
			return
		}
	}
}

// Completed reports how an attempt ended: with an answer, or without one as its caller was gone.
func (c *Checker) Completed(at time.Duration, attemptID string, outcome Outcome) {
	a := c.attempts[attemptID]
	switch {
	case a == nil:
		c.DuplicateAnswers++
		c.addViolation(AnsweredOnce, attemptID, "the attempt was answered but never received")
		return
	case a.outcome != "":
		c.DuplicateAnswers++
		c.addViolation(AnsweredOnce, a.Item, "attempt %s ended twice, as %s and then as %s", attemptID, a.outcome, outcome)
		return
	case outcome != CallerGone && at > a.Deadline:
		c.LateAnswers++
		c.addViolation(AnsweredOnce, a.Item, "attempt %s was answered %v after its deadline", attemptID, at-a.Deadline)
	case outcome == Rejected && a.hasRun && c.items[a.Item].idempotency != Safe:
		c.addViolation(NoDuplicateEffect, a.Item, "rejected although it had run")
	}
	a.outcome = outcome
	c.outcomes[outcome]++
	delete(c.instance(a.Instance).openAttempts, attemptID)
}

// Draining reports that an instance was told to shut down. Items that arrive after the grace period may not run.
func (c *Checker) Draining(at time.Duration, instanceName string, grace time.Duration) {
	c.instance(instanceName).graceEnd = at + grace
}

// Arrived reports that an item arrived at an instance, and whether the instance ran it.
func (c *Checker) Arrived(at time.Duration, instanceName, itemName string, execution Execution) {
	i := c.instance(instanceName)
	if execution == Executed && i.graceEnd > 0 && at > i.graceEnd {
		c.addViolation(DrainsCompletely, itemName, "ran although it arrived %v after the end of the grace period of %s", at-i.graceEnd, instanceName)
	}
}

// Stopped reports that an instance's process ended. Its open attempts then count as those of callers that are gone.
func (c *Checker) Stopped(at time.Duration, instanceName string, cause StopCause) {
	i := c.instance(instanceName)
	for _, id := range slices.Sorted(maps.Keys(i.openAttempts)) {
		if cause == Shutdown {
			c.addViolation(DrainsCompletely, c.attempts[id].Item, "attempt %s was not answered before the shutdown of %s", id, instanceName)
		}
		c.Completed(at, id, CallerGone)
	}
	i.graceEnd = 0
}

// CheckMemory checks the peak memory use of an instance against its limit, both in bytes.
func (c *Checker) CheckMemory(instanceName string, peak, limit int64) {
	if peak > limit {
		c.addViolation(MemoryBounded, instanceName, "peak memory use of %d bytes exceeds the limit of %d bytes", peak, limit)
	}
}

// Finish ends the run and records a violation for each attempt that is still open.
func (c *Checker) Finish() {
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if a := c.attempts[id]; a.outcome == "" {
			c.addViolation(AnsweredOnce, a.Item, "attempt %s at %s was never answered", id, a.Instance)
		}
	}
}

// Violations returns all violations in the order in which they were detected.
func (c *Checker) Violations() []Violation { return c.violations }

// OutcomeCount returns the number of attempts that ended with an outcome.
func (c *Checker) OutcomeCount(outcome Outcome) int { return c.outcomes[outcome] }

// AttemptCount returns the number of attempts received.
func (c *Checker) AttemptCount() int { return len(c.attempts) }

// ExecutedItemCount returns the number of items that ran at least once.
func (c *Checker) ExecutedItemCount() (count int) {
	for _, item := range c.items {
		if len(item.startsByInstance) > 0 {
			count++
		}
	}
	return count
}
