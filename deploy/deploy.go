// Package deploy embeds the schema of the operator's settings file, so that the program validates against the same file that
// operators read. It must not contain anything else.
package deploy

import _ "embed"

// Schema is the content of thymechute.xsd.
//
//go:embed thymechute.xsd
var Schema []byte
