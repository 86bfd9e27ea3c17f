// This file owns numbers, flags, and values that are passed over.

package jsonline

import (
	"bytes"
	"strconv"
	"strings"
)

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
