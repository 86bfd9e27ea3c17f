package ring

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// migrationEntry is an entry of the simulated log.
type migrationEntry struct {
	kind    string // freeze, activate, ack
	table   *Table
	slots   []int
	process string
	version uint64
	sent    time.Duration // by the sender's clock
}

type migrationMember struct {
	process                               string
	clockRate                             float64
	state                                 ReplicatedState
	gate                                  *CallGate
	applied                               int
	isInboundCut, isOutboundCut, isPaused bool
	inFlight                              []inFlightCall
	ackVersion                            uint64 // acknowledged once no call is in flight on a frozen slot
	nextAck                               time.Duration
}

type inFlightCall struct {
	slot    int
	backend string
	end     time.Duration // in true time, the cancellation included
}

// simulateMigrations runs a fleet whose leader migrations slots again and again, through deaf, mute and paused members, owners that change in
// mid-migration, lost and reordered entries. It returns how often one slot was called at two backends at once, the migrations
// activated, the calls made and the longest time that a slot was frozen.
func simulateMigrations(seed uint64, leaderTerms, memberTerms LeaseTerms) (violations, activated, calls int, longestFreeze time.Duration) {
	r := rand.New(rand.NewPCG(seed, 0x31f6))
	first, _ := New(16)
	table, _, _, _ := first.Plan(testBackends(3), BalanceBound{}, nil)
	var log, flight []migrationEntry
	var members []*migrationMember
	now := time.Duration(0)
	for n := range 5 {
		members = append(members, &migrationMember{process: fmt.Sprint("m", n), clockRate: 1 + leaderTerms.MaxDrift*(2*r.Float64()-1),
			state: ReplicatedState{Active: table}, gate: NewCallGate(table), ackVersion: table.Version})
	}
	leader, began := members[0], time.Duration(0)
	names := func() (out []string) {
		for _, m := range members {
			out = append(out, m.process)
		}
		return out
	}
	proposer := &recordingProposer{&flight}
	migrator := NewMigrator(0, proposer, leaderTerms, names(), nil, nil)
	clock := func(m *migrationMember) time.Duration { return time.Duration(float64(now) * m.clockRate) }
	for range 6000 {
		now += 10 * time.Millisecond
		for len(flight) > 0 && r.IntN(3) > 0 {
			n := r.IntN(len(flight))
			if e := flight[n]; r.IntN(10) > 0 {
				log = append(log, e)
			}
			flight = append(flight[:n], flight[n+1:]...)
		}
		for _, m := range members {
			if m.isPaused {
				continue
			}
			m.inFlight = withoutFinished(m.inFlight, now)
			for !m.isInboundCut && m.applied < len(log) && r.IntN(5) > 0 {
				e := log[m.applied]
				m.applied++
				switch e.kind {
				case "freeze":
					if m.state.Freeze(e.table, e.slots) {
						m.gate.Freeze(e.slots)
						m.ackVersion = e.table.Version
						if m == leader {
							migrator.Frozen(e.table.Version)
							began = now
						}
					}
				case "activate":
					if m.state.Activate(e.version) {
						m.gate.Activate(m.state.Active)
						if m == leader {
							migrator.Activated(e.version)
							activated++
							longestFreeze = max(longestFreeze, now-began)
						}
					}
				case "ack":
					if !m.state.AcceptsAcknowledgement(e.version) {
						continue
					}
					if m == leader {
						migrator.Acknowledged(clock(m), e.process, e.version)
					}
					if e.process == m.process {
						m.gate.ExtendLease(e.sent, memberTerms)
					}
				}
			}
			if clock(m) >= m.nextAck && !m.isOutboundCut && !hasCallOnFrozenSlot(m) {
				flight = append(flight, migrationEntry{kind: "ack", process: m.process, version: m.ackVersion, sent: clock(m)})
				m.nextAck = clock(m) + leaderTerms.Duration/5
			}
			slot := r.IntN(16)
			if b, until, v := m.gate.Admit(clock(m), slot, NotIdempotent); v == Allow {
				calls++
				wish := clock(m) + time.Duration(r.IntN(200))*time.Millisecond // cancelled at until at the latest
				end := time.Duration(float64(min(wish, until))/m.clockRate) + memberTerms.CancelDelay
				m.inFlight = append(m.inFlight, inFlightCall{slot, b.Name, end})
			}
		}
		if !leader.isPaused && !leader.isInboundCut {
			if !migrator.InProgress() && leader.state.Pending == nil && r.IntN(40) == 0 {
				next, migrations, _, _ := leader.state.Active.Plan(testBackends(6)[r.IntN(3):3+r.IntN(4)], BalanceBound{}, nil)
				migrator.Start(clock(leader), next, migrations)
			}
			migrator.Tick(clock(leader))
		}
		at := map[int]string{}
		for _, m := range members {
			for _, c := range m.inFlight {
				if c.end <= now {
					continue
				}
				if to, ok := at[c.slot]; ok && to != c.backend {
					violations++
				}
				at[c.slot] = c.backend
			}
		}
		switch m := members[r.IntN(len(members))]; r.IntN(300) {
		case 0:
			m.isInboundCut = !m.isInboundCut
		case 1:
			m.isOutboundCut = !m.isOutboundCut
		case 2:
			m.isPaused = !m.isPaused
		case 3: // the leader changes, maybe in mid-migration; the new one has applied the whole log
			if !m.isPaused && !m.isInboundCut && m != leader && m.applied == len(log) {
				leader, began = m, now
				migrator = NewMigrator(clock(m), proposer, leaderTerms, names(), m.state.Pending, m.state.MigratingSlots)
			}
		}
	}
	return violations, activated, calls, longestFreeze
}

