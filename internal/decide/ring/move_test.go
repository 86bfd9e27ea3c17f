package ring

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// entry of the test's log.
type entry struct {
	what    string // freeze, open, ack
	table   *Table
	slots   []int
	process string
	version uint64
	sent    time.Duration // by the sender's clock
}

type member struct {
	process            string
	rate               float64
	agreed             Agreed
	calls              *Calls
	at                 int
	deaf, mute, paused bool
	out                []call
	owes               uint64 // version to acknowledge once nothing forbidden is out
	nextAck            time.Duration
}

type call struct {
	slot int
	to   string
	end  time.Duration // true time at which it is over, lingering included
}

// play runs a fleet whose owner moves slots again and again, through deaf, mute and paused members, owners that change in
// mid-move, lost and reordered entries, and returns how often one slot was called at two backends at once, the moves
// opened, the calls made and the longest time that a slot stood frozen.
func play(seed uint64, waits, holds Terms) (two, opened, made int, stall time.Duration) {
	r := rand.New(rand.NewPCG(seed, 0x31f6))
	first, _ := New(16)
	table, _, _, _ := first.Plan(backends(3), Band{}, nil)
	var log, flight []entry
	var members []*member
	now := time.Duration(0)
	for n := range 5 {
		members = append(members, &member{process: fmt.Sprint("m", n), rate: 1 + waits.Drift*(2*r.Float64()-1),
			agreed: Agreed{Table: table}, calls: NewCalls(table), owes: table.Version})
	}
	owner, began := members[0], time.Duration(0)
	names := func() (out []string) {
		for _, m := range members {
			out = append(out, m.process)
		}
		return out
	}
	host := &sends{&flight}
	mover := NewMover(0, host, waits, names(), nil, nil)
	clock := func(m *member) time.Duration { return time.Duration(float64(now) * m.rate) }
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
			if m.paused {
				continue
			}
			m.out = deleteOver(m.out, now)
			for !m.deaf && m.at < len(log) && r.IntN(5) > 0 {
				e := log[m.at]
				m.at++
				switch e.what {
				case "freeze":
					if m.agreed.Freeze(e.table, e.slots) {
						m.calls.Frozen(e.slots)
						m.owes = e.table.Version
						if m == owner {
							mover.Frozen(e.table.Version)
							began = now
						}
					}
				case "open":
					if m.agreed.Open(e.version) {
						m.calls.Opened(m.agreed.Table)
						if m == owner {
							mover.Opened(e.version)
							opened++
							stall = max(stall, now-began)
						}
					}
				case "ack":
					if !m.agreed.Confirms(e.version) {
						continue
					}
					if m == owner {
						mover.Acknowledged(clock(m), e.process, e.version)
					}
					if e.process == m.process {
						m.calls.Confirmed(e.sent, holds)
					}
				}
			}
			if clock(m) >= m.nextAck && !m.mute && !forbidden(m) {
				flight = append(flight, entry{what: "ack", process: m.process, version: m.owes, sent: clock(m)})
				m.nextAck = clock(m) + waits.Length/5
			}
			slot := r.IntN(16)
			if b, until, v := m.calls.May(clock(m), slot, false); v == Go {
				made++
				wish := clock(m) + time.Duration(r.IntN(200))*time.Millisecond // given up at until at the latest, then it lingers
				end := time.Duration(float64(min(wish, until))/m.rate) + holds.Linger
				m.out = append(m.out, call{slot, b.Name, end})
			}
		}
		if !owner.paused && !owner.deaf {
			if !mover.Busy() && owner.agreed.Moving == nil && r.IntN(40) == 0 {
				next, moves, _, _ := owner.agreed.Table.Plan(backends(6)[r.IntN(3):3+r.IntN(4)], Band{}, nil)
				mover.Start(clock(owner), next, moves)
			}
			mover.Tick(clock(owner))
		}
		at := map[int]string{}
		for _, m := range members {
			for _, c := range m.out {
				if c.end <= now {
					continue
				}
				if to, ok := at[c.slot]; ok && to != c.to {
					two++
				}
				at[c.slot] = c.to
			}
		}
		switch m := members[r.IntN(len(members))]; r.IntN(300) {
		case 0:
			m.deaf = !m.deaf
		case 1:
			m.mute = !m.mute
		case 2:
			m.paused = !m.paused
		case 3: // the duty passes on, maybe in mid-move; the new owner has applied all that the log held
			if !m.paused && !m.deaf && m != owner && m.at == len(log) {
				owner, began = m, now
				mover = NewMover(clock(m), host, waits, names(), m.agreed.Moving, m.agreed.Slots)
			}
		}
	}
	return two, opened, made, stall
}

