// This file owns the day: the first state, what operators ask for, and when what fails. All of it is drawn from the seed.

package emu

import (
	"fmt"
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/owner"
)

const (
	detects        = 6 * time.Second // until a silent member has left its zone's view
	minority       = cfgLeaseLength + 2*time.Second
	cfgLeaseLength = 2 * time.Second
)

// cfgChange is one that operators wait for.
type cfgChange struct {
	at    time.Duration
	edits []configuration.Edit
}

func tenantBody(n int) string {
	return fmt.Sprintf(`{"rate":%d,"burst":%d,"class":"c%d"}`, 10+n%990, 5+n%95, n%8)
}

func routeBody(n int) string {
	return fmt.Sprintf(`{"prefix":"/v1/service-%d","backends":"pool-%d","timeout_ms":%d,"tenant":"tenant-%05d"}`, n%810, n%97, 100+n%900, n)
}

func (s *cfgSim) firstState() *configuration.State {
	var changes []configuration.Change
	v := configuration.Version{Counter: 1}
	add := func(t configuration.Type, name, body string) {
		if r, err := configuration.NewResource(t, name, body, v); err == nil {
			changes = append(changes, configuration.Change{Resource: r})
		}
	}
	for n := range s.day.Tenants {
		add(configuration.Tenant, fmt.Sprintf("tenant-%05d", n), tenantBody(n))
	}
	for n := range s.day.Routes {
		add(configuration.Route, fmt.Sprintf("route-%05d", n), routeBody(n))
	}
	s.tenants = s.day.Tenants
	first, err := configuration.Empty().With(v, changes)
	if err != nil {
		panic(err) // the sizes are this file's own
	}
	return first
}

// change is one tenant or route for the most part; one in twenty touches some dozens, one in two hundred 300.
func (s *cfgSim) change() (edits []configuration.Edit) {
	count := 1
	switch n := s.r.IntN(200); {
	case n == 0:
		count = 300
	case n < 10:
		count = 20 + s.r.IntN(30)
	}
	seen := map[string]bool{}
	for range count {
		n := s.r.IntN(s.day.Tenants)
		e := configuration.Edit{Type: configuration.Tenant, Name: fmt.Sprintf("tenant-%05d", n), Body: tenantBody(s.r.IntN(1 << 20))}
		switch s.r.IntN(10) {
		case 0:
			s.tenants++
			e.Name = fmt.Sprintf("tenant-%05d", s.tenants)
		case 1:
			if s.judge.state.Get(e.Type, e.Name) != nil {
				e.Removed, e.Body = true, ""
			}
		case 2, 3:
			n = s.r.IntN(s.day.Routes)
			e.Type, e.Name, e.Body = configuration.Route, fmt.Sprintf("route-%05d", n), routeBody(s.r.IntN(1<<20))
		}
		if !seen[e.Name] {
			seen[e.Name] = true
			edits = append(edits, e)
		}
	}
	return edits
}

// operate hands the change that waits first to whichever control machine takes it; those of a cut-off region are asked too.
func (s *cfgSim) operate() {
	for _, p := range s.all[:s.day.controls] {
		c := p.control
		if len(s.waiting) == 0 || !p.up || p.paused {
			continue
		}
		token, holds := c.holder.May(c.clock(), cfgDuty)
		command, err := c.Submit(s.now, token, holds, s.waiting[0].edits)
		cutOff := c.minor > 0 && s.now-c.minor > minority
		if err != nil {
			if cutOff {
				s.judge.figures.RefusedMinority++
			}
			if r, ok := err.(*configuration.Refusal); ok && r.Reason == configuration.Missing {
				s.waiting = s.waiting[1:] // taken away by a change before
			}
			continue
		}
		if cutOff {
			s.judge.figures.AcceptedInMinority++
		}
		c.holder.Decide(c.clock(), cfgDuty, string(command.Encode()))
	}
}

// late is a control machine that checked, stood still, and goes on without looking.
func (s *cfgSim) late(c *cfgControl) {
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
	c.Propose(owner.Command{Kind: owner.Do, Duty: cfgDuty, Member: c.p.name, Life: uint64(c.p.life), Token: c.token,
		Body: string(command.Encode())})
}

