// This file owns what is counted, and what is right: the judge applies the agreed log once, by rules of its own, and
// holds what each process has in force against it.

package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/lease"
)

// ConfigurationFigures are what a run counts.
type ConfigurationFigures struct {
	Versions, Members                   int
	InForceP99, InForceMax              time.Duration // from when the change was first asked for, all processes that could be reached
	InForceLate                         float64       // part of these that took longer than mostInForce
	HealMax                             time.Duration // from a heal to the newest version in force
	StartMax                            [causes]time.Duration
	StartBytesMax                       [causes]int
	Starts                              [causes]int
	HalfApplied, WentBack, Diverged     int
	AcceptedInMinority, RefusedMinority int
	StaleTried, StaleAccepted           int
	LostProposals, OwnerChanges         int
	MemberBytes, RelayBytes, LeafBytes  float64 // a second, most of any window after the start
	ControlBytes                        float64
	ControlPeers                        int
	Messages, Refused, Lies             int
	RelaysKilled                        int
	Repairs, Referred, Held             int
	AgeWrong                            int           // members that said less than they were cut off for
	AgeMax                              time.Duration // at the end, all reachable
	StateBytes                          int
	Resources                           int
}

const mostLatency = 120_000 // ms

type configurationJudge struct {
	figures ConfigurationFigures
	table   *lease.Table
	state   *configuration.State
	roots   []uint64                // by counter
	marks   []configuration.Version // by counter
	asked   []time.Duration         // by counter: when the change was first asked for
	buckets []int                   // by ms
	samples int
}

func (j *configurationJudge) start(first *configuration.State) {
	j.table, _ = lease.NewTable(configurationDuty)
	j.state = first
	j.roots = []uint64{0, first.Root()}
	j.marks = []configuration.Version{{}, first.Version()}
	j.asked = []time.Duration{0, 0}
	j.buckets = make([]int, mostLatency+1)
}

// head is the counter of the newest version.
func (j *configurationJudge) head() uint64 { return j.state.Version().Counter }

// commit judges an entry of the log as it is agreed: the version it makes, if it makes one.
func (j *configurationJudge) commit(index uint64, c lease.Command, command *configuration.Command, asked time.Duration) (made bool) {
	before, _ := j.table.At(configurationDuty)
	outcome := j.table.Apply(index, c)
	if c.Kind == lease.Acquire && outcome.Accepted {
		j.figures.OwnerChanges++
	}
	if c.Kind != lease.Decide {
		return false
	}
	if c.Token < before.Token {
		j.figures.StaleTried++
	}
	in := j.state.Version()
	if !outcome.Accepted || command.Base != in || command.Version.Token != c.Token || command.Version.Counter != in.Counter+1 {
		return false
	}
	next, err := j.state.With(command.Version, command.Changes)
	if err != nil {
		return false
	}
	j.state = next
	j.roots, j.marks = append(j.roots, next.Root()), append(j.marks, next.Version())
	j.asked = append(j.asked, asked)
	j.figures.Versions++
	return true
}

// inForce judges what a process has put in force.
func (j *configurationJudge) inForce(p *configurationProcess, now time.Duration, state *configuration.State) {
	v := state.Version()
	if v.Compare(p.last) <= 0 {
		j.figures.WentBack++
	}
	if v.Counter >= uint64(len(j.roots)) || j.marks[v.Counter] != v || j.roots[v.Counter] != state.Root() {
		j.figures.HalfApplied++
		p.last = v
		return
	}
	for n := p.last.Counter + 1; n <= v.Counter; n++ {
		if j.asked[n] < p.since || p.member == nil {
			continue
		}
		j.buckets[min(int((now-j.asked[n]).Milliseconds()), mostLatency)]++
		j.samples++
		j.figures.InForceMax = max(j.figures.InForceMax, now-j.asked[n])
	}
	p.last = v
	j.caughtUp(p, now)
}

// caughtUp notes when a process has what was the newest as it became reachable.
func (j *configurationJudge) caughtUp(p *configurationProcess, now time.Duration) {
	if p.done || p.last.Counter < p.goal {
		return
	}
	p.done = true
	took := now - p.since
	if p.cause == causeHeal {
		j.figures.HealMax = max(j.figures.HealMax, took)
	} else if p.member != nil {
		j.figures.Starts[p.cause]++
		j.figures.StartMax[p.cause] = max(j.figures.StartMax[p.cause], took)
		j.figures.StartBytesMax[p.cause] = max(j.figures.StartBytesMax[p.cause], p.bytes.start)
	}
	p.bytes.started(now)
}

func (j *configurationJudge) window(p *configurationProcess, bytes float64) {
	f := &j.figures
	switch {
	case p.control != nil:
		f.ControlBytes = max(f.ControlBytes, bytes)
		return
	case p.s.relays[p.n]:
		f.RelayBytes = max(f.RelayBytes, bytes)
	default:
		f.LeafBytes = max(f.LeafBytes, bytes)
	}
	f.MemberBytes = max(f.MemberBytes, bytes)
}

// end looks at all that are up, all cuts being healed.
func (j *configurationJudge) end(s *configurationSim) ConfigurationFigures {
	f := &j.figures
	for _, p := range s.all {
		if !p.up {
			continue
		}
		var in *configuration.State
		var age time.Duration
		var counts configuration.Counters
		if p.member != nil {
			in, age, counts = p.member.State(), p.member.Age(s.now), p.member.Counters
			f.Members++
			f.AgeMax = max(f.AgeMax, age)
		} else {
			in, counts = p.control.State(), p.control.Counters
		}
		f.Repairs, f.Referred, f.Held = f.Repairs+counts.Repairs, f.Referred+counts.Referred, f.Held+counts.Throttled
		if in.Root() != j.state.Root() || in.Version() != j.state.Version() {
			f.Diverged++
		}
	}
	left := j.samples - (j.samples*99+99)/100
	for ms := mostLatency; ms >= 0 && f.InForceP99 == 0; ms-- {
		if left -= j.buckets[ms]; left < 0 {
			f.InForceP99 = time.Duration(ms) * time.Millisecond
		}
	}
	late := 0
	for _, n := range j.buckets[mostInForce.Milliseconds():] {
		late += n
	}
	f.InForceLate = float64(late) / float64(max(1, j.samples))
	f.ControlPeers, f.Resources = s.peers, j.state.Len()
	return *f
}