type sends struct{ flight *[]entry }

func (s *sends) Freeze(next *Table, slots []int) {
	*s.flight = append(*s.flight, entry{what: "freeze", table: next, slots: slots})
}

func (s *sends) Open(next *Table) {
	*s.flight = append(*s.flight, entry{what: "open", version: next.Version})
}

func deleteOver(out []call, now time.Duration) (kept []call) {
	for _, c := range out {
		if c.end > now {
			kept = append(kept, c)
		}
	}
	return kept
}

// forbidden: a call is out on a slot that moves, so the freeze can't be acknowledged yet.
func forbidden(m *member) bool {
	for _, c := range m.out {
		if m.calls.frozen[c.slot] {
			return true
		}
	}
	return false
}

var terms = Terms{Length: time.Second, Drift: 0.02, Linger: 100 * time.Millisecond}

func TestNoKeyIsCalledAtTwoBackendsAtOnce(t *testing.T) {
	moves, calls, stall := 0, 0, time.Duration(0)
	for seed := range uint64(30) {
		two, opened, made, longest := play(seed, terms, terms)
		if two > 0 {
			t.Errorf("seed %d: %d times at two backends", seed, two)
		}
		moves, calls, stall = moves+opened, calls+made, max(stall, longest)
	}
	t.Logf("%d moves opened, %d calls, longest freeze %v", moves, calls, stall)
	if moves < 100 || calls < 10000 {
		t.Errorf("only %d moves opened, %d calls", moves, calls)
	}
}

// The mutations that the check must notice: an owner that doesn't wait for leases, members that hold too long.
func TestWithoutTheWaitKeysAreCalledAtTwoBackends(t *testing.T) {
	hasty, greedy := terms, terms
	hasty.Length, greedy.Length = 50*time.Millisecond, 3*time.Second
	for name, m := range map[string][2]Terms{"hasty owner": {hasty, terms}, "greedy members": {terms, greedy}} {
		two := 0
		for seed := range uint64(30) {
			n, _, _, _ := play(seed, m[0], m[1])
			two += n
		}
		if two == 0 {
			t.Errorf("%s: never at two backends, so the check sees nothing", name)
		}
	}
}

func TestWhatMayRunTwiceGoesOnWithoutALease(t *testing.T) {
	empty, _ := New(4)
	if _, _, v := NewCalls(empty).May(0, 0, true); v != Vacant {
		t.Errorf("verdict %d on a slot that nobody holds", v)
	}
	table, _, _ := planned(t, empty, backends(2), Band{})
	c := NewCalls(table)
	if _, _, v := c.May(0, 0, false); v != Expired {
		t.Errorf("verdict %d before any lease", v)
	}
	if b, _, v := c.May(0, 0, true); v != Stale || b == nil {
		t.Errorf("verdict %d for what may run twice", v)
	}
	c.Confirmed(time.Second, terms)
	if _, until, v := c.May(time.Second, 0, false); v != Go || until != time.Second+882*time.Millisecond {
		t.Errorf("verdict %d until %v", v, until)
	}
	c.Frozen([]int{0})
	if _, _, v := c.May(time.Second, 0, true); v != Moving {
		t.Errorf("verdict %d on a slot on the move", v)
	}
}

func TestASnapshotHoldsWhatIsAgreed(t *testing.T) {
	empty, _ := New(16)
	table, _, _ := planned(t, empty, backends(3), Band{})
	next, moves, _ := planned(t, table, backends(4), Band{})
	a := Agreed{Table: table}
	a.Freeze(next, []int{moves[0].Slot})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back Agreed
	if err := back.Decode(b); err != nil || back.Table.Digest() != table.Digest() || back.Moving.Digest() != next.Digest() ||
		back.Moving.Version != next.Version || len(back.Slots) != 1 {
		t.Errorf("%v: %+v", err, back)
	}
	if table.Digest() == next.Digest() {
		t.Error("two tables with one digest")
	}
	for _, bad := range []string{"", "{}", `{"Table":{"Slots":"AAAA"}}`, `{"Table":{"Backends":[{"Name":"a","Weight":1}],"Slots":"BQAFAA=="}}`} {
		if err := back.Decode([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
