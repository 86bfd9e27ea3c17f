package settingsjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"thymechute/policy/settings"
)

const (
	maxNumber      = 1e12
	expectedNumber = "a number from 0 to 1e12"
	maxFoundBytes  = 60 // of a found value in an error message
)

// section is a JSON object whose values are not decoded yet.
type section map[string]json.RawMessage

// isMissing reports whether a value is absent or null.
func isMissing(raw json.RawMessage) bool { return raw == nil || string(raw) == "null" }

// joinKey returns the dotted key of a value in a section.
func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// compact formats a value on one line for an error message, cut to maxFoundBytes.
func compact(raw []byte) string {
	var line bytes.Buffer
	if json.Compact(&line, raw) != nil {
		return "invalid JSON"
	}
	return fmt.Sprintf("%.*s", maxFoundBytes, line.String())
}

// describeToken formats a token for an error message.
func describeToken(token json.Token) string {
	switch token := token.(type) {
	case nil:
		return "nothing"
	case json.Delim:
		return map[json.Delim]string{'{': "an object", '[': "a list"}[token]
	default:
		text, _ := json.Marshal(token)
		return compact(text)
	}
}

// parseNumber parses a number from 0 to maxNumber; null is a missing number. If the value is invalid, the second result is that
// value, formatted for an error message; otherwise it is empty.
func parseNumber(raw []byte) (value settings.Number, invalid string) {
	if string(raw) == "null" {
		return value, ""
	}
	number, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || number < 0 || number > maxNumber {
		return value, compact(raw)
	}
	return settings.NumberOf(number), ""
}

// section decodes a top-level object; nil if it is missing or invalid.
func (d *decoder) section(key string) (s section) {
	raw := d.topLevel[key]
	if !isMissing(raw) && json.Unmarshal(raw, &s) != nil {
		d.fail(key, compact(raw), "an object")
	}
	return s
}

// list decodes a list in the domain section; nil if it is missing or invalid.
func (d *decoder) list(domain section, key string) (entries []json.RawMessage) {
	raw := domain[key]
	if !isMissing(raw) && json.Unmarshal(raw, &entries) != nil {
		d.fail("domain."+key, compact(raw), "a list")
	}
	return entries
}

// decodeEntries decodes each entry of a list in the domain section.
func decodeEntries[T any](d *decoder, domain section, key string, decode func(prefix, key string, from section) T) []T {
	var values []T
	for index, raw := range d.list(domain, key) {
		entryKey := strconv.Itoa(index)
		values = append(values, decode("domain."+key, entryKey, section{entryKey: raw}))
	}
	return values
}

func (d *decoder) number(prefix, key string, from section) settings.Number {
	raw := from[key]
	if raw == nil {
		return settings.Number{}
	}
	value, invalid := parseNumber(raw)
	if invalid != "" {
		d.fail(joinKey(prefix, key), invalid, expectedNumber)
	}
	return value
}

// enum decodes a string that must be one of the allowed ones; empty if it is missing or invalid.
func (d *decoder) enum(prefix, key string, from section, allowed ...string) (value string) {
	raw := from[key]
	if isMissing(raw) {
		return ""
	}
	if json.Unmarshal(raw, &value) != nil || !slices.Contains(allowed, value) {
		d.fail(joinKey(prefix, key), compact(raw), "one of "+strings.Join(allowed, ", "))
		return ""
	}
	return value
}

func (d *decoder) text(prefix, key string, from section) (text string) {
	raw := from[key]
	if !isMissing(raw) && json.Unmarshal(raw, &text) != nil {
		d.fail(joinKey(prefix, key), compact(raw), "a string")
	}
	return text
}

func (d *decoder) flag(prefix, key string, from section) settings.Flag {
	raw := from[key]
	switch {
	case isMissing(raw):
		return settings.Missing
	case string(raw) == "true":
		return settings.True
	case string(raw) == "false":
		return settings.False
	}
	d.fail(joinKey(prefix, key), compact(raw), "true or false")
	return settings.Missing
}
