// Package broker is a stand-in message broker that speaks AMQP 0-9-1, written from the specification (the protocol's
// page and its XML; RabbitMQ's published extensions for nack, confirms, blocked and consumer cancel). It serves rigs
// and tests: durable queues live in the process's memory and outlast its own restarts, and a script tells it which
// fault to commit when. It must never be linked by the instance, bind anything but loopback, or act by chance: same
// script, same doings.
//
// This file is the codec. It is strict: what is longer than it says, unknown or out of place is an error, and
// nothing is allocated before its bound is checked.
package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"time"
)

// Bounds of what is read.
const (
	MostFrame   = 128 << 10 // bytes of a payload
	mostDepth   = 8         // of tables in tables
	mostEntries = 256       // of one table
)

// The kinds of frames.
const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	frameEnd       = 0xCE
	frameExtra     = 8 // bytes around a payload
)

// Frame is one as it stands on the wire.
type Frame struct {
	Kind    byte
	Channel uint16
	Payload []byte
}

// Errors of the codec.
var (
	ErrFrame  = errors.New("not a frame")
	ErrSyntax = errors.New("arguments malformed")
	ErrMethod = errors.New("unknown method")
)

// ReadFrame takes one of at most so many bytes of payload.
func ReadFrame(r io.Reader, most uint32) (f Frame, err error) {
	var head [7]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	f.Kind, f.Channel = head[0], binary.BigEndian.Uint16(head[1:])
	size := binary.BigEndian.Uint32(head[3:])
	if size > min(most, MostFrame) || f.Kind != frameMethod && f.Kind != frameHeader && f.Kind != frameBody && f.Kind != frameHeartbeat {
		return f, fmt.Errorf("%w: kind %d of %d bytes", ErrFrame, f.Kind, size)
	}
	body := make([]byte, size+1)
	if _, err = io.ReadFull(r, body); err != nil {
		return f, err
	}
	if f.Payload = body[:size]; body[size] != frameEnd {
		return f, fmt.Errorf("%w: ends with %#x", ErrFrame, body[size])
	}
	return f, nil
}

// AppendFrame writes one.
func AppendFrame(out []byte, kind byte, channel uint16, payload []byte) []byte {
	out = binary.BigEndian.AppendUint16(append(out, kind), channel)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	return append(append(out, payload...), frameEnd)
}

// Table is a field table. Its values are bool, the sized integers, float32, float64, string, []byte, time.Time (whole
// seconds), Table, []any and nil.
type Table map[string]any

// Method is one with its arguments in the order of the specification.
type Method struct {
	Name string
	Args []any
}

// The signatures: o octet, h short, l long, q longlong, S shortstr, L longstr, T table, b bit.
var methods = map[uint32]struct{ name, args string }{
	10<<16 | 10: {"connection.start", "ooTLL"}, 10<<16 | 11: {"connection.start-ok", "TSLS"},
	10<<16 | 30: {"connection.tune", "hlh"}, 10<<16 | 31: {"connection.tune-ok", "hlh"},
	10<<16 | 40: {"connection.open", "SSb"}, 10<<16 | 41: {"connection.open-ok", "S"},
	10<<16 | 50: {"connection.close", "hShh"}, 10<<16 | 51: {"connection.close-ok", ""},
	10<<16 | 60: {"connection.blocked", "S"}, 10<<16 | 61: {"connection.unblocked", ""},
	20<<16 | 10: {"channel.open", "S"}, 20<<16 | 11: {"channel.open-ok", "L"},
	20<<16 | 20: {"channel.flow", "b"}, 20<<16 | 21: {"channel.flow-ok", "b"},
	20<<16 | 40: {"channel.close", "hShh"}, 20<<16 | 41: {"channel.close-ok", ""},
	40<<16 | 10: {"exchange.declare", "hSSbbbbbT"}, 40<<16 | 11: {"exchange.declare-ok", ""},
	40<<16 | 20: {"exchange.delete", "hSbb"}, 40<<16 | 21: {"exchange.delete-ok", ""},
	50<<16 | 10: {"queue.declare", "hSbbbbbT"}, 50<<16 | 11: {"queue.declare-ok", "Sll"},
	50<<16 | 20: {"queue.bind", "hSSSbT"}, 50<<16 | 21: {"queue.bind-ok", ""},
	50<<16 | 30: {"queue.purge", "hSb"}, 50<<16 | 31: {"queue.purge-ok", "l"},
	50<<16 | 40: {"queue.delete", "hSbbb"}, 50<<16 | 41: {"queue.delete-ok", "l"},
	50<<16 | 50: {"queue.unbind", "hSSST"}, 50<<16 | 51: {"queue.unbind-ok", ""},
	60<<16 | 10: {"basic.qos", "lhb"}, 60<<16 | 11: {"basic.qos-ok", ""},
	60<<16 | 20: {"basic.consume", "hSSbbbbT"}, 60<<16 | 21: {"basic.consume-ok", "S"},
	60<<16 | 30: {"basic.cancel", "Sb"}, 60<<16 | 31: {"basic.cancel-ok", "S"},
	60<<16 | 40: {"basic.publish", "hSSbb"}, 60<<16 | 50: {"basic.return", "hSSS"},
	60<<16 | 60: {"basic.deliver", "SqbSS"}, 60<<16 | 70: {"basic.get", "hSb"},
	60<<16 | 71: {"basic.get-ok", "qbSSl"}, 60<<16 | 72: {"basic.get-empty", "S"},
	60<<16 | 80: {"basic.ack", "qb"}, 60<<16 | 90: {"basic.reject", "qb"},
	60<<16 | 100: {"basic.recover-async", "b"}, 60<<16 | 110: {"basic.recover", "b"},
	60<<16 | 111: {"basic.recover-ok", ""}, 60<<16 | 120: {"basic.nack", "qbb"},
	85<<16 | 10: {"confirm.select", "b"}, 85<<16 | 11: {"confirm.select-ok", ""},
}

