// This file owns the emulated fleet on which owners are tried: an agreed log, members that apply it late, clocks that
// drift, proposals that are lost or come late, pauses, cuts and cold restarts. It decides nothing: internal/decide/lease
// does, by the same methods as on sockets. It must never look at real time, nor draw chance but from its seed.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/lease"
)

const mostFlight = 1 << 14 // proposals in flight; past them one is lost

// OwnerSim is a fleet of members over one log. Its methods are what can happen to it; after each Check holds or not.
type OwnerSim struct {
	Lease   lease.Lease
	Members []*OwnerMember
	Figures OwnerFigures

	now    time.Duration // true time
	log    []lease.Command
	flight []lease.Command
	duties []string
	truth  *lease.Table             // the log applied at once; for claims alone
	top    []map[string]uint64      // by index: the token granted last, a duty
	vacant map[string]time.Duration // since when nobody holds a duty
	took   []time.Duration          // takeovers
	lives  uint64
	size   int
}

// OwnerFigures are what a run counts.
type OwnerFigures struct {
	OwnersAtOnce  int // times that two members held one duty at one moment
	StaleTried    int // commands issued by one that was no longer the holder
	StaleAccepted int // of these, taken by a member's table
	StaleActed    int // of these, acted on
	Decisions     int // accepted
	Diverged      int // members whose table differed at the same index
	TakeoverP99   time.Duration
}

// OwnerMember is one process.
type OwnerMember struct {
	Name   string
	place  int
	Holder *lease.Holder
	table  *lease.Table
	guard  lease.Guard
	sim    *OwnerSim
	rate   float64       // of its clock
	start  time.Duration // true time of its start
	life   uint64
	at     int               // entries applied
	goal   int               // entries that were there when it started
	tokens map[string]uint64 // the last it held, for what it does without looking

	Paused, Deaf, Mute bool // does nothing; hears no entry; its proposals are lost
}

// NewOwnerSim is a fleet of size members, all with an empty log; their clocks run at rates within the lease's drift.
func NewOwnerSim(size int, terms lease.Lease, r *rand.Rand, duties ...string) (*OwnerSim, error) {
	truth, err := lease.NewTable(duties...)
	if err != nil {
		return nil, err
	}
	s := &OwnerSim{Lease: terms, size: size, duties: truth.Duties(), truth: truth, vacant: map[string]time.Duration{}}
	for _, d := range s.duties {
		s.vacant[d] = 0
	}
	for n := range size {
		m := &OwnerMember{Name: fmt.Sprintf("m%d", n), place: n, sim: s, rate: 1 + terms.Drift*(2*r.Float64()-1)}
		s.Members = append(s.Members, m)
		s.Restart(m)
	}
	return s, nil
}

// Restart ends a member's process and starts it cold: no table, a new life.
func (s *OwnerSim) Restart(m *OwnerMember) {
	if m.Holder != nil {
		for _, d := range s.duties {
			if _, held := m.Holder.May(m.clock(), d); held {
				m.Lost(d)
			}
		}
	}
	s.lives++
	m.table, _ = lease.NewTable(s.duties...)
	m.guard, m.tokens = lease.Guard{}, map[string]uint64{}
	m.start, m.life, m.at, m.goal = s.now, s.lives, 0, len(s.log)
	m.Paused, m.Deaf, m.Mute = false, false, false
	m.Holder = lease.NewHolder(m, m.table, s.Lease, m.Name, m.life)
	for n, d := range s.duties { // ranks as the fleet's: each duty's turns begin elsewhere
		m.Holder.Placed(d, (m.place+n*max(s.size/len(s.duties), 1))%s.size)
	}
	m.catchUp()
}

func (m *OwnerMember) clock() time.Duration {
	return time.Duration(float64(m.sim.now-m.start) * m.rate)
}

