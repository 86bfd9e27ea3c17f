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
// where room or time is short.
type conn struct {
	front  *Front
	wire   loop.Wire
	in     jsonline.Lines
	open   map[string]struct{}
	last   time.Time // opened, a request read or answered
	began  time.Time // of a message that is not whole; zero: none
	asked  bool      // a whole request has come
	faults int
}

func (c *conn) Opened(w loop.Wire) {
	c.wire, c.last = w, time.Now()
	c.front.conns[c] = struct{}{}
	if c.front.leaving {
		w.Write(closing)
	}
}

func (c *conn) Closed(error) { c.leave() }

// end closes the connection; what was open on it is given up.
func (c *conn) end() {
	c.leave()
	c.wire.Close()
}

func (c *conn) leave() {
	if _, ok := c.front.conns[c]; ok {
		delete(c.front.conns, c)
		if len(c.open) > 0 {
			c.front.door.Gone(c)
		}
	}
}

// Read takes what came. A fault is answered under its id; without one, or with too many, the connection ends.
func (c *conn) Read(p []byte) error {
	whole := false
	err := c.in.Feed(p, func(text []byte) error {
		whole = true
		q, err := Decode(text)
		if err == nil {
			err = c.take(q)
		}
		if err == nil {
			c.asked, c.last = true, time.Now()
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
	if !c.in.Partial() {
		c.began = time.Time{}
	} else if whole || c.began.IsZero() {
		c.began = time.Now()
	}
	return err
}

func (c *conn) take(q Request) error {
	if _, twice := c.open[q.ID]; twice { // whichever of the two an error under this id would be taken for
		return errors.New("two requests under one id")
	}
	if len(c.open) >= mostOpen {
		return &Fault{codeRequest, fmt.Errorf("over %d open requests", mostOpen)}
	}
	c.open[q.ID] = struct{}{}
	if q.Check {
		c.front.door.Check(c, q.ID, q.Full)
		return nil
	}
	err := c.front.door.Arrive(c, q.ID, q.Ask)
	if err == nil {
		return nil
	}
	delete(c.open, q.ID)
	switch {
	case errors.Is(err, node.ErrBand):
		return &Fault{codeMethod, err}
	case errors.Is(err, node.ErrCustomer):
		return &Fault{codeParams, err}
	}
	return &Fault{codeRequest, err}
}

// Answer writes a final answer.
func (c *conn) Answer(tag string, a node.Answer) {
	c.done(tag)
	c.wire.Write(AppendAnswer(nil, tag, a))
}

// Checked answers a health check.
func (c *conn) Checked(tag string, good bool, free float64) {
	c.done(tag)
	c.wire.Write(AppendChecked(nil, tag, good, free))
}

func (c *conn) done(tag string) {
	delete(c.open, tag)
	c.last = time.Now()
}
