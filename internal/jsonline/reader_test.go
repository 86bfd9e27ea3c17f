package jsonline

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestReadStringEscapesMatchEncodingJSON(t *testing.T) {
	for _, text := range []string{`"plain"`, `""`, `"\"\\\/\b\f\n\r\t"`, `"\u00e9\ud83d\ude00"`, `"\ud83dx"`, `"\ud83d\u0041"`, `"é"`} {
		var want string
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		if got, err := NewReader([]byte(text)).ReadString(); err != nil || string(got) != want {
			t.Errorf("%s: got %q, %v, want %q", text, got, err, want)
		}
	}
	for _, text := range []string{`"`, `"\`, `"\u12`, `"\x"`, "\"\n\"", `x`, ``, "\"\\n\n\""} {
		if got, err := NewReader([]byte(text)).ReadString(); !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: got %q, %v", text, got, err)
		}
	}
}

func TestLineSplitterJoinsPartialLines(t *testing.T) {
	text := "one\r\n\n  two\nthree\n"
	for split := range len(text) {
		var got []string
		splitter := LineSplitter{MaxLength: 10}
		for _, part := range []string{text[:split], text[split:]} {
			if err := splitter.Feed([]byte(part), func(line []byte) error { got = append(got, string(line)); return nil }); err != nil {
				t.Fatal(err)
			}
		}
		if strings.Join(got, ",") != "one,two,three" {
			t.Errorf("split at %d: %q", split, got)
		}
	}
	splitter := LineSplitter{MaxLength: 10}
	for _, part := range []string{"12345678", "9ab"} {
		if err := splitter.Feed([]byte(part), nil); (err == ErrLineTooLong) != (part == "9ab") {
			t.Errorf("%q: %v", part, err)
		}
	}
}

func TestAppendReadRoundTrip(t *testing.T) {
	for _, s := range []string{"", "a\"b\\c", "\x00\x1f\n é"} {
		if got, err := NewReader(AppendString(nil, s)).ReadString(); err != nil || string(got) != s {
			t.Errorf("%q: got %q, %v", s, got, err)
		}
		if got, err := NewReader(AppendBase64(nil, []byte(s))).ReadBase64(20); err != nil || string(got) != s {
			t.Errorf("%q: got %q, %v", s, got, err)
		}
	}
	if _, err := NewReader(AppendBase64(nil, make([]byte, 21))).ReadBase64(20); err == nil {
		t.Error("accepted 21 bytes with a limit of 20")
	}
}

func TestReadNumberFollowsJSONGrammar(t *testing.T) {
	for text, isNumber := range map[string]bool{"0": true, "-0.5e+3": true, "12E2": true, "00": false, "01": false, "+1": false,
		".5": false, "1.": false, "-": false, "1e": false, "1e999": false, "": false, "Inf": false, "0x1": false} {
		r := NewReader([]byte(text))
		if _, err := r.ReadNumber(); (err == nil && r.ExpectEnd() == nil) != isNumber {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestSyntaxErrorNamesOffsetAndExpectation(t *testing.T) {
	err := NewReader([]byte(`{"a" 1}`)).ReadObject(nil)
	var syntaxErr *SyntaxError
	if !errors.As(err, &syntaxErr) || !errors.Is(err, ErrSyntax) {
		t.Fatalf("got %v", err)
	}
	if syntaxErr.Offset != 5 || syntaxErr.Expected != "a colon" {
		t.Errorf("got %+v", syntaxErr)
	}
	if want := "no JSON at byte 5: expected a colon"; err.Error() != want {
		t.Errorf("got %q, want %q", err, want)
	}
}

// Every object that encoding/json accepts is read to its end, and no input makes the reader panic.
func FuzzObject(f *testing.F) {
	for _, seed := range []string{`{"a":1,"b":[true,null,{"c":"\u0000"}]}`, `{}`, `{"a":-1.5e3}`, `{`, `{"a":}`, `[[[[`, `{"a":1}x`, `{"":"` + "\x80" + `"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		r := NewReader(line)
		err := r.ReadObject(func([]byte) error { _, err := r.ReadRaw(); return err })
		if err == nil {
			err = r.ExpectEnd()
		}
		var m map[string]any
		if json.Unmarshal(line, &m) == nil && m != nil && err != nil && len(line) < maxDepth {
			t.Errorf("%q: %v", line, err)
		}
	})
}
