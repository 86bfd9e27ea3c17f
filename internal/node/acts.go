// This file owns what the module does, as its Host. It must never decide, nor answer a request twice.

package node

import (
	"hash/maphash"
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
)

func (n *Instance) answer(w policy.RequestID, a Answer) {
	it := &n.items[w]
	if it.answered {
		return
	}
	it.answered = true
	if it.asker != nil {
		if a.Advertised = n.free; a.Status == Failed {
			a.Cause = it.why
		}
		it.asker.Answer(it.tag, a)
	}
}

func (n *Instance) giveUp(it *item) {
	if it.calling {
		it.calling = false
		n.below.Abandon(it.rid)
	}
}

// Start puts a request on the cores.
func (n *Instance) Start(w policy.RequestID) {
	it := &n.items[w]
	it.started = true
	if n.runtime.Up() {
		it.sent = true
		n.runtime.Start(it.rid, n.classes.at(it.class).Name, it.body)
	}
}

// Stop takes it off.
func (n *Instance) Stop(w policy.RequestID) {
	it := &n.items[w]
	it.stopped = true
	if n.runtime.Up() {
		n.runtime.Stop(it.rid)
	}
}

// Reject answers what has not run.
func (n *Instance) Reject(w policy.RequestID, r policy.Rejection) {
	n.answer(w, Answer{Status: Rejected, RetryAfter: r.RetryAfter, NoRetryElsewhere: r.NoRetryElsewhere})
}

// Fail answers with an error; a call that is out for it is given up.
func (n *Instance) Fail(w policy.RequestID) {
	n.answer(w, Answer{Status: Failed})
	n.giveUp(&n.items[w])
}

// Call issues the call.
func (n *Instance) Call(w policy.RequestID, patience time.Duration) {
	it := &n.items[w]
	it.calling = true
	n.below.Call(it.rid, patience, it.call)
}

// SkipCall is never called: no class has a value for an answer without its call (withRuntime).
func (n *Instance) SkipCall(w policy.RequestID) {
	panic("node: the runtime has no command to go on without a call")
}

func (n *Instance) digest(body []byte) uint64 { return maphash.Bytes(n.digests, body) }

// RecordKey enters the key, or moves it to this try.
func (n *Instance) RecordKey(w policy.RequestID, life time.Duration) {
	key := n.items[w].key
	if key == "" {
		return
	}
	r := n.keys[key]
	if r == nil || r.over { // an entry past its window must not lend its result to the next
		n.discard(key)
		r = &keyEntry{}
		n.keys[key] = r
		n.kept += entryBytes
		n.hold(n.items[w].class, noTenant)
	}
	it := &n.items[w]
	r.w, r.end, r.body, r.class, r.window = w, n.now+life, n.digest(it.body), it.class, n.window(it.class)
}

// ForgetKey takes the key out.
func (n *Instance) ForgetKey(w policy.RequestID) {
	if key := n.items[w].key; n.keys[key] != nil && n.keys[key].w == w {
		n.discard(key)
	}
}

// Coalesce waits for the forerunner's result.
func (n *Instance) Coalesce(w policy.RequestID) {
	it := &n.items[w]
	r := n.keys[it.key]
	if r == nil {
		r = &keyEntry{over: true}
	}
	if r.over {
		n.settleJoin(w, r.ok, r.result)
		return
	}
	it.waitsFor = r
	r.coalesced = append(r.coalesced, w)
}

// SetHealth is how checks are answered.
func (n *Instance) SetHealth(h policy.Health) { n.good, n.stored = h.Healthy, h.Cached }

// SetIdleTimeout closes connections idle for so long.
func (n *Instance) SetIdleTimeout(after time.Duration) {
	for _, f := range n.fronts {
		f.SetIdleTimeout(after)
	}
}

// Advertise is the value that rides on all answers.
func (n *Instance) Advertise(value float64) { n.free = value }

// Wake asks for a Tick.
func (n *Instance) Wake(at time.Duration) { n.wake = at }

// Release is the module's last word on an index.
func (n *Instance) Release(w policy.RequestID) {
	it := &n.items[w]
	if r := n.keys[it.key]; r != nil && r.w == w {
		r.w = policy.OriginalGone
		if !r.over {
			n.conclude(r, false, nil)
		}
	}
	if r := it.waitsFor; r != nil {
		r.coalesced = slices.DeleteFunc(r.coalesced, func(x policy.RequestID) bool { return x == w })
	}
	n.giveUp(it)
	delete(n.byRid, it.rid)
	n.letGo(it.class, it.tenant)
	n.items[w] = item{}
	n.live--
	n.spare = append(n.spare, w)
}

// Log is one line to the operators.
func (n *Instance) Log(message string, fields ...zap.Field) { n.log.Info(message, fields...) }
