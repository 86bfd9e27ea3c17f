package broker

import (
	"encoding/binary"
	"fmt"
)

// Method is an AMQP method with its arguments, in the order of the specification.
type Method struct {
	Name string
	Args []any
}

// bitsPerOctet is how many consecutive bit arguments share an octet.
const bitsPerOctet = 8

// methodsByID maps class ID << 16 | method ID to the method's name and signature. A signature has one letter per argument:
// o octet, h short, l long, q longlong, S shortstr, L longstr, T table, b bit.
var methodsByID = map[uint32]struct{ name, args string }{
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

// methodIDs maps the name of each method to its key in methodsByID.
var methodIDs = func() map[string]uint32 {
	m := map[string]uint32{}
	for id, s := range methodsByID {
		m[s.name] = id
	}
	return m
}()

// DecodeMethod decodes the payload of a method frame. It returns ErrMethod for an unknown method, and ErrSyntax for malformed
// arguments or trailing bytes.
func DecodeMethod(payload []byte) (m Method, err error) {
	r := &decoder{remaining: payload}
	id := uint32(r.uint(4))
	s, ok := methodsByID[id]
	if !ok || r.err != nil {
		return m, fmt.Errorf("%w: class %d, method %d", ErrMethod, id>>16, id&0xffff)
	}
	m.Name = s.name
	m.Args = r.arguments(s.args)
	return m, r.finish()
}

// AppendMethod appends the payload of a method frame. It panics when the method is unknown, or when the arguments do not match
// its signature.
func AppendMethod(out []byte, name string, args ...any) []byte {
	id, ok := methodIDs[name]
	if !ok || len(args) != len(methodsByID[id].args) {
		panic("broker: unknown method, or wrong number of arguments: " + name)
	}
	return appendArguments(binary.BigEndian.AppendUint32(out, id), methodsByID[id].args, args)
}
