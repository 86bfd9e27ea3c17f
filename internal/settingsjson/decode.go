// Package settingsjson decodes the settings that the platform gives an instance, from JSON into the types of package
// settings, and validates each value. Two programs use it: thymechute for its configuration file, and benchlink for the
// settings line of the simulator.
//
// Unknown keys are ignored, and null counts as missing. Package settings defines the maximum number of classes and tenants.
// Tenants are decoded one by one, so that a long list is not in memory as JSON and decoded at the same time.
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

// ValueError reports an invalid value.
type ValueError struct {
	Key      string // dotted path, such as settings.tenants.0.name
	Found    string
	Expected string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Key, e.Found, e.Expected)
}

// Decode decodes one object. An invalid value counts as missing; the first one is also returned as a *ValueError, so that the
// caller can reject the settings.
//
// The error is that of invalid JSON, or a *ValueError if the settings are not an object, or if classes or tenants is not a list
// or has too many entries. The settings are empty then.
func Decode(in *json.Decoder) (settings.Settings, *ValueError, error) {
	d := decoder{in: in}
	if err := d.decodeObject(); err != nil {
		return settings.Settings{}, nil, err
	}
	return d.settings(), d.firstError, nil
}

// Parse decodes a text that must hold exactly one object. Its results are those of Decode.
func Parse(text string) (settings.Settings, *ValueError, error) {
	in := json.NewDecoder(strings.NewReader(text))
	s, invalid, err := Decode(in)
	if err != nil {
		return s, invalid, err
	}
	if _, err := in.Token(); err != io.EOF {
		return settings.Settings{}, nil, errors.New("data after the object")
	}
	return s, invalid, nil
}

// decoder collects the decoded values until the end of the object: lists of the domain section complete the classes, and
// either of the two may come first.
type decoder struct {
	in         *json.Decoder
	topLevel   section // all keys but classes and tenants
	classes    []settings.Class
	tenants    [][]settings.Tenant // in chunks of tenantChunk, so that a long list is copied only once, at the end
	firstError *ValueError
}

// fail records the first invalid value.
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
	d.topLevel = section{}
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
	d.topLevel[key.(string)] = raw
	return err
}

// decodeList decodes a list by calling entry with the index of each entry. Null counts as an empty list.
func (d *decoder) decodeList(key string, maxEntries int, entry func(index int) error) error {
	start, err := d.in.Token()
	switch {
	case err != nil:
		return err
	case start == nil:
		return nil
	case start != json.Delim('['):
		return &ValueError{Key: "settings." + key, Found: describeToken(start), Expected: "a list"}
	}
	for index := 0; d.in.More(); index++ {
		if index >= maxEntries {
			return &ValueError{
				Key:      "settings." + key,
				Found:    fmt.Sprintf("more than %d entries", maxEntries),
				Expected: fmt.Sprintf("at most %d", maxEntries),
			}
		}
		if err := entry(index); err != nil {
			return err
		}
	}
	_, err = d.in.Token()
	return err
}

// settings assembles the settings from the decoded values.
func (d *decoder) settings() settings.Settings {
	s := settings.Settings{Server: d.server(), Classes: d.classes, Tenants: slices.Concat(d.tenants...)}
	d.applyClassLists(s.Classes)
	return s
}
