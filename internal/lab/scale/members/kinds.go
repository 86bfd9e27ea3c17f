// This file owns telling memberlist's messages apart by kind, for the trace of what costs the bytes. It must never be
// used where processor time is measured.

package members

import (
	"bytes"
	"compress/lzw"
	"encoding/binary"
	"io"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// kind is what a message is for.
type kind int

const (
	kindProbe    kind = iota // pings, acks, asking others to ping
	kindSuspect              // suspicions and deaths, passed on
	kindAlive                // records, passed on
	kindExchange             // the full exchange of state (push and pull)
	kindOwn                  // messages of ours (member.Send)
	kindOther
	kindCount
)

var kindNames = [kindCount]string{"probes", "suspicions_and_deaths", "records", "full_exchange", "own_messages", "other"}

// memberlist's message types (net.go there, which says that the numbers are part of the protocol).
const (
	typePing = iota
	typeIndirectPing
	typeAck
	typeSuspect
	typeAlive
	typeDead
	typePushPull
	typeCompound
	typeUser
	typeCompressed
	typeEncrypted
	typeNack
	typeChecksum
)

var kindOfType = map[byte]kind{typePing: kindProbe, typeIndirectPing: kindProbe, typeAck: kindProbe, typeNack: kindProbe,
	typeSuspect: kindSuspect, typeDead: kindSuspect, typeAlive: kindAlive, typePushPull: kindExchange, typeUser: kindOwn}

const checksumBytes = 5

// addPacket shares a datagram's bytes among the kinds of the messages in it, by their length before compression.
func (m *meter) addPacket(b []byte) {
	plain := b
	if len(plain) > checksumBytes && plain[0] == typeChecksum {
		plain = plain[checksumBytes:]
	}
	plain = expand(plain)
	parts := split(plain)
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	for _, part := range parts {
		m.kinds[kindOf(part)].Add(int64(len(b) * len(part) / max(total, 1)))
	}
}

// addStream counts one message written to a stream; memberlist writes each by one call.
func (m *meter) addStream(b []byte) {
	m.kinds[kindOf(expand(b))].Add(int64(len(b)))
}

func kindOf(message []byte) kind {
	if len(message) == 0 {
		return kindOther
	}
	if k, known := kindOfType[message[0]]; known {
		return k
	}
	return kindOther
}

// expand takes compression off; what does not read is returned as it is.
func expand(b []byte) []byte {
	if len(b) == 0 || b[0] != typeCompressed {
		return b
	}
	var compressed struct {
		Algo uint8
		Buf  []byte
	}
	if codec.NewDecoderBytes(b[1:], &codec.MsgpackHandle{}).Decode(&compressed) != nil {
		return b
	}
	const literalWidth = 8
	plain, err := io.ReadAll(lzw.NewReader(bytes.NewReader(compressed.Buf), lzw.LSB, literalWidth))
	if err != nil {
		return b
	}
	return plain
}

// split takes a compound message apart: its type, a count, a length of two bytes each, the messages.
func split(b []byte) [][]byte {
	if len(b) < 2 || b[0] != typeCompound {
		return [][]byte{b}
	}
	count := int(b[1])
	lengths, rest := b[2:], b[2:]
	if len(rest) < 2*count {
		return nil
	}
	rest = rest[2*count:]
	var parts [][]byte
	for n := range count {
		length := int(binary.BigEndian.Uint16(lengths[2*n:]))
		if length > len(rest) {
			break
		}
		parts = append(parts, rest[:length])
		rest = rest[length:]
	}
	return parts
}
