package members

import (
	"bytes"
	"compress/lzw"
	"encoding/binary"
	"io"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// messageKind is what a message of memberlist is for.
type messageKind int

const (
	kindProbe    messageKind = iota // health checks: pings, acknowledgements, indirect pings
	kindSuspect                     // suspicions and deaths in gossip
	kindAlive                       // records in gossip
	kindPushPull                    // full state exchanges
	kindUser                        // messages of membership.Member.Send
	kindOther
	kindCount
)

// kindNames are part of the names of figures.
var kindNames = [kindCount]string{"probes", "suspicions_and_deaths", "records", "full_exchange", "own_messages", "other"}

// Message types of memberlist's protocol (its net.go).
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

var kindOfType = map[byte]messageKind{typePing: kindProbe, typeIndirectPing: kindProbe, typeAck: kindProbe, typeNack: kindProbe,
	typeSuspect: kindSuspect, typeDead: kindSuspect, typeAlive: kindAlive, typePushPull: kindPushPull, typeUser: kindUser}

const checksumHeaderBytes = 5

// addPacket divides a datagram's bytes among the kinds of the messages in it, by their length before compression.
func (m *meter) addPacket(b []byte) {
	plain := b
	if len(plain) > checksumHeaderBytes && plain[0] == typeChecksum {
		plain = plain[checksumHeaderBytes:]
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

func kindOf(message []byte) messageKind {
	if len(message) == 0 {
		return kindOther
	}
	if k, known := kindOfType[message[0]]; known {
		return k
	}
	return kindOther
}

// expand decompresses a message; one that can't be decompressed is returned as it is.
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

// split returns the messages in a compound message: its type, a count, a length of two bytes each, the messages.
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
