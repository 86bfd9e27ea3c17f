package wire

import (
	"strconv"
	"strings"
	"time"
)

// Line appends a message to a buffer. Its methods append one field each; End completes the line:
//
//	out = wire.NewLine(out, "RUN").Uint("ticket", 7).End()
type Line struct{ out []byte }

// NewLine starts a line of that name at the end of out.
func NewLine(out []byte, name string) Line { return Line{append(out, name...)} }

// End completes the line and returns the buffer.
func (l Line) End() []byte { return append(l.out, '\n') }

// Uint appends a whole number.
func (l Line) Uint(name string, value uint64) Line {
	return Line{strconv.AppendUint(l.key(name), value, 10)}
}

// Number appends a number, with the fewest digits that represent it exactly.
func (l Line) Number(name string, value float64) Line {
	return Line{strconv.AppendFloat(l.key(name), value, 'f', -1, 64)}
}

// Seconds appends a time or duration in seconds, truncated to microseconds.
func (l Line) Seconds(name string, value time.Duration) Line {
	return l.Number(name, float64(value/time.Microsecond)/1e6)
}

// Bool appends a flag as 1 or 0.
func (l Line) Bool(name string, value bool) Line {
	digit := byte('0')
	if value {
		digit = '1'
	}
	return Line{append(l.key(name), digit)}
}

// Text appends a text, which extends to the end of the line: it must be the last field. Line breaks become
// spaces.
func (l Line) Text(name, value string) Line {
	return Line{append(l.key(name), strings.Map(lineBreakToSpace, value)...)}
}

func (l Line) key(name string) []byte {
	out := append(l.out, ' ')
	out = append(out, name...)
	return append(out, '=')
}

func lineBreakToSpace(r rune) rune {
	if r == '\n' || r == '\r' {
		return ' '
	}
	return r
}
