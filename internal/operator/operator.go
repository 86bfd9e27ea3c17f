// Package operator reads the operator's settings file (example: deploy/thymechute.xml) into typed values. The schema
// deploy/thymechute.xsd is the only place that defines names, types, limits and defaults: the structs here only have a field for
// each of its elements and attributes, and a test checks that none is missing on either side. Constraints that the schema
// cannot express (between two limits, or that a file is readable) are checked here and reported with the line of the element.
// Credentials never appear in an error.
package operator

import (
	"fmt"
	"os"
	"reflect"

	"thymechute/deploy"
	"thymechute/internal/xsd"
)

// Settings is the content of the settings file. A feature whose field is nil is disabled.
type Settings struct {
	AMQP  *AMQP  `xml:"amqp"`
	Fleet *Fleet `xml:"fleet"`
}

// Load reads the settings file and the files that it names. An error is one line with the path, the line and the element, what
// was found and what was expected.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: found %w, expected a readable file", err)
	}
	settings, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Parse parses the text of a settings file and reads the files that it names. The error is an *xsd.ValidationError.
func Parse(text []byte) (*Settings, error) {
	schema, err := xsd.Compile(deploy.Schema)
	if err != nil {
		return nil, err
	}
	settings, err := decode(schema, text)
	if err != nil {
		return nil, err
	}
	if settings.AMQP != nil {
		if err := settings.AMQP.validateAndLoad(schema); err != nil {
			return nil, err
		}
	}
	if settings.Fleet != nil {
		if err := settings.Fleet.validate(); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// decode validates a text against the schema and decodes it.
func decode(schema *xsd.Schema, text []byte) (*Settings, error) {
	root, err := schema.Parse(text)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	bind(root, reflect.ValueOf(settings).Elem())
	return settings, nil
}