// kill ends a process now; what is to come back does so after down.
func (s *cfgSim) kill(p *cfgProcess, back func()) {
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

func (s *cfgSim) restartLater(p *cfgProcess) func() {
	return func() {
		s.after(2*time.Second+s.jitter(6*time.Second), func() { s.back(p, p.member.State(), causeKept) })
	}
}

// back starts a member again, in the view of its zone.
func (s *cfgSim) back(p *cfgProcess, state *configuration.State, cause cfgCause) {
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

func (s *cfgSim) leave(p *cfgProcess) {
	z := s.zones[p.zone]
	z.members = slices.DeleteFunc(z.members, func(q *cfgProcess) bool { return q == p })
	s.plant(z)
	s.replace(z)
}

// replace tells a zone's members of its new tree, each when it hears.
func (s *cfgSim) replace(z *cfgZone) {
	tree := z.tree
	for _, p := range z.members {
		life := p.life
		s.after(s.jitter(2*time.Second), func() {
			if sources, there := tree[p.name]; there && p.up && p.life == life {
				p.member.Place(s.now, sources)
			}
		})
	}
}

// some is a member that is up, at random.
func (s *cfgSim) some() *cfgProcess {
	for {
		if p := s.all[s.day.controls+s.r.IntN(len(s.all)-s.day.controls)]; p.up {
			return p
		}
	}
}

// atSome plays do at so many random times of a part of the day.
func (s *cfgSim) atSome(count int, from, to float64, do func()) {
	span := float64(s.day.Span)
	for range count {
		s.after(time.Duration((from+s.r.Float64()*(to-from))*span), do)
	}
}

func (s *cfgSim) part(of float64, do func()) { s.after(time.Duration(of*float64(s.day.Span)), do) }

// script puts the whole day into the events.
func (s *cfgSim) script() {
	d := s.day
	s.atSome(d.Changes, 0, 1, func() { s.waiting = append(s.waiting, cfgChange{s.now, s.change()}) })
	s.atSome(d.Restarts, 0, 1, func() { p := s.some(); s.kill(p, s.restartLater(p)) })
	s.atSome(d.Deaths, 0, 0.9, func() { s.die(s.some()) })
	s.atSome(d.Members/2, 0.4, 0.9, func() { // the release: from an image as old as the day
		p := s.some()
		s.kill(p, func() { s.after(3*time.Second, func() { s.back(p, s.first, causeImage) }) })
	})
	s.atSome(20, 0, 0.95, func() { s.killNext++ })
	s.atSome(4, 0, 0.9, func() { s.deceive() })
	for _, of := range []float64{0.12, 0.5, 0.66, 0.86} {
		s.part(of, func() { s.pauseOwner() })
	}
	s.part(0.10, func() { s.rack() })
	s.part(0.18, func() { s.cutZone() })
	s.part(0.25, func() { s.restartControl(s.log.leader) })
	s.part(0.30, func() { s.cutRegion(s.r.IntN(d.Regions)) })
	s.part(0.43, func() { s.cutPair() })
	s.part(0.55, func() { s.cutRegion(s.all[s.log.leader].region) })
	s.part(0.68, func() { s.loseZone() })
	s.part(0.72, func() { s.restartControl(s.r.IntN(d.controls)) })
	s.part(0.78, func() { s.restartHalf() })
}

// die ends a member for good; another takes its place, from an image or from nothing.
func (s *cfgSim) die(p *cfgProcess) {
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

func (s *cfgSim) rack() {
	z := s.zones[s.r.IntN(len(s.zones))]
	for _, p := range slices.Clone(z.members[:min(s.day.inARack, len(z.members))]) {
		s.kill(p, func() { s.after(time.Minute, func() { s.back(p, p.member.State(), causeKept) }) })
	}
}

func (s *cfgSim) loseZone() {
	for _, p := range slices.Clone(s.zones[s.r.IntN(len(s.zones))].members) {
		s.kill(p, func() {
			s.after(s.day.zoneOff+s.jitter(5*time.Second), func() { s.back(p, p.member.State(), causeKept) })
		})
	}
}

func (s *cfgSim) restartHalf() {
	for n, p := range slices.Clone(s.all[s.day.controls:]) {
		if n%2 == 0 && p.up {
			s.kill(p, s.restartLater(p))
		}
	}
}

func (s *cfgSim) deceive() {
	p := s.some()
	for n := 0; n < 1000 && p.member.Children() < 3; n++ {
		p = s.some()
	}
	p.lies = true
	s.after(2*time.Minute, func() { p.lies = false })
}

func (s *cfgSim) pauseOwner() {
	for _, p := range s.all[:s.day.controls] {
		if _, holds := p.control.holder.May(p.control.clock(), cfgDuty); !holds || !p.up {
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

func (s *cfgSim) restartControl(n int) {
	p := s.all[n]
	if !p.up {
		return
	}
	p.up = false
	s.after(10*time.Second, func() {
		p.control.begin()
		s.tick(p, p.life)
	})
}

func (s *cfgSim) cutRegion(n int) {
	from := s.now
	s.net.cutRegion(n, true)
	s.unreachable(func(p *cfgProcess) bool { return p.region == n })
	s.after(s.day.regionCut, func() {
		s.net.cutRegion(n, false)
		s.healed(from, func(p *cfgProcess) bool { return p.region == n })
	})
}

func (s *cfgSim) cutZone() {
	from, n := s.now, s.r.IntN(len(s.zones))
	s.net.zoneCut[n] = true
	s.unreachable(func(p *cfgProcess) bool { return p.zone == n })
	s.after(s.day.zoneCut, func() {
		s.net.zoneCut[n] = false
		s.healed(from, func(p *cfgProcess) bool { return p.zone == n })
	})
}

// cutPair cuts two regions from each other: all can still be reached through the others.
func (s *cfgSim) cutPair() {
	a := s.all[s.log.leader].region
	b := (a + 1 + s.r.IntN(s.day.Regions-1)) % s.day.Regions
	s.net.cut[a][b], s.net.cut[b][a] = true, true
	s.after(s.day.zoneCut, func() { s.net.cut[a][b], s.net.cut[b][a] = false, false })
}

const never = time.Duration(1 << 62)

func (s *cfgSim) unreachable(those func(*cfgProcess) bool) {
	for _, p := range s.all {
		if those(p) {
			p.since, p.done = never, true
		}
	}
}

// healed counts from now; who was cut off the whole time must have said so.
func (s *cfgSim) healed(from time.Duration, those func(*cfgProcess) bool) {
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

// Configuration plays the day and returns what was counted, all cuts healed and everything settled at the end.
func Configuration(day ConfigurationDay, seed uint64) ConfigurationFigures {
	s := newConfigurationSim(day, seed)
	s.runUntil(20 * time.Second) // leases are held, polls spread
	s.script()
	s.runUntil(20*time.Second + day.Span)
	s.runUntil(20*time.Second + day.Span + day.settle)
	f := s.judge.end(s)
	f.StateBytes = s.first.Bytes()
	return f
}
