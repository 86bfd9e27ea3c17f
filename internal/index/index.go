// Package index issues the calls below. A Line keeps one connection for all of them, opened when a call needs it,
// and a table of the calls that are out (one a work item, emptied by the reply, the time-out, GiveUp or the
// connection's end). It must never issue a call by itself or a second time, and never say that a call did not run
// unless that is proved: nothing of it was written, or the index said so.
package index

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/policy"
)

const (
	longestHead  = 256
	longestReply = 64 << 10
	idleAfter    = 5 * time.Second // without calls; the index closes after 10
	mostOdd      = 20
)

// Sink is told how calls end.
type Sink interface {
	Returned(rid string, o policy.Outcome, took time.Duration, reply []byte)
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
	"HIT": policy.OK, "SHED": policy.Full, "BROKEN": policy.Failed, "SLOW": policy.TimedOut, "NOBODY": policy.Moot,
}

type call struct {
	began, until time.Time
	body         []byte // emptied when it is written
	sent         bool
}

// Line is the connection to the index.
type Line struct {
	sink    Sink
	dial    func(loop.Peer)
	log     *zap.Logger
	wire    loop.Wire // none while there is no connection
	dialing bool
	rest    []byte // bounded by one reply; emptied by the next
	calls   map[string]*call
	used    time.Time
	odd     int
}

// NewLine makes a line; dial opens a connection for it.
func NewLine(sink Sink, dial func(loop.Peer), log *zap.Logger) *Line {
	return &Line{sink: sink, dial: dial, log: log, calls: map[string]*call{}}
}

// Call issues a call for a work item.
func (l *Line) Call(rid string, patience time.Duration, body []byte) {
	now := time.Now()
	c := &call{began: now, until: now.Add(patience), body: body}
	l.calls[rid] = c
	if l.wire != nil {
		l.write(rid, c)
	} else if !l.dialing {
		l.dialing = true
		l.dial(l)
	}
}

func (l *Line) write(rid string, c *call) {
	left := max(time.Until(c.until).Milliseconds(), 1)
	out := fmt.Appendf(nil, "GET %s %d %d\r\n", rid, left, len(c.body))
	l.wire.Write(append(append(out, c.body...), "\r\n"...))
	c.sent, c.body, l.used = true, nil, time.Now()
}

// GiveUp ends a call without a reply.
func (l *Line) GiveUp(rid string) {
	if c := l.calls[rid]; c != nil {
		delete(l.calls, rid)
		if c.sent && l.wire != nil {
			l.wire.Write(fmt.Appendf(nil, "STOP %s\r\n", rid))
			l.used = time.Now()
		}
	}
}

// Sweep ends the calls whose time is up, and an idle connection; it tells when the next call's time is.
func (l *Line) Sweep(now time.Time) (next time.Time) {
	for rid, c := range l.calls {
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
		l.GiveUp(rid)
		l.sink.Returned(rid, o, now.Sub(c.began), nil)
	}
	if l.wire != nil && len(l.calls) == 0 && now.Sub(l.used) > idleAfter {
		l.wire.Close()
		l.wire = nil
	}
	return next
}

// Move leaves the connection: the address has changed, and the next call opens one to the new one.
func (l *Line) Move() {
	if w := l.wire; w != nil {
		l.Closed(&loop.Broken{Connected: true, Err: errors.New("address changed")})
		w.Close()
	}
}

// Opened writes the calls that wait.
func (l *Line) Opened(w loop.Wire) {
	l.wire, l.dialing, l.rest, l.used = w, false, nil, time.Now()
	for rid, c := range l.calls {
		if !c.sent {
			l.write(rid, c)
		}
	}
}

// Closed ends the calls that were on the connection; how far it had come tells what that proves.
func (l *Line) Closed(err error) {
	var b *loop.Broken
	connected := !errors.As(err, &b) || b.Connected
	if connected && l.wire == nil {
		return // closed by this side, idle; another may be on its way already
	}
	l.wire, l.dialing = nil, false
	if len(l.calls) > 0 {
		if l.odd++; l.odd <= mostOdd {
			l.log.Warn("index lost", zap.Error(err), zap.Int("calls", len(l.calls)))
		}
	}
	for rid, c := range l.calls {
		o := policy.ConnectFailed
		if c.sent {
			o = policy.Reset
		}
		delete(l.calls, rid)
		l.sink.Returned(rid, o, time.Since(c.began), nil)
	}
}

func (l *Line) Read(p []byte) error {
	l.used = time.Now()
	text := p
	if len(l.rest) > 0 {
		text = append(l.rest, p...)
	}
	for len(text) > 0 {
		r, n, err := Decode(text)
		if err == errShort {
			break
		}
		if err != nil {
			return err
		}
		l.reply(r)
		text = text[n:]
	}
	l.rest = append([]byte(nil), text...)
	return nil
}

func (l *Line) reply(r Reply) {
	o, known := outcomes[r.Word]
	c := l.calls[r.Rid]
	if !known || c == nil || !c.sent {
		if !known && l.odd < mostOdd {
			l.odd++
			l.log.Warn("index: unknown reply", zap.String("word", r.Word))
		}
		return
	}
	delete(l.calls, r.Rid)
	l.sink.Returned(r.Rid, o, time.Since(c.began), bytes.Clone(r.Body))
}
