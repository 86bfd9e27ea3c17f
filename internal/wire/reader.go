// Package wire reads and writes the simulator's line protocol: a line is the name of a message and its fields as
// name=value, separated by single spaces. The package implements the framing and the formats of values; package
// simhost implements the meaning of the messages. None of the types is safe for concurrent use.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// readBufferBytes is the size of the input buffer. Batches can be several megabytes long.
const readBufferBytes = 1 << 20

// Error is the error of malformed input. It names the position and what was expected there.
type Error struct {
	Line     int    // from 1; 0 for an error of the input as a whole
	Field    string // message and field, or another position such as the end of a line
	Expected string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d: %s: expected %s", e.Line, e.Field, e.Expected)
}

// Reader reads messages and numbers their lines.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)} }

// Next returns the message of the next line that is not blank, or io.EOF at the end of the input. It returns an
// *Error if the input ends within a line.
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
