package members

import (
	"bytes"
	"compress/lzw"
	"encoding/binary"
	"io"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// messageKind is the purpose of a memberlist message.
type messageKind int

const (
	kindProbe    messageKind = iota // health checks: pings, acknowledgements, indirect pings
	kindFailure                     // gossiped suspicions and deaths
	kindAlive                       // gossiped records
	kindPushPull                    // full state exchanges
	kindUser                        // messages sent by membership.Member.Send
	kindOther
	kindCount
)

// kindNames are part of the names of figures.
var kindNames = [kindCount]string{"probes", "suspicions_and_deaths", "records", "full_exchange", "own_messages", "other"}

// Message types of memberlist's protocol, from its net.go.
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

var kindByType = map[byte]messageKind{typePing: kindProbe, typeIndirectPing: kindProbe, typeAck: kindProbe, typeNack: kindProbe,
	typeSuspect: kindFailure, typeDead: kindFailure, typeAlive: kindAlive, typePushPull: kindPushPull, typeUser: kindUser}

const checksumHeaderBytes = 5

// countPacketKinds adds a datagram's bytes to the kinds of the messages in it, in proportion to their uncompressed lengths.
func (m *meter) countPacketKinds(b []byte) {
	plain := b
	if len(plain) > checksumHeaderBytes && plain[0] == typeChecksum {
		plain = plain[checksumHeaderBytes:]
	}
	plain = decompress(plain)
	parts := splitCompound(plain)
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	for _, part := range parts {
		m.kinds[kindOf(part)].Add(int64(len(b) * len(part) / max(total, 1)))
	}
}

// countStreamKind adds the bytes of one message on a stream to its kind. memberlist writes each message with one call.
func (m *meter) countStreamKind(b []byte) {
	m.kinds[kindOf(decompress(b))].Add(int64(len(b)))
}

func kindOf(message []byte) messageKind {
	if len(message) == 0 {
		return kindOther
	}
	if k, known := kindByType[message[0]]; known {
		return k
	}
	return kindOther
}

// decompress decompresses a message. A message that is not compressed or cannot be decompressed is returned unchanged.
func decompress(b []byte) []byte {
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

// splitCompound returns the messages in a compound message, which consists of the type, a count, two bytes of length per message, and
// the messages. Any other message is returned as the only one.
func splitCompound(b []byte) [][]byte {
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
