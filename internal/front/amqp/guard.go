// The guard stands between the socket and the client library: it reads whole frames, bounded before anything is
// allocated for them, and lets nothing through that would make the library hold more than was agreed. A message too
// large is handed on without its body and remembered by its delivery tag. It must never change anything else. Its
// tables: one frame, mostFrame; tags of what was too large, and half-read contents by channel, mostChannels; both
// emptied as the messages are read. Output is put together where the session asks for it, up to mostCorked.

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
	mostFrame    = 32 << 10 // bytes, offered to the broker
	mostChannels = 8
	mostCorked   = 64 << 10
	frameExtra   = 8
	// Kinds of frames, and the two methods that the guard must know, by class and number.
	kindMethod, kindHeader, kindBody, kindBeat = 1, 2, 3, 8
	frameEnd                                   = 0xCE
	basicDeliver                               = 60<<16 | 60
	basicReturn                                = 60<<16 | 50
	connectionClose                            = 10<<16 | 50
)

type content struct {
	tag     uint64 // of the delivery; 0: of something else
	left    uint64 // of the body
	dropped bool
}

type guard struct {
	net.Conn
	in    *bufio.Reader
	frame []byte // the one being handed on
	next  []byte // of it, what is left to hand on
	open  map[uint16]*content
	most  uint64 // bytes of a body

	mu       sync.Mutex
	allowed  uint64 // deliveries so far and those that may yet come
	seen     uint64
	refused  bool // the broker has said why it closes
	tooLarge map[uint64]struct{}
	patience time.Duration // for a write
	out      []byte
	corked   bool
}

func newGuard(c net.Conn, largest int, patience time.Duration) *guard {
	return &guard{Conn: c, in: bufio.NewReaderSize(c, mostFrame), open: map[uint16]*content{}, most: uint64(largest),
		tooLarge: map[uint64]struct{}{}, patience: patience}
}

// fault is what a broker sends that it must not; the connection ends.
type fault string

func (f fault) Error() string { return string(f) }

// Read hands on what was checked.
func (g *guard) Read(p []byte) (int, error) {
	for len(g.next) == 0 {
		if err := g.take(); err != nil {
			return 0, err
		}
	}
	n := copy(p, g.next)
	g.next = g.next[n:]
	return n, nil
}

// take reads one frame.
func (g *guard) take() error {
	var head [7]byte
	if _, err := io.ReadFull(g.in, head[:]); err != nil {
		return err
	}
	kind, channel, size := head[0], binary.BigEndian.Uint16(head[1:]), binary.BigEndian.Uint32(head[3:])
	if kind != kindMethod && kind != kindHeader && kind != kindBody && kind != kindBeat {
		return fault(fmt.Sprintf("broker sends what is no frame: kind %d", kind))
	}
	if size > mostFrame-frameExtra {
		return fault(fmt.Sprintf("broker sends a frame of %d bytes, expected at most %d", size, mostFrame-frameExtra))
	}
	g.frame = append(g.frame[:0], head[:]...)
	g.frame = slices.Grow(g.frame, int(size)+1)[:len(head)+int(size)+1]
	if _, err := io.ReadFull(g.in, g.frame[7:]); err != nil {
		return err
	}
	if g.frame[7+size] != frameEnd {
		return fault("broker sends a frame without its end")
	}
	ok, err := g.pass(kind, channel, g.frame[7:7+size])
	if ok {
		g.next = g.frame
	}
	return err
}

// pass tells whether the frame is handed on; it may take the size of a body out of it.
func (g *guard) pass(kind byte, channel uint16, p []byte) (bool, error) {
	c := g.open[channel]
	switch kind {
	case kindMethod:
		if c != nil {
			return false, fault("broker sends a method inside a content")
		}
		if len(p) < 4 {
			return false, fault("broker sends a method without its number")
		}
		switch binary.BigEndian.Uint32(p) {
		case basicDeliver:
			if len(p) < 5 || len(p) < 5+int(p[4])+8 {
				return false, fault("broker sends a delivery without its tag")
			}
			tag := binary.BigEndian.Uint64(p[5+int(p[4]):])
			if err := g.delivery(); err != nil {
				return false, err
			}
			c = &content{tag: tag}
		case basicReturn:
			c = &content{}
		case connectionClose:
			g.mu.Lock()
			g.refused = true
			g.mu.Unlock()
		}
		if c != nil {
			if len(g.open) >= mostChannels {
				return false, fault("broker sends contents on too many channels")
			}
			g.open[channel] = c
		}
	case kindHeader:
		if c == nil || c.left > 0 || len(p) < 14 {
			return false, fault("broker sends a content header out of place")
		}
		if c.left = binary.BigEndian.Uint64(p[4:]); c.left > g.most {
			c.dropped = true
			binary.BigEndian.PutUint64(p[4:], 0)
			if c.tag > 0 {
				g.mu.Lock()
				g.tooLarge[c.tag] = struct{}{}
				g.mu.Unlock()
			}
		}
		if c.left == 0 {
			delete(g.open, channel)
		}
	case kindBody:
		if c == nil || uint64(len(p)) > c.left || len(p) == 0 {
			return false, fault("broker sends a body out of place")
		}
		dropped := c.dropped
		if c.left -= uint64(len(p)); c.left == 0 {
			delete(g.open, channel)
		}
		return !dropped, nil
	}
	return true, nil
}

// delivery counts one; a broker that pushes more than was asked for must not fill the memory.
func (g *guard) delivery() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen++; g.seen > g.allowed {
		return fault("broker sends more messages than it was given credit for")
	}
	return nil
}

// wasRefused tells whether the broker closed the connection with a reason: the library takes any end at the login for
// a refused one.
func (g *guard) wasRefused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

// allow lets so many more deliveries come.
func (g *guard) allow(n int) {
	g.mu.Lock()
	g.allowed += uint64(n)
	g.mu.Unlock()
}

// none: nothing more may come, until it is allowed again.
func (g *guard) none() {
	g.mu.Lock()
	g.allowed = g.seen
	g.mu.Unlock()
}

// wasTooLarge tells it once.
func (g *guard) wasTooLarge(tag uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.tooLarge[tag]
	delete(g.tooLarge, tag)
	return ok
}

// Write sends, or puts by while corked.
func (g *guard) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.out = append(g.out, p...)
	if g.corked && len(g.out) < mostCorked {
		return len(p), nil
	}
	return len(p), g.flush()
}

// flush has a bound in time: a broker that does not read loses its connection.
func (g *guard) flush() error {
	if len(g.out) == 0 {
		return nil
	}
	_ = g.Conn.SetWriteDeadline(time.Now().Add(g.patience))
	_, err := g.Conn.Write(g.out)
	if g.out = g.out[:0]; err != nil {
		g.Conn.Close()
	}
	return err
}

// cork puts output by until it is taken off again.
func (g *guard) cork(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.corked = on; !on {
		_ = g.flush() // an error has closed the connection, which its reader tells
	}
}
