package jsonline

import (
	"bytes"
	"errors"
)

// ErrLineTooLong is returned for a line over LineSplitter.MaxLength.
var ErrLineTooLong = errors.New("line too long")

// LineSplitter splits a byte stream into lines. It buffers at most one partial line.
type LineSplitter struct {
	MaxLength int // bytes of a line without its line feed
	partial   []byte
}

// HasPartial reports whether an incomplete line is buffered.
func (s *LineSplitter) HasPartial() bool { return len(s.partial) > 0 }

// Feed calls handle for each line that data completes, trimmed of white space; blank lines are skipped. The line is valid
// only during the call. Feed returns ErrLineTooLong or the error of handle; the stream can't be continued after either.
func (s *LineSplitter) Feed(data []byte, handle func(line []byte) error) error {
	for {
		length := bytes.IndexByte(data, '\n')
		isComplete := length >= 0
		if !isComplete {
			length = len(data)
		}
		if len(s.partial)+length > s.MaxLength {
			return ErrLineTooLong
		}
		if !isComplete {
			s.partial = append(s.partial, data...)
			return nil
		}
		if err := s.completeLine(data[:length], handle); err != nil {
			return err
		}
		s.partial = s.partial[:0]
		data = data[length+1:]
		if len(data) == 0 {
			s.partial = nil // an idle connection retains no buffer
			return nil
		}
	}
}

func (s *LineSplitter) completeLine(line []byte, handle func(line []byte) error) error {
	if len(s.partial) > 0 {
		s.partial = append(s.partial, line...)
		line = s.partial
	}
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil
	}
	return handle(line)
}
