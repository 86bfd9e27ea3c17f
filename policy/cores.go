// This file owns how many run and which starts next. It must never pass the crowd that a server survives.

package policy

import "time"

// runKB is what a start takes besides what is held already.
func (i *Instance) runKB(heldKB float64) float64 {
	return heldKB * (i.server.RunMemoryFactor.Or(1) - 1)
}

func (i *Instance) fits(kb float64) bool { return i.memory+kb <= fill*i.ram }

// room is how many more may start now. The survived crowd is the ceiling, with those at calls
// counted since they all may come back at once.
func (i *Instance) room(now time.Duration) int {
	return min(int(i.width*(1-jamCut*i.jam()))-i.onCores, i.ceiling(now)-i.onCores-i.calls-len(i.standing))
}

func (i *Instance) ceiling(now time.Duration) int {
	warm := 1.0
	if span := i.server.WarmUpTime.Seconds(0); i.server.SlowStart.On() && now < span {
		from := min(i.server.SlowStartFraction.Or(0.2), 1)
		warm = from + (1-from)*now.Seconds()/span.Seconds()
	}
	return max(int((1+max(i.server.MaxConcurrencyPerCore.Or(2)-1, 0)*warm)*float64(i.cores)*crowdPart), 1)
}

func (i *Instance) waiting() int { return len(i.held) - max(int(i.width)-i.onCores, 0) }

// Dispatch starts work and issues calls once all that came in together has been told.
func (i *Instance) Dispatch(now time.Duration) {
	i.serveCalls(now)
	for i.room(now) > 0 && len(i.held) > 0 {
		// None that can't do without a call starts behind one that stands for its, or for a trial.
		idle := 2*i.onCores < i.cores && len(i.standing) < i.cores // trying costs nothing: not all come to a call
		stopped := !idle && (len(i.standing) > 0 || i.fails >= failures && i.calls > 0)
		best, most := RequestID(-1), 0.0
		for n := len(i.held) - 1; n >= 0; n-- {
			w := i.held[n]
			d := i.density(now, w)
			if d <= 0 {
				i.reject(now, w, true)
				continue
			}
			it, b := &i.items[w], &i.classes[i.items[w].Class]
			if stopped && b.calls && b.poorer == 0 || !i.fits(i.runKB(it.MemoryKB)) {
				continue
			}
			if d > most || d == most && it.use <= i.items[best].use {
				best, most = w, d
			}
		}
		if best < 0 {
			return
		}
		it := &i.items[best]
		i.held = without(i.held, best)
		i.memory += i.runKB(it.MemoryKB)
		it.state, it.ran, it.began, it.wait = running, true, now, now-it.arrived
		i.onCores++
		i.host.Start(best)
	}
}

// RunEnded is the end of a run or of a join.
func (i *Instance) RunEnded(now time.Duration, w RequestID, o Outcome, took time.Duration) {
	it := &i.items[w]
	switch it.state {
	case absent, held:
		return
	case running:
		i.onCores--
	case calling:
		i.callOver(now, true)
	}
	if !it.answered && it.state != joined && o != NotStarted { // what was never started has no lag
		i.sample(now, it)
		if o == OK {
			i.done++
			b, run := &i.classes[it.Class], max((took-it.callTime).Seconds(), 1e-4)
			learn(&b.latency, run, b.ended+3)
			learn(&b.span, took.Seconds(), b.ended+3)
			if it.CostHint > 0 {
				learn(&b.perHint, run/it.CostHint.Seconds(), b.ended)
			}
			if b.ended++; b.ended <= 8 || b.latency < b.base {
				b.base = b.latency
			}
		}
		if o == Cancelled {
			i.host.Fail(w)
		}
	}
	it.ran = it.ran && o != NotStarted // a key entry of what was never started must not stand in a later try's way
	i.drop(w)
}
