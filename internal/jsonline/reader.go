// Package jsonline reads one JSON object from a line, member by member, without building a tree. It also encodes strings and
// splits a byte stream into lines.
//
// A Reader accepts any bytes without panicking and never reads past the line. Raw values and strings without escapes
// point into the line, so a caller that retains them must copy them. Readers and splitters are not safe for concurrent use.
package jsonline

import (
	"errors"
	"fmt"
)

const maxDepth = 32 // levels of nested values; no message needs as many

// ErrSyntax is matched by every SyntaxError.
var ErrSyntax = errors.New("no JSON")

// SyntaxError reports malformed JSON.
type SyntaxError struct {
	Offset   int    // bytes from the start of the line
	Expected string // what the grammar requires at that offset
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%v at byte %d: expected %s", ErrSyntax, e.Offset, e.Expected)
}

// Unwrap returns ErrSyntax.
func (e *SyntaxError) Unwrap() error { return ErrSyntax }

// Reader reads the values of a line in order.
type Reader struct {
	text   []byte
	offset int // of the next byte
}

// NewReader returns a Reader at the start of the line.
func NewReader(line []byte) *Reader { return &Reader{text: line} }

func (r *Reader) syntaxError(expected string) error {
	return &SyntaxError{Offset: r.offset, Expected: expected}
}

// peek skips white space and returns the next byte without consuming it, 0 at the end of the line.
func (r *Reader) peek() byte {
	for r.offset < len(r.text) {
		switch c := r.text[r.offset]; c {
		case ' ', '\t', '\r', '\n':
			r.offset++
		default:
			return c
		}
	}
	return 0
}

// consume skips white space and the byte c, if that is next.
func (r *Reader) consume(c byte) bool {
	if r.peek() != c || r.offset >= len(r.text) {
		return false
	}
	r.offset++
	return true
}

// ReadObject reads an object and calls member with each name; member must read exactly the value. ReadObject returns a
// SyntaxError or the error of member.
func (r *Reader) ReadObject(member func(name []byte) error) error {
	if !r.consume('{') {
		return r.syntaxError("an object")
	}
	if r.consume('}') {
		return nil
	}
	for {
		name, err := r.ReadString()
		if err != nil {
			return err
		}
		if !r.consume(':') {
			return r.syntaxError("a colon")
		}
		if err := member(name); err != nil {
			return err
		}
		if r.consume('}') {
			return nil
		}
		if !r.consume(',') {
			return r.syntaxError("a comma or the object's end")
		}
	}
}

// ReadArray reads an array and calls element at each element; element must read exactly the value. ReadArray returns a
// SyntaxError or the error of element.
func (r *Reader) ReadArray(element func() error) error {
	if !r.consume('[') {
		return r.syntaxError("a list")
	}
	if r.consume(']') {
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if r.consume(']') {
			return nil
		}
		if !r.consume(',') {
			return r.syntaxError("a comma or the list's end")
		}
	}
}

// ExpectEnd returns a SyntaxError unless only white space is left.
func (r *Reader) ExpectEnd() error {
	r.peek()
	if r.offset < len(r.text) {
		return r.syntaxError("the end of the line")
	}
	return nil
}