// Propose, Holds and Lost make a member the lease.Host of its process.
func (m *OwnerMember) Propose(c lease.Command) {
	if !m.Mute && len(m.sim.flight) < mostFlight {
		m.sim.flight = append(m.sim.flight, c)
	}
}

// Holds notes the takeover.
func (m *OwnerMember) Holds(duty string, token uint64) {
	m.tokens[duty] = token
	if since, ok := m.sim.vacant[duty]; ok {
		m.sim.took = append(m.sim.took, m.sim.now-since)
		delete(m.sim.vacant, duty)
	}
}

// Lost notes from when nobody holds it.
func (m *OwnerMember) Lost(duty string) { m.sim.vacant[duty] = m.sim.now }

// Advance moves true time on and ticks all that are not paused.
func (s *OwnerSim) Advance(by time.Duration) {
	s.now += by
	for _, m := range s.Members {
		if !m.Paused {
			m.Holder.Tick(m.clock())
		}
	}
}

// Entries are the log so far, in order.
func (s *OwnerSim) Entries() []lease.Command { return s.log }

// Now is the true time since the start.
func (s *OwnerSim) Now() time.Duration { return s.now }

// Flight is how many proposals are on their way.
func (s *OwnerSim) Flight() int { return len(s.flight) }

// Drop loses the n-th proposal in flight.
func (s *OwnerSim) Drop(n int) { s.flight = slices.Delete(s.flight, n, n+1) }

// Commit puts the n-th proposal in flight into the log.
func (s *OwnerSim) Commit(n int) {
	c := s.flight[n]
	s.Drop(n)
	s.log = append(s.log, c)
	if c.Kind != lease.Do { // whom the log made the holder: judged by claims, renewals and releases alone
		s.truth.Apply(uint64(len(s.log)), c)
	}
	top := map[string]uint64{}
	for _, d := range s.duties {
		at, _ := s.truth.At(d)
		top[d] = at.Token
		if at.Holder == "" {
			top[d]++ // nobody's: the last token is stale too
		}
	}
	s.top = append(s.top, top)
}

// Hear applies up to n entries at a member.
func (s *OwnerSim) Hear(m *OwnerMember, n int) {
	for ; n > 0 && m.at < len(s.log) && !m.Paused && !m.Deaf; n-- {
		c, index := s.log[m.at], uint64(m.at+1)
		m.at++
		o := m.Holder.Applied(m.clock(), index, c)
		m.catchUp()
		if c.Kind != lease.Do || !o.Accepted {
			continue
		}
		stale := c.Token < s.top[index-1][c.Duty]
		if stale {
			s.Figures.StaleAccepted++
		}
		if m.guard.Admit(c.Duty, c.Token, index) && stale {
			s.Figures.StaleActed++
		}
		if m == s.Members[0] {
			s.Figures.Decisions++
		}
	}
}

func (m *OwnerMember) catchUp() {
	if m.at >= m.goal {
		m.Holder.CaughtUp(m.clock())
	}
}

// Decide lets a member issue a decision of each duty it holds.
func (s *OwnerSim) Decide(m *OwnerMember) {
	for _, d := range s.duties {
		if !m.Paused {
			m.Holder.Decide(m.clock(), d, "plan")
		}
	}
}

// Blurt is a member that checked, stood still, and goes on without looking: it issues a decision under the last token
// that it held, whatever came since.
func (s *OwnerSim) Blurt(m *OwnerMember) {
	for d, token := range m.tokens {
		if at, _ := s.truth.At(d); at.Token > token {
			s.Figures.StaleTried++
			m.Propose(lease.Command{Kind: lease.Do, Duty: d, Member: m.Name, Life: m.life, Token: token, Body: "late"})
		}
	}
}

