// This file owns admission: what comes in, its keys, callers that went, health checks. It must never let an ask in
// for which a table has no room.

package node

import (
	"strconv"
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// Arrive is where a request that has been read comes in. An error means that it was not taken in.
func (n *Instance) Arrive(asker Asker, tag string, ask Ask) error {
	n.lastRead = n.now
	class, ok := n.classes.find(ask.Class)
	if !ok {
		return ErrClass
	}
	tenant, ok := n.tenants.find(ask.Tenant)
	if !ok {
		if tenant = noTenant; ask.Tenant != "" {
			return ErrTenant
		}
	}
	if _, ok := n.byRid[ask.Rid]; ok {
		return ErrTwice
	}
	key := n.key(class, ask)
	full := n.kept >= n.room && n.kind(class) == settings.Keyed && n.keys[key] == nil
	if n.mod == nil || n.live*itemBytes >= n.room || full { // it never ran
		asker.Answer(tag, Answer{Kind: Rejected, RetryAfter: n.pause(), Hint: n.free})
		return nil
	}
	w := len(n.items)
	if k := len(n.spare); k > 0 {
		w, n.spare = n.spare[k-1], n.spare[:k-1]
	} else {
		n.items = append(n.items, item{})
	}
	n.items[w] = item{live: true, asker: asker, tag: tag, rid: ask.Rid, class: class, tenant: tenant, body: ask.Body, key: key}
	n.byRid[ask.Rid] = w
	n.hold(class, tenant)
	n.live++
	n.put(func() { n.arrive(w, ask) })
	return nil
}

// Takes tells whether new work of this class is taken.
func (n *Instance) Takes(class string) bool {
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
func (n *Instance) key(class int, ask Ask) string {
	if n.kind(class) == settings.Keyed && ask.Key != "" {
		return ask.Class + " " + ask.Key
	}
	return ""
}

func (n *Instance) arrive(w int, ask Ask) {
	it := &n.items[w]
	kind := n.kind(it.class)
	work := policy.Request{Class: it.class, Tenant: it.tenant, From: ask.From, Repeat: ask.Again, Rank: ask.Rank,
		KB: ask.KB, Forerunner: policy.NoForerunner}
	work.Waited = min(max(time.Since(ask.Came), 0), longestWait)
	if ask.CallerTimeout > 0 { // what is past is the module's to end, and no patience at all would mean that none is told
		work.Patience = max(ask.CallerTimeout-work.Waited, 1)
	}
	r := n.keys[it.key]
	same := func() bool { return r != nil && r.body == n.digest(ask.Body) }
	switch window := n.window(it.class); {
	case it.key != "" && r != nil && (n.now-work.Waited <= r.end || !r.over): // a try in hand outlasts its window
		if kind == settings.Keyed && !same() { // not the same request: it must not get that one's result
			it.why = Conflict
			n.answer(w, Answer{Kind: Failed})
			n.Release(w)
			return
		}
		work.Forerunner = r.w
	case ask.Elsewhere && kind != settings.Safe,
		kind == settings.Keyed && ask.Again && n.before && n.now-work.Waited < n.first+window:
		// Another instance or the life before this one may have run an earlier try, and nothing of it is known here.
		work.Forerunner, it.why = policy.GoneForerunner, MayHaveRun
		if !same() { // an entry past its window that still stands is this request's, or is not for it
			it.key = ""
		}
	}
	n.mod.Arrived(n.now, w, work)
}

// Gone: nobody will hear answers to what came from this asker.
func (n *Instance) Gone(asker Asker) {
	for w := range n.items {
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

// Check answers a health check, at once or when the runtime has done its work.
func (n *Instance) Check(asker Asker, tag string, full bool) {
	if !full || n.stored || n.mod == nil || !n.runtime.Up() || len(n.checks) >= mostChecks {
		asker.Checked(tag, n.mod != nil && n.good, n.free)
		return
	}
	n.tests++
	name := "check" + strconv.Itoa(n.tests)
	n.checks[name] = check{asker, tag, n.now + verdictFor}
	n.runtime.SelfTest(name)
}

// Verdict is the end of a self-test.
func (n *Instance) Verdict(tag string, good bool) {
	if c, ok := n.checks[tag]; ok {
		delete(n.checks, tag)
		c.asker.Checked(c.tag, good && n.good, n.free)
	}
}
