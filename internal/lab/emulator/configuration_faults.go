// This file owns the emulated failures: what ends, is cut off, stands still or lies, and how it comes back.

package emulator

import (
	"fmt"
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/lease"
)

const (
	detects = 6 * time.Second // until a silent member has left its zone's view
)

// late is a control machine that checked, stood still, and goes on without looking.
func (s *configurationSim) late(c *configurationControl) {
	if c.token == 0 {
		return
	}
	in := c.State().Version()
	v := configuration.Version{Token: c.token, Counter: in.Counter + 1}
	r, err := configuration.NewResource(configuration.Tenant, "tenant-00000", "late", v)
	if err != nil {
		return
	}
	command := configuration.Command{Base: in, Version: v, Changes: []configuration.Change{{Resource: r}}}
	c.Propose(lease.Command{Kind: lease.Decide, Duty: configurationDuty, Member: c.p.name, Incarnation: uint64(c.p.life), Token: c.token,
		Body: string(command.Encode())})
}

// kill ends a process now; what is to come back does so after down.
func (s *configurationSim) kill(p *configurationProcess, back func()) {
	if !p.up {
		return
	}
	p.up = false
	if p.member != nil {
		p.fresh = s.now - p.member.Age(s.now)
		life := p.life
		s.after(detects+s.jitter(2*time.Second), func() {
			if !p.up && p.life == life {
				s.leave(p)
			}
		})
	}
	back()
}

func (s *configurationSim) restartLater(p *configurationProcess) func() {
	return func() {
		s.after(2*time.Second+s.jitter(6*time.Second), func() { s.back(p, p.member.State(), causeKept) })
	}
}

// back starts a member again, in the view of its zone.
func (s *configurationSim) back(p *configurationProcess, state *configuration.State, cause configurationCause) {
	if p.up {
		return
	}
	if z := s.zones[p.zone]; !slices.Contains(z.members, p) {
		p.claim.Since = uint64(s.now)
		z.members = append(z.members, p)
		s.plant(z)
		s.replace(z)
	}
	s.start(p, state, cause)
}

func (s *configurationSim) leave(p *configurationProcess) {
	z := s.zones[p.zone]
	z.members = slices.DeleteFunc(z.members, func(q *configurationProcess) bool { return q == p })
	s.plant(z)
	s.replace(z)
}

// replace tells a zone's members of its new tree, each when it hears.
func (s *configurationSim) replace(z *configurationZone) {
	tree := z.tree
	for _, p := range z.members {
		life := p.life
		s.after(s.jitter(2*time.Second), func() {
			if sources, there := tree[p.name]; there && p.up && p.life == life {
				p.member.SetSources(s.now, sources)
			}
		})
	}
}

// some is a member that is up, at random.
func (s *configurationSim) some() *configurationProcess {
	for {
		if p := s.all[s.day.controls+s.r.IntN(len(s.all)-s.day.controls)]; p.up {
			return p
		}
	}
}

// die ends a member for good; another takes its place, from an image or from nothing.
func (s *configurationSim) die(p *configurationProcess) {
	s.kill(p, func() {
		s.after(30*time.Second, func() {
			q := s.add(fmt.Sprintf("%s-%d", p.name[:11], len(s.all)), p.region, p.zone)
			q.claim.Name, q.claim.Rank = q.name, -1
			if s.r.IntN(2) == 0 {
				s.back(q, configuration.Empty(), causeEmpty)
			} else {
				s.back(q, s.first, causeImage)
			}
		})
	})
}

func (s *configurationSim) rack() {
	z := s.zones[s.r.IntN(len(s.zones))]
	for _, p := range slices.Clone(z.members[:min(s.day.inARack, len(z.members))]) {
		s.kill(p, func() { s.after(time.Minute, func() { s.back(p, p.member.State(), causeKept) }) })
	}
}

func (s *configurationSim) loseZone() {
	for _, p := range slices.Clone(s.zones[s.r.IntN(len(s.zones))].members) {
		s.kill(p, func() {
			s.after(s.day.zoneOff+s.jitter(5*time.Second), func() { s.back(p, p.member.State(), causeKept) })
		})
	}
}

func (s *configurationSim) restartHalf() {
	for n, p := range slices.Clone(s.all[s.day.controls:]) {
		if n%2 == 0 && p.up {
			s.kill(p, s.restartLater(p))
		}
	}
}

func (s *configurationSim) deceive() {
	p := s.some()
	for n := 0; n < 1000 && p.member.Children() < 3; n++ {
		p = s.some()
	}
	p.lies = true
	s.after(2*time.Minute, func() { p.lies = false })
}

func (s *configurationSim) pauseOwner() {
	for _, p := range s.all[:s.day.controls] {
		if _, holds := p.control.elector.Token(p.control.clock(), configurationDuty); !holds || !p.up {
			continue
		}
		p.paused = true
		s.after(8*time.Second, func() {
			p.paused = false
			if p.up {
				s.late(p.control)
			}
		})
		return
	}
}

func (s *configurationSim) restartControl(n int) {
	p := s.all[n]
	if !p.up {
		return
	}
	p.up = false
	s.after(10*time.Second, func() {
		p.control.begin()
		s.tick(p)
	})
}

func (s *configurationSim) cutRegion(n int) {
	from := s.now
	s.net.cutRegion(n, true)
	s.unreachable(func(p *configurationProcess) bool { return p.region == n })
	s.after(s.day.regionCut, func() {
		s.net.cutRegion(n, false)
		s.healed(from, func(p *configurationProcess) bool { return p.region == n })
	})
}

func (s *configurationSim) cutZone() {
	from, n := s.now, s.r.IntN(len(s.zones))
	s.net.zoneCut[n] = true
	s.unreachable(func(p *configurationProcess) bool { return p.zone == n })
	s.after(s.day.zoneCut, func() {
		s.net.zoneCut[n] = false
		s.healed(from, func(p *configurationProcess) bool { return p.zone == n })
	})
}

// cutPair cuts two regions from each other: all can still be reached through the others.
func (s *configurationSim) cutPair() {
	a := s.all[s.log.leader].region
	b := (a + 1 + s.r.IntN(s.day.Regions-1)) % s.day.Regions
	s.net.cut[a][b], s.net.cut[b][a] = true, true
	s.after(s.day.zoneCut, func() { s.net.cut[a][b], s.net.cut[b][a] = false, false })
}

const never = time.Duration(1 << 62)

func (s *configurationSim) unreachable(those func(*configurationProcess) bool) {
	for _, p := range s.all {
		if those(p) {
			p.since, p.done = never, true
		}
	}
}

// healed counts from now; who was cut off the whole time must have said so.
func (s *configurationSim) healed(from time.Duration, those func(*configurationProcess) bool) {
	const slack = 12 * time.Second // of what it heard last, by polls down the tree
	for _, p := range s.all {
		if !those(p) || !p.up {
			continue
		}
		if p.member != nil && p.since == never && p.member.Age(s.now) < s.now-from-slack {
			s.judge.figures.AgeWrong++
		}
		cause := causeHeal
		if p.bytes.starting() {
			cause = p.cause
		}
		s.reachableAgain(p, cause)
	}
}
