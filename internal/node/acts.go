// This file owns what the module does, as its Host. It must never decide, nor answer a request twice.

package node

import (
	"hash/maphash"
	"slices"
	"time"

	"thymechute/policy"
)

func (n *Instance) answer(w int, a Answer) {
	it := &n.items[w]
	if it.answered {
		return
	}
	it.answered = true
	if it.asker != nil {
		if a.Hint = n.free; a.Kind == Failed {
			a.Why = it.why
		}
		it.asker.Answer(it.tag, a)
	}
}

func (n *Instance) giveUp(it *item) {
	if it.calling {
		it.calling = false
		n.below.GiveUp(it.rid)
	}
}

// Start puts a request on the cores.
func (n *Instance) Start(w int) {
	it := &n.items[w]
	it.started = true
	if n.runtime.Up() {
		it.sent = true
		n.runtime.Start(it.rid, n.classes.at(it.class).Name, it.body)
	}
}

// Stop takes it off.
func (n *Instance) Stop(w int) {
	it := &n.items[w]
	it.stopped = true
	if n.runtime.Up() {
		n.runtime.Stop(it.rid)
	}
}

// Reject answers what has not run.
func (n *Instance) Reject(w int, comeBack time.Duration, no bool) {
	n.answer(w, Answer{Kind: Rejected, RetryAfter: comeBack, Final: no})
}

// Scrap answers with an error; a call that is out for it is given up.
func (n *Instance) Scrap(w int) {
	n.answer(w, Answer{Kind: Failed})
	n.giveUp(&n.items[w])
}

// Call issues the call.
func (n *Instance) Call(w int, patience time.Duration) {
	it := &n.items[w]
	it.calling = true
	n.below.Call(it.rid, patience, it.call)
}

// LeaveOut is never called: no class has a value for an answer without its call (withRuntime).
func (n *Instance) LeaveOut(w int) {
	panic("node: the runtime has no command to go on without a call")
}

func (n *Instance) digest(body []byte) uint64 { return maphash.Bytes(n.digests, body) }

// Record enters the key, or moves it to this try.
func (n *Instance) Record(w int, life time.Duration) {
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

// Forget takes the key out.
func (n *Instance) Forget(w int) {
	if key := n.items[w].key; n.keys[key] != nil && n.keys[key].w == w {
		n.discard(key)
	}
}

// Join waits for the forerunner's result.
func (n *Instance) Join(w int) {
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

// Health is how checks are answered.
func (n *Instance) Health(good, stored bool) { n.good, n.stored = good, stored }

// Idle closes connections idle for so long.
func (n *Instance) Idle(after time.Duration) {
	for _, f := range n.fronts {
		f.Idle(after)
	}
}

// Free is the value that rides on all answers.
func (n *Instance) Free(value float64) { n.free = value }

// Wake asks for a Tick.
func (n *Instance) Wake(at time.Duration) { n.wake = at }

// Release is the module's last word on an index.
func (n *Instance) Release(w int) {
	it := &n.items[w]
	if r := n.keys[it.key]; r != nil && r.w == w {
		r.w = policy.GoneForerunner
		if !r.over {
			n.conclude(r, false, nil)
		}
	}
	if r := it.waitsFor; r != nil {
		r.coalesced = slices.DeleteFunc(r.coalesced, func(x int) bool { return x == w })
	}
	n.giveUp(it)
	delete(n.byRid, it.rid)
	n.letGo(it.class, it.tenant)
	n.items[w] = item{}
	n.live--
	n.spare = append(n.spare, w)
}

// Log is one line to the operators.
func (n *Instance) Log(format string, args ...any) { n.log.Sugar().Infof(format, args...) }
