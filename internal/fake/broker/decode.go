// This file owns the reading of arguments and field tables.

package broker

import (
	"math"
	"slices"
	"time"
)

// Table is a field table. Its values are bool, the sized integers, float32, float64, string, []byte, time.Time (whole
// seconds), Table, []any and nil.
type Table map[string]any

type reader struct {
	left []byte
	err  error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.left) {
		r.err = ErrSyntax
		return nil
	}
	p := r.left[:n]
	r.left = r.left[n:]
	return p
}

func (r *reader) end() error {
	if r.err == nil && len(r.left) > 0 {
		r.err = ErrSyntax
	}
	return r.err
}

func (r *reader) number(size int) (x uint64) {
	for _, b := range r.take(size) {
		x = x<<8 | uint64(b)
	}
	return x
}

func (r *reader) short() string { return string(r.take(int(r.number(1)))) }

func (r *reader) long() []byte {
	n := r.number(4)
	if n > uint64(len(r.left)) {
		r.err = ErrSyntax
		return nil
	}
	return r.take(int(n))
}

func (r *reader) values(kinds string) (args []any) {
	bits, used := uint64(0), 8
	for _, k := range kinds {
		if k != 'b' {
			used = 8
		}
		switch k {
		case 'o':
			args = append(args, uint8(r.number(1)))
		case 'h':
			args = append(args, uint16(r.number(2)))
		case 'l':
			args = append(args, uint32(r.number(4)))
		case 'q':
			args = append(args, r.number(8))
		case 'S':
			args = append(args, r.short())
		case 'L':
			args = append(args, string(r.long()))
		case 'T':
			args = append(args, r.table(0))
		case 'b':
			if used == 8 {
				bits, used = r.number(1), 0
			}
			args = append(args, bits>>used&1 == 1)
			used++
		}
	}
	return args
}

func (r *reader) table(depth int) Table {
	in := &reader{left: r.long()}
	t := Table{}
	for r.err == nil && len(in.left) > 0 {
		name := in.short()
		if len(t) >= mostEntries {
			in.err = ErrSyntax
		}
		v := in.value(depth)
		if in.err != nil {
			r.err = in.err
			return nil
		}
		t[name] = v
	}
	return t
}

func (r *reader) value(depth int) any {
	if depth > mostDepth {
		r.err = ErrSyntax
		return nil
	}
	switch kind := r.number(1); kind {
	case 't':
		return r.number(1) != 0
	case 'b':
		return int8(r.number(1))
	case 'B':
		return uint8(r.number(1))
	case 's', 'U':
		return int16(r.number(2))
	case 'u':
		return uint16(r.number(2))
	case 'I':
		return int32(r.number(4))
	case 'i':
		return uint32(r.number(4))
	case 'l', 'L':
		return int64(r.number(8))
	case 'f':
		return math.Float32frombits(uint32(r.number(4)))
	case 'd':
		return math.Float64frombits(r.number(8))
	case 'D':
		scale := r.number(1)
		return float64(int32(r.number(4))) / math.Pow10(int(scale))
	case 'S':
		return string(r.long())
	case 'x':
		return slices.Clone(r.long())
	case 'T':
		return time.Unix(int64(r.number(8)), 0)
	case 'F':
		return r.table(depth + 1)
	case 'V':
		return nil
	case 'A':
		in := &reader{left: r.long()}
		var list []any
		for r.err == nil && len(in.left) > 0 {
			if len(list) >= mostEntries {
				in.err = ErrSyntax
			}
			v := in.value(depth + 1)
			if r.err = in.err; r.err == nil {
				list = append(list, v)
			}
		}
		return list
	}
	r.err = ErrSyntax
	return nil
}
