// Package wire reads and writes the simulator's line protocol: a line is the name of a message and its
// fields as name=value, separated by single spaces. The package implements the framing and the formats of
// values; the meaning of the messages is that of package simhost. None of its types is safe for concurrent
// use.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// readBufferBytes is the size of the input buffer; batches extend to several megabytes.
const readBufferBytes = 1 << 20

// Error is the error of a malformed line, with its position and the expected content.
type Error struct {
	Line     int // from 1; 0: none, the input as a whole
	Field    string
	Expected string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d: field %s: expected %s", e.Line, e.Field, e.Expected)
}

// Reader reads messages, and numbers their lines.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader of the input.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)} }

// Next returns the message of the next line that is not blank, or io.EOF at the end of the input. The error is
// an *Error for an input that ends within a line.
func (r *Reader) Next() (Message, error) {
	for {
		text, err := r.in.ReadString('\n')
		if errors.Is(err, io.EOF) && text != "" {
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
		name, fields, _ := strings.Cut(text, " ")
		return Message{Name: name, Line: r.line, fields: fields}, nil
	}
}
