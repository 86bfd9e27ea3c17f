// Package deploy carries the schema of the operator's file into the program, so that what is checked is what
// stands beside the file. It must never hold anything else.
package deploy

import _ "embed"

// Schema is thymechute.xsd.
//
//go:embed thymechute.xsd
var Schema []byte
