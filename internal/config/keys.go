package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
)

// maxStringBytes is the maximum length of a name or address.
const maxStringBytes = 200

// keyReader reads and validates the values of one object, and records the first error.
type keyReader struct {
	prefix string // of the keys in error messages
	values map[string]any
	err    error // a *ValueError
}

func (r *keyReader) fail(key, found, expected string) {
	if r.err == nil {
		r.err = &ValueError{Key: r.prefix + key, Found: found, Expected: expected}
	}
}

// describe formats a value for an error message, cut to 60 characters; nil is the value of a missing key and of null.
func describe(value any) string {
	if value == nil {
		return "a missing or null value"
	}
	text, _ := json.Marshal(value)
	return fmt.Sprintf("%.60s", text)
}

// object returns the object under a key; nil if it is missing or invalid.
func (r *keyReader) object(key string) map[string]any {
	value, isPresent := r.values[key]
	object, isObject := value.(map[string]any)
	if isPresent && !isObject {
		r.fail(key, describe(value), "an object")
	}
	return object
}

// text returns the non-empty string under a key. A non-empty override takes precedence over the key, and a non-empty
// default value replaces a missing key.
func (r *keyReader) text(key, override, defaultValue string) string {
	if override != "" {
		return override
	}
	value, isPresent := r.values[key]
	if !isPresent && defaultValue != "" {
		return defaultValue
	}
	text, isText := value.(string)
	if !isText || text == "" || len(text) > maxStringBytes {
		r.fail(key, describe(value), fmt.Sprintf("a string of 1 to %d bytes", maxStringBytes))
	}
	return text
}

// address returns the IP address and port under a key, as one string.
func (r *keyReader) address(key, override string) string {
	text := r.text(key, override, "")
	if text == "" { // an error, which text has recorded
		return text
	}
	if address, err := netip.ParseAddrPort(text); err != nil || address.Port() == 0 {
		r.fail(key, strconv.Quote(text), "an IP address and a port")
	}
	return text
}

// number returns the number under a key, which must be within the bounds; the default value replaces a missing key.
func (r *keyReader) number(key string, defaultValue, minimum, maximum float64) float64 {
	value, isPresent := r.values[key]
	if !isPresent {
		return defaultValue
	}
	number, isNumber := value.(float64)
	if !isNumber || math.IsNaN(number) || number < minimum || number > maximum {
		r.fail(key, describe(value), fmt.Sprintf("a number from %g to %g", minimum, maximum))
	}
	return number
}
