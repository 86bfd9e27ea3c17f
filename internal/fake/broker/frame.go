package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Bounds of the codec.
const (
	MaxPayload      = 128 << 10 // bytes of a frame's payload
	maxTableDepth   = 8         // tables nested in tables
	maxTableEntries = 256       // of one table or array
)

// Frame kinds, the octet that ends a frame, and the bytes that a frame adds to its payload.
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
	ErrFrame  = errors.New("not a frame")         // wrong kind, size or end
	ErrSyntax = errors.New("arguments malformed") // of a method or a content header
	ErrMethod = errors.New("unknown method")
)

// ReadFrame reads one frame with a payload of at most maxPayload bytes, and MaxPayload in any case. It returns ErrFrame or
// the error of the reader.
func ReadFrame(r io.Reader, maxPayload uint32) (f Frame, err error) {
	var head [7]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	f.Kind, f.Channel = head[0], binary.BigEndian.Uint16(head[1:])
	size := binary.BigEndian.Uint32(head[3:])
	if size > min(maxPayload, MaxPayload) || !isFrameKind(f.Kind) {
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

func isFrameKind(kind byte) bool {
	return kind == frameMethod || kind == frameHeader || kind == frameBody || kind == frameHeartbeat
}

// AppendFrame appends the encoding of one frame.
func AppendFrame(out []byte, kind byte, channel uint16, payload []byte) []byte {
	out = binary.BigEndian.AppendUint16(append(out, kind), channel)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	return append(append(out, payload...), frameEnd)
}
