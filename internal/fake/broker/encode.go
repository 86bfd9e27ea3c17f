package broker

import (
	"encoding/binary"
	"fmt"
	"math"
	"sort"
	"time"
)

// appendShortString appends a short string, truncated to its maximum of 255 bytes.
func appendShortString(out []byte, s string) []byte {
	s = s[:min(len(s), 255)]
	return append(append(out, byte(len(s))), s...)
}

// appendLongString appends a long string: a 32-bit length and the bytes.
func appendLongString(out, b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(b))), b...)
}

// appendArguments appends the values that a signature lists (format: see methodsByID).
func appendArguments(out []byte, signature string, args []any) []byte {
	bits, used := 0, bitsPerOctet // index of the octet that holds consecutive bit arguments, and how many of its bits are used
	for i, k := range signature {
		if k != 'b' {
			used = bitsPerOctet
		}
		switch k {
		case 'o':
			out = append(out, args[i].(uint8))
		case 'h':
			out = binary.BigEndian.AppendUint16(out, args[i].(uint16))
		case 'l':
			out = binary.BigEndian.AppendUint32(out, args[i].(uint32))
		case 'q':
			out = binary.BigEndian.AppendUint64(out, args[i].(uint64))
		case 'S':
			out = appendShortString(out, args[i].(string))
		case 'L':
			out = appendLongString(out, []byte(args[i].(string)))
		case 'T':
			out = appendTable(out, args[i].(Table))
		case 'b':
			if used == bitsPerOctet {
				bits, used = len(out), 0
				out = append(out, 0)
			}
			if args[i].(bool) {
				out[bits] |= 1 << used
			}
			used++
		}
	}
	return out
}

// appendTable appends a field table, with its names sorted.
func appendTable(out []byte, t Table) []byte {
	var in []byte
	names := make([]string, 0, len(t))
	for name := range t {
		names = append(names, name)
	}
	sort.Strings(names) // makes the encoding deterministic
	for _, name := range names {
		in = appendValue(appendShortString(in, name), t[name])
	}
	return appendLongString(out, in)
}

// appendValue appends a field value with its type tag. It panics for a type that Table does not allow.
func appendValue(out []byte, v any) []byte {
	be := binary.BigEndian
	switch v := v.(type) {
	case nil:
		return append(out, fieldVoid)
	case bool:
		if v {
			return append(out, fieldBool, 1)
		}
		return append(out, fieldBool, 0)
	case int8:
		return append(out, fieldInt8, byte(v))
	case uint8:
		return append(out, fieldUint8, v)
	case int16:
		return be.AppendUint16(append(out, fieldInt16), uint16(v))
	case uint16:
		return be.AppendUint16(append(out, fieldUint16), v)
	case int32:
		return be.AppendUint32(append(out, fieldInt32), uint32(v))
	case uint32:
		return be.AppendUint32(append(out, fieldUint32), v)
	case int:
		return be.AppendUint64(append(out, fieldInt64), uint64(v))
	case int64:
		return be.AppendUint64(append(out, fieldInt64), uint64(v))
	case float32:
		return be.AppendUint32(append(out, fieldFloat32), math.Float32bits(v))
	case float64:
		return be.AppendUint64(append(out, fieldFloat64), math.Float64bits(v))
	case string:
		return appendLongString(append(out, fieldString), []byte(v))
	case []byte:
		return appendLongString(append(out, fieldBytes), v)
	case time.Time:
		return be.AppendUint64(append(out, fieldTimestamp), uint64(v.Unix()))
	case Table:
		return appendTable(append(out, fieldTable), v)
	case []any:
		var in []byte
		for _, element := range v {
			in = appendValue(in, element)
		}
		return appendLongString(append(out, fieldArray), in)
	}
	panic(fmt.Sprintf("broker: type %T is not allowed as a value of a field table", v))
}
