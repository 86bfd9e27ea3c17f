package rpc

import (
	"errors"
	"fmt"
)

// Error codes of JSON-RPC 2.0. Those of requests that did not complete, codeFailed and codeOverloaded, are in the range that it
// reserves for servers.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInvalidParams  = -32602
	codeFailed         = -32000
	codeOverloaded     = -32001
)

// Reasons for rejecting a message. The texts are sent to clients and belong to the protocol.
var (
	errDuplicateID       = errors.New("id stands twice")
	errIncompleteRequest = errors.New("expected jsonrpc 2.0, a method and an id")
	errIDExpected        = errors.New("expected an id")
	errDuplicateField    = errors.New("stands twice")
	errMissingField      = errors.New("missing")
	errNotTimestamp      = errors.New("expected Unix milliseconds")
	errNotRecent         = errors.New("expected a time just now")
	errInvalidCaller     = errors.New("expected the number of a stub")
	errPriorityRange     = errors.New("expected 0 to under 1")
	errInvalidRequestID  = errors.New("expected 1 to 64 letters or digits")
	errStringTooLong     = fmt.Errorf("expected at most %d bytes", maxStringLength)
	errMemoryRange       = fmt.Errorf("expected over 0 and under %d", maxMemoryKB)
	errTooManyPending    = fmt.Errorf("over %d open requests", maxPendingRequests)
)

// errIDInUse closes the connection, as an error response with the ID could be taken for the answer to either request. It is
// logged and not sent.
var errIDInUse = errors.New("message ID of a new request is in use by a pending one")

// errTooManyProtocolErrors closes the connection in two steps, and answers what is received between them.
var errTooManyProtocolErrors = fmt.Errorf("over %d protocol errors", maxProtocolErrors)

// ProtocolError reports why a message is invalid. Its code and text are sent to the client.
type ProtocolError struct {
	Code int // of JSON-RPC 2.0
	Err  error
}

func (e *ProtocolError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *ProtocolError) Unwrap() error { return e.Err }

// FieldError reports an invalid or missing field of a message's params.
type FieldError struct {
	Field string
	Err   error
}

// Error names at most 20 characters of the field, which the client chose.
func (e *FieldError) Error() string { return fmt.Sprintf("%.20s: %v", e.Field, e.Err) }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }
