package broker

import "fmt"

// connectionError is an error that closes the connection with one of the specification's reply codes.
type connectionError struct {
	code uint16
	text string
}

func (e connectionError) Error() string { return fmt.Sprintf("%d %s", e.code, e.text) }

// Errors that close a connection.
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

// Reply codes of channel.close and basic.return.
const (
	replyNoRoute            = 312
	replyAccessRefused      = 403
	replyNotFound           = 404
	replyPreconditionFailed = 406
)
