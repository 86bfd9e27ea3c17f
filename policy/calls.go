// This file owns the calls below and their share. It must never repeat one that may have had its effect.

package policy

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/policy/settings"
)

// CallRequested: a run stands at a call.
func (i *Instance) CallRequested(now time.Duration, w RequestID) {
	if it := &i.items[w]; it.state == running {
		i.onCores--
		it.state, it.since = atCall, now
		i.standing = append(i.standing, w)
	}
}

// serveCalls issues the calls that may be out. While calls fail or take much of a due time, and after a long
// stand, classes that can do without leave them out, but for a trial, so that the rest finds room below.
func (i *Instance) serveCalls(now time.Duration) {
	down, trial := i.fails >= failures, i.calls == 0 && now >= i.nextTrial
	spare := (down || i.server.Dependency == settings.DependencyShared && i.slowBelow()) && !trial
	for _, w := range slices.Clone(i.standing) {
		b, it := &i.classes[i.items[w].Class], &i.items[w]
		long := (now-it.since).Seconds() > standPart*b.due.Seconds() || (it.use-now).Seconds() < i.callTook
		if b.poorer > 0 && (spare || long) {
			i.resume(now, w)
			i.host.SkipCall(w)
		}
	}
	for len(i.standing) > 0 {
		out, share := i.meter(now)
		w := slices.MaxFunc(i.standing, i.byDensity(now, -1)) // of equal ones the newest: it has time for its call
		it := &i.items[w]
		late := i.calls > 0 && (it.use-now).Seconds() < i.callTook // it would be cut, and waste what lies below
		if late || out >= share || out+1 > share && i.overCalled > 0 || down && (i.calls > 0 || now < i.nextTrial) {
			return
		}
		patience := min(it.use, it.due-margin) - now
		if out+1 > share {
			window := partCall * min(i.callShare-out, 1) * i.server.CallQuotaWindow.Seconds(1).Seconds()
			patience = min(patience, time.Duration(window*1e9)-i.server.CallLinger.Seconds(0))
		}
		i.standing = without(i.standing, w)
		it.state, i.calls = calling, i.calls+1
		i.host.Call(w, max(patience, 10*ms))
	}
}

func (i *Instance) resume(now time.Duration, w RequestID) { // from a call, back on the cores
	it := &i.items[w]
	i.standing = without(i.standing, w)
	it.callTime, it.state = it.callTime+now-it.since, running
	i.onCores++
}

// callOver books a call that is out no longer; a call given up stays below for a while.
func (i *Instance) callOver(now time.Duration, given bool) {
	i.meter(now)
	i.calls--
	if given {
		i.lingering = append(i.lingering, now+i.server.CallLinger.Seconds(0))
	}
}

// meter tells the calls in hand and the share in use, and keeps the call-seconds used beyond the mean that
// may be. Of the told share's part beyond whole calls a window's use is at most partUse in the mean,
// savedCalls saved up and partCall by one call, all of it: where what lies below slows, all do this.
func (i *Instance) meter(now time.Duration) (out, share float64) {
	out, share = float64(i.calls+len(i.lingering)), i.callShare*i.callUse
	whole, part := math.Modf(i.callShare)
	spent := i.overCalled + (out-min(meanCalls*share, whole+partUse*part))*(now-i.metered).Seconds()
	i.overCalled, i.metered = max(spent, -savedCalls*part*i.server.CallQuotaWindow.Seconds(1).Seconds()), now
	return out, share
}

func (i *Instance) slowBelow() bool { return i.callTook > callSlow*i.firstClass().due.Seconds() }

// CallReturned is the end of a call.
func (i *Instance) CallReturned(now time.Duration, w RequestID, o Outcome, took time.Duration) {
	it := &i.items[w]
	if it.state != calling {
		return
	}
	i.callOver(now, o == TimedOut || o == Reset || o == Unknown)
	i.resume(now, w)
	cut := o == TimedOut && took.Seconds() < i.callTook // had less time than calls take
	if o == OK || o == TimedOut && !cut {               // what is turned away tells nothing of a call's time
		learn(&i.callTook, took.Seconds(), 7)
	}
	if o == OK {
		if i.fails >= failures {
			i.host.Log("dependency calls resumed", zap.Duration("probe_took", took))
		}
		i.fails = 0
		return
	}
	if !cut { // it must not stop calls, nor be the trial that keeps them stopped
		i.nextTrial = now + trialGap
		if i.fails++; i.fails == failures {
			i.host.Log("dependency calls suspended", zap.Int("consecutive_failures", i.fails))
		}
	}
	b := &i.classes[it.Class]
	if !it.answered && b.poorer > 0 {
		i.host.SkipCall(w)
		return
	}
	i.CallRequested(now, w)
	if it.answered {
		i.halt(it, w)
	} else if !b.safe && !o.NeverRan() || now >= it.use {
		i.scrap(now, w)
	}
}
