package wire

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"
)

func parseMessage(t *testing.T, line string) Message {
	t.Helper()
	m, err := NewReader(strings.NewReader(line + "\n")).Next()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestReaderSkipsBlankLinesAndNumbersTheOthers(t *testing.T) {
	r := NewReader(strings.NewReader("\nA x=1\r\n\nB\n"))
	for _, want := range []Message{{"A", 2, "x=1"}, {"B", 4, ""}} {
		if got, err := r.Next(); err != nil || got != want {
			t.Errorf("got %+v, error %v, want %+v", got, err, want)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want EOF", err)
	}
}

func TestTruncatedLastLineIsAnError(t *testing.T) {
	r := NewReader(strings.NewReader("A\nB"))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	_, err := r.Next()
	var malformed *Error
	if !errors.As(err, &malformed) || malformed.Line != 2 {
		t.Errorf("error %v, want one of line 2", err)
	}
}

func TestFieldsAreDecodedByTheirFormat(t *testing.T) {
	m := parseMessage(t, "M id=7 twice=1 twice=2 cost_s=0.0000015 prio=-0.5 on=1 off=0 row=0.5,3 text=a b=c")
	if id, err := m.RequiredUint("id"); id != 7 || err != nil {
		t.Error(id, err)
	}
	if last, err := m.Uint("twice"); last != 2 || err != nil {
		t.Error(last, err)
	}
	if cost, err := m.Seconds("cost_s"); cost != 1500 || err != nil {
		t.Error(cost, err)
	}
	if priority, err := m.Number("prio"); priority != -0.5 || err != nil {
		t.Error(priority, err)
	}
	if on, err := m.Bool("on"); !on || err != nil {
		t.Error(on, err)
	}
	if off, err := m.Bool("off"); off || err != nil {
		t.Error(off, err)
	}
	if numbers, err := m.Numbers("row"); !slices.Equal(numbers, []float64{0.5, 3}) || err != nil {
		t.Error(numbers, err)
	}
	if text, found := m.Text("text"); text != "a b=c" || !found {
		t.Error(text, found)
	}
}

func TestMissingFieldsAreZeroUnlessRequired(t *testing.T) {
	m := parseMessage(t, "M")
	if id, err := m.Uint("id"); id != 0 || err != nil {
		t.Error(id, err)
	}
	if wait, err := m.Seconds("wait_s"); wait != 0 || err != nil {
		t.Error(wait, err)
	}
	if numbers, err := m.Numbers("row"); numbers != nil || err != nil {
		t.Error(numbers, err)
	}
	if _, found := m.Text("text"); found {
		t.Error("found a text field that the message does not have")
	}
	_, err := m.RequiredUint("id")
	if want := `line 1: M id: expected a whole number from 0 to 2^63-1, got ""`; err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
	_, err = m.RequiredSeconds("at_s")
	if want := "line 1: M at_s: expected a time in seconds, got none"; err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

func TestMalformedFieldsAreErrorsThatNameThem(t *testing.T) {
	m := parseMessage(t, "M id=-1 number=NaN time_s=2e9 flag=yes row=1,x")
	for field, decode := range map[string]func(string) error{
		"id":     func(name string) error { _, err := m.Uint(name); return err },
		"number": func(name string) error { _, err := m.Number(name); return err },
		"time_s": func(name string) error { _, err := m.Seconds(name); return err },
		"flag":   func(name string) error { _, err := m.Bool(name); return err },
		"row":    func(name string) error { _, err := m.Numbers(name); return err },
	} {
		var malformed *Error
		if err := decode(field); !errors.As(err, &malformed) || malformed.Field != "M "+field {
			t.Errorf("field %s: error %v, want an Error of this field", field, err)
		}
	}
}

func TestLineIsEncodedByFormat(t *testing.T) {
	line := NewLine([]byte("A\n"), "B").Uint("id", 1<<63-1).Number("value", 0.1)
	line = line.Seconds("at_s", 1500*time.Nanosecond).Bool("on", true).Bool("off", false)
	got := string(line.Text("text", "a\nb c").End())
	if want := "A\nB id=9223372036854775807 value=0.1 at_s=0.000001 on=1 off=0 text=a b c\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
