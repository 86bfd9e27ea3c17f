// Package index issues the calls below. A Pool keeps connections that carry one call at a time, so that one that breaks
// or brings nonsense costs no other call, and what comes late or twice finds no call that it could be taken for: a
// connection on which a call was given up is closed, and never carries a second call of the same work item. Its
// tables: calls out (one a work item, emptied by the reply, the time-out, GiveUp or the connection's end) and
// connections (as many as it was given; those without a call go after idleAfter). It must never issue a call by
// itself or a second time, and never say that a call did not run unless that is proved: nothing of it was
// written, or the index said so.
package index

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/policy"
)

const (
	longestHead  = 256
	longestReply = 64 << 10
	idleAfter    = time.Second // the index forgets connections, the sooner the likelier one is used in vain
	mostCalls    = 64          // that one connection carries in its life, as their ids are kept
	mostOdd      = 20
)

// Sink is told how calls end.
type Sink interface {
	CallReturned(rid string, o policy.Outcome, took time.Duration, reply []byte)
}

// Reply is one message from the index.
type Reply struct {
	Rid, Word string
	Body      []byte // points into what was read
}

var errShort = errors.New("not whole yet")

// Decode reads the first reply of the text and tells how long it is; errShort while it is cut off.
func Decode(text []byte) (r Reply, n int, err error) {
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		if len(text) > longestHead {
			return r, 0, errors.New("index: line too long")
		}
		return r, 0, errShort
	}
	words := bytes.Fields(text[:min(end, longestHead)])
	if end > longestHead || len(words) < 2 || text[max(end-1, 0)] != '\r' {
		return r, 0, errors.New("index: expected an id and a word, ended by CR LF")
	}
	r.Rid, r.Word, n = string(words[0]), string(words[1]), end+1
	if r.Word != "HIT" {
		return r, n, nil
	}
	if len(words) != 3 {
		return r, 0, errors.New("index: expected a length")
	}
	size, err := strconv.ParseUint(string(words[2]), 10, 31)
	if err != nil || size > longestReply {
		return r, 0, fmt.Errorf("index: expected a length up to %d", longestReply)
	}
	if len(text) < n+int(size)+2 {
		return r, 0, errShort
	}
	r.Body = text[n : n+int(size)]
	if n += int(size); text[n] != '\r' || text[n+1] != '\n' {
		return r, 0, errors.New("index: expected CR LF behind the reply")
	}
	return r, n + 2, nil
}

var outcomes = map[string]policy.Outcome{
	"HIT": policy.OK, "SHED": policy.Rejected, "BROKEN": policy.Failed, "SLOW": policy.TimedOut, "NOBODY": policy.NotStarted,
}

type call struct {
	rid          string
	began, until time.Time
	body         []byte // emptied when it is written
	on           *conn  // none: waits for one
	sent         bool
}

// Pool is the connections to the index and the calls on them.
type Pool struct {
	sink  Sink
	dial  func(loop.Handler)
	log   *zap.Logger
	most  int
	conns map[*conn]struct{}
	idle  []*conn // those of them without a call, the latest used last
	calls map[string]*call
	queue []*call // without a connection; emptied as one comes free, and by their time
	odd   int
}

// conn is one connection. Out of the pool's table it takes no further call.
type conn struct {
	p       *Pool
	wire    loop.Conn // none before it stands
	call    *call
	carried map[string]struct{}
	rest    []byte // bounded by one reply; emptied by the next
	used    time.Time
}

// NewPool makes a pool of so many connections at most; dial opens one.
func NewPool(sink Sink, dial func(loop.Handler), most int, log *zap.Logger) *Pool {
	return &Pool{sink: sink, dial: dial, most: most, log: log, calls: map[string]*call{}, conns: map[*conn]struct{}{}}
}

// Call issues a call for a work item.
func (p *Pool) Call(rid string, patience time.Duration, body []byte) {
	now := time.Now()
	c := &call{rid: rid, began: now, until: now.Add(patience), body: body}
	p.calls[rid] = c
	for n := len(p.idle) - 1; n >= 0; n-- {
		if k := p.idle[n]; now.Sub(k.used) < idleAfter && !k.had(rid) {
			p.idle = slices.Delete(p.idle, n, n+1)
			k.carry(c)
			return
		}
	}
	if len(p.conns) >= p.most && len(p.idle) > 0 {
		p.drop(p.idle[0])
	}
	p.queue = append(p.queue, c)
	p.fill()
}

// fill opens connections for the calls that wait, as far as there is place.
func (p *Pool) fill() {
	for len(p.queue) > 0 && len(p.conns) < p.most {
		k := &conn{p: p, call: p.queue[0], carried: map[string]struct{}{}}
		k.call.on, p.conns[k], p.queue = k, struct{}{}, p.queue[1:]
		p.dial(k)
	}
}

