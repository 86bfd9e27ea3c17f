// Package xsd reads the part of W3C XML Schema 1.0 that the operator's file is written in, and documents by it:
// one root element, named types, sequence and all, attributes with defaults, and simple types by restriction. No
// pure Go validator is served by the registry. A schema that uses anything else is refused whole, so that nothing
// stands in it that isn't checked. It must never fetch anything, expand an entity, or let a document grow past its
// bounds: mostBytes, mostDepth, mostNodes. It keeps no table.
package xsd

import "fmt"

const (
	mostBytes = 1 << 20
	mostDepth = 16
	mostNodes = 10000
	space     = "http://www.w3.org/2001/XMLSchema"
)

// Fault is what is wrong at one line of a document.
type Fault struct {
	Line                 int
	Element, Found, Want string
}

func (f *Fault) Error() string {
	return fmt.Sprintf("line %d, %s: found %s, expected %s", f.Line, f.Element, f.Found, f.Want)
}