var byName = func() map[string]uint32 {
	m := map[string]uint32{}
	for id, s := range methods {
		m[s.name] = id
	}
	return m
}()

// DecodeMethod reads the payload of a method's frame; all of it must be used.
func DecodeMethod(payload []byte) (m Method, err error) {
	r := &reader{left: payload}
	id := uint32(r.number(4))
	s, ok := methods[id]
	if !ok || r.err != nil {
		return m, fmt.Errorf("%w: %d.%d", ErrMethod, id>>16, id&0xffff)
	}
	m.Name = s.name
	m.Args = r.values(s.args)
	return m, r.end()
}

// AppendMethod writes a method's payload. Arguments of a kind that the method does not take are a defect of the
// caller, and panic.
func AppendMethod(out []byte, name string, args ...any) []byte {
	id, ok := byName[name]
	if !ok || len(args) != len(methods[id].args) {
		panic("no such method: " + name)
	}
	return appendValues(binary.BigEndian.AppendUint32(out, id), methods[id].args, args)
}

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

// Props are the properties of a message, by the places below; nil: not there.
type Props [14]any

// The places of the properties, in the order of the specification.
const (
	ContentType     = iota
	ContentEncoding // string, as all that is not said otherwise
	Headers         // Table
	DeliveryMode    // uint8
	Priority        // uint8
	CorrelationID
	ReplyTo
	Expiration
	MessageID
	Timestamp // uint64, seconds
	Type
	UserID
	AppID
	ClusterID
)

const propKinds = "SSTooSSSSqSSSS"

// Text is a property that is a text; none is empty.
func (p *Props) Text(place int) string { s, _ := p[place].(string); return s }

// Header is one of the headers; nil: none.
func (p *Props) Header(name string) any { t, _ := p[Headers].(Table); return t[name] }

// WithHeader is a copy with that header set.
func (p Props) WithHeader(name string, v any) Props {
	t := Table{}
	if old, ok := p[Headers].(Table); ok {
		for k, x := range old {
			t[k] = x
		}
	}
	t[name] = v
	p[Headers] = t
	return p
}

// DecodeHeader reads the payload of a content header of the class basic.
func DecodeHeader(payload []byte) (size uint64, p Props, err error) {
	r := &reader{left: payload}
	class, weight := r.number(2), r.number(2)
	size = r.number(8)
	flags := r.number(2)
	if class != 60 || weight != 0 || flags&3 != 0 { // a further word of flags or an unknown one
		return 0, p, ErrSyntax
	}
	for i, kind := range propKinds {
		if flags>>(15-i)&1 == 1 {
			p[i] = r.values(string(kind))[0]
		}
	}
	return size, p, r.end()
}

// AppendHeader writes it.
func AppendHeader(out []byte, size int, p Props) []byte {
	out = binary.BigEndian.AppendUint32(out, 60<<16)
	out = binary.BigEndian.AppendUint64(out, uint64(size))
	flags, at := uint16(0), len(out)
	out = append(out, 0, 0)
	for i, kind := range propKinds {
		if p[i] != nil {
			flags |= 1 << (15 - i)
			out = appendValues(out, string(kind), p[i:i+1])
		}
	}
	binary.BigEndian.PutUint16(out[at:], flags)
	return out
}
