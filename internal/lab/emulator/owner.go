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

// LeaseSim is a fleet of members over one log. Its methods are what can happen to it; after each Check holds or not.
type LeaseSim struct {
	Config  lease.Config
	Members []*LeaseMember
	Figures LeaseFigures

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

// LeaseFigures are what a run counts.
type LeaseFigures struct {
	ConcurrentHolders int // times that two members held one duty at one moment
	StaleProposed     int // commands issued by one that was no longer the holder
	StaleAccepted     int // of these, taken by a member's table
	StaleAdmitted     int // of these, acted on
	Decisions         int // accepted
	DivergedTables    int // members whose table differed at the same index
	TakeoverP99       time.Duration
}

// LeaseMember is one process.
type LeaseMember struct {
	Name    string
	place   int
	Elector *lease.Elector
	table   *lease.Table
	guard   lease.Fence
	sim     *LeaseSim
	rate    float64       // of its clock
	start   time.Duration // true time of its start
	life    uint64
	at      int               // entries applied
	goal    int               // entries that were there when it started
	tokens  map[string]uint64 // the last it held, for what it does without looking

	Paused, InboundCut, OutboundCut bool // does nothing; hears no entry; its proposals are lost
}

// NewLeaseSim is a fleet of size members, all with an empty log; their clocks run at rates within the lease's drift.
func NewLeaseSim(size int, terms lease.Config, r *rand.Rand, duties ...string) (*LeaseSim, error) {
	truth, err := lease.NewTable(duties...)
	if err != nil {
		return nil, err
	}
	s := &LeaseSim{Config: terms, size: size, duties: truth.Duties(), truth: truth, vacant: map[string]time.Duration{}}
	for _, d := range s.duties {
		s.vacant[d] = 0
	}
	for n := range size {
		m := &LeaseMember{Name: fmt.Sprintf("m%d", n), place: n, sim: s, rate: 1 + terms.MaxDrift*(2*r.Float64()-1)}
		s.Members = append(s.Members, m)
		s.Restart(m)
	}
	return s, nil
}

// Restart ends a member's process and starts it cold: no table, a new life.
func (s *LeaseSim) Restart(m *LeaseMember) {
	if m.Elector != nil {
		for _, d := range s.duties {
			if _, held := m.Elector.Token(m.clock(), d); held {
				m.LeaseLost(d)
			}
		}
	}
	s.lives++
	m.table, _ = lease.NewTable(s.duties...)
	m.guard, m.tokens = lease.Fence{}, map[string]uint64{}
	m.start, m.life, m.at, m.goal = s.now, s.lives, 0, len(s.log)
	m.Paused, m.InboundCut, m.OutboundCut = false, false, false
	m.Elector = lease.NewElector(m, m.table, s.Config, m.Name, m.life)
	for n, d := range s.duties { // ranks as the fleet's: each duty's turns begin elsewhere
		m.Elector.SetClaimPosition(d, (m.place+n*max(s.size/len(s.duties), 1))%s.size)
	}
	m.catchUp()
}

func (m *LeaseMember) clock() time.Duration {
	return time.Duration(float64(m.sim.now-m.start) * m.rate)
}

// Propose, Holds and Lost make a member the lease.Host of its process.
func (m *LeaseMember) Propose(c lease.Command) {
	if !m.OutboundCut && len(m.sim.flight) < mostFlight {
		m.sim.flight = append(m.sim.flight, c)
	}
}

// LeaseAcquired notes the takeover.
func (m *LeaseMember) LeaseAcquired(duty string, token uint64) {
	m.tokens[duty] = token
	if since, ok := m.sim.vacant[duty]; ok {
		m.sim.took = append(m.sim.took, m.sim.now-since)
		delete(m.sim.vacant, duty)
	}
}

// LeaseLost notes from when nobody holds it.
func (m *LeaseMember) LeaseLost(duty string) { m.sim.vacant[duty] = m.sim.now }

// Advance moves true time on and ticks all that are not paused.
func (s *LeaseSim) Advance(by time.Duration) {
	s.now += by
	for _, m := range s.Members {
		if !m.Paused {
			m.Elector.Tick(m.clock())
		}
	}
}

// Entries are the log so far, in order.
func (s *LeaseSim) Entries() []lease.Command { return s.log }

// Now is the true time since the start.
func (s *LeaseSim) Now() time.Duration { return s.now }

// InFlight is how many proposals are on their way.
func (s *LeaseSim) InFlight() int { return len(s.flight) }

// Drop loses the n-th proposal in flight.
func (s *LeaseSim) Drop(n int) { s.flight = slices.Delete(s.flight, n, n+1) }

// Commit puts the n-th proposal in flight into the log.
func (s *LeaseSim) Commit(n int) {
	c := s.flight[n]
	s.Drop(n)
	s.log = append(s.log, c)
	if c.Kind != lease.Decide { // whom the log made the holder: judged by claims, renewals and releases alone
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

// Deliver applies up to n entries at a member.
func (s *LeaseSim) Deliver(m *LeaseMember, n int) {
	for ; n > 0 && m.at < len(s.log) && !m.Paused && !m.InboundCut; n-- {
		c, index := s.log[m.at], uint64(m.at+1)
		m.at++
		o := m.Elector.Apply(m.clock(), index, c)
		m.catchUp()
		if c.Kind != lease.Decide || !o.Accepted {
			continue
		}
		stale := c.Token < s.top[index-1][c.Duty]
		if stale {
			s.Figures.StaleAccepted++
		}
		if m.guard.Admit(c.Duty, c.Token, index) && stale {
			s.Figures.StaleAdmitted++
		}
		if m == s.Members[0] {
			s.Figures.Decisions++
		}
	}
}

func (m *LeaseMember) catchUp() {
	if m.at >= m.goal {
		m.Elector.SetCaughtUp(m.clock())
	}
}

// Decide lets a member issue a decision of each duty it holds.
func (s *LeaseSim) Decide(m *LeaseMember) {
	for _, d := range s.duties {
		if !m.Paused {
			m.Elector.Decide(m.clock(), d, "plan")
		}
	}
}

// ProposeStale is a member that checked, stood still, and goes on without looking: it issues a decision under the last token
// that it held, whatever came since.
func (s *LeaseSim) ProposeStale(m *LeaseMember) {
	for d, token := range m.tokens {
		if at, _ := s.truth.At(d); at.Token > token {
			s.Figures.StaleProposed++
			m.Propose(lease.Command{Kind: lease.Decide, Duty: d, Member: m.Name, Incarnation: m.life, Token: token, Body: "late"})
		}
	}
}

// Check counts what must never be: two holders at one moment. It returns the first fault that it finds now.
func (s *LeaseSim) Check() error {
	for _, d := range s.duties {
		first := ""
		for _, m := range s.Members {
			if _, held := m.Elector.Token(m.clock(), d); !held {
				continue
			}
			if first != "" {
				s.Figures.ConcurrentHolders++
				return fmt.Errorf("%s: held by %s and %s at %v", d, first, m.Name, s.now)
			}
			first = m.Name
		}
	}
	if s.Figures.StaleAccepted > 0 || s.Figures.StaleAdmitted > 0 {
		return fmt.Errorf("%d stale commands accepted, %d acted on", s.Figures.StaleAccepted, s.Figures.StaleAdmitted)
	}
	return nil
}

// HolderOf is the member that holds a duty now, nil for none.
func (s *LeaseSim) HolderOf(duty string) *LeaseMember {
	for _, m := range s.Members {
		if _, held := m.Elector.Token(m.clock(), duty); held {
			return m
		}
	}
	return nil
}

// RunLeases plays leases' time of a fleet of size: each few leases a holder is paused and woken late, killed, made deaf or
// mute, and all heal again; a twentieth of the proposals is lost. It ends with all members at the log's end.
func RunLeases(size, leases int, seed uint64) (LeaseFigures, error) {
	r := rand.New(rand.NewPCG(seed, 0x07e4))
	terms := lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 10 * time.Millisecond}
	s, err := NewLeaseSim(size, terms, r, "budget", "ring", "roll")
	if err != nil {
		return LeaseFigures{}, err
	}
	const step = 25 * time.Millisecond
	perLease := int(terms.Duration / step)
	for n := range leases * perLease {
		s.Advance(step)
		for s.InFlight() > 0 && r.IntN(4) > 0 { // what is not committed now comes later, in another order
			if k := r.IntN(s.InFlight()); r.IntN(20) == 0 {
				s.Drop(k)
			} else {
				s.Commit(k)
			}
		}
		for _, m := range s.Members {
			s.Deliver(m, r.IntN(6))
		}
		if n%8 == 0 {
			if m := s.HolderOf(s.duties[r.IntN(len(s.duties))]); m != nil {
				s.Decide(m)
			}
		}
		if n%(4*perLease) == 2*perLease {
			if m := s.HolderOf(s.duties[r.IntN(len(s.duties))]); m != nil {
				switch r.IntN(4) {
				case 0:
					s.Restart(m)
				case 1:
					m.InboundCut = true
				case 2:
					m.OutboundCut = true
				default:
					m.Paused = true
				}
			}
		}
		if n%(4*perLease) == 4*perLease-1 {
			for _, m := range s.Members {
				woken := m.Paused
				m.Paused, m.InboundCut, m.OutboundCut = false, false, false
				if woken {
					s.ProposeStale(m)
				}
			}
		}
		_ = s.Check()
	}
	s.settle()
	return s.Figures, nil
}

// settle lets all hear all, and counts tables that differ.
func (s *LeaseSim) settle() {
	for s.InFlight() > 0 {
		s.Commit(0)
	}
	for _, m := range s.Members {
		m.Paused, m.InboundCut = false, false
		s.Deliver(m, len(s.log))
		for _, d := range s.duties {
			a, _ := m.table.At(d)
			if b, _ := s.Members[0].table.At(d); a != b {
				s.Figures.DivergedTables++
			}
		}
	}
	slices.Sort(s.took)
	if n := len(s.took); n > 0 {
		s.Figures.TakeoverP99 = s.took[(n*99-1)/100]
	}
}

// Drain gives a member the notice.
func (s *LeaseSim) Drain(m *LeaseMember) {
	if !m.Paused {
		m.Elector.Drain(m.clock())
	}
}

// Resign lets a member give one duty to another.
func (s *LeaseSim) Resign(m *LeaseMember, duty string) { m.Elector.Resign(m.clock(), duty) }

// RestartAll starts all members anew under another lease, their clocks as they are.
func (s *LeaseSim) RestartAll(l lease.Config) {
	s.Config = l
	for _, m := range s.Members {
		s.Restart(m)
	}
}
