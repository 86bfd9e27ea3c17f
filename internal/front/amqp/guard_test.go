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

// fakeConn is a connection that delivers fixed input and records its output.
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

func frame(kind byte, payload []byte) []byte { return broker.AppendFrame(nil, kind, 1, payload) }

// delivery returns a message as a broker writes it, in bodies of at most 1000 bytes.
func delivery(tag uint64, size int) (out []byte) {
	out = frame(kindMethod, broker.AppendMethod(nil, "basic.deliver", "tag", tag, false, "", "q"))
	out = append(out, frame(kindHeader, broker.AppendHeader(nil, size, broker.Props{broker.Type: "trace"}))...)
	for size > 0 {
		n := min(size, 1000)
		out = append(out, frame(kindBody, bytes.Repeat([]byte("x"), n))...)
		size -= n
	}
	return out
}

func newTestGuard(in []byte, allowed int) *guard {
	g := newGuard(&fakeConn{in: bytes.NewReader(in)}, 2000, time.Second)
	g.allow(allowed)
	return g
}

func TestGuardPassesValidFramesUnchanged(t *testing.T) {
	in := append(append(delivery(1, 0), delivery(2, 2000)...), broker.AppendFrame(nil, kindHeartbeat, 0, nil)...)
	got, err := io.ReadAll(newTestGuard(in, 2))
	if err != nil || !bytes.Equal(got, in) {
		t.Errorf("%d bytes of %d, %v", len(got), len(in), err)
	}
}

// An oversized body is never in memory: the library gets an empty one, and the front finds the tag.
func TestGuardDropsOversizedBodies(t *testing.T) {
	g := newTestGuard(append(delivery(1, 1<<20), delivery(2, 10)...), 2)
	got, err := io.ReadAll(g)
	want := append(delivery(1, 0), delivery(2, 10)...)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, want %d: %v", len(got), len(want), err)
	}
	if !g.takeOversized(1) || g.takeOversized(1) || g.takeOversized(2) || len(g.contents) != 0 {
		t.Error("the oversized message is not recorded once, by its tag")
	}
	if cap(g.frame) > 4*maxFrameSize {
		t.Errorf("holds %d bytes", cap(g.frame))
	}
}

func TestGuardRejectsProtocolViolations(t *testing.T) {
	head := frame(kindHeader, broker.AppendHeader(nil, 5, broker.Props{}))
	deliver := frame(kindMethod, broker.AppendMethod(nil, "basic.deliver", "tag", uint64(1), false, "", "q"))
	for name, in := range map[string][]byte{
		"no frame":                    []byte("HTTP/1.1 400"),
		"a frame of":                  {kindBody, 0, 1, 0x7f, 0xff, 0xff, 0xff},
		"without its end":             append(bytes.Clone(deliver[:len(deliver)-1]), 0),
		"without its number":          frame(kindMethod, []byte{0}),
		"without its tag":             frame(kindMethod, []byte{0, 60, 0, 60, 200}),
		"a content header out of":     head,
		"a body out of":               append(bytes.Clone(deliver), frame(kindBody, []byte("x"))...),
		"a method inside a content":   append(bytes.Clone(deliver), deliver...),
		"more messages than":          append(delivery(1, 0), append(delivery(2, 0), delivery(3, 0)...)...),
		"a body out of place":         append(append(bytes.Clone(deliver), head...), frame(kindBody, []byte("123456"))...),
		"broker sends a body out of ": append(append(bytes.Clone(deliver), head...), frame(kindBody, nil)...), // else endless
	} {
		_, err := io.ReadAll(newTestGuard(in, 2))
		var violation protocolError
		if !errors.As(err, &violation) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestGuardBatchesCorkedOutput(t *testing.T) {
	w := &fakeConn{}
	g := newGuard(w, 1, time.Second)
	g.cork()
	for range 10 {
		_, _ = g.Write([]byte("ack"))
	}
	if w.writes != 0 {
		t.Error("written while corked")
	}
	g.uncork()
	if w.writes != 1 || w.out.Len() != 30 {
		t.Errorf("%d writes, %d bytes", w.writes, w.out.Len())
	}
	g.cork()
	_, _ = g.Write(make([]byte, maxBuffered))
	if w.writes != 2 {
		t.Error("buffered beyond the bound")
	}
}

// For any input: no panic, at most one bounded frame in memory, and only complete frames passed on.
func FuzzGuard(f *testing.F) {
	f.Add(delivery(1, 5000))
	f.Add(append(delivery(1, 0), delivery(2, 10)...))
	f.Add([]byte{kindMethod, 0, 0, 0, 0, 0, 0, frameEnd})
	f.Add([]byte{kindBody, 0, 1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		g := newTestGuard(in, 3)
		got, _ := io.ReadAll(g)
		for r := bytes.NewReader(got); r.Len() > 0; {
			if _, err := broker.ReadFrame(r, maxFrameSize); err != nil {
				t.Fatalf("passed on %q: %v", got, err)
			}
		}
		if cap(g.frame) > 4*maxFrameSize || len(g.oversized) > 3 || len(g.contents) > maxChannels {
			t.Errorf("holds %d bytes, %d tags, %d contents", cap(g.frame), len(g.oversized), len(g.contents))
		}
	})
}
