// This file owns the cutting of what a socket brings into lines.

package jsonline

import (
	"bytes"
	"errors"
)

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