func (k *conn) had(rid string) bool {
	_, ok := k.carried[rid]
	return ok
}

func (k *conn) carry(c *call) {
	k.call, c.on, c.sent, k.used = c, k, true, time.Now()
	k.carried[c.rid] = struct{}{}
	out := fmt.Appendf(nil, "GET %s %d %d\r\n", c.rid, max(time.Until(c.until).Milliseconds(), 1), len(c.body))
	k.wire.Write(append(append(out, c.body...), "\r\n"...))
	c.body = nil
}

// release looks what a connection without a call is good for.
func (k *conn) release() {
	p := k.p
	if k.call = nil; len(k.carried) >= mostCalls {
		p.drop(k)
		return
	}
	for n, c := range p.queue {
		if !k.had(c.rid) {
			p.queue = slices.Delete(p.queue, n, n+1)
			k.carry(c)
			return
		}
	}
	p.idle = append(p.idle, k)
}

// drop closes a connection: it can't be relied on, or is not needed. Its place goes to a call that waits.
func (p *Pool) drop(k *conn) {
	if _, ok := p.conns[k]; !ok {
		return
	}
	delete(p.conns, k)
	p.idle = slices.DeleteFunc(p.idle, func(x *conn) bool { return x == k })
	if k.wire != nil {
		k.wire.Close()
	}
	p.fill()
}

// Abandon ends a call without a reply; closing its connection gives it up below too.
func (p *Pool) Abandon(rid string) {
	c := p.calls[rid]
	if c == nil {
		return
	}
	delete(p.calls, rid)
	p.queue = slices.DeleteFunc(p.queue, func(x *call) bool { return x == c })
	if k := c.on; k != nil {
		if k.call = nil; c.sent {
			p.drop(k)
		}
	}
}

// Sweep ends the calls whose time is up, and idle connections; it tells when the next call's time is.
func (p *Pool) Sweep(now time.Time) (next time.Time) {
	for rid, c := range p.calls {
		if now.Before(c.until) {
			if next.IsZero() || c.until.Before(next) {
				next = c.until
			}
			continue
		}
		o := policy.ConnectFailed // nothing of it was written
		if c.sent {
			o = policy.TimedOut
		}
		p.Abandon(rid)
		p.sink.CallReturned(rid, o, now.Sub(c.began), nil)
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].used) > idleAfter {
		p.drop(p.idle[0])
	}
	return next
}

// Move leaves all connections, as the address has changed: calls that are out may still come back on theirs.
func (p *Pool) Move() {
	old := p.conns
	p.conns, p.idle = map[*conn]struct{}{}, nil
	for k := range old {
		if k.wire == nil && k.call != nil { // on its way to the old address
			p.queue = append(p.queue, k.call)
			k.call = nil
		} else if k.wire != nil && k.call == nil {
			k.wire.Close()
		}
	}
	p.fill()
}

// Opened writes the call that it was opened for, or one that waits.
func (k *conn) Opened(w loop.Conn) {
	k.wire, k.used = w, time.Now()
	if _, ok := k.p.conns[k]; !ok {
		w.Close()
	} else if k.call != nil {
		k.carry(k.call)
	} else {
		k.release()
	}
}

// Closed ends the call that was on the connection; how far it had come tells what that proves.
func (k *conn) Closed(err error) {
	p := k.p
	if c := k.call; c != nil {
		if p.odd++; p.odd <= mostOdd {
			p.log.Warn("index: call lost", zap.Error(err), zap.String("id", c.rid), zap.Bool("sent", c.sent))
		}
		o := policy.ConnectFailed
		if c.sent {
			o = policy.Reset
		}
		k.call = nil
		delete(p.calls, c.rid)
		p.sink.CallReturned(c.rid, o, time.Since(c.began), nil)
	}
	k.wire = nil
	p.drop(k)
}

func (k *conn) Received(b []byte) error {
	text := b
	if len(k.rest) > 0 {
		text = append(k.rest, b...)
	}
	for len(text) > 0 {
		r, n, err := Decode(text)
		if err == errShort {
			break
		}
		if err != nil {
			return err
		}
		k.reply(r)
		text = text[n:]
	}
	k.rest = append([]byte(nil), text...)
	return nil
}

func (k *conn) reply(r Reply) {
	p, c := k.p, k.call
	o, known := outcomes[r.Word]
	if !known || c == nil || !c.sent || c.rid != r.Rid {
		if p.odd++; p.odd <= mostOdd {
			p.log.Warn("index: reply to no call", zap.String("id", r.Rid), zap.String("word", r.Word))
		}
		return
	}
	delete(p.calls, c.rid)
	p.sink.CallReturned(c.rid, o, time.Since(c.began), bytes.Clone(r.Body))
	if _, ok := p.conns[k]; ok {
		k.release()
	} else { // the address has changed meanwhile
		k.call = nil
		k.wire.Close()
	}
}
