// Package xsd validates XML documents against a subset of W3C XML Schema 1.0. The subset is what the operator's settings file
// needs: one root element, named types, sequence and all, attributes with defaults, and simple types by restriction. A schema
// that uses anything else is rejected as a whole, so that no constraint in it goes unchecked.
//
// Documents are limited to maxDocumentBytes, maxDepth and maxElements. Entities are not expanded and nothing is fetched. A
// Schema is immutable and safe for concurrent use.
package xsd

import "fmt"

const (
	maxDocumentBytes = 1 << 20
	maxDepth         = 16    // levels of elements
	maxElements      = 10000 // in a document
	schemaNamespace  = "http://www.w3.org/2001/XMLSchema"
)

// ValidationError reports what is invalid at one line of a document or schema.
type ValidationError struct {
	Line                     int // from 1
	Element, Found, Expected string
}

func (e *ValidationError) Error() string {
	return fmt.Sprintf("line %d, %s: found %s, expected %s", e.Line, e.Element, e.Found, e.Expected)
}
