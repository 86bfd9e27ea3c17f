// Package settingsjson decodes the platform's settings of an instance from JSON into package settings' types and checks
// each value. Both programs use it: thymechute for its configuration file, benchlink for the simulator's line.
//
// Unknown keys are ignored, and null counts as missing. The number of classes and tenants is bounded as package settings
// says. Tenants are decoded one by one, so that a long list is never held in a second form.
package settingsjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"thymechute/policy/settings"
)

// ValueError is the error of one value.
type ValueError struct {
	Key      string // in dotted form
	Found    string
	Expected string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Key, e.Found, e.Expected)
}

// Decode decodes one object. A faulty value is left missing, and the first of them is returned as a ValueError beside the
// settings: a caller that accepts no faulty settings rejects them by it.
//
// The error is that of invalid JSON, or a *ValueError where the settings or a list can't be decoded at all: no object, no
// list, or more entries than its bound. The settings are empty then.
func Decode(in *json.Decoder) (settings.Settings, *ValueError, error) {
	d := decoder{in: in}
	if err := d.decodeObject(); err != nil {
		return settings.Settings{}, nil, err
	}
	return d.settings(), d.firstError, nil
}

// Parse decodes a text that holds one object and nothing else; the results are those of Decode.
func Parse(text string) (settings.Settings, *ValueError, error) {
	in := json.NewDecoder(strings.NewReader(text))
	s, invalid, err := Decode(in)
	if err != nil {
		return s, invalid, err
	}
	if _, err := in.Token(); err != io.EOF {
		return settings.Settings{}, nil, errors.New("more behind the object")
	}
	return s, invalid, nil
}

// decoder keeps what was decoded up to the end of the object: lists of the domain section add to the classes, whichever
// comes first.
type decoder struct {
	in         *json.Decoder
	top        section // all but classes and tenants
	classes    []settings.Class
	tenants    [][]settings.Tenant // in chunks of tenantChunk, so that a long list is copied only once
	firstError *ValueError
}

// fail keeps the first faulty value.
func (d *decoder) fail(key, found, expected string) {
	if d.firstError == nil {
		d.firstError = &ValueError{Key: "settings." + key, Found: found, Expected: expected}
	}
}

func (d *decoder) decodeObject() error {
	start, err := d.in.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return &ValueError{Key: "settings", Found: describeToken(start), Expected: "an object"}
	}
	d.top = section{}
	for d.in.More() {
		if err := d.decodeMember(); err != nil {
			return err
		}
	}
	_, err = d.in.Token()
	return err
}

// decodeMember decodes one key and its value.
func (d *decoder) decodeMember() error {
	key, err := d.in.Token()
	if err != nil {
		return err
	}
	switch key {
	case "classes":
		return d.decodeClasses()
	case "tenants":
		return d.decodeTenants()
	}
	var raw json.RawMessage
	err = d.in.Decode(&raw)
	d.top[key.(string)] = raw
	return err
}

// decodeList decodes a list entry by entry; null is an empty one. The entry's function gets its place, from 0.
func (d *decoder) decodeList(key string, maxEntries int, entry func(place int) error) error {
	start, err := d.in.Token()
	switch {
	case err != nil:
		return err
	case start == nil:
		return nil
	case start != json.Delim('['):
		return &ValueError{Key: "settings." + key, Found: describeToken(start), Expected: "a list"}
	}
	for place := 0; d.in.More(); place++ {
		if place >= maxEntries {
			return &ValueError{
				Key:      "settings." + key,
				Found:    fmt.Sprintf("more than %d", maxEntries),
				Expected: fmt.Sprintf("at most %d", maxEntries),
			}
		}
		if err := entry(place); err != nil {
			return err
		}
	}
	_, err = d.in.Token()
	return err
}

// settings returns the settings of all that was decoded.
func (d *decoder) settings() settings.Settings {
	s := settings.Settings{Server: d.server(), Classes: d.classes, Tenants: slices.Concat(d.tenants...)}
	d.applyClassLists(s.Classes)
	return s
}
