package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
)

// maxTextBytes bounds names and addresses.
const maxTextBytes = 200

// keyReader reads the values of one object and records the first error.
type keyReader struct {
	prefix string // of the keys in errors
	values map[string]any
	err    error // a *ValueError
}

func (r *keyReader) fail(key, found, expected string) {
	if r.err == nil {
		r.err = &ValueError{Key: r.prefix + key, Found: found, Expected: expected}
	}
}

// describe returns a value as an error shows it.
func describe(value any) string {
	if value == nil {
		return "nothing"
	}
	text, _ := json.Marshal(value)
	return fmt.Sprintf("%.60s", text)
}

// object reads an object; nil if it is missing.
func (r *keyReader) object(key string) map[string]any {
	value, isPresent := r.values[key]
	object, isObject := value.(map[string]any)
	if isPresent && !isObject {
		r.fail(key, describe(value), "an object")
	}
	return object
}

// text reads a text that is not empty. The override takes precedence, unless it is empty; the fallback stands for a missing
// key, unless it is empty.
func (r *keyReader) text(key, override, fallback string) string {
	if override != "" {
		return override
	}
	value, isPresent := r.values[key]
	if !isPresent && fallback != "" {
		return fallback
	}
	text, isText := value.(string)
	if !isText || text == "" || len(text) > maxTextBytes {
		r.fail(key, describe(value), "a text")
	}
	return text
}

// address reads an IP address with a port.
func (r *keyReader) address(key, override string) string {
	text := r.text(key, override, "")
	if text == "" { // text has recorded the error
		return text
	}
	if address, err := netip.ParseAddrPort(text); err != nil || address.Port() == 0 {
		r.fail(key, strconv.Quote(text), "an IP address and a port")
	}
	return text
}

// number reads a number within its bounds; the fallback stands for a missing key.
func (r *keyReader) number(key string, fallback, minimum, maximum float64) float64 {
	value, isPresent := r.values[key]
	if !isPresent {
		return fallback
	}
	number, isNumber := value.(float64)
	if !isNumber || math.IsNaN(number) || number < minimum || number > maximum {
		r.fail(key, describe(value), fmt.Sprintf("a number from %g to %g", minimum, maximum))
	}
	return number
}
