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
	maxBuffered  = 64 << 10 // bytes of output that are buffered while it is corked
)

// guard is a net.Conn between the socket and the client library that bounds the memory which a broker can make the library
// use. It reads complete frames, whose size it checks before it allocates memory for them, and returns an error for more
// deliveries than the credit and for contents out of order. An oversized message is passed on with an empty body, and its
// delivery tag is recorded. Everything else is passed on unchanged. Output can be buffered to be sent in one write (cork).
//
// Its memory is bounded: one frame, one partial content for each of maxChannels channels, and the tags of oversized messages,
// of which there are at most as many as the credit and which are removed when the messages are received.
//
// Read belongs to the library's reading goroutine. All other methods may be called from any goroutine.
type guard struct {
	net.Conn
	reader   *bufio.Reader
	frame    []byte              // the frame that is being passed on
	unread   []byte              // the rest of it
	contents map[uint16]*content // partly read contents, by channel
	maxBody  uint64              // bytes

	mu             sync.Mutex // guards the fields below
	allowed        uint64     // number of deliveries so far and of further ones within the credit
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
	return &guard{
		Conn:         conn,
		reader:       bufio.NewReaderSize(conn, maxFrameSize),
		contents:     map[uint16]*content{},
		maxBody:      uint64(maxBody),
		oversized:    map[uint64]struct{}{},
		writeTimeout: writeTimeout,
	}
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
	isPassedOn, err := g.check(kind, channel, g.frame[frameHeaderSize:end])
	if err == nil && isPassedOn {
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

// cork buffers output until uncork.
func (g *guard) cork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCorked = true
}

// uncork sends the buffered output. An error closes the connection, which the reading goroutine then reports.
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

// wasClosedByBroker reports whether the broker has closed the connection with a reason. The library reports any end of the
// connection during the login as a rejected login.
func (g *guard) wasClosedByBroker() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closedByBroker
}

// takeOversized reports whether the delivered message was oversized, and removes its tag.
func (g *guard) takeOversized(deliveryTag uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.oversized[deliveryTag]
	delete(g.oversized, deliveryTag)
	return ok
}
