package broker

import "fmt"

// connectionError ends a connection with a reply code of the specification.
type connectionError struct {
	code uint16
	text string
}

func (e connectionError) Error() string { return fmt.Sprintf("%d %s", e.code, e.text) }

// The errors that end a connection.
var (
	errLoginRefused    = connectionError{403, "ACCESS_REFUSED"}
	errMalformedFrame  = connectionError{501, "FRAME_ERROR"}
	errSyntax          = connectionError{502, "SYNTAX_ERROR"}
	errCommandInvalid  = connectionError{503, "COMMAND_INVALID"}
	errChannel         = connectionError{504, "CHANNEL_ERROR"}
	errUnexpectedFrame = connectionError{505, "UNEXPECTED_FRAME"}
	errTagInUse        = connectionError{530, "NOT_ALLOWED - tag in use"}
	errNotImplemented  = connectionError{540, "NOT_IMPLEMENTED"}
)

// The reply codes that close a channel, or return a message.
const (
	replyNoRoute            = 312
	replyAccessRefused      = 403
	replyNotFound           = 404
	replyPreconditionFailed = 406
)
