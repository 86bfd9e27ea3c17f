// This file owns the emulated day: the first state, what operators ask for, and when what fails. All of it is drawn from
// the seed.

package emulator

import (
	"errors"
	"fmt"
	"time"

	"thymechute/internal/decide/configuration"
)

// minority is how long a machine must have been cut off from the log to be sure that its lease is over.
const minority = 4 * time.Second

// configurationChange is one that operators wait for.
type configurationChange struct {
	at    time.Duration
	edits []configuration.Edit
}

func tenantBody(n int) string {
	return fmt.Sprintf(`{"rate":%d,"burst":%d,"class":"c%d"}`, 10+n%990, 5+n%95, n%8)
}

func routeBody(n int) string {
	return fmt.Sprintf(`{"prefix":"/v1/service-%d","backends":"pool-%d","timeout_ms":%d,"tenant":"tenant-%05d"}`, n%810, n%97, 100+n%900, n)
}

func (s *configurationSim) firstState() *configuration.State {
	var changes []configuration.Change
	v := configuration.Version{Counter: 1}
	add := func(t configuration.ResourceType, name, body string) {
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
func (s *configurationSim) change() (edits []configuration.Edit) {
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
func (s *configurationSim) operate() {
	for _, p := range s.all[:s.day.controls] {
		c := p.control
		if len(s.waiting) == 0 || !p.up || p.paused {
			continue
		}
		token, holds := c.elector.Token(c.clock(), configurationDuty)
		command, err := c.ControlNode.Propose(s.now, configuration.Lease{Token: token, Valid: holds}, s.waiting[0].edits)
		cutOff := c.minor > 0 && s.now-c.minor > minority
		if err != nil {
			if cutOff {
				s.judge.figures.RefusedMinority++
			}
			var refusal *configuration.RejectionError
			if errors.As(err, &refusal) && refusal.Reason == configuration.ReasonNoEffect {
				s.waiting = s.waiting[1:] // taken away by a change before
			}
			continue
		}
		if cutOff {
			s.judge.figures.AcceptedInMinority++
		}
		c.elector.Decide(c.clock(), configurationDuty, string(command.Encode()))
	}
}

// atSome plays do at so many random times of a part of the day.
func (s *configurationSim) atSome(count int, from, to float64, do func()) {
	span := float64(s.day.Span)
	for range count {
		s.after(time.Duration((from+s.r.Float64()*(to-from))*span), do)
	}
}

func (s *configurationSim) part(of float64, do func()) {
	s.after(time.Duration(of*float64(s.day.Span)), do)
}

// script puts the whole day into the events.
func (s *configurationSim) script() {
	d := s.day
	s.atSome(d.Changes, 0, 1, func() { s.waiting = append(s.waiting, configurationChange{s.now, s.change()}) })
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
