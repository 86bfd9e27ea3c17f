package wire

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxSeconds bounds a time so that it fits into a time.Duration.
const maxSeconds = 1e9

// Message is one line, with its fields not yet decoded.
type Message struct {
	Name   string
	Line   int // line number in the input, from 1
	fields string
}

// FieldError returns an *Error for a field of the message.
func (m Message) FieldError(field, expected string) error {
	return &Error{m.Line, m.Name + " " + field, expected}
}

// Field returns the text of a field. If several fields have this name, the last one counts.
func (m Message) Field(name string) (value string, found bool) {
	rest := m.fields
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, " ")
		if key, text, ok := strings.Cut(field, "="); ok && key == name {
			value = text
			found = true
		}
	}
	return value, found
}

// Text returns the text of a field that extends to the end of the line.
func (m Message) Text(name string) (value string, found bool) {
	rest := m.fields
	for rest != "" {
		if text, ok := strings.CutPrefix(rest, name+"="); ok {
			return text, true
		}
		_, rest, _ = strings.Cut(rest, " ")
	}
	return "", false
}

// Uint returns a whole number from 0 to 2^63-1, or 0 if the field is missing.
func (m Message) Uint(name string) (uint64, error) {
	if _, found := m.Field(name); !found {
		return 0, nil
	}
	return m.RequiredUint(name)
}

// RequiredUint returns a whole number like Uint, but an *Error if the field is missing.
func (m Message) RequiredUint(name string) (uint64, error) {
	text, _ := m.Field(name)
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, m.FieldError(name, "a whole number from 0 to 2^63-1, got "+strconv.Quote(text))
	}
	return number, nil
}

// Number returns a finite number, or 0 if the field is missing.
func (m Message) Number(name string) (float64, error) {
	text, found := m.Field(name)
	if !found {
		return 0, nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, m.FieldError(name, "a finite number, got "+strconv.Quote(text))
	}
	return number, nil
}

// Seconds returns a time or duration, rounded to nanoseconds, or 0 if the field is missing.
func (m Message) Seconds(name string) (time.Duration, error) {
	seconds, err := m.Number(name)
	if err == nil && math.Abs(seconds) > maxSeconds {
		return 0, m.FieldError(name, "a time from -1e9 to 1e9 seconds")
	}
	return time.Duration(math.Round(seconds * 1e9)), err
}

// RequiredSeconds returns a time like Seconds, but an *Error if the field is missing.
func (m Message) RequiredSeconds(name string) (time.Duration, error) {
	if _, found := m.Field(name); !found {
		return 0, m.FieldError(name, "a time in seconds, got none")
	}
	return m.Seconds(name)
}

// Bool returns a bool, or false if the field is missing.
func (m Message) Bool(name string) (bool, error) {
	switch text, _ := m.Field(name); text {
	case "", "0", "false":
		return false, nil
	case "1", "true":
		return true, nil
	default:
		return false, m.FieldError(name, "1, 0, true or false, got "+strconv.Quote(text))
	}
}

// Numbers returns the numbers of a comma-separated list, or nil if the field is missing.
func (m Message) Numbers(name string) ([]float64, error) {
	text, _ := m.Field(name)
	if text == "" {
		return nil, nil
	}
	var numbers []float64
	for _, part := range strings.Split(text, ",") {
		number, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return nil, m.FieldError(name, "comma-separated numbers, got "+strconv.Quote(text))
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}
