package amqp

import (
	"encoding/binary"
	"fmt"
)

// Layout of a frame: kind, channel, size of the payload; the payload; the end mark.
const (
	frameHeaderSize = 7
	frameOverhead   = frameHeaderSize + 1
	frameEnd        = 0xCE
)

// Kinds of frames.
const (
	kindMethod    = 1
	kindHeader    = 2
	kindBody      = 3
	kindHeartbeat = 8
)

// Methods that the guard has to know: class in the upper, number in the lower 16 bits.
const (
	methodBasicDeliver    = 60<<16 | 60
	methodBasicReturn     = 60<<16 | 50
	methodConnectionClose = 10<<16 | 50

	methodIDSize      = 4
	deliveryTagSize   = 8
	bodySizeOffset    = 4 // in a content header, after class and weight
	minContentHeader  = 14
	consumerTagOffset = methodIDSize // in basic.deliver: a length of one byte, and the text
)

// protocolError is the error of a broker that violates the protocol. It ends the connection.
type protocolError string

// Error implements error.
func (e protocolError) Error() string { return string(e) }

// checkFrameHeader checks a frame before memory is allocated for its payload.
func checkFrameHeader(kind byte, size uint32) error {
	switch kind {
	case kindMethod, kindHeader, kindBody, kindHeartbeat:
	default:
		return protocolError(fmt.Sprintf("broker sends what is no frame: kind %d", kind))
	}
	if size > maxFrameSize-frameOverhead {
		return protocolError(fmt.Sprintf("broker sends a frame of %d bytes, expected at most %d", size, maxFrameSize-frameOverhead))
	}
	return nil
}

// check checks the payload of a frame and reports whether the frame is passed on to the library. It sets the body size in the
// content header of an oversized message to 0.
func (g *guard) check(kind byte, channel uint16, payload []byte) (isPassedOn bool, err error) {
	switch kind {
	case kindMethod:
		return true, g.checkMethod(channel, payload)
	case kindHeader:
		return true, g.checkContentHeader(channel, payload)
	case kindBody:
		return g.checkBody(channel, payload)
	}
	return true, nil
}

// checkMethod checks a method frame. A delivery or a return starts a content, whose header and body follow.
func (g *guard) checkMethod(channel uint16, payload []byte) error {
	if g.contents[channel] != nil {
		return protocolError("broker sends a method inside a content")
	}
	if len(payload) < methodIDSize {
		return protocolError("broker sends a method without its number")
	}
	switch binary.BigEndian.Uint32(payload) {
	case methodBasicDeliver:
		tag, err := deliveryTag(payload)
		if err != nil {
			return err
		}
		if err := g.countDelivery(); err != nil {
			return err
		}
		return g.beginContent(channel, &content{deliveryTag: tag})
	case methodBasicReturn:
		return g.beginContent(channel, &content{})
	case methodConnectionClose:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.closedByBroker = true
	}
	return nil
}

// deliveryTag returns the tag of a basic.deliver, which follows the consumer tag.
func deliveryTag(payload []byte) (uint64, error) {
	if len(payload) <= consumerTagOffset {
		return 0, protocolError("broker sends a delivery without its tag")
	}
	offset := consumerTagOffset + 1 + int(payload[consumerTagOffset])
	if len(payload) < offset+deliveryTagSize {
		return 0, protocolError("broker sends a delivery without its tag")
	}
	return binary.BigEndian.Uint64(payload[offset:]), nil
}

// countDelivery returns an error for a delivery beyond the credit, as the library buffers deliveries without a bound.
func (g *guard) countDelivery() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivered++
	if g.delivered > g.allowed {
		return protocolError("broker sends more messages than it was given credit for")
	}
	return nil
}

func (g *guard) beginContent(channel uint16, c *content) error {
	if len(g.contents) >= maxChannels {
		return protocolError("broker sends contents on too many channels")
	}
	g.contents[channel] = c
	return nil
}

// checkContentHeader records the size of the body that follows, and sets it to 0 in the frame if the body is oversized.
func (g *guard) checkContentHeader(channel uint16, payload []byte) error {
	c := g.contents[channel]
	if c == nil || c.left > 0 || len(payload) < minContentHeader {
		return protocolError("broker sends a content header out of place")
	}
	size := payload[bodySizeOffset:]
	c.left = binary.BigEndian.Uint64(size)
	if c.left > g.maxBody {
		c.isDropped = true
		binary.BigEndian.PutUint64(size, 0)
		g.rememberOversized(c.deliveryTag)
	}
	if c.left == 0 {
		delete(g.contents, channel)
	}
	return nil
}

// rememberOversized records the delivery tag of an oversized message. The tag is 0 for a returned message, whose body is not
// used.
func (g *guard) rememberOversized(deliveryTag uint64) {
	if deliveryTag == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.oversized[deliveryTag] = struct{}{}
}

// checkBody checks a part of a body. Parts of an oversized body are not passed on.
func (g *guard) checkBody(channel uint16, payload []byte) (isPassedOn bool, err error) {
	c := g.contents[channel]
	if c == nil || uint64(len(payload)) > c.left || len(payload) == 0 {
		return false, protocolError("broker sends a body out of place")
	}
	c.left -= uint64(len(payload))
	if c.left == 0 {
		delete(g.contents, channel)
	}
	return !c.isDropped, nil
}
