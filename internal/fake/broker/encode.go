// This file owns the writing of arguments and field tables.

package broker

import (
	"encoding/binary"
	"fmt"
	"math"
	"sort"
	"time"
)

func appendShort(out []byte, s string) []byte {
	s = s[:min(len(s), 255)]
	return append(append(out, byte(len(s))), s...)
}

func appendLong(out, b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(b))), b...)
}

func appendValues(out []byte, kinds string, args []any) []byte {
	bits, used := 0, 8 // place of the octet of bits, and how many of it are used
	for i, k := range kinds {
		if k != 'b' {
			used = 8
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
			out = appendShort(out, args[i].(string))
		case 'L':
			out = appendLong(out, []byte(args[i].(string)))
		case 'T':
			out = appendTable(out, args[i].(Table))
		case 'b':
			if used == 8 {
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

func appendTable(out []byte, t Table) []byte {
	var in []byte
	names := make([]string, 0, len(t))
	for name := range t {
		names = append(names, name)
	}
	sort.Strings(names) // the same table is the same bytes
	for _, name := range names {
		in = appendValue(appendShort(in, name), t[name])
	}
	return appendLong(out, in)
}

func appendValue(out []byte, v any) []byte {
	be := binary.BigEndian
	switch v := v.(type) {
	case nil:
		return append(out, 'V')
	case bool:
		if v {
			return append(out, 't', 1)
		}
		return append(out, 't', 0)
	case int8:
		return append(out, 'b', byte(v))
	case uint8:
		return append(out, 'B', v)
	case int16:
		return be.AppendUint16(append(out, 's'), uint16(v))
	case uint16:
		return be.AppendUint16(append(out, 'u'), v)
	case int32:
		return be.AppendUint32(append(out, 'I'), uint32(v))
	case uint32:
		return be.AppendUint32(append(out, 'i'), v)
	case int:
		return be.AppendUint64(append(out, 'l'), uint64(v))
	case int64:
		return be.AppendUint64(append(out, 'l'), uint64(v))
	case float32:
		return be.AppendUint32(append(out, 'f'), math.Float32bits(v))
	case float64:
		return be.AppendUint64(append(out, 'd'), math.Float64bits(v))
	case string:
		return appendLong(append(out, 'S'), []byte(v))
	case []byte:
		return appendLong(append(out, 'x'), v)
	case time.Time:
		return be.AppendUint64(append(out, 'T'), uint64(v.Unix()))
	case Table:
		return appendTable(append(out, 'F'), v)
	case []any:
		var in []byte
		for _, x := range v {
			in = appendValue(in, x)
		}
		return appendLong(append(out, 'A'), in)
	}
	panic(fmt.Sprintf("no field of a table: %T", v))
}
