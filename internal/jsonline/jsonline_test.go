package jsonline

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestTextReadsEscapesAsTheStandardLibraryDoes(t *testing.T) {
	for _, text := range []string{`"plain"`, `""`, `"\"\\\/\b\f\n\r\t"`, `"\u00e9\ud83d\ude00"`, `"\ud83dx"`, `"\ud83d\u0041"`, `"é"`} {
		var want string
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		if got, err := New([]byte(text)).Text(); err != nil || string(got) != want {
			t.Errorf("%s: got %q, %v, want %q", text, got, err, want)
		}
	}
	for _, text := range []string{`"`, `"\`, `"\u12`, `"\x"`, "\"\n\"", `x`, ``, "\"\\n\n\""} {
		if got, err := New([]byte(text)).Text(); !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: got %q, %v", text, got, err)
		}
	}
}

func TestLinesAreCutWhereverTheyBreak(t *testing.T) {
	text := "one\r\n\n  two\nthree\n"
	for cut := range len(text) {
		var got []string
		l := Lines{Longest: 10}
		for _, part := range []string{text[:cut], text[cut:]} {
			if err := l.Feed([]byte(part), func(line []byte) error { got = append(got, string(line)); return nil }); err != nil {
				t.Fatal(err)
			}
		}
		if strings.Join(got, ",") != "one,two,three" {
			t.Errorf("cut at %d: %q", cut, got)
		}
	}
	l := Lines{Longest: 10}
	for _, part := range []string{"12345678", "9ab"} {
		if err := l.Feed([]byte(part), nil); (err == ErrLong) != (part == "9ab") {
			t.Errorf("%q: %v", part, err)
		}
	}
}

func TestWhatIsWrittenIsReadBack(t *testing.T) {
	for _, s := range []string{"", "a\"b\\c", "\x00\x1f\n é"} {
		if got, err := New(AppendText(nil, s)).Text(); err != nil || string(got) != s {
			t.Errorf("%q: got %q, %v", s, got, err)
		}
		if got, err := New(AppendBytes(nil, []byte(s))).Bytes(20); err != nil || string(got) != s {
			t.Errorf("%q: got %q, %v", s, got, err)
		}
	}
	if _, err := New(AppendBytes(nil, make([]byte, 21))).Bytes(20); err == nil {
		t.Error("21 bytes pass for 20")
	}
}

func TestNumbersAreThoseOfJSON(t *testing.T) {
	for text, good := range map[string]bool{"0": true, "-0.5e+3": true, "12E2": true, "00": false, "01": false, "+1": false,
		".5": false, "1.": false, "-": false, "1e": false, "1e999": false, "": false, "Inf": false, "0x1": false} {
		r := New([]byte(text))
		if _, err := r.Number(); (err == nil && r.End() == nil) != good {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// What the standard library takes for an object is read to its end, and nothing makes the reader panic.
func FuzzObject(f *testing.F) {
	for _, seed := range []string{`{"a":1,"b":[true,null,{"c":"\u0000"}]}`, `{}`, `{"a":-1.5e3}`, `{`, `{"a":}`, `[[[[`, `{"a":1}x`, `{"":"` + "\x80" + `"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		r := New(line)
		err := r.Object(func([]byte) error { _, err := r.Raw(); return err })
		if err == nil {
			err = r.End()
		}
		var m map[string]any
		if json.Unmarshal(line, &m) == nil && m != nil && err != nil && len(line) < deepest {
			t.Errorf("%q: %v", line, err)
		}
	})
}
