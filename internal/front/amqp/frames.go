package amqp

import (
	"encoding/binary"
	"fmt"
)

// A frame consists of its type (1 byte), channel (2), payload size (4), payload, and end octet (1).
const (
	frameHeaderSize = 7
	frameOverhead   = frameHeaderSize + 1
	frameEnd        = 0xCE
)

// Frame types.
const (
	frameTypeMethod    = 1
	frameTypeHeader    = 2
	frameTypeBody      = 3
	frameTypeHeartbeat = 8
)

// Methods that checkedConn interprets, as they are encoded: class id in the upper, method id in the lower 16 bits.
const (
	methodBasicDeliver    = 60<<16 | 60
	methodBasicReturn     = 60<<16 | 50
	methodConnectionClose = 10<<16 | 50

	methodIDSize      = 4
	deliveryTagSize   = 8
	bodySizeOffset    = 4 // in a content header, after the class id and weight
	minContentHeader  = 14
	consumerTagOffset = methodIDSize // in basic.deliver: one byte of length, then the text
)

// protocolError is the error for a broker that violates the protocol. It ends the connection.
type protocolError string

// Error implements error.
func (e protocolError) Error() string { return string(e) }

// checkFrameHeader checks the type and size of a frame before memory is allocated for its payload.
func checkFrameHeader(frameType byte, size uint32) error {
	switch frameType {
	case frameTypeMethod, frameTypeHeader, frameTypeBody, frameTypeHeartbeat:
	default:
		return protocolError(fmt.Sprintf(
			"broker sent a frame of unknown type %d, expected 1 (method), 2 (header), 3 (body) or 8 (heartbeat)", frameType))
	}
	if size > maxFrameSize-frameOverhead {
		return protocolError(fmt.Sprintf("broker sent a frame with %d bytes of payload, expected at most %d", size, maxFrameSize-frameOverhead))
	}
	return nil
}

// checkFrame checks the payload of a frame and reports whether to forward the frame to the library. It sets the body size in
// the content header of an oversized message to 0.
func (c *checkedConn) checkFrame(frameType byte, channel uint16, payload []byte) (forward bool, err error) {
	switch frameType {
	case frameTypeMethod:
		return true, c.checkMethod(channel, payload)
	case frameTypeHeader:
		return true, c.checkContentHeader(channel, payload)
	case frameTypeBody:
		return c.checkBody(channel, payload)
	}
	return true, nil
}

// checkMethod checks a method frame. basic.deliver and basic.return start a content, whose header and body frames follow.
func (c *checkedConn) checkMethod(channel uint16, payload []byte) error {
	if c.partialContents[channel] != nil {
		return protocolError(fmt.Sprintf("broker sent a method frame on channel %d inside a message, expected its header or body", channel))
	}
	if len(payload) < methodIDSize {
		return protocolError(fmt.Sprintf("broker sent a method frame of %d bytes, expected at least %d for its class and method ids",
			len(payload), methodIDSize))
	}
	switch binary.BigEndian.Uint32(payload) {
	case methodBasicDeliver:
		tag, err := deliveryTag(payload)
		if err != nil {
			return err
		}
		if err := c.countDelivery(); err != nil {
			return err
		}
		return c.beginContent(channel, &partialContent{deliveryTag: tag})
	case methodBasicReturn:
		return c.beginContent(channel, &partialContent{})
	case methodConnectionClose:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closedByBroker = true
	}
	return nil
}

// deliveryTag returns the delivery tag of a basic.deliver payload, which follows the consumer tag.
func deliveryTag(payload []byte) (uint64, error) {
	if len(payload) <= consumerTagOffset {
		return 0, protocolError("broker sent a basic.deliver frame that ends before its delivery tag")
	}
	offset := consumerTagOffset + 1 + int(payload[consumerTagOffset])
	if len(payload) < offset+deliveryTagSize {
		return 0, protocolError("broker sent a basic.deliver frame that ends before its delivery tag")
	}
	return binary.BigEndian.Uint64(payload[offset:]), nil
}

// countDelivery returns an error for a delivery beyond the credit, because the library buffers deliveries without a limit.
func (c *checkedConn) countDelivery() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryCount++
	if c.deliveryCount > c.deliveryLimit {
		return protocolError(fmt.Sprintf("broker exceeded the credit: sent delivery %d of the connection, expected at most %d",
			c.deliveryCount, c.deliveryLimit))
	}
	return nil
}

func (c *checkedConn) beginContent(channel uint16, partial *partialContent) error {
	if len(c.partialContents) >= maxChannels {
		return protocolError(fmt.Sprintf("broker interleaves messages on more than %d channels", maxChannels))
	}
	c.partialContents[channel] = partial
	return nil
}

// checkContentHeader records the size of the body that follows. If the body is oversized, it sets the size in the frame to 0.
func (c *checkedConn) checkContentHeader(channel uint16, payload []byte) error {
	partial := c.partialContents[channel]
	if partial == nil || partial.bytesLeft > 0 || len(payload) < minContentHeader {
		return protocolError(fmt.Sprintf(
			"broker sent a content header of %d bytes on channel %d that is too short or does not follow basic.deliver or basic.return",
			len(payload), channel))
	}
	size := payload[bodySizeOffset:]
	partial.bytesLeft = binary.BigEndian.Uint64(size)
	if partial.bytesLeft > c.maxBodyBytes {
		partial.isOversized = true
		binary.BigEndian.PutUint64(size, 0)
		c.recordOversized(partial.deliveryTag)
	}
	if partial.bytesLeft == 0 {
		delete(c.partialContents, channel)
	}
	return nil
}

// recordOversized records the delivery tag of an oversized message. It ignores tag 0, which stands for a returned message: its
// body is not used.
func (c *checkedConn) recordOversized(deliveryTag uint64) {
	if deliveryTag == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oversizedTags[deliveryTag] = struct{}{}
}

// checkBody checks a body frame. Frames of an oversized body are not forwarded.
func (c *checkedConn) checkBody(channel uint16, payload []byte) (forward bool, err error) {
	partial := c.partialContents[channel]
	if partial == nil || uint64(len(payload)) > partial.bytesLeft || len(payload) == 0 {
		return false, protocolError(fmt.Sprintf(
			"broker sent a body frame of %d bytes on channel %d that is empty, exceeds the announced body size or has no content header",
			len(payload), channel))
	}
	partial.bytesLeft -= uint64(len(payload))
	if partial.bytesLeft == 0 {
		delete(c.partialContents, channel)
	}
	return !partial.isOversized, nil
}
