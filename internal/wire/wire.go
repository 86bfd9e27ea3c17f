// Package wire frames, decodes and encodes the bench's line protocol. It knows names and
// number formats, and nothing of what they lead to.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// Error is a malformed message: the line, the field and what was expected there.
type Error struct {
	Line        int
	Field, Want string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d: field %s: expected %s", e.Line, e.Field, e.Want)
}

// Reader hands out the lines of the input one by one, with their numbers.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// Next returns the next line that is not blank; io.EOF when there is none.
func (r *Reader) Next() (Message, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err == io.EOF && text != "" {
			r.line++
			return Message{}, &Error{r.line, "end of line", "a line feed before the end of input"}
		}
		if err != nil {
			return Message{}, err
		}
		r.line++
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			continue
		}
		name, rest, _ := strings.Cut(text, " ")
		return Message{Name: name, rest: rest, Line: r.line}, nil
	}
}

// Message is one line: its name, and its fields still as text.
type Message struct {
	Name string
	Line int
	rest string
}

// Bad makes the error for one of its fields.
func (m Message) Bad(field, want string) error { return &Error{m.Line, m.Name + " " + field, want} }

// Field returns a field's text. Where several have the name the last one holds.
func (m Message) Field(name string) (value string, found bool) {
	rest := m.rest
	for rest != "" {
		var part string
		part, rest, _ = strings.Cut(rest, " ")
		if key, v, ok := strings.Cut(part, "="); ok && key == name {
			value, found = v, true
		}
	}
	return value, found
}

// Text returns a field that extends to the end of the line.
func (m Message) Text(name string) (string, bool) {
	rest := m.rest
	for rest != "" {
		if v, ok := strings.CutPrefix(rest, name+"="); ok {
			return v, true
		}
		_, rest, _ = strings.Cut(rest, " ")
	}
	return "", false
}

// Int returns a whole number of 0 and more; a missing one is an error where must is set.
func (m Message) Int(name string, must bool) (uint64, error) {
	text, ok := m.Field(name)
	if !ok && !must {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, m.Bad(name, "a whole number, got "+strconv.Quote(text))
	}
	return n, nil
}

// Number returns a finite number, 0 if missing.
func (m Message) Number(name string) (float64, error) {
	text, ok := m.Field(name)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, m.Bad(name, "a number, got "+strconv.Quote(text))
	}
	return x, nil
}

// Seconds returns a time or span; a missing one is an error where must is set.
func (m Message) Seconds(name string, must bool) (time.Duration, error) {
	if _, ok := m.Field(name); !ok && must {
		return 0, m.Bad(name, "a time in seconds")
	}
	x, err := m.Number(name)
	if err == nil && math.Abs(x) > 1e9 {
		return 0, m.Bad(name, "a time under 1e9 seconds")
	}
	return time.Duration(math.Round(x * 1e9)), err
}

// Bool returns a flag, false if missing.
func (m Message) Bool(name string) (bool, error) {
	switch text, _ := m.Field(name); text {
	case "", "0", "false":
		return false, nil
	case "1", "true":
		return true, nil
	default:
		return false, m.Bad(name, "1 or 0, got "+strconv.Quote(text))
	}
}

// Row returns numbers set apart by commas.
func (m Message) Row(name string) ([]float64, error) {
	text, _ := m.Field(name)
	if text == "" {
		return nil, nil
	}
	var row []float64
	for _, part := range strings.Split(text, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return nil, m.Bad(name, "numbers set apart by commas, got "+strconv.Quote(text))
		}
		row = append(row, x)
	}
	return row, nil
}

// Line appends one action line. Values come as name, value pairs; times are in seconds.
func Line(out []byte, name string, pairs ...any) []byte {
	out = append(out, name...)
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(append(append(out, ' '), pairs[i].(string)...), '=')
		switch v := pairs[i+1].(type) {
		case uint64:
			out = strconv.AppendUint(out, v, 10)
		case float64:
			out = strconv.AppendFloat(out, v, 'f', -1, 64)
		case time.Duration:
			out = strconv.AppendFloat(out, float64(v/time.Microsecond)/1e6, 'f', -1, 64)
		case bool:
			if v {
				out = append(out, '1')
			} else {
				out = append(out, '0')
			}
		case string:
			out = append(out, strings.Map(flat, v)...)
		}
	}
	return append(out, '\n')
}

func flat(r rune) rune {
	if r == '\n' || r == '\r' {
		return ' '
	}
	return r
}
