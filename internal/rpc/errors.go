package rpc

import (
	"errors"
	"fmt"
)

// Error codes of JSON-RPC 2.0, and from its range for servers those for requests that did not complete.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInvalidParams  = -32602
	codeFailed         = -32000
	codeOverloaded     = -32001
)

// Why a message is rejected. The texts are sent to the client.
var (
	errDuplicateID    = errors.New("id stands twice")
	errNotRequest     = errors.New("expected jsonrpc 2.0, a method and an id")
	errIDExpected     = errors.New("expected an id")
	errDuplicateField = errors.New("stands twice")
	errMissingField   = errors.New("missing")
	errNotTimestamp   = errors.New("expected Unix milliseconds")
	errNotRecent      = errors.New("expected a time just now")
	errNotCaller      = errors.New("expected the number of a stub")
	errNotPriority    = errors.New("expected 0 to under 1")
	errNotPlainID     = errors.New("expected 1 to 64 letters or digits")
	errStringTooLong  = fmt.Errorf("expected at most %d bytes", maxStringLength)
	errMemoryRange    = fmt.Errorf("expected over 0 and under %d", maxMemoryKB)
	errTooManyPending = fmt.Errorf("over %d open requests", maxPendingRequests)
)

// errIDInUse closes the connection, as an error response with the ID could be taken for the answer to either request.
var errIDInUse = errors.New("two requests under one id")

// ProtocolError is what is wrong with a message. It is sent to the client with its code.
type ProtocolError struct {
	Code int // of JSON-RPC 2.0
	Err  error
}

func (e *ProtocolError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *ProtocolError) Unwrap() error { return e.Err }

// FieldError is what is wrong with a field of a request's params.
type FieldError struct {
	Field string
	Err   error
}

// Error names at most 20 characters of the field, which the client chose.
func (e *FieldError) Error() string { return fmt.Sprintf("%.20s: %v", e.Field, e.Err) }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }
