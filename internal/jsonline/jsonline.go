// Package jsonline reads one JSON object from a line, member by member, into what the caller keeps, and writes
// the few pieces that our messages need. It builds no tree and knows no message. It must never read past the
// line, panic on any bytes, or keep a reference to the line: what it returns may point into it and has to be
// copied by who keeps it.
package jsonline

import (
	"errors"
	"fmt"
)

const deepest = 32 // nested values; more is no message of ours

// ErrSyntax is the base of all errors about the text itself.
var ErrSyntax = errors.New("no JSON")

// Reader stands somewhere in a line.
type Reader struct {
	text []byte
	at   int
}

// New reads from the start of a line.
func New(line []byte) *Reader { return &Reader{text: line} }

func (r *Reader) bad(want string) error {
	return fmt.Errorf("%w at byte %d: expected %s", ErrSyntax, r.at, want)
}

func (r *Reader) peek() byte {
	for r.at < len(r.text) {
		switch c := r.text[r.at]; c {
		case ' ', '\t', '\r', '\n':
			r.at++
		default:
			return c
		}
	}
	return 0
}

func (r *Reader) take(c byte) bool {
	if r.peek() != c || r.at >= len(r.text) {
		return false
	}
	r.at++
	return true
}

// Object calls member for each member; member must read exactly the value.
func (r *Reader) Object(member func(name []byte) error) error {
	if !r.take('{') {
		return r.bad("an object")
	}
	if r.take('}') {
		return nil
	}
	for {
		name, err := r.Text()
		if err != nil {
			return err
		}
		if !r.take(':') {
			return r.bad("a colon")
		}
		if err := member(name); err != nil {
			return err
		}
		if r.take('}') {
			return nil
		}
		if !r.take(',') {
			return r.bad("a comma or the object's end")
		}
	}
}

// List calls element before each element, which must read it.
func (r *Reader) List(element func() error) error {
	if !r.take('[') {
		return r.bad("a list")
	}
	if r.take(']') {
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if r.take(']') {
			return nil
		}
		if !r.take(',') {
			return r.bad("a comma or the list's end")
		}
	}
}

// End fails unless only white space is left.
func (r *Reader) End() error {
	if r.peek(); r.at < len(r.text) {
		return r.bad("the end of the line")
	}
	return nil
}
