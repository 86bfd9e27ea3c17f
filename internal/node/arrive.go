// This file owns admission: what comes in, its keys, callers that went, health checks. It must never let an ask in
// for which a table has no room.

package node

import (
	"strconv"
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// Admit is where a request that has been read comes in. An error means that it was not taken in.
func (n *Instance) Admit(asker Responder, tag string, ask Request) error {
	n.lastRead = n.now
	class, ok := n.classes.find(ask.Class)
	if !ok {
		return ErrUnknownClass
	}
	tenant, ok := n.tenants.find(ask.Tenant)
	if !ok {
		if tenant = noTenant; ask.Tenant != "" {
			return ErrUnknownTenant
		}
	}
	if _, ok := n.byRid[ask.ID]; ok {
		return ErrDuplicateID
	}
	key := n.key(class, ask)
	full := n.kept >= n.room && n.kind(class) == settings.Idempotent && n.keys[key] == nil
	if n.mod == nil || n.live*itemBytes >= n.room || full { // it never ran
		asker.Answer(tag, Answer{Status: Rejected, RetryAfter: n.pause(), Advertised: n.free})
		return nil
	}
	w := policy.RequestID(len(n.items))
	if k := len(n.spare); k > 0 {
		w, n.spare = n.spare[k-1], n.spare[:k-1]
	} else {
		n.items = append(n.items, item{})
	}
	n.items[w] = item{live: true, asker: asker, tag: tag, rid: ask.ID, class: class, tenant: tenant, body: ask.Body, key: key}
	n.byRid[ask.ID] = w
	n.hold(class, tenant)
	n.live++
	n.put(func() { n.arrive(w, ask) })
	return nil
}

// HasClass tells whether new work of this class is taken.
func (n *Instance) HasClass(class string) bool {
	_, ok := n.classes.find(class)
	return ok
}

// pause is when to come back with what the instance itself rejects.
func (n *Instance) pause() time.Duration {
	if n.server.RetryAfter.Off() {
		return 0
	}
	return min(fullPause, n.server.MaxRetryAfter.Seconds(0))
}

// key under which what is known of a request stands; empty: it has none.
func (n *Instance) key(class int, ask Request) string {
	if n.kind(class) == settings.Idempotent && ask.Key != "" {
		return ask.Class + " " + ask.Key
	}
	return ""
}

func (n *Instance) arrive(w policy.RequestID, ask Request) {
	it := &n.items[w]
	kind := n.kind(it.class)
	work := policy.Request{Class: it.class, Tenant: it.tenant, Caller: ask.Caller, Retry: ask.Retry, Priority: ask.Priority,
		MemoryKB: ask.MemoryKB, Original: policy.NoOriginal}
	work.ReadDelay = min(max(time.Since(ask.ReceivedAt), 0), longestWait)
	if ask.CallerTimeout > 0 { // what is past is the module's to end, and no patience at all would mean that none is told
		work.CallerTimeout = max(ask.CallerTimeout-work.ReadDelay, 1)
	}
	r := n.keys[it.key]
	same := func() bool { return r != nil && r.body == n.digest(ask.Body) }
	switch window := n.window(it.class); {
	case it.key != "" && r != nil && (n.now-work.ReadDelay <= r.end || !r.over): // a try in hand outlasts its window
		if kind == settings.Idempotent && !same() { // not the same request: it must not get that one's result
			it.why = KeyConflict
			n.answer(w, Answer{Status: Failed})
			n.Release(w)
			return
		}
		work.Original = r.w
	case ask.MayHaveRunElsewhere && kind != settings.Safe,
		kind == settings.Idempotent && ask.Retry && n.before && n.now-work.ReadDelay < n.first+window:
		// Another instance or the life before this one may have run an earlier try, and nothing of it is known here.
		work.Original, it.why = policy.OriginalGone, MayHaveRun
		if !same() { // an entry past its window that still stands is this request's, or is not for it
			it.key = ""
		}
	}
	n.mod.Admit(n.now, w, work)
}

// CallerGone: nobody will hear answers to what came from this asker.
func (n *Instance) CallerGone(asker Responder) {
	for index := range n.items {
		w := policy.RequestID(index)
		it := &n.items[w]
		if !it.live || it.asker != asker {
			continue
		}
		it.asker = nil
		rid := it.rid
		n.put(func() {
			if at, ok := n.byRid[rid]; ok && at == w && !n.items[w].answered {
				n.mod.CallerGone(n.now, w)
			}
		})
	}
}

// CheckHealth answers a health check, at once or when the runtime has done its work.
func (n *Instance) CheckHealth(asker Responder, tag string, full bool) {
	if !full || n.stored || n.mod == nil || !n.runtime.Up() || len(n.checks) >= mostChecks {
		asker.HealthChecked(tag, n.mod != nil && n.good, n.free)
		return
	}
	n.tests++
	name := "check" + strconv.Itoa(n.tests)
	n.checks[name] = check{asker, tag, n.now + verdictFor}
	n.runtime.SelfTest(name)
}

// SelfTestEnded is the end of a self-test.
func (n *Instance) SelfTestEnded(tag string, good bool) {
	if c, ok := n.checks[tag]; ok {
		delete(n.checks, tag)
		c.asker.HealthChecked(c.tag, good && n.good, n.free)
	}
}
