// Package slots carries the ring (internal/decide/ring) over the agreed log (internal/fleet/consensus): the owner of the duty
// "ring" plans and moves, every member builds the same tables from the entries, acknowledges them, and calls by them
// under its lease. It owns the entries' words and one member's calls in flight, and must never decide where a slot
// belongs, nor let a call out that the ring's Calls does not allow.
//
// No table is sent: a freeze names the backends, every member makes the same plan of it, and a digest shows that it did.
// One whose plan came out otherwise (another build) goes by no table any more, and says so.
//
// Tables: calls in flight at most MostCalls, each emptied by Done; acknowledgements in flight at most mostAcks, the
// oldest goes first; the rest is the ring's.
package slots

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// Duty is the ring's.
const Duty = "ring"

// MostCalls in flight at one member.
const MostCalls = 1 << 16

const mostAcks = 16

// word is the body of an entry; one of them.
type word struct {
	Freeze *freeze     `json:"freeze,omitempty"`
	Open   uint64      `json:"open,omitempty"` // the version
	Ack    uint64      `json:"ack,omitempty"`  // the version that its sender goes by
	Ends   bool        `json:"ends,omitempty"` // its sender has ended its calls and makes no more
	Lot    *ring.Grant `json:"lot,omitempty"`  // calls that the cold backends may be sent
}

type freeze struct {
	Version  uint64         `json:"version"`
	Backends []ring.Backend `json:"backends"`
	Slack    float64        `json:"slack"`
	Digest   uint64         `json:"digest"`
}

// Log is what a Keeper says its words by.
type Log interface {
	DecideNow(duty, body string) bool
	Announce(duty, body string) (seq uint64)
	Now() time.Duration
}

// Config of a Keeper; the same in all members, but for Process and Life.
type Config struct {
	Process string
	Life    uint64
	Slots   int
	Terms   ring.LeaseTerms
	Band    ring.BalanceBound
	Ramp    ring.SlowStart    // of a backend that comes in cold
	Budget  ring.CallBudget   // of the same; zero: none is taken for cold
	Say     func(line string) // one line to the operators
}

// Keeper is one member's ring. Its methods but Begin, Done and Want are called on the log driver's goroutine.
type Keeper struct {
	c   Config
	log Log

	mu     sync.Mutex // guards all below, for Begin and Done
	agreed ring.ReplicatedState
	calls  *ring.CallGate
	out    map[int]int // calls in flight by slot
	outAll int
	broken bool // its plan differs from the fleet's

	mover   *ring.Migrator         // at the owner
	ramps   *ring.WarmUpController // at the owner, where there is a budget
	want    []ring.Backend
	heard   map[string]time.Duration // acknowledgements: by process, when; emptied by time
	sent    []sent
	nextAck time.Duration
	ends    bool
}

type sent struct {
	seq uint64
	at  time.Duration
}

// New is of a process that has just started: it has no table until it has heard one. Errors: a number of slots that is no
// table's, a budget or a ramp beside it that is none.
func New(c Config, log Log) (*Keeper, error) {
	if c.Budget != (ring.CallBudget{}) {
		if err := errors.Join(c.Budget.Validate(), c.Ramp.Validate()); err != nil {
			return nil, err
		}
	}
	empty, err := ring.New(c.Slots)
	if err != nil {
		return nil, err
	}
	return &Keeper{c: c, log: log, agreed: ring.ReplicatedState{Active: empty}, calls: ring.NewCallGate(empty), out: map[int]int{},
		heard: map[string]time.Duration{}}, nil
}

// Want tells the backends that should be there, and which of them have come in cold; the owner acts on its own.
func (k *Keeper) Want(backends []ring.Backend) {
	k.mu.Lock()
	k.want = slices.Clone(backends)
	k.mu.Unlock()
}

