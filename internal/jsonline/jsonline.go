// Package jsonline reads one JSON object from a line, member by member, into what the caller keeps, and writes
// the few pieces that our messages need. It builds no tree and knows no message. It must never read past the
// line, panic on any bytes, or keep a reference to the line: what it returns may point into it and has to be
// copied by who keeps it.
package jsonline

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
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

// Text reads a string; without escapes it points into the line.
func (r *Reader) Text() ([]byte, error) {
	if !r.take('"') {
		return nil, r.bad("a string")
	}
	from := r.at
	for ; r.at < len(r.text); r.at++ {
		switch c := r.text[r.at]; {
		case c == '"':
			r.at++
			return r.text[from : r.at-1], nil
		case c == '\\':
			return r.escaped(from)
		case c < ' ':
			return nil, r.bad("no control character in a string")
		}
	}
	return nil, r.bad("the string's end")
}

func (r *Reader) escaped(from int) ([]byte, error) {
	out := bytes.Clone(r.text[from:r.at])
	for r.at < len(r.text) {
		c := r.text[r.at]
		r.at++
		switch {
		case c == '"':
			return out, nil
		case c < ' ':
			return nil, r.bad("no control character in a string")
		case c != '\\':
			out = append(out, c)
			continue
		}
		if r.at >= len(r.text) {
			break
		}
		c = r.text[r.at]
		r.at++
		if n := bytes.IndexByte([]byte(`"\/bfnrt`), c); n >= 0 {
			out = append(out, "\"\\/\b\f\n\r\t"[n])
			continue
		}
		if c != 'u' {
			return nil, r.bad("an escape")
		}
		one, err := r.unit()
		if err != nil {
			return nil, err
		}
		if utf16.IsSurrogate(one) && bytes.HasPrefix(r.text[r.at:], []byte(`\u`)) {
			back := r.at
			r.at += 2
			two, err := r.unit()
			if err != nil {
				return nil, err
			}
			if both := utf16.DecodeRune(one, two); both != utf8.RuneError {
				one = both
			} else {
				r.at = back // a lone half stands for itself, as no character
			}
		}
		out = utf8.AppendRune(out, one)
	}
	return nil, r.bad("the string's end")
}

func (r *Reader) unit() (rune, error) {
	if r.at+4 > len(r.text) {
		return 0, r.bad("four hex digits")
	}
	n, err := strconv.ParseUint(string(r.text[r.at:r.at+4]), 16, 16)
	if err != nil {
		return 0, r.bad("four hex digits")
	}
	r.at += 4
	return rune(n), nil
}

// Number reads a number, by JSON's own grammar: an id goes back as it came, and a reader of it may be strict.
func (r *Reader) Number() (float64, error) {
	r.peek()
	from := r.at
	digits := func() bool {
		at := r.at
		for r.at < len(r.text) && r.text[r.at] >= '0' && r.text[r.at] <= '9' {
			r.at++
		}
		return r.at > at
	}
	skip := func(any string) bool {
		found := r.at < len(r.text) && strings.IndexByte(any, r.text[r.at]) >= 0
		if found {
			r.at++
		}
		return found
	}
	skip("-")
	whole := r.at
	ok := digits() && (r.text[whole] != '0' || r.at == whole+1)
	if ok && skip(".") {
		ok = digits()
	}
	if ok && skip("eE") {
		skip("+-")
		ok = digits()
	}
	x, err := strconv.ParseFloat(string(r.text[from:r.at]), 64)
	if !ok || err != nil {
		r.at = from
		return 0, r.bad("a number")
	}
	return x, nil
}

// Flag reads true, false, or a number that is no 0 for true.
func (r *Reader) Flag() (bool, error) {
	switch r.peek() {
	case 't':
		return true, r.word("true")
	case 'f':
		return false, r.word("false")
	}
	x, err := r.Number()
	return x != 0, err
}

func (r *Reader) word(want string) error {
	if !bytes.HasPrefix(r.text[r.at:], []byte(want)) {
		return r.bad(want)
	}
	r.at += len(want)
	return nil
}

// Raw reads any value and returns its text.
func (r *Reader) Raw() ([]byte, error) {
	r.peek()
	from := r.at
	err := r.skip(0)
	return r.text[from:r.at], err
}

func (r *Reader) skip(depth int) (err error) {
	if depth > deepest {
		return r.bad("fewer nested values")
	}
	switch c := r.peek(); c {
	case '{':
		return r.Object(func([]byte) error { return r.skip(depth + 1) })
	case '[':
		return r.List(func() error { return r.skip(depth + 1) })
	case '"':
		_, err = r.Text()
	case 't':
		err = r.word("true")
	case 'f':
		err = r.word("false")
	case 'n':
		err = r.word("null")
	default:
		_, err = r.Number()
	}
	return err
}

// Bytes reads a string in base64, of at most so many bytes, into a slice of its own.
func (r *Reader) Bytes(most int) ([]byte, error) {
	text, err := r.Text()
	if err != nil {
		return nil, err
	}
	if len(text) > base64.StdEncoding.EncodedLen(most) {
		return nil, fmt.Errorf("expected at most %d bytes in base64", most)
	}
	out := make([]byte, base64.StdEncoding.DecodedLen(len(text)))
	n, err := base64.StdEncoding.Strict().Decode(out, text)
	if err != nil || n > most {
		return nil, fmt.Errorf("expected at most %d bytes in base64", most)
	}
	return out[:n], nil
}

// AppendText writes a string, with a mark for what is no character.
func AppendText(out []byte, s string) []byte {
	out, s = append(out, '"'), strings.ToValidUTF8(s, "?")
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			out = append(out, '\\', c)
		case c < ' ':
			out = fmt.Appendf(out, `\u%04x`, c)
		default:
			out = append(out, c)
		}
	}
	return append(out, '"')
}

// AppendBytes writes a string in base64.
func AppendBytes(out, b []byte) []byte {
	out = base64.StdEncoding.AppendEncode(append(out, '"'), b)
	return append(out, '"')
}

// Lines cuts a stream into lines. Its rest is bounded by the longest line, and emptied by the next line feed.
type Lines struct {
	rest    []byte
	Longest int
}

// Partial tells whether a line has begun that is not whole.
func (l *Lines) Partial() bool { return len(l.rest) > 0 }

// ErrLong is a line over the longest.
var ErrLong = errors.New("line too long")

// Feed calls line for each whole line, without its end, blank ones left out.
func (l *Lines) Feed(data []byte, line func([]byte) error) error {
	for {
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			n = len(data)
		}
		if len(l.rest)+n > l.Longest {
			return ErrLong
		}
		if n == len(data) {
			l.rest = append(l.rest, data...)
			return nil
		}
		whole := data[:n]
		if len(l.rest) > 0 {
			l.rest = append(l.rest, whole...)
			whole = l.rest
		}
		data = data[n+1:]
		if whole = bytes.TrimSpace(whole); len(whole) > 0 {
			if err := line(whole); err != nil {
				return err
			}
		}
		if l.rest = l.rest[:0]; len(data) == 0 {
			l.rest = nil // idle connections keep no buffer
			return nil
		}
	}
}
