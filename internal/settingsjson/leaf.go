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
	mostNumber = 1e12
	wantNumber = "a number from 0 to 1e12"
)

// number is a figure as it stands in an entry; found is what stands there where that is none.
type number struct {
	value settings.Number
	found string
}

func (n *number) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	x, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || x < 0 || x > mostNumber {
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
	return fmt.Sprintf("%.*s", longestFound, line.String())
}

// shown is a token where something else was expected.
func shown(token json.Token) string {
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

// missing tells of a value that does not stand there.
func missing(raw json.RawMessage) bool { return raw == nil || string(raw) == "null" }

// under is the key of a value in a section.
func under(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// section is an object of the top one; empty where it is missing or none.
func (r *reader) section(key string) (s section) {
	raw := r.top[key]
	if !missing(raw) && json.Unmarshal(raw, &s) != nil {
		r.fail(key, compact(raw), "an object")
	}
	return s
}

// entries are those of a list; none where it is missing or no list.
func (r *reader) entries(domain section, key string) (list []json.RawMessage) {
	raw := domain[key]
	if !missing(raw) && json.Unmarshal(raw, &list) != nil {
		r.fail("domain."+key, compact(raw), "a list")
	}
	return list
}

// each reads all entries of a list of the domain.
func each[T any](r *reader, domain section, key string, read func(at, key string, from section) T) []T {
	var list []T
	for place, raw := range r.entries(domain, key) {
		at := strconv.Itoa(place)
		list = append(list, read("domain."+key, at, section{at: raw}))
	}
	return list
}

func (r *reader) number(at, key string, from section) settings.Number {
	var n number
	if raw := from[key]; raw != nil {
		_ = n.UnmarshalJSON(raw)
	}
	if n.found != "" {
		r.fail(under(at, key), n.found, wantNumber)
	}
	return n.value
}

// word is one of those allowed.
func (r *reader) word(at, key string, from section, allowed ...string) (word string) {
	raw := from[key]
	if missing(raw) {
		return ""
	}
	if json.Unmarshal(raw, &word) != nil || !slices.Contains(allowed, word) {
		r.fail(under(at, key), compact(raw), "one of "+strings.Join(allowed, ", "))
		return ""
	}
	return word
}

func (r *reader) text(at, key string, from section) (text string) {
	if raw := from[key]; !missing(raw) && json.Unmarshal(raw, &text) != nil {
		r.fail(under(at, key), compact(raw), "a text")
	}
	return text
}

func (r *reader) flag(at, key string, from section) settings.Flag {
	raw := from[key]
	switch {
	case missing(raw):
		return settings.Missing
	case string(raw) == "true":
		return settings.True
	case string(raw) == "false":
		return settings.False
	}
	r.fail(under(at, key), compact(raw), "true or false")
	return settings.Missing
}