// Check counts what must never be: two holders at one moment. It returns the first fault that it finds now.
func (s *OwnerSim) Check() error {
	for _, d := range s.duties {
		first := ""
		for _, m := range s.Members {
			if _, held := m.Holder.May(m.clock(), d); !held {
				continue
			}
			if first != "" {
				s.Figures.OwnersAtOnce++
				return fmt.Errorf("%s: held by %s and %s at %v", d, first, m.Name, s.now)
			}
			first = m.Name
		}
	}
	if s.Figures.StaleAccepted > 0 || s.Figures.StaleActed > 0 {
		return fmt.Errorf("%d stale commands accepted, %d acted on", s.Figures.StaleAccepted, s.Figures.StaleActed)
	}
	return nil
}

// Holding is the member that holds a duty now, nil for none.
func (s *OwnerSim) Holding(duty string) *OwnerMember {
	for _, m := range s.Members {
		if _, held := m.Holder.May(m.clock(), duty); held {
			return m
		}
	}
	return nil
}

// Owner plays leases' time of a fleet of size: each few leases a holder is paused and woken late, killed, made deaf or
// mute, and all heal again; a twentieth of the proposals is lost. It ends with all members at the log's end.
func Owner(size, leases int, seed uint64) (OwnerFigures, error) {
	r := rand.New(rand.NewPCG(seed, 0x07e4))
	terms := lease.Lease{Length: time.Second, Drift: 0.01, Margin: 10 * time.Millisecond}
	s, err := NewOwnerSim(size, terms, r, "budget", "ring", "roll")
	if err != nil {
		return OwnerFigures{}, err
	}
	const step = 25 * time.Millisecond
	perLease := int(terms.Length / step)
	for n := range leases * perLease {
		s.Advance(step)
		for s.Flight() > 0 && r.IntN(4) > 0 { // what is not committed now comes later, in another order
			if k := r.IntN(s.Flight()); r.IntN(20) == 0 {
				s.Drop(k)
			} else {
				s.Commit(k)
			}
		}
		for _, m := range s.Members {
			s.Hear(m, r.IntN(6))
		}
		if n%8 == 0 {
			if m := s.Holding(s.duties[r.IntN(len(s.duties))]); m != nil {
				s.Decide(m)
			}
		}
		if n%(4*perLease) == 2*perLease {
			if m := s.Holding(s.duties[r.IntN(len(s.duties))]); m != nil {
				switch r.IntN(4) {
				case 0:
					s.Restart(m)
				case 1:
					m.Deaf = true
				case 2:
					m.Mute = true
				default:
					m.Paused = true
				}
			}
		}
		if n%(4*perLease) == 4*perLease-1 {
			for _, m := range s.Members {
				woken := m.Paused
				m.Paused, m.Deaf, m.Mute = false, false, false
				if woken {
					s.Blurt(m)
				}
			}
		}
		_ = s.Check()
	}
	s.settle()
	return s.Figures, nil
}

// settle lets all hear all, and counts tables that differ.
func (s *OwnerSim) settle() {
	for s.Flight() > 0 {
		s.Commit(0)
	}
	for _, m := range s.Members {
		m.Paused, m.Deaf = false, false
		s.Hear(m, len(s.log))
		for _, d := range s.duties {
			a, _ := m.table.At(d)
			if b, _ := s.Members[0].table.At(d); a != b {
				s.Figures.Diverged++
			}
		}
	}
	slices.Sort(s.took)
	if n := len(s.took); n > 0 {
		s.Figures.TakeoverP99 = s.took[(n*99-1)/100]
	}
}

// Leave gives a member the notice.
func (s *OwnerSim) Leave(m *OwnerMember) {
	if !m.Paused {
		m.Holder.Leave(m.clock())
	}
}

// GiveUp lets a member give one duty to another.
func (s *OwnerSim) GiveUp(m *OwnerMember, duty string) { m.Holder.GiveUp(m.clock(), duty) }

// Restrict starts all members anew under another lease, their clocks as they are.
func (s *OwnerSim) Restrict(l lease.Lease) {
	s.Lease = l
	for _, m := range s.Members {
		s.Restart(m)
	}
}
