// This file owns reading the file as JSON, from front to back and once. It must never hold the whole of it.

package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"

	"thymechute/internal/settingsjson"
	"thymechute/policy/settings"
)

// fileBuffer is how much is read from the file between two pauses: some 1,000 tenants, a millisecond's work. A pause may
// cost as long again where the loop then waits for the network, as Go notices that its core is free only after a while.
const fileBuffer = 48 << 10

// pausing lets others have the core before each read.
type pausing struct{ from io.Reader }

func (p pausing) Read(into []byte) (int, error) {
	runtime.Gosched()
	return p.from.Read(into)
}

// document is what stands in the file.
type document struct {
	keys     map[string]any // but the settings
	found    bool           // the settings
	settings settings.Settings
	fault    *Fault // in them
}

var (
	errNoObject = errors.New("no object")
	errMore     = errors.New("more behind the object")
	errCutOff   = errors.New("unexpected end of JSON input")
)

// read takes one object and nothing more. Errors: JSON that is none; a *Fault of the settings as a whole.
func (d *document) read(in *json.Decoder) error {
	start, err := in.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return errNoObject
	}
	for in.More() {
		key, err := in.Token()
		if err != nil {
			return err
		}
		if key == "settings" {
			d.found = true
			d.settings, d.fault, err = settingsjson.Decode(in)
		} else {
			var value any
			err = in.Decode(&value)
			d.keys[key.(string)] = value
		}
		if err != nil {
			return err
		}
	}
	if _, err := in.Token(); err != nil {
		return err
	}
	if _, err := in.Token(); err != io.EOF {
		return errMore
	}
	return nil
}

// refusal is the error of a file that can't be read to its end.
func refusal(err error, path string) error {
	var fault *Fault
	switch {
	case errors.As(err, &fault):
		return fault
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		err = errCutOff
	}
	return &Fault{Key: "GW_CONFIG", Found: err.Error(), Want: fmt.Sprint("a JSON object in ", path)}
}

// check notes what is wrong with the settings.
func (d *document) check(r *reader) {
	named := func(c settings.Class) bool { return c.Name != "" }
	switch {
	case !d.found:
		r.fail("settings", "nothing", "an object")
	case d.fault != nil:
		r.fail(d.fault.Key, d.fault.Found, d.fault.Want)
	case !slices.ContainsFunc(d.settings.Classes, named):
		r.fail("settings.classes", "none with a name", "at least one class with a name")
	}
}
