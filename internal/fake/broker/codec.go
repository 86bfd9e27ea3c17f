// Package broker is a stand-in message broker that speaks AMQP 0-9-1, written from the specification (the protocol's
// page and its XML; RabbitMQ's published extensions for nack, confirms, blocked and consumer cancel). It serves rigs
// and tests: durable queues live in the process's memory and outlast its own restarts, and a script tells it which
// fault to commit when. It must never be linked by the instance, bind anything but loopback, or act by chance: same
// script, same doings.
//
// This file owns the frames of the codec (signatures.go, decode.go, encode.go and props.go hold the rest). It is strict: what is longer than it says, unknown or out of place is an error, and
// nothing is allocated before its bound is checked.
package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
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
