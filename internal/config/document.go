package config

import (
	"encoding/json"
	"errors"
	"io"
	"runtime"
	"slices"

	"thymechute/internal/settingsjson"
	"thymechute/policy/settings"
)

// readChunkBytes is how much of the file is read between two yields: about 1,000 tenants, which take a millisecond to decode.
// While the loop waits for the network a yield may take as long again, as the Go scheduler detects an idle core with a delay.
const readChunkBytes = 48 << 10

// yieldingReader yields the processor before each read from source.
type yieldingReader struct{ source io.Reader }

func (r yieldingReader) Read(into []byte) (int, error) {
	runtime.Gosched()
	return r.source.Read(into)
}

// document is the decoded content of the file.
type document struct {
	values        map[string]any // of all keys but settings
	hasSettings   bool
	settings      settings.Settings
	settingsError *ValueError // of the first invalid value in the settings
}

var (
	errNotAnObject  = errors.New("a JSON value that is not an object")
	errTrailingData = errors.New("data after the object")
	errTruncated    = errors.New("unexpected end of JSON input")
)

// decode reads one object up to the end of the file. The error is that of invalid JSON, or a *ValueError if the settings
// cannot be decoded at all.
func (d *document) decode(in *json.Decoder) error {
	start, err := in.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return errNotAnObject
	}
	for in.More() {
		if err := d.decodeMember(in); err != nil {
			return err
		}
	}
	if _, err := in.Token(); err != nil { // the object's closing brace
		return err
	}
	if _, err := in.Token(); err != io.EOF {
		return errTrailingData
	}
	return nil
}

// decodeMember reads one key and its value.
func (d *document) decodeMember(in *json.Decoder) error {
	key, err := in.Token()
	if err != nil {
		return err
	}
	if key == "settings" {
		d.hasSettings = true
		d.settings, d.settingsError, err = settingsjson.Decode(in)
		return err
	}
	var value any
	err = in.Decode(&value)
	d.values[key.(string)] = value
	return err
}

// fileError returns the *ValueError for a file whose decoding failed with err.
func fileError(err error, path string) error {
	var invalid *ValueError
	if errors.As(err, &invalid) {
		return invalid
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errTruncated
	}
	return &ValueError{Key: "GW_CONFIG", Found: err.Error(), Expected: "a JSON object in " + path}
}

// checkSettings records an error in keys if the settings are missing or invalid.
func (d *document) checkSettings(keys *keyReader) {
	hasName := func(class settings.Class) bool { return class.Name != "" }
	switch {
	case !d.hasSettings:
		keys.fail("settings", "no such key", "an object")
	case d.settingsError != nil:
		keys.fail(d.settingsError.Key, d.settingsError.Found, d.settingsError.Expected)
	case !slices.ContainsFunc(d.settings.Classes, hasName):
		keys.fail("settings.classes", "none with a name", "at least one class with a name")
	}
}
