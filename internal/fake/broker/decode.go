package broker

import (
	"math"
	"slices"
	"time"
)

// Table is a field table. Its values are nil, bool, int, int8 to int64, uint8 to uint32, float32, float64, string, []byte,
// time.Time (in whole seconds), Table and []any.
type Table map[string]any

// Type tags of the values in field tables, according to RabbitMQ's errata to the specification.
const (
	fieldBool      = 't'
	fieldInt8      = 'b'
	fieldUint8     = 'B'
	fieldInt16     = 's'
	fieldSpecInt16 = 'U' // the specification's tag; decoded only
	fieldUint16    = 'u'
	fieldInt32     = 'I'
	fieldUint32    = 'i'
	fieldInt64     = 'l'
	fieldSpecInt64 = 'L' // the specification's tag; decoded only
	fieldFloat32   = 'f'
	fieldFloat64   = 'd'
	fieldDecimal   = 'D' // decoded only
	fieldString    = 'S'
	fieldBytes     = 'x'
	fieldTimestamp = 'T'
	fieldTable     = 'F'
	fieldVoid      = 'V'
	fieldArray     = 'A'
)

// decoder decodes method arguments and properties. After an error its methods return zero values.
type decoder struct {
	remaining []byte
	err       error
}

// take returns the next n bytes, without copying them.
func (d *decoder) take(n int) []byte {
	if d.err != nil || n < 0 || n > len(d.remaining) {
		d.err = ErrSyntax
		return nil
	}
	p := d.remaining[:n]
	d.remaining = d.remaining[n:]
	return p
}

// finish returns ErrSyntax when decoding failed or bytes remain.
func (d *decoder) finish() error {
	if d.err == nil && len(d.remaining) > 0 {
		d.err = ErrSyntax
	}
	return d.err
}

// uint decodes a big-endian unsigned integer of size bytes.
func (d *decoder) uint(size int) (x uint64) {
	for _, b := range d.take(size) {
		x = x<<8 | uint64(b)
	}
	return x
}

func (d *decoder) shortString() string { return string(d.take(int(d.uint(1)))) }

func (d *decoder) longString() []byte {
	n := d.uint(4)
	if n > uint64(len(d.remaining)) {
		d.err = ErrSyntax
		return nil
	}
	return d.take(int(n))
}

// arguments decodes the values that a signature lists (format: see methodsByID).
func (d *decoder) arguments(signature string) (args []any) {
	bits, used := uint64(0), bitsPerOctet // the octet that holds consecutive bit arguments, and how many of its bits are used
	for _, k := range signature {
		if k != 'b' {
			used = bitsPerOctet
		}
		switch k {
		case 'o':
			args = append(args, uint8(d.uint(1)))
		case 'h':
			args = append(args, uint16(d.uint(2)))
		case 'l':
			args = append(args, uint32(d.uint(4)))
		case 'q':
			args = append(args, d.uint(8))
		case 'S':
			args = append(args, d.shortString())
		case 'L':
			args = append(args, string(d.longString()))
		case 'T':
			args = append(args, d.table(0))
		case 'b':
			if used == bitsPerOctet {
				bits, used = d.uint(1), 0
			}
			args = append(args, bits>>used&1 == 1)
			used++
		}
	}
	return args
}

// table decodes a field table nested in depth other tables or arrays.
func (d *decoder) table(depth int) Table {
	in := &decoder{remaining: d.longString()}
	t := Table{}
	for d.err == nil && len(in.remaining) > 0 {
		name := in.shortString()
		if len(t) >= maxTableEntries {
			in.err = ErrSyntax
		}
		v := in.value(depth)
		if in.err != nil {
			d.err = in.err
			return nil
		}
		t[name] = v
	}
	return t
}

// value decodes a field value with its type tag.
func (d *decoder) value(depth int) any {
	if depth > maxTableDepth {
		d.err = ErrSyntax
		return nil
	}
	switch d.uint(1) {
	case fieldBool:
		return d.uint(1) != 0
	case fieldInt8:
		return int8(d.uint(1))
	case fieldUint8:
		return uint8(d.uint(1))
	case fieldInt16, fieldSpecInt16:
		return int16(d.uint(2))
	case fieldUint16:
		return uint16(d.uint(2))
	case fieldInt32:
		return int32(d.uint(4))
	case fieldUint32:
		return uint32(d.uint(4))
	case fieldInt64, fieldSpecInt64:
		return int64(d.uint(8))
	case fieldFloat32:
		return math.Float32frombits(uint32(d.uint(4)))
	case fieldFloat64:
		return math.Float64frombits(d.uint(8))
	case fieldDecimal:
		scale := d.uint(1)
		return float64(int32(d.uint(4))) / math.Pow10(int(scale))
	case fieldString:
		return string(d.longString())
	case fieldBytes:
		return slices.Clone(d.longString())
	case fieldTimestamp:
		return time.Unix(int64(d.uint(8)), 0)
	case fieldTable:
		return d.table(depth + 1)
	case fieldVoid:
		return nil
	case fieldArray:
		return d.array(depth + 1)
	}
	d.err = ErrSyntax
	return nil
}

func (d *decoder) array(depth int) []any {
	in := &decoder{remaining: d.longString()}
	var list []any
	for d.err == nil && len(in.remaining) > 0 {
		if len(list) >= maxTableEntries {
			in.err = ErrSyntax
		}
		element := in.value(depth)
		if d.err = in.err; d.err == nil {
			list = append(list, element)
		}
	}
	return list
}