type recordingProposer struct{ inFlight *[]migrationEntry }

func (s *recordingProposer) ProposeFreeze(next *Table, slots []int) {
	*s.inFlight = append(*s.inFlight, migrationEntry{kind: "freeze", table: next, slots: slots})
}

func (s *recordingProposer) ProposeActivation(next *Table) {
	*s.inFlight = append(*s.inFlight, migrationEntry{kind: "activate", version: next.Version})
}

func withoutFinished(out []inFlightCall, now time.Duration) (kept []inFlightCall) {
	for _, c := range out {
		if c.end > now {
			kept = append(kept, c)
		}
	}
	return kept
}

// hasCallOnFrozenSlot: a call is out on a slot that migrations, so the freeze can't be acknowledged yet.
func hasCallOnFrozenSlot(m *migrationMember) bool {
	for _, c := range m.inFlight {
		if m.gate.frozen[c.slot] {
			return true
		}
	}
	return false
}

var leaseTerms = LeaseTerms{Duration: time.Second, MaxDrift: 0.02, CancelDelay: 100 * time.Millisecond}

func TestNoSlotIsCalledAtTwoBackendsConcurrently(t *testing.T) {
	migrations, calls, stall := 0, 0, time.Duration(0)
	for seed := range uint64(30) {
		two, opened, made, longest := simulateMigrations(seed, leaseTerms, leaseTerms)
		if two > 0 {
			t.Errorf("seed %d: %d times at two backends", seed, two)
		}
		migrations, calls, stall = migrations+opened, calls+made, max(stall, longest)
	}
	t.Logf("%d migrations activated, %d calls, longest freeze %v", migrations, calls, stall)
	if migrations < 100 || calls < 10000 {
		t.Errorf("only %d migrations activated, %d calls", migrations, calls)
	}
}

// The mutations that the check must notice: a leader that doesn't wait for leases, members that overstay theirs.
func TestSlotIsCalledAtTwoBackendsWithoutLeaseWait(t *testing.T) {
	impatient, overstaying := leaseTerms, leaseTerms
	impatient.Duration, overstaying.Duration = 50*time.Millisecond, 3*time.Second
	for name, m := range map[string][2]LeaseTerms{"impatient leader": {impatient, leaseTerms}, "overstaying members": {leaseTerms, overstaying}} {
		two := 0
		for seed := range uint64(30) {
			n, _, _, _ := simulateMigrations(seed, m[0], m[1])
			two += n
		}
		if two == 0 {
			t.Errorf("%s: never at two backends, so the check sees nothing", name)
		}
	}
}

func TestIdempotentCallsContinueWithoutLease(t *testing.T) {
	empty, _ := New(4)
	if _, _, v := NewCallGate(empty).Admit(0, 0, Idempotent); v != RejectUnassigned {
		t.Errorf("decision %d on an unassigned slot", v)
	}
	table, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	c := NewCallGate(table)
	if _, _, v := c.Admit(0, 0, NotIdempotent); v != RejectLeaseExpired {
		t.Errorf("decision %d before any lease", v)
	}
	if b, _, v := c.Admit(0, 0, Idempotent); v != AllowStale || b == nil {
		t.Errorf("decision %d for an idempotent call", v)
	}
	c.ExtendLease(time.Second, leaseTerms)
	if _, until, v := c.Admit(time.Second, 0, NotIdempotent); v != Allow || until != time.Second+882*time.Millisecond {
		t.Errorf("decision %d until %v", v, until)
	}
	c.Freeze([]int{0})
	if _, _, v := c.Admit(time.Second, 0, Idempotent); v != RejectMigrating {
		t.Errorf("decision %d on a migrating slot", v)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	empty, _ := New(16)
	table, _, _ := mustPlan(t, empty, testBackends(3), BalanceBound{})
	next, migrations, _ := mustPlan(t, table, testBackends(4), BalanceBound{})
	a := ReplicatedState{Active: table}
	a.Freeze(next, []int{migrations[0].Slot})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back ReplicatedState
	if err := back.Decode(b); err != nil || back.Active.Digest() != table.Digest() || back.Pending.Digest() != next.Digest() ||
		back.Pending.Version != next.Version || len(back.MigratingSlots) != 1 {
		t.Errorf("%v: %+v", err, back)
	}
	if table.Digest() == next.Digest() {
		t.Error("two tables with one digest")
	}
	for _, bad := range []string{"", "{}", `{"Table":{"Slots":"AAAA"}}`, `{"Table":{"Backends":[{"Name":"a","Weight":1}],"Slots":"BQAFAA=="}}`} {
		if err := back.Decode([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
