package amqp

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	maxFrameSize = 32 << 10 // bytes, offered to the broker
	maxChannels  = 8
	maxBuffered  = 64 << 10 // bytes of output that are held back while it is corked
)

// guard is the connection between the socket and the client library. It reads whole frames, bounded before memory is
// allocated for them, and rejects what would make the library hold more than was agreed: more deliveries than the credit,
// or contents out of place. An oversized message is passed on with an empty body and its delivery tag remembered. Nothing
// else is changed. Output can be held back and sent at once (cork).
//
// The tables are one frame, and contents that are half read, by channel; both are bounded by the constants above. Tags of
// oversized messages are bounded by the credit and removed as the messages are received.
type guard struct {
	net.Conn
	reader   *bufio.Reader
	frame    []byte // the frame that is being passed on
	unread   []byte // what is left of it
	contents map[uint16]*content
	maxBody  uint64 // bytes

	mu             sync.Mutex // guards the fields below
	allowed        uint64     // deliveries so far, and those that may still come
	delivered      uint64
	closedByBroker bool // the broker has sent connection.close
	oversized      map[uint64]struct{}
	writeTimeout   time.Duration
	output         []byte
	isCorked       bool
}

// content is a message of which the header or parts of the body are still to be read.
type content struct {
	deliveryTag uint64 // 0 for a returned message
	left        uint64 // bytes of the body
	isDropped   bool   // its body is oversized
}

func newGuard(conn net.Conn, maxBody int, writeTimeout time.Duration) *guard {
	return &guard{Conn: conn, reader: bufio.NewReaderSize(conn, maxFrameSize), contents: map[uint16]*content{}, maxBody: uint64(maxBody),
		oversized: map[uint64]struct{}{}, writeTimeout: writeTimeout}
}

// Read implements io.Reader. It passes on checked frames.
func (g *guard) Read(p []byte) (int, error) {
	for len(g.unread) == 0 {
		if err := g.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, g.unread)
	g.unread = g.unread[n:]
	return n, nil
}

// readFrame reads and checks one frame.
func (g *guard) readFrame() error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(g.reader, header[:]); err != nil {
		return err
	}
	kind := header[0]
	channel := binary.BigEndian.Uint16(header[1:])
	size := binary.BigEndian.Uint32(header[3:])
	if err := checkFrameHeader(kind, size); err != nil {
		return err
	}
	end := frameHeaderSize + int(size)
	g.frame = append(g.frame[:0], header[:]...)
	g.frame = slices.Grow(g.frame, int(size)+1)[:end+1]
	if _, err := io.ReadFull(g.reader, g.frame[frameHeaderSize:]); err != nil {
		return err
	}
	if g.frame[end] != frameEnd {
		return protocolError("broker sends a frame without its end")
	}
	pass, err := g.check(kind, channel, g.frame[frameHeaderSize:end])
	if err == nil && pass {
		g.unread = g.frame
	}
	return err
}

// Write implements io.Writer. While the output is corked it is only buffered, up to maxBuffered.
func (g *guard) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.output = append(g.output, p...)
	if g.isCorked && len(g.output) < maxBuffered {
		return len(p), nil
	}
	return len(p), g.flush()
}

// flush sends the output. A broker that does not read it in time loses its connection. mu must be held.
func (g *guard) flush() error {
	if len(g.output) == 0 {
		return nil
	}
	_ = g.SetWriteDeadline(time.Now().Add(g.writeTimeout))
	_, err := g.Conn.Write(g.output)
	g.output = g.output[:0]
	if err != nil {
		g.Close()
	}
	return err
}

// cork holds output back until uncork.
func (g *guard) cork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCorked = true
}

// uncork sends what was held back. An error has closed the connection, which its reader reports.
func (g *guard) uncork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCorked = false
	_ = g.flush()
}

// allow admits more deliveries.
func (g *guard) allow(deliveries int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowed += uint64(deliveries)
}

// allowNone admits no more deliveries, until the next allow.
func (g *guard) allowNone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowed = g.delivered
}

// wasClosedByBroker reports whether the broker has closed the connection with a reason: the library takes any end of the
// connection during the login for a rejected login.
func (g *guard) wasClosedByBroker() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closedByBroker
}

// takeOversized reports whether the delivered message was oversized, and forgets it.
func (g *guard) takeOversized(deliveryTag uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.oversized[deliveryTag]
	delete(g.oversized, deliveryTag)
	return ok
}
