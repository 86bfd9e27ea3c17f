package amqp

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	maxFrameSize    = 32 << 10 // bytes; negotiated with the broker as the maximum
	maxChannels     = 8
	maxCorkedOutput = 64 << 10 // bytes; output is sent at this size even while corked
)

// checkedConn is a net.Conn between the socket and the client library that limits the memory a broker can make the library
// use. It reads whole frames and checks their size before it allocates memory for them. Read returns an error for deliveries
// beyond the credit and for frames out of order. An oversized message is forwarded with an empty body, and its delivery tag is
// recorded. Everything else is forwarded unchanged. Output can be buffered and sent in one write (see cork).
//
// checkedConn holds at most one frame, the state of one partial message for each of maxChannels channels, and the tags of the
// oversized messages. There are at most as many of these as the credit permits, and the front removes each when it receives
// the message.
//
// Only the library's reading goroutine may call Read, which calls the checks. Any goroutine may call the other methods.
type checkedConn struct {
	net.Conn
	reader          *bufio.Reader
	frame           []byte                     // the frame being forwarded; reused for each frame
	unread          []byte                     // the part of frame that the library has not read
	partialContents map[uint16]*partialContent // by channel: messages of which the header or body is incomplete
	maxBodyBytes    uint64                     // limit for the body of a message; larger ones are oversized

	mu             sync.Mutex // protects the fields below
	deliveryLimit  uint64     // highest deliveryCount that the credit permits
	deliveryCount  uint64
	closedByBroker bool // the broker sent connection.close
	oversizedTags  map[uint64]struct{}
	writeTimeout   time.Duration
	output         []byte
	isCorked       bool
}

// partialContent is the state of a message whose header or body has not been read completely.
type partialContent struct {
	deliveryTag uint64 // 0 for a returned message
	bytesLeft   uint64 // bytes of the body still to be read
	isOversized bool   // its body is dropped, as it is larger than maxBodyBytes
}

func newCheckedConn(conn net.Conn, maxBody int, writeTimeout time.Duration) *checkedConn {
	return &checkedConn{
		Conn:            conn,
		reader:          bufio.NewReaderSize(conn, maxFrameSize),
		partialContents: map[uint16]*partialContent{},
		maxBodyBytes:    uint64(maxBody),
		oversizedTags:   map[uint64]struct{}{},
		writeTimeout:    writeTimeout,
	}
}

// Read implements io.Reader. It returns only frames that were checked.
func (c *checkedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if err := c.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readFrame reads and checks one frame, and makes it available to Read if it is to be forwarded.
func (c *checkedConn) readFrame() error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	frameType := header[0]
	channel := binary.BigEndian.Uint16(header[1:])
	size := binary.BigEndian.Uint32(header[3:])
	if err := checkFrameHeader(frameType, size); err != nil {
		return err
	}
	end := frameHeaderSize + int(size)
	c.frame = append(c.frame[:0], header[:]...)
	c.frame = slices.Grow(c.frame, int(size)+1)[:end+1]
	if _, err := io.ReadFull(c.reader, c.frame[frameHeaderSize:]); err != nil {
		return err
	}
	if c.frame[end] != frameEnd {
		return protocolError(fmt.Sprintf("broker sent a frame with end octet %#02x, expected %#02x", c.frame[end], frameEnd))
	}
	forward, err := c.checkFrame(frameType, channel, c.frame[frameHeaderSize:end])
	if err == nil && forward {
		c.unread = c.frame
	}
	return err
}

// Write implements io.Writer. While the output is corked, it is buffered until it reaches maxCorkedOutput.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.output = append(c.output, p...)
	if c.isCorked && len(c.output) < maxCorkedOutput {
		return len(p), nil
	}
	return len(p), c.flush()
}

// flush sends the output. It closes the connection if that fails or takes longer than writeTimeout. mu must be held.
func (c *checkedConn) flush() error {
	if len(c.output) == 0 {
		return nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	_, err := c.Conn.Write(c.output)
	c.output = c.output[:0]
	if err != nil {
		c.Close()
	}
	return err
}

// cork starts to buffer output, until uncork.
func (c *checkedConn) cork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCorked = true
}

// uncork sends the buffered output and ends buffering. An error closes the connection, and Read then returns an error.
func (c *checkedConn) uncork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCorked = false
	_ = c.flush()
}

// addCredit permits that many further deliveries.
func (c *checkedConn) addCredit(deliveries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryLimit += uint64(deliveries)
}

// revokeCredit permits no further deliveries until the next addCredit.
func (c *checkedConn) revokeCredit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryLimit = c.deliveryCount
}

// wasClosedByBroker reports whether the broker sent connection.close, which has a reason. It is needed because the library
// reports a connection that ends during the login, for whatever cause, as a rejected login.
func (c *checkedConn) wasClosedByBroker() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedByBroker
}

// takeOversized reports whether the message with the delivery tag was oversized, and removes the tag.
func (c *checkedConn) takeOversized(deliveryTag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.oversizedTags[deliveryTag]
	delete(c.oversizedTags, deliveryTag)
	return ok
}
