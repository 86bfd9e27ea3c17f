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

// wire is a connection that brings what it was given.
type wire struct {
	net.Conn
	in     io.Reader
	out    bytes.Buffer
	writes int
}

func (w *wire) Read(p []byte) (int, error) { return w.in.Read(p) }
func (w *wire) Write(p []byte) (int, error) {
	w.writes++
	return w.out.Write(p)
}
func (w *wire) Close() error                     { return nil }
func (w *wire) SetWriteDeadline(time.Time) error { return nil }

func frame(kind byte, payload []byte) []byte { return broker.AppendFrame(nil, kind, 1, payload) }

// delivery is a message as a broker writes it, in bodies of at most 1000 bytes.
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

func guarded(in []byte, allowed int) *guard {
	g := newGuard(&wire{in: bytes.NewReader(in)}, 2000, time.Second)
	g.allow(allowed)
	return g
}

func TestGuardHandsOnWhatIsWellUnchanged(t *testing.T) {
	in := append(append(delivery(1, 0), delivery(2, 2000)...), broker.AppendFrame(nil, kindBeat, 0, nil)...)
	got, err := io.ReadAll(guarded(in, 2))
	if err != nil || !bytes.Equal(got, in) {
		t.Errorf("%d bytes of %d, %v", len(got), len(in), err)
	}
}

// A body that is too large is never held: the library sees an empty one, and the front knows by the tag.
func TestGuardLeavesOutWhatIsTooLarge(t *testing.T) {
	g := guarded(append(delivery(1, 1<<20), delivery(2, 10)...), 2)
	got, err := io.ReadAll(g)
	want := append(delivery(1, 0), delivery(2, 10)...)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, want %d: %v", len(got), len(want), err)
	}
	if !g.wasTooLarge(1) || g.wasTooLarge(1) || g.wasTooLarge(2) || len(g.open) != 0 {
		t.Error("not remembered once, by its tag")
	}
	if cap(g.frame) > 4*mostFrame {
		t.Errorf("holds %d bytes", cap(g.frame))
	}
}

func TestGuardEndsWhatABrokerMustNotSend(t *testing.T) {
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
		_, err := io.ReadAll(guarded(in, 2))
		var f fault
		if !errors.As(err, &f) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestGuardPutsOutputTogether(t *testing.T) {
	w := &wire{}
	g := newGuard(w, 1, time.Second)
	g.cork(true)
	for range 10 {
		_, _ = g.Write([]byte("ack"))
	}
	if w.writes != 0 {
		t.Error("written while corked")
	}
	g.cork(false)
	if w.writes != 1 || w.out.Len() != 30 {
		t.Errorf("%d writes, %d bytes", w.writes, w.out.Len())
	}
	g.cork(true)
	_, _ = g.Write(make([]byte, mostCorked))
	if w.writes != 2 {
		t.Error("kept over its bound")
	}
}

// Whatever comes: no panic, one bounded frame held, and nothing handed on that is not a whole frame.
func FuzzGuard(f *testing.F) {
	f.Add(delivery(1, 5000))
	f.Add(append(delivery(1, 0), delivery(2, 10)...))
	f.Add([]byte{kindMethod, 0, 0, 0, 0, 0, 0, frameEnd})
	f.Add([]byte{kindBody, 0, 1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		g := guarded(in, 3)
		got, _ := io.ReadAll(g)
		for r := bytes.NewReader(got); r.Len() > 0; {
			if _, err := broker.ReadFrame(r, mostFrame); err != nil {
				t.Fatalf("handed on %q: %v", got, err)
			}
		}
		if cap(g.frame) > 4*mostFrame || len(g.tooLarge) > 3 || len(g.open) > mostChannels {
			t.Errorf("holds %d bytes, %d tags, %d contents", cap(g.frame), len(g.tooLarge), len(g.open))
		}
	})
}
