package amqp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/broker"
)

// fakeConn is a connection with fixed input, which records its output.
type fakeConn struct {
	net.Conn
	in     io.Reader
	out    bytes.Buffer
	writes int
}

func (c *fakeConn) Read(p []byte) (int, error) { return c.in.Read(p) }
func (c *fakeConn) Write(p []byte) (int, error) {
	c.writes++
	return c.out.Write(p)
}
func (c *fakeConn) Close() error                     { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// frame returns a frame on channel 1.
func frame(frameType byte, payload []byte) []byte {
	return broker.AppendFrame(nil, frameType, 1, payload)
}

// delivery returns the frames of a delivered message, with body frames of at most 1000 bytes.
func delivery(tag uint64, size int) (out []byte) {
	out = frame(frameTypeMethod, broker.AppendMethod(nil, "basic.deliver", "tag", tag, false, "", "q"))
	out = append(out, frame(frameTypeHeader, broker.AppendHeader(nil, size, broker.Props{broker.Type: "trace"}))...)
	for size > 0 {
		n := min(size, 1000)
		out = append(out, frame(frameTypeBody, bytes.Repeat([]byte("x"), n))...)
		size -= n
	}
	return out
}

func newTestConn(in []byte, allowed int) *checkedConn {
	conn := newCheckedConn(&fakeConn{in: bytes.NewReader(in)}, 2000, time.Second)
	conn.addCredit(allowed)
	return conn
}

func TestCheckedConnPassesValidFramesUnchanged(t *testing.T) {
	in := append(append(delivery(1, 0), delivery(2, 2000)...), broker.AppendFrame(nil, frameTypeHeartbeat, 0, nil)...)
	got, err := io.ReadAll(newTestConn(in, 2))
	if err != nil || !bytes.Equal(got, in) {
		t.Errorf("read %d bytes, want the %d bytes of the input; error %v", len(got), len(in), err)
	}
}

// An oversized body must not be held in memory: the library gets an empty body, and the delivery tag is recorded once.
func TestCheckedConnDropsOversizedBodies(t *testing.T) {
	conn := newTestConn(append(delivery(1, 1<<20), delivery(2, 10)...), 2)
	got, err := io.ReadAll(conn)
	want := append(delivery(1, 0), delivery(2, 10)...)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %d bytes, want %d; error %v", len(got), len(want), err)
	}
	if !conn.takeOversized(1) || conn.takeOversized(1) || conn.takeOversized(2) || len(conn.partialContents) != 0 {
		t.Error("delivery tag 1 of the oversized message is not recorded exactly once, or a content is still open")
	}
	if cap(conn.frame) > 4*maxFrameSize {
		t.Errorf("frame buffer of %d bytes, want at most %d", cap(conn.frame), 4*maxFrameSize)
	}
}

func TestCheckedConnRejectsProtocolViolations(t *testing.T) {
	head := frame(frameTypeHeader, broker.AppendHeader(nil, 5, broker.Props{}))
	deliver := frame(frameTypeMethod, broker.AppendMethod(nil, "basic.deliver", "tag", uint64(1), false, "", "q"))
	// An empty body frame is invalid because a broker could send them endlessly.
	for text, in := range map[string][]byte{
		"unknown type 72":              []byte("HTTP/1.1 400"),
		"a frame with 2147483647":      {frameTypeBody, 0, 1, 0x7f, 0xff, 0xff, 0xff},
		"end octet 0x00":               append(bytes.Clone(deliver[:len(deliver)-1]), 0),
		"a method frame of 1 bytes":    frame(frameTypeMethod, []byte{0}),
		"ends before its delivery tag": frame(frameTypeMethod, []byte{0, 60, 0, 60, 200}),
		"content header of 14 bytes":   head,
		"body frame of 1 bytes":        append(bytes.Clone(deliver), frame(frameTypeBody, []byte("x"))...),
		"a method frame on channel 1":  append(bytes.Clone(deliver), deliver...),
		"sent delivery 3 of":           append(delivery(1, 0), append(delivery(2, 0), delivery(3, 0)...)...),
		"body frame of 6 bytes":        append(append(bytes.Clone(deliver), head...), frame(frameTypeBody, []byte("123456"))...),
		"body frame of 0 bytes":        append(append(bytes.Clone(deliver), head...), frame(frameTypeBody, nil)...),
	} {
		_, err := io.ReadAll(newTestConn(in, 2))
		var violation protocolError
		if !errors.As(err, &violation) || !strings.Contains(err.Error(), text) {
			t.Errorf("error %v, want a protocol error with %q", err, text)
		}
	}
}

func TestCheckedConnBatchesCorkedOutput(t *testing.T) {
	w := &fakeConn{}
	conn := newCheckedConn(w, 1, time.Second)
	conn.cork()
	for range 10 {
		_, _ = conn.Write([]byte("ack"))
	}
	if w.writes != 0 {
		t.Errorf("%d writes while corked, want none", w.writes)
	}
	conn.uncork()
	if w.writes != 1 || w.out.Len() != 30 {
		t.Errorf("%d writes of %d bytes after uncork, want 1 of 30", w.writes, w.out.Len())
	}
	conn.cork()
	_, _ = conn.Write(make([]byte, maxCorkedOutput))
	if w.writes != 2 {
		t.Errorf("%d writes in all, want 2: corked output of %d bytes must be sent", w.writes, maxCorkedOutput)
	}
}

// For any input, Read must not panic, must hold at most one frame of bounded size and must return whole frames only.
func FuzzCheckedConn(f *testing.F) {
	f.Add(delivery(1, 5000))
	f.Add(append(delivery(1, 0), delivery(2, 10)...))
	f.Add([]byte{frameTypeMethod, 0, 0, 0, 0, 0, 0, frameEnd})
	f.Add([]byte{frameTypeBody, 0, 1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		conn := newTestConn(in, 3)
		got, _ := io.ReadAll(conn)
		for r := bytes.NewReader(got); r.Len() > 0; {
			if _, err := broker.ReadFrame(r, maxFrameSize); err != nil {
				t.Fatalf("forwarded %q, which is not a sequence of whole frames: %v", got, err)
			}
		}
		if cap(conn.frame) > 4*maxFrameSize || len(conn.oversizedTags) > 3 || len(conn.partialContents) > maxChannels {
			t.Errorf("frame buffer of %d bytes, %d tags, %d partial contents: over a limit",
				cap(conn.frame), len(conn.oversizedTags), len(conn.partialContents))
		}
	})
}