// Entry is one of the log's, with what became of it.
func (k *Keeper) Entry(now time.Duration, c lease.Command, o lease.Outcome) {
	if c.Duty != Duty || !o.Accepted || c.Body == "" {
		return
	}
	var w word
	if json.Unmarshal([]byte(c.Body), &w) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case c.Kind == lease.Decide && w.Freeze != nil:
		if next, slots, ok := k.c.follow(&k.agreed, *w.Freeze); ok {
			k.calls.Freeze(slots)
			k.nextAck = now
			if k.mover != nil {
				k.mover.Frozen(next.Version)
			}
		} else if next != nil && !k.broken {
			k.broken = true
			k.c.Say(fmt.Sprintf("ring: plan %d came out otherwise than the fleet's: no calls by it; is this another build?", next.Version))
		}
	case c.Kind == lease.Decide && w.Open != 0:
		if k.agreed.Activate(w.Open) {
			k.calls.Activate(k.agreed.Active)
			if k.mover != nil {
				k.mover.Activated(w.Open)
			}
			k.c.Say(fmt.Sprintf("ring: table %d", w.Open))
		}
	case c.Kind == lease.Decide && w.Lot != nil:
		if k.agreed.ApplyGrant(*w.Lot) {
			k.calls.SetQuotas(w.Lot.QuotasFor(k.agreed.Participants, k.c.Process))
			if k.ramps != nil {
				k.ramps.GrantApplied(now)
			}
		}
	case c.Kind == lease.Announce && w.Ack != 0:
		k.acknowledged(now, c, w)
	case c.Kind == lease.Announce && w.Ends:
		delete(k.heard, c.Member)
		k.agreed.RemoveParticipant(c.Member)
		if k.mover != nil {
			k.mover.MemberLeft(c.Member)
		}
	}
}

// follow makes the plan that a freeze names. next without ok: it differs.
func (c *Config) follow(a *ring.ReplicatedState, f freeze) (next *ring.Table, slots []int, ok bool) {
	next, moves, _, err := a.Active.Plan(f.Backends, ring.BalanceBound{Slack: f.Slack}, nil)
	if err != nil || next.Version != f.Version || a.Pending != nil {
		return nil, nil, false
	}
	if next.Digest() != f.Digest {
		return next, nil, false
	}
	for _, m := range moves {
		slots = append(slots, m.Slot)
	}
	return next, slots, a.Freeze(next, slots)
}

func (k *Keeper) acknowledged(now time.Duration, c lease.Command, w word) {
	if !k.agreed.AcceptsAcknowledgement(w.Ack) {
		return
	}
	if _, known := k.heard[c.Member]; known || len(k.heard) < ring.MaxMembers {
		k.heard[c.Member] = now
	}
	k.agreed.RecordAcknowledgement(c.Member)
	if k.mover != nil {
		k.mover.Acknowledged(now, c.Member, w.Ack)
	}
	if c.Member != k.c.Process || c.Incarnation != k.c.Life {
		return
	}
	for n, s := range k.sent {
		if s.seq == c.Seq {
			k.sent = slices.Delete(k.sent, 0, n+1)
			k.calls.ExtendLease(s.at, k.c.Terms)
			return
		}
	}
}

// Restored takes a snapshot's state; what it can't read leaves this member without a table.
func (k *Keeper) Restored(machine []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.agreed.Decode(machine); err != nil {
		k.broken = true
		k.c.Say("ring: " + err.Error())
		return
	}
	k.calls.Activate(k.agreed.Active)
	k.calls.Freeze(k.agreed.MigratingSlots)
}

// Tick acknowledges, and at the owner begins and carries on what is to move.
func (k *Keeper) Tick(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now >= k.nextAck && !k.forbidden() && !k.ends && !k.broken {
		version := k.agreed.Active.Version
		if k.agreed.Pending != nil {
			version = k.agreed.Pending.Version
		}
		if version > 0 {
			k.say(word{Ack: version}, now)
		}
	}
	for process, at := range k.heard {
		if now-at > 2*k.c.Terms.Duration {
			delete(k.heard, process)
		}
	}
	if k.mover != nil {
		k.own(now)
	}
}

// forbidden: a call is out on a slot that moves.
func (k *Keeper) forbidden() bool {
	for _, s := range k.agreed.MigratingSlots {
		if k.out[s] > 0 {
			return true
		}
	}
	return false
}

func (k *Keeper) say(w word, now time.Duration) {
	b, _ := json.Marshal(w)
	if k.sent = append(k.sent, sent{k.log.Announce(Duty, string(b)), now}); len(k.sent) > mostAcks {
		k.sent = slices.Delete(k.sent, 0, 1)
	}
	k.nextAck = now + k.c.Terms.Duration/5
}
