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

const (
	escapeLetters          = `"\/bfnrt`        // letters of the one-letter escapes
	escapeCharacters       = "\"\\/\b\f\n\r\t" // characters that these escapes stand for, in the same order
	codeUnitDigits         = 4                 // hex digits after \u
	invalidUTF8Replacement = "?"               // for invalid UTF-8 in AppendString
	expectNoControl        = "no control character in a string"
	expectStringEnd        = "the string's end"
)

// ReadString reads a string. If it has no escapes, the result points into the line.
func (r *Reader) ReadString() ([]byte, error) {
	if !r.consume('"') {
		return nil, r.syntaxError("a string")
	}
	start := r.offset
	for ; r.offset < len(r.text); r.offset++ {
		switch c := r.text[r.offset]; {
		case c == '"':
			r.offset++
			return r.text[start : r.offset-1], nil
		case c == '\\':
			return r.readEscaped(start)
		case c < ' ':
			return nil, r.syntaxError(expectNoControl)
		}
	}
	return nil, r.syntaxError(expectStringEnd)
}

// readEscaped reads the rest of a string that began at start and has its first escape at the current offset.
func (r *Reader) readEscaped(start int) ([]byte, error) {
	out := bytes.Clone(r.text[start:r.offset])
	for r.offset < len(r.text) {
		c := r.text[r.offset]
		r.offset++
		switch {
		case c == '"':
			return out, nil
		case c < ' ':
			return nil, r.syntaxError(expectNoControl)
		case c != '\\':
			out = append(out, c)
			continue
		}
		if r.offset >= len(r.text) {
			break
		}
		var err error
		out, err = r.appendEscape(out)
		if err != nil {
			return nil, err
		}
	}
	return nil, r.syntaxError(expectStringEnd)
}

// appendEscape reads the rest of an escape after its backslash and appends the character.
func (r *Reader) appendEscape(out []byte) ([]byte, error) {
	c := r.text[r.offset]
	r.offset++
	if n := strings.IndexByte(escapeLetters, c); n >= 0 {
		return append(out, escapeCharacters[n]), nil
	}
	if c != 'u' {
		return nil, r.syntaxError("an escape")
	}
	character, err := r.readCodeUnit()
	if err != nil {
		return nil, err
	}
	if utf16.IsSurrogate(character) && bytes.HasPrefix(r.text[r.offset:], []byte(`\u`)) {
		character, err = r.readSurrogatePair(character)
		if err != nil {
			return nil, err
		}
	}
	return utf8.AppendRune(out, character), nil
}

// readSurrogatePair reads the escape after a surrogate and returns the character of the pair. If the two are not a pair, it
// reads nothing and returns the surrogate, which is then encoded as U+FFFD.
func (r *Reader) readSurrogatePair(first rune) (rune, error) {
	start := r.offset
	r.offset += len(`\u`)
	second, err := r.readCodeUnit()
	if err != nil {
		return 0, err
	}
	character := utf16.DecodeRune(first, second)
	if character == utf8.RuneError {
		r.offset = start
		return first, nil
	}
	return character, nil
}

// readCodeUnit reads the hex digits of a UTF-16 code unit.
func (r *Reader) readCodeUnit() (rune, error) {
	const expected = "four hex digits"
	end := r.offset + codeUnitDigits
	if end > len(r.text) {
		return 0, r.syntaxError(expected)
	}
	unit, err := strconv.ParseUint(string(r.text[r.offset:end]), 16, 16)
	if err != nil {
		return 0, r.syntaxError(expected)
	}
	r.offset = end
	return rune(unit), nil
}

// ReadBase64 reads a string in standard base64 of at most maxSize decoded bytes. The result does not point into the line.
func (r *Reader) ReadBase64(maxSize int) ([]byte, error) {
	text, err := r.ReadString()
	if err != nil {
		return nil, err
	}
	if len(text) > base64.StdEncoding.EncodedLen(maxSize) {
		return nil, base64Error(maxSize)
	}
	out := make([]byte, base64.StdEncoding.DecodedLen(len(text)))
	size, err := base64.StdEncoding.Strict().Decode(out, text)
	if err != nil || size > maxSize {
		return nil, base64Error(maxSize)
	}
	return out[:size], nil
}

func base64Error(maxSize int) error {
	return fmt.Errorf("expected at most %d bytes in base64", maxSize)
}

// AppendString appends s as a JSON string, with a question mark for each run of invalid UTF-8.
func AppendString(out []byte, s string) []byte {
	s = strings.ToValidUTF8(s, invalidUTF8Replacement)
	out = append(out, '"')
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

// AppendBase64 appends b as a JSON string in standard base64.
func AppendBase64(out, b []byte) []byte {
	out = append(out, '"')
	out = base64.StdEncoding.AppendEncode(out, b)
	return append(out, '"')
}
