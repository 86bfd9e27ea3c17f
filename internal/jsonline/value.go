package jsonline

import (
	"bytes"
	"strconv"
	"strings"
)

// ReadNumber reads a number by the grammar of JSON, which is stricter than that of strconv.
func (r *Reader) ReadNumber() (float64, error) {
	r.peek()
	start := r.offset
	isNumber := r.skipNumber()
	x, err := strconv.ParseFloat(string(r.text[start:r.offset]), 64)
	if !isNumber || err != nil {
		r.offset = start
		return 0, r.syntaxError("a number")
	}
	return x, nil
}

// skipNumber skips the longest prefix that could be the start of a number, and reports whether it is a number.
func (r *Reader) skipNumber() bool {
	r.skipOneOf("-")
	start := r.offset
	if !r.skipDigits() {
		return false
	}
	hasLeadingZero := r.text[start] == '0' && r.offset > start+1
	if hasLeadingZero {
		return false
	}
	if r.skipOneOf(".") && !r.skipDigits() {
		return false
	}
	if r.skipOneOf("eE") {
		r.skipOneOf("+-")
		return r.skipDigits()
	}
	return true
}

func (r *Reader) skipDigits() bool {
	start := r.offset
	for r.offset < len(r.text) && r.text[r.offset] >= '0' && r.text[r.offset] <= '9' {
		r.offset++
	}
	return r.offset > start
}

// skipOneOf skips the next byte if the set contains it.
func (r *Reader) skipOneOf(set string) bool {
	if r.offset >= len(r.text) || strings.IndexByte(set, r.text[r.offset]) < 0 {
		return false
	}
	r.offset++
	return true
}

// ReadBool reads true, false, or a number, which is true unless it is 0.
func (r *Reader) ReadBool() (bool, error) {
	switch r.peek() {
	case 't':
		return true, r.readLiteral("true")
	case 'f':
		return false, r.readLiteral("false")
	}
	x, err := r.ReadNumber()
	return x != 0, err
}

func (r *Reader) readLiteral(literal string) error {
	if !bytes.HasPrefix(r.text[r.offset:], []byte(literal)) {
		return r.syntaxError(literal)
	}
	r.offset += len(literal)
	return nil
}

// ReadRaw reads any value of at most maxDepth levels and returns its text, which points into the line.
func (r *Reader) ReadRaw() ([]byte, error) {
	r.peek()
	start := r.offset
	err := r.skipValue(0)
	return r.text[start:r.offset], err
}

func (r *Reader) skipValue(depth int) (err error) {
	if depth > maxDepth {
		return r.syntaxError("fewer nested values")
	}
	switch r.peek() {
	case '{':
		return r.ReadObject(func([]byte) error { return r.skipValue(depth + 1) })
	case '[':
		return r.ReadArray(func() error { return r.skipValue(depth + 1) })
	case '"':
		_, err = r.ReadString()
	case 't':
		err = r.readLiteral("true")
	case 'f':
		err = r.readLiteral("false")
	case 'n':
		err = r.readLiteral("null")
	default:
		_, err = r.ReadNumber()
	}
	return err
}
