package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Limits of the codec.
const (
	MaxPayload      = 128 << 10 // bytes of payload per frame
	maxTableDepth   = 8         // levels of nested tables and arrays
	maxTableEntries = 256       // per table or array
)

// Frame kinds, the octet that ends every frame, and the size of a frame without its payload.
const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	frameEnd       = 0xCE
	frameOverhead  = 8
)

// Frame is one AMQP frame.
type Frame struct {
	Kind    byte
	Channel uint16
	Payload []byte
}

// Errors of the codec.
var (
	ErrFrame  = errors.New("malformed AMQP frame")     // unknown kind, size over the limit, or wrong end octet
	ErrSyntax = errors.New("malformed AMQP arguments") // of a method or a content header
	ErrMethod = errors.New("unknown AMQP method")
)

// ReadFrame reads one frame. Its payload may have up to maxPayload bytes, but no more than MaxPayload. It returns ErrFrame for a
// malformed frame, or the reader's error.
func ReadFrame(r io.Reader, maxPayload uint32) (f Frame, err error) {
	var head [7]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	f.Kind, f.Channel = head[0], binary.BigEndian.Uint16(head[1:])
	size := binary.BigEndian.Uint32(head[3:])
	if size > min(maxPayload, MaxPayload) || !isFrameKind(f.Kind) {
		return f, fmt.Errorf("%w: kind %d with a payload of %d bytes", ErrFrame, f.Kind, size)
	}
	body := make([]byte, size+1)
	if _, err = io.ReadFull(r, body); err != nil {
		return f, err
	}
	if f.Payload = body[:size]; body[size] != frameEnd {
		return f, fmt.Errorf("%w: last octet is %#x, expected 0xce", ErrFrame, body[size])
	}
	return f, nil
}

func isFrameKind(kind byte) bool {
	return kind == frameMethod || kind == frameHeader || kind == frameBody || kind == frameHeartbeat
}

// AppendFrame appends the encoding of one frame.
func AppendFrame(out []byte, kind byte, channel uint16, payload []byte) []byte {
	out = binary.BigEndian.AppendUint16(append(out, kind), channel)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	return append(append(out, payload...), frameEnd)
}
