// This file owns what the runtime and what lies below tell: starts, ends, calls, readings. It must never take one for a
// request that is not here.

package node

import (
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
)

// RuntimeReady: the runtime answers a sync that was sent at the time asked. It began so long ago, and is old where it has
// worked before this life of the instance; a day starts with one that is.
func (n *Instance) RuntimeReady(old bool, ago time.Duration, asked time.Time) {
	earliest, latest := asked.Add(-ago), time.Now().Add(-ago)
	n.put(func() {
		if n.mod == nil && n.draining { // what comes is refused up to the end
			return
		}
		if n.mod == nil {
			n.log.Info("runtime up", zap.Bool("old", old), zap.Duration("ago", ago))
			n.start, n.began, n.old = latest, latest, old // a cold machine warms from its runtime's start
			n.now = time.Since(n.start)
			n.first, n.heard = n.now, n.now
			n.mod = n.newModule()
			return
		}
		if earliest.After(n.began.Add(ageSlack)) {
			n.log.Warn("runtime started anew: its runs are lost")
			n.began = latest
			for index := range n.items {
				w := policy.RequestID(index)
				if it := &n.items[w]; it.live && it.sent {
					n.ended(w, policy.Cancelled, 0, nil)
				}
			}
		}
	})
}

// RuntimeResynced: a new link has told all that was missed. What may not have reached the runtime is said again: a start
// of what runs is nothing, while a reply that may have been taken is not given twice, as the run may stand at its
// next call by then.
func (n *Instance) RuntimeResynced() {
	n.put(func() {
		for index := range n.items {
			w := policy.RequestID(index)
			it := &n.items[w]
			switch {
			case !it.live:
				continue
			case it.started && !it.sent && it.answered:
				n.ended(w, policy.NotStarted, 0, nil)
				continue
			case it.started && !it.confirmed:
				it.sent = true
				n.runtime.Start(it.rid, n.classes.at(it.class).Name, it.body)
			}
			if it.stopped {
				n.runtime.Stop(it.rid)
			}
			if it.give != nil {
				n.runtime.DeliverReply(it.rid, it.give)
				it.give = nil
			}
		}
	})
}

// RunEnded is the end of a run.
func (n *Instance) RunEnded(rid string, o policy.Outcome, took time.Duration, result []byte) {
	n.put(func() {
		if w, ok := n.known(rid); ok {
			n.ended(w, o, took, result)
		}
	})
}

// known finds a run. A runtime that worked before and names one that was never here is at work for an earlier
// life of this instance, beside which this one was started.
func (n *Instance) known(rid string) (policy.RequestID, bool) {
	w, ok := n.byRid[rid]
	if !ok && n.old && !n.before {
		n.before = true
		n.log.Warn("runtime works for an earlier life: marked repeats of its window are not run", zap.String("task", rid))
	}
	return w, ok && n.items[w].started
}

func (n *Instance) ended(w policy.RequestID, o policy.Outcome, took time.Duration, result []byte) {
	it := &n.items[w]
	n.giveUp(it)
	switch o {
	case policy.OK:
		n.answer(w, Answer{Status: Served, Result: result})
	case policy.Cancelled: // the module answers
	default:
		n.answer(w, Answer{Status: Failed})
	}
	if r := n.keys[it.key]; r != nil && r.w == w {
		n.conclude(r, o == policy.OK, result)
	}
	n.mod.RunEnded(n.now, w, o, took)
}

// conclude gives a result to who waits for it, and keeps it for as long as the key stands.
func (n *Instance) conclude(r *keyEntry, ok bool, result []byte) {
	r.over = true
	for _, w := range r.coalesced {
		n.settleJoin(w, ok, result)
	}
	if r.coalesced = nil; n.kept+len(result) <= n.room { // else a repeat gets an error
		r.ok, r.result = ok, result
		n.kept += len(result)
	}
}

// discard forgets a key.
func (n *Instance) discard(key string) {
	if r := n.keys[key]; r != nil {
		n.kept -= entryBytes + len(r.result)
		delete(n.keys, key)
		n.letGo(r.class, noTenant)
	}
}

func (n *Instance) settleJoin(w policy.RequestID, good bool, result []byte) {
	rid := n.items[w].rid
	n.later = append(n.later, func() {
		if at, ok := n.byRid[rid]; !ok || at != w {
			return
		}
		n.items[w].waitsFor = nil
		if good {
			n.ended(w, policy.OK, 0, result)
		} else {
			n.ended(w, policy.Failed, 0, nil)
		}
	})
}

// CallRequested: a run stands at a call.
func (n *Instance) CallRequested(rid string, body []byte) {
	n.put(func() {
		if w, ok := n.known(rid); ok {
			it := &n.items[w]
			it.confirmed, it.call, it.give = true, body, nil
			n.mod.CallRequested(n.now, w)
		}
	})
}

// CallReturned is the end of a call.
func (n *Instance) CallReturned(rid string, o policy.Outcome, took time.Duration, reply []byte) {
	n.put(func() {
		w, ok := n.byRid[rid]
		if !ok || !n.items[w].calling {
			return
		}
		it := &n.items[w]
		it.calling = false
		if o == policy.OK {
			if n.runtime.Up() {
				n.runtime.DeliverReply(rid, reply)
			} else {
				it.give = reply
			}
		}
		n.mod.CallReturned(n.now, w, o, took)
	})
}

// GaugesRead are the gauges, in the settings' order.
func (n *Instance) GaugesRead(row []float64) {
	n.gauges, n.gaugesAt = n.readings(row), time.Since(n.start)
}
