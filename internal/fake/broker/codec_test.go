package broker

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"time"
)

var full = Props{"text/plain", "gzip", Table{"customer": "acme", "n": int64(-3), "deep": Table{"list": []any{true, nil, 1.5, uint8(3)}},
	"at": time.Unix(1700000000, 0), "raw": []byte{0, 255}}, uint8(2), uint8(9), "c", "r", "1000", "m", uint64(1700000000), "trace", "u", "a", "k"}

func TestHeaderComesBackAsItWent(t *testing.T) {
	for _, p := range []Props{{}, full, {MessageID: "only"}} {
		size, got, err := DecodeHeader(AppendHeader(nil, 77, p))
		if err != nil || size != 77 || !reflect.DeepEqual(got, p) {
			t.Errorf("%d %v %v, want %v", size, got, err, p)
		}
	}
}

func TestMethodComesBackAsItWent(t *testing.T) {
	m := AppendMethod(nil, "basic.consume", uint16(0), "q", "tag", false, true, false, true, Table{"x": "y"})
	got, err := DecodeMethod(m)
	want := Method{"basic.consume", []any{uint16(0), "q", "tag", false, true, false, true, Table{"x": "y"}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v %v", got, err)
	}
	for n := range m { // cut anywhere it is an error, never a shorter method
		if _, err := DecodeMethod(m[:n]); err == nil {
			t.Errorf("cut at %d: taken", n)
		}
	}
	if _, err := DecodeMethod(append(m, 0)); err == nil {
		t.Error("more than the method: taken")
	}
}

func TestFrameIsBoundedBeforeItIsRead(t *testing.T) {
	for _, text := range []string{"\x01\x00\x00\xff\xff\xff\xff", "\x07\x00\x00\x00\x00\x00\x00\xce", "\x01\x00\x00\x00\x00\x00\x01xx"} {
		if _, err := ReadFrame(bytes.NewReader([]byte(text)), MostFrame); !errors.Is(err, ErrFrame) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(AppendFrame(nil, frameMethod, 1, AppendMethod(nil, "queue.declare", uint16(0), "q", false, true, false, false, false, Table{"a": Table{"b": []any{int32(1)}}})))
	f.Add(AppendFrame(nil, frameHeader, 1, AppendHeader(nil, 5, full)))
	f.Add(AppendFrame(nil, frameHeartbeat, 0, nil))
	f.Add([]byte("\x01\x00\x01\x00\x00\x00\x0a\x00\x32\x00\x0a\x00\x00\xff\xff\xff\xff\xce"))
	f.Fuzz(func(t *testing.T, text []byte) {
		for r := bytes.NewReader(text); ; {
			frame, err := ReadFrame(r, MostFrame)
			if err != nil {
				if err == io.EOF && r.Len() > 0 {
					t.Error("ends early")
				}
				return
			}
			if m, err := DecodeMethod(frame.Payload); err == nil { // what is understood is written the same way
				if again, err := DecodeMethod(AppendMethod(nil, m.Name, m.Args...)); err != nil || again.Name != m.Name {
					t.Errorf("%v: %v", m, err)
				}
			}
			if _, p, err := DecodeHeader(frame.Payload); err == nil {
				if _, _, err := DecodeHeader(AppendHeader(nil, 1, p)); err != nil {
					t.Errorf("%v: %v", p, err)
				}
			}
		}
	})
}
