// Package rolls carries a rolling drain (internal/decide/rollout) over the agreed log (internal/fleet/consensus): the owner of the
// duty "roll" judges the fleet and says who is to drain, one entry each; every member keeps the same roll, and the one
// that is named drains by the way that its own notice takes. It owns the entries' words and must never decide who goes.
//
// Tables: the roll's own.
package rolling

import (
	"encoding/json"
	"sync"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
)

// Duty is the roll's.
const Duty = "roll"

// stepEvery is how often the owner judges; a drain that was said is owed for so long before it is said again.
const stepEvery = 250 * time.Millisecond

// word is the body of an entry; one of them.
type word struct {
	Want  *string `json:"want,omitempty"` // another release is wanted
	Drain string  `json:"drain,omitempty"`
	Life  uint64  `json:"life,omitempty"`
}

// Config of a Keeper.
type Config struct {
	Name   string
	Life   uint64
	Bounds rollout.Limits
	// Fleet is the fleet as this member has it now, and each zone's load.
	Fleet func() ([]rollout.Instance, map[string]float64)
	// Absent are the processes that vote in the log and are not heard of, dead lives of names that are back among them:
	// until the log has dropped one, it is a voter away, and no second one may go.
	Absent func() []string
	Decide func(body string) bool // under the duty
	HandOn func()                 // give the duty up
	Drain  func()                 // this process is to drain: once
	Say    func(line string)      // one line to the operators, each new reason once
}

// Keeper is one member's roll, on the log driver's goroutine but for Want.
type Keeper struct {
	c       Config
	mu      sync.Mutex // guards want
	want    string
	roll    *rollout.Rollout
	owns    bool
	next    time.Duration
	planned string // the release whose plan was found to be possible
	said    string
	drained bool
}

// New is of a process that has just started.
func New(c Config) *Keeper { return &Keeper{c: c, roll: rollout.New("")} }

// Want tells the release that should run; the owner acts on its own. "" for none.
func (k *Keeper) Want(release string) {
	k.mu.Lock()
	k.want = release
	k.mu.Unlock()
}

// Held and Lost tell whether this member owns the roll.
func (k *Keeper) Held() { k.owns = true }

// Lost: another may.
func (k *Keeper) Lost() { k.owns, k.planned = false, "" }

// Entry is one of the log's, with what became of it.
func (k *Keeper) Entry(now time.Duration, c lease.Command, o lease.Outcome) {
	if w, ok := read(c, o); ok && apply(k.roll, now, w) && w.Drain == k.c.Name && w.Life == k.c.Life && !k.drained {
		k.drained = true
		k.c.Drain()
	}
}

func read(c lease.Command, o lease.Outcome) (w word, ok bool) {
	ok = c.Duty == Duty && c.Kind == lease.Decide && o.Accepted && json.Unmarshal([]byte(c.Body), &w) == nil
	return w, ok
}

// apply is the same in every member; true where a process was told for the first time.
func apply(r *rollout.Rollout, now time.Duration, w word) bool {
	if w.Want != nil {
		r.SetRelease(*w.Want)
		return false
	}
	return w.Drain != "" && r.RecordDrain(now, w.Drain, w.Life)
}

// Restored takes a snapshot's state.
func (k *Keeper) Restored(now time.Duration, b []byte) {
	if err := k.roll.Decode(now, b); err != nil {
		k.c.Say(err.Error())
	}
}

// Tick judges, at the owner.
func (k *Keeper) Tick(now time.Duration) {
	if !k.owns || now < k.next {
		return
	}
	k.next = now + stepEvery
	k.mu.Lock()
	want := k.want
	k.mu.Unlock()
	if want != k.roll.Release {
		k.say(word{Want: &want})
		return
	}
	fleet, load := k.c.Fleet()
	for _, process := range k.c.Absent() {
		fleet = append(fleet, rollout.Instance{Name: process, IsUnreachable: true, IsVoter: true})
	}
	if want != "" && k.planned != want { // refused before anybody is drained, or not at all
		waves, bound, err := rollout.Plan(fleet, load, want, k.c.Bounds)
		if err != nil {
			k.line(err.Error())
			return
		}
		k.planned = want
		k.line("roll to " + want + ": " + plural(len(waves)) + ", at least " + plural(bound))
	}
	s := k.roll.Next(now, fleet, load, k.c.Bounds)
	switch {
	case s.TransferLeadership:
		k.line("roll: only the owner is left; it hands on")
		k.c.HandOn()
	case s.BlockedReason != "":
		k.line("roll held: " + s.BlockedReason)
	}
	for _, i := range s.Drain {
		k.line("roll: " + i.Name + " drains")
		k.say(word{Drain: i.Name, Life: i.Incarnation})
	}
}

func plural(waves int) string {
	b, _ := json.Marshal(waves)
	return string(b) + " waves"
}

func (k *Keeper) line(text string) {
	if text != k.said {
		k.said = text
		k.c.Say(text)
	}
}

func (k *Keeper) say(w word) {
	b, _ := json.Marshal(w)
	k.c.Decide(string(b))
}

// State is the same roll on raft's goroutine, for snapshots alone.
type State struct{ roll *rollout.Rollout }

// NewState goes with a Keeper, as one of the log's Machines.
func NewState() *State { return &State{rollout.New("")} }

// Apply implements log.Machine.
func (s *State) Apply(_ uint64, c lease.Command, o lease.Outcome) {
	if w, ok := read(c, o); ok {
		apply(s.roll, 0, w)
	}
}

// Encode implements log.Machine.
func (s *State) Encode() ([]byte, error) { return s.roll.Encode() }

// Decode implements log.Machine.
func (s *State) Decode(b []byte) error { return s.roll.Decode(0, b) }
