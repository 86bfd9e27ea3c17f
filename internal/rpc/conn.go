// This file owns one connection of a stub: its open requests, what it brings, its end.

package rpc

import (
	"errors"
	"fmt"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

// conn is one connection of a stub. It has brought nothing whole yet, or is idle, or in use: three different things
// where room or time is short. It ends in two steps: noticed (told closing, still read, so that a request which
// crosses the notice is served), then ended (nothing more is read; what is open gets its answers, and loop closes the
// connection behind the last of them). A fault that can't be answered ends it without the first step.
type conn struct {
	front   *Front
	wire    loop.Conn
	in      jsonline.Lines
	open    map[string]struct{}
	last    time.Time // opened, a request read or answered
	began   time.Time // of a message that is not whole; zero: none
	noticed time.Time // when it was told closing; zero: not yet
	asked   bool      // a whole request has come
	ended   bool
	faults  int
}

func (c *conn) Opened(w loop.Conn) {
	c.wire, c.last = w, time.Now()
	full := c.front.full()
	c.front.conns[c] = struct{}{}
	if c.front.draining || full {
		c.notice(c.last)
	}
}

// HasPending tells whether a request that was read has no answer yet.
func (c *conn) HasPending() bool { return len(c.open) > 0 }

// Closed: the other side ended the connection, or it left too much unread.
func (c *conn) Closed(error) {
	c.forget()
	if c.HasPending() {
		c.front.admission.CallerGone(c)
	}
}

// notice tells the stub to send no more here; a well-behaved one closes the connection once all is answered.
func (c *conn) notice(now time.Time) {
	if c.noticed.IsZero() && !c.ended {
		c.noticed = now
		c.front.noticed++
		c.wire.Write(closing)
	}
}

// stalled: it has been without a whole request, or with part of one, for too long.
func (c *conn) stalled(now time.Time) bool {
	return !c.began.IsZero() && now.Sub(c.began) > unasked || !c.asked && now.Sub(c.last) > unasked
}

// end lets nothing more in. What is open stays owed.
func (c *conn) end() {
	c.ended = true
	c.wire.Close()
	c.leave()
}

// leave gives the place of an ended connection back once nothing is open on it.
func (c *conn) leave() {
	if c.ended && !c.HasPending() {
		c.forget()
	}
}

func (c *conn) forget() {
	if _, ok := c.front.conns[c]; !ok {
		return
	}
	delete(c.front.conns, c)
	if !c.noticed.IsZero() {
		c.front.noticed--
	}
}

// Received takes what came. A fault is answered under its id; without one, or with too many, the connection ends.
func (c *conn) Received(p []byte) error {
	whole := false
	err := c.in.Feed(p, func(text []byte) error {
		whole = true
		q, err := Decode(text)
		if err == nil {
			err = c.take(q)
		}
		if err == nil {
			return nil
		}
		var f *Fault
		if !errors.As(err, &f) {
			return err
		}
		c.wire.Write(AppendFault(nil, q.ID, f))
		if c.faults++; q.ID == "" || c.faults > mostFaults {
			return err
		}
		return nil
	})
	if err != nil {
		c.end()
		return err
	}
	if !c.in.Partial() {
		c.began = time.Time{}
	} else if whole || c.began.IsZero() {
		c.began = time.Now()
	}
	return nil
}

func (c *conn) take(q Request) error {
	if q.Notification { // nothing is answered to one, and none has a meaning here; but a class or a check wants an answer
		if q.Work.Class == methodCheck || c.front.admission.HasClass(q.Work.Class) {
			return &Fault{codeRequest, errors.New("expected an id")}
		}
		return nil
	}
	if _, twice := c.open[q.ID]; twice { // whichever of the two an error under this id would be taken for
		return errors.New("two requests under one id")
	}
	if len(c.open) >= mostOpen {
		return &Fault{codeRequest, fmt.Errorf("over %d open requests", mostOpen)}
	}
	c.asked, c.last = true, time.Now()
	c.open[q.ID] = struct{}{}
	if q.Check {
		c.front.admission.CheckHealth(c, q.ID, q.Full)
		return nil
	}
	err := c.front.admission.Admit(c, q.ID, q.Work)
	if err == nil {
		return nil
	}
	delete(c.open, q.ID)
	switch {
	case errors.Is(err, node.ErrUnknownClass):
		return &Fault{codeMethod, err}
	case errors.Is(err, node.ErrUnknownTenant):
		return &Fault{codeParams, err}
	}
	return &Fault{codeRequest, err}
}

// Answer writes a final answer.
func (c *conn) Answer(tag string, a node.Answer) {
	c.done(tag)
	c.wire.Write(AppendAnswer(nil, tag, a))
}

// HealthChecked answers a health check.
func (c *conn) HealthChecked(tag string, good bool, free float64) {
	c.done(tag)
	c.wire.Write(AppendChecked(nil, tag, good, free))
}

func (c *conn) done(tag string) {
	delete(c.open, tag)
	c.last = time.Now()
	c.leave()
}
