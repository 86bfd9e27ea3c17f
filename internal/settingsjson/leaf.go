// This file owns the leaves: a value is what is expected, missing, or a fault under its key.

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

// section is an object whose values are not read yet.
type section map[string]json.RawMessage

const (
	maxNumber      = 1e12
	expectedNumber = "a number from 0 to 1e12"
)

// numberValue is a figure as it stands in an entry; found is what stands there where that is none.
type numberValue struct {
	value settings.Number
	found string
}

func (n *numberValue) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	x, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || x < 0 || x > maxNumber {
		n.found = compact(raw)
		return nil
	}
	n.value = settings.NumberOf(x)
	return nil
}

// compact is a found value on one line, cut where it is long.
func compact(raw []byte) string {
	var line bytes.Buffer
	if json.Compact(&line, raw) != nil {
		return "no JSON"
	}
	return fmt.Sprintf("%.*s", maxFoundBytes, line.String())
}

// describeToken is a token where something else was expected.
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

// isMissing tells of a value that does not stand there.
func isMissing(raw json.RawMessage) bool { return raw == nil || string(raw) == "null" }

// joinKey is the key of a value in a section.
func joinKey(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// section is an object of the top one; empty where it is missing or none.
func (r *decoder) section(key string) (s section) {
	raw := r.top[key]
	if !isMissing(raw) && json.Unmarshal(raw, &s) != nil {
		r.fail(key, compact(raw), "an object")
	}
	return s
}

// entries are those of a list; none where it is missing or no list.
func (r *decoder) entries(domain section, key string) (list []json.RawMessage) {
	raw := domain[key]
	if !isMissing(raw) && json.Unmarshal(raw, &list) != nil {
		r.fail("domain."+key, compact(raw), "a list")
	}
	return list
}

// decodeEntries reads all entries of a list of the domain.
func decodeEntries[T any](r *decoder, domain section, key string, read func(at, key string, from section) T) []T {
	var list []T
	for place, raw := range r.entries(domain, key) {
		at := strconv.Itoa(place)
		list = append(list, read("domain."+key, at, section{at: raw}))
	}
	return list
}

func (r *decoder) number(at, key string, from section) settings.Number {
	var n numberValue
	if raw := from[key]; raw != nil {
		_ = n.UnmarshalJSON(raw)
	}
	if n.found != "" {
		r.fail(joinKey(at, key), n.found, expectedNumber)
	}
	return n.value
}

// word is one of those allowed.
func (r *decoder) word(at, key string, from section, allowed ...string) (word string) {
	raw := from[key]
	if isMissing(raw) {
		return ""
	}
	if json.Unmarshal(raw, &word) != nil || !slices.Contains(allowed, word) {
		r.fail(joinKey(at, key), compact(raw), "one of "+strings.Join(allowed, ", "))
		return ""
	}
	return word
}

func (r *decoder) text(at, key string, from section) (text string) {
	if raw := from[key]; !isMissing(raw) && json.Unmarshal(raw, &text) != nil {
		r.fail(joinKey(at, key), compact(raw), "a text")
	}
	return text
}

func (r *decoder) flag(at, key string, from section) settings.Flag {
	raw := from[key]
	switch {
	case isMissing(raw):
		return settings.Missing
	case string(raw) == "true":
		return settings.True
	case string(raw) == "false":
		return settings.False
	}
	r.fail(joinKey(at, key), compact(raw), "true or false")
	return settings.Missing
}
