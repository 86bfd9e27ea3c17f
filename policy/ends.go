// This file owns due times: each request gets its answer by then. It must never reject what ran.

package policy

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// scrap answers a request that has run; what is on the cores goes on unless it can be stopped.
func (i *Instance) scrap(now time.Duration, w RequestID) {
	it, b := &i.items[w], &i.classes[i.items[w].Class]
	i.sample(now, it)
	if took := (now - it.began).Seconds(); took > b.span {
		learn(&b.latency, max(took-it.callTime.Seconds(), b.latency), 16) // a run cut off took at least so long
		learn(&b.span, took, 16)
	}
	it.answered = true
	i.host.Fail(w)
	i.halt(it, w)
}

func (i *Instance) halt(it *item, w RequestID) {
	i.standing = without(i.standing, w)
	if it.state == running && i.stops {
		i.host.Stop(w)
	}
}

// CallerGone: nobody waits for this request any more, so no answer is owed.
func (i *Instance) CallerGone(now time.Duration, w RequestID) {
	it := &i.items[w]
	if it.state == held || it.state == joined {
		i.drop(w)
	} else if it.answered = true; i.classes[it.Class].safe || it.state == atCall {
		i.halt(it, w)
	}
}

// Drain: this server stops after left; all that it has read must be answered before.
func (i *Instance) Drain(now, left time.Duration) {
	i.stopAt = now + left - 3*sweepGap - margin
	i.grace = now + i.server.DrainGrace.Seconds(0) - margin
	for w := range i.items {
		it := &i.items[w]
		it.due, it.use = min(it.due, i.stopAt), min(it.use, i.stopAt)
	}
	i.host.SetHealth(Health{Healthy: false, Cached: true})
	i.host.Log("draining", zap.Int("queued", len(i.held)), zap.Int("running", i.onCores), zap.Duration("time_left", left))
}

// Tick comes every sweepGap: due times, and the sample of lag once a period.
func (i *Instance) Tick(now time.Duration, g Gauges) {
	if now-i.wanted > stall {
		// A standstill stretches one sample: it is not held against the healthy spell after it.
		i.sum, i.count = [2]float64{}, [2]float64{}
		i.nextSample = now + period
	}
	i.wanted = now + sweepGap
	i.host.Wake(i.wanted)
	past := func(end time.Duration) bool { return end <= now }
	i.meter(now)
	kept := len(i.entries)
	i.entries, i.lingering = slices.DeleteFunc(i.entries, past), slices.DeleteFunc(i.lingering, past)
	i.memory -= float64(kept-len(i.entries)) * i.server.KeyEntryKB.Or(0)
	for n := range i.items {
		w := RequestID(n)
		it := &i.items[w]
		if it.state == absent || it.answered {
			continue
		}
		late, worthless := now >= it.due-margin, now >= it.use
		switch {
		case it.state == held:
			if late || i.density(now, w) <= 0 {
				i.reject(now, w, true)
			}
		case it.state == joined && late:
			i.host.Fail(w)
			i.drop(w)
		case it.state != joined && (late || worthless && i.stops):
			i.scrap(now, w)
		}
	}
	if beside := g.Runnable - float64(i.onCores); g.Runnable >= 0 {
		i.intake, i.ticks = i.intake+max(beside, 0), i.ticks+1
		if beside < float64(i.cores) {
			i.unread *= jamFade // a core is free to read, so nothing waits unread
		}
	}
	if g.Runnable >= 0 && i.onCores >= int(i.width) && len(i.held) > 0 {
		i.full, i.idleCores = i.full+1, i.idleCores+max(1-g.Runnable/float64(i.cores), 0)
	}
	i.say(now)
	if i.waiting() > 0 {
		i.waited++
	}
	if now >= i.nextSample {
		i.judge(now, g)
		i.nextSample = now + period
	}
}
