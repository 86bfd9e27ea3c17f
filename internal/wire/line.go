package wire

import (
	"strconv"
	"strings"
	"time"
)

// Line appends a message to a buffer. Each method appends one field; End completes the line:
//
//	out = wire.NewLine(out, "RUN").Uint("ticket", 7).End()
type Line struct{ out []byte }

// NewLine appends the name of a message to out.
func NewLine(out []byte, name string) Line { return Line{append(out, name...)} }

// End completes the line and returns the buffer.
func (l Line) End() []byte { return append(l.out, '\n') }

// Uint appends a whole number.
func (l Line) Uint(name string, value uint64) Line {
	return Line{strconv.AppendUint(l.appendKey(name), value, 10)}
}

// Number appends a number in decimal notation, with the fewest digits that represent it exactly.
func (l Line) Number(name string, value float64) Line {
	return Line{strconv.AppendFloat(l.appendKey(name), value, 'f', -1, 64)}
}

// Seconds appends a time or duration in seconds, truncated to microseconds.
func (l Line) Seconds(name string, value time.Duration) Line {
	return l.Number(name, float64(value/time.Microsecond)/1e6)
}

// Bool appends a bool as 1 or 0.
func (l Line) Bool(name string, value bool) Line {
	digit := byte('0')
	if value {
		digit = '1'
	}
	return Line{append(l.appendKey(name), digit)}
}

// Text appends a text, which extends to the end of the line, so it must be the last field. Line breaks are replaced
// by spaces.
func (l Line) Text(name, value string) Line {
	return Line{append(l.appendKey(name), strings.Map(lineBreakToSpace, value)...)}
}

func (l Line) appendKey(name string) []byte {
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
