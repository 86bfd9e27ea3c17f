// This file owns texts and bytes: reading with their escapes, and writing.

package jsonline

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

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
