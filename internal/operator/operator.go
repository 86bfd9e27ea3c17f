// Package operator is the one place where the operator's own file (deploy/thymechute.xml) becomes values of the
// program. The schema beside it is the one list of names, types, bounds and defaults; the structures here only give
// them Go names, and a test holds the two against each other in both directions. What no schema can say (one bound
// against another, files that must be readable) is checked here, with the line that it stands on. It must never
// hold a default of its own, log a credential, or touch anything that runs.
package operator

import (
	"fmt"
	"os"
	"reflect"

	"thymechute/deploy"
	"thymechute/internal/xsd"
)

// File is the whole of it; what is nil is off.
type File struct {
	AMQP  *AMQP  `xml:"amqp"`
	Fleet *Fleet `xml:"fleet"`
}

// Load reads the file at the path and all that it names. An error is one line: line, element, found, expected.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: found %w, expected a file that can be read", err)
	}
	f, err := Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Read takes the text of the file; every error is a *xsd.Fault.
func Read(text []byte) (*File, error) {
	schema, err := xsd.Parse(deploy.Schema)
	if err != nil {
		return nil, err
	}
	root, err := schema.Read(text)
	if err != nil {
		return nil, err
	}
	f := &File{}
	bind(root, reflect.ValueOf(f).Elem())
	if f.AMQP != nil {
		if err := f.AMQP.check(schema); err != nil {
			return nil, err
		}
	}
	if f.Fleet != nil {
		if err := f.Fleet.check(); err != nil {
			return nil, err
		}
	}
	return f, nil
}
