// This file owns the agreed log among the control machines as the emulator has it: a leader that some voters reach,
// entries agreed after a quorum's round trip, members that hear them late. It stands in for raft and decides no duty.

package emulator

import (
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/lease"
)

const (
	configurationDuty    = "configuration"
	configurationLogStep = 100 * time.Millisecond
	electAfter           = time.Second     // without a leader that a quorum reaches
	trailing             = time.Second / 2 // by which a machine's copy may be confirmed late
)

var configurationLease = lease.Config{Duration: 2 * time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}

type configurationEntry struct {
	lease.Command
	change *configuration.Command // nil: none
	made   bool                   // the judge's word
	stale  bool                   // issued under a token older than the last that was granted
}

type configurationLog struct {
	entries []configurationEntry
	leader  int
	without time.Duration // since when no quorum reaches the leader; 0: one does
}

// configurationControl is a control machine: its copy of the log, its part in the duty, its store and what it serves.
type configurationControl struct {
	*configuration.ControlNode
	p       *configurationProcess
	store   *configuration.Store
	table   *lease.Table
	elector *lease.Elector
	at      int // entries applied
	token   uint64
	started time.Duration
	minor   time.Duration // since when it is cut from the leader's quorum; 0: it isn't
}

func newConfigurationControl(p *configurationProcess) *configurationControl {
	c := &configurationControl{p: p, store: configuration.NewStore(p.s.first, 0)}
	c.table, _ = lease.NewTable(configurationDuty)
	c.begin()
	return c
}

// begin starts the process on what its disk has: the log's copy, the table and the store.
func (c *configurationControl) begin() {
	s, p := c.p.s, c.p
	p.life++
	p.up, p.paused = true, false
	p.last, c.started, c.token = c.store.State().Version(), s.now, 0
	c.ControlNode = configuration.NewControlNode(s.now, p, c.store)
	c.elector = lease.NewElector(c, c.table, configurationLease, p.name, uint64(p.life))
	c.elector.SetClaimPosition(configurationDuty, p.n)
	c.elector.SetCaughtUp(0)
	p.bytes.begin(s.now)
	p.bytes.started(s.now)
}

func (c *configurationControl) clock() time.Duration { return c.p.s.now - c.started }

// Propose, Holds and Lost make it the lease.Host of its process.
func (c *configurationControl) Propose(command lease.Command) { c.p.s.propose(c.p, command) }

// LeaseAcquired keeps the token, for what it does without looking.
func (c *configurationControl) LeaseAcquired(_ string, token uint64) { c.token = token }

// LeaseLost changes nothing: the token is kept.
func (c *configurationControl) LeaseLost(string) {}

// leads tells whether a quorum of the voters reaches a machine.
func (s *configurationSim) leads(n int) bool {
	reached := 0
	for _, p := range s.all[:s.day.voters] {
		if p.up && !p.paused && s.net.reach(s.all[n], p) {
			reached++
		}
	}
	return s.all[n].up && !s.all[n].paused && reached > s.day.voters/2
}

// propose sends a command to the leader; where a quorum agrees it becomes an entry.
func (s *configurationSim) propose(p *configurationProcess, c lease.Command) {
	leader := s.all[s.log.leader]
	there := s.net.delay[p.region][leader.region] + s.jitter(20*time.Millisecond)
	s.after(there, func() {
		if !s.net.reach(p, leader) || !s.leads(leader.n) || s.r.IntN(100) == 0 {
			s.judge.figures.LostProposals++
			return
		}
		s.after(s.quorumTrip(leader), func() {
			if s.log.leader == leader.n && s.leads(leader.n) {
				s.agree(c)
			} else {
				s.judge.figures.LostProposals++
			}
		})
	})
}

// quorumTrip is how long the leader's round to the nearest quorum takes.
func (s *configurationSim) quorumTrip(leader *configurationProcess) time.Duration {
	var trips []time.Duration
	for _, p := range s.all[:s.day.voters] {
		if p != leader && p.up && !p.paused && s.net.reach(leader, p) {
			trips = append(trips, 2*s.net.delay[leader.region][p.region])
		}
	}
	slices.Sort(trips)
	return trips[min(s.day.voters/2-1, len(trips)-1)]
}

// agree puts a command into the log; now and then it comes a second time.
func (s *configurationSim) agree(c lease.Command) {
	e := configurationEntry{Command: c}
	if c.Kind == lease.Decide {
		if command, err := configuration.DecodeCommand([]byte(c.Body)); err == nil {
			e.change = &command
		} else {
			return
		}
	}
	before, _ := s.judge.table.At(configurationDuty)
	e.stale = c.Kind == lease.Decide && c.Token < before.Token
	s.log.entries = append(s.log.entries, e)
	index := len(s.log.entries)
	var asked time.Duration
	if len(s.waiting) > 0 {
		asked = s.waiting[0].at
	}
	made := s.judge.commit(uint64(index), c, e.change, asked)
	s.log.entries[index-1].made = made
	if made && len(s.waiting) > 0 {
		s.waiting = s.waiting[1:]
	}
	for _, p := range s.all[:s.day.controls] {
		delay := s.net.delay[s.all[s.log.leader].region][p.region]
		s.after(delay+s.jitter(delay/4), func() { s.hear(p, index) })
	}
	if made && s.r.IntN(50) == 0 {
		s.after(s.jitter(3*time.Second), func() { s.agree(c) })
	}
}

// hear applies the log's entries up to one, where the leader reaches the machine.
func (s *configurationSim) hear(p *configurationProcess, upTo int) {
	c := p.control
	if !p.up || p.paused || !s.net.reach(s.all[s.log.leader], p) {
		return
	}
	for ; c.at < upTo; c.at++ {
		e := s.log.entries[c.at]
		outcome := c.elector.Apply(c.clock(), uint64(c.at+1), e.Command)
		if e.Kind == lease.Acquire && outcome.Accepted {
			c.LeaseGranted(outcome.Token)
		}
		if e.change == nil {
			continue
		}
		if accepted := c.Apply(s.now, *e.change) == nil; accepted && e.stale {
			s.judge.figures.StaleAccepted++
		}
	}
}

// logStep elects a leader where there is none, and lets machines catch up, confirm and tick.
func (s *configurationSim) logStep() {
	l := &s.log
	switch {
	case s.leads(l.leader):
		l.without = 0
	case l.without == 0:
		l.without = s.now
	case s.now-l.without > electAfter:
		if next := slices.IndexFunc(s.all[:s.day.voters], func(p *configurationProcess) bool { return s.leads(p.n) }); next >= 0 {
			l.leader, l.without = next, 0
		}
	}
	whole := s.leads(l.leader)
	for _, p := range s.all[:s.day.controls] {
		if !p.up || p.paused {
			continue
		}
		if whole && s.net.reach(s.all[l.leader], p) {
			p.control.minor = 0
			entries, life := len(l.entries), p.life
			s.after(s.net.delay[s.all[l.leader].region][p.region], func() {
				s.hear(p, entries)
				if p.life == life && p.up && !p.paused && p.control.at >= entries {
					p.control.LogConfirmed(s.now)
				}
			})
		} else if p.control.minor == 0 {
			p.control.minor = s.now
		}
		p.control.elector.Tick(p.control.clock())
	}
}
