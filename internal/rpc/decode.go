package rpc

import (
	"errors"
	"strings"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
)

const (
	protocolVersion   = "2.0"   // of JSON-RPC
	methodHealthCheck = "check" // every other method is a request class

	maxMessageIDLength = 40  // bytes of a message's ID
	maxStringLength    = 128 // bytes of any other string but the body
)

// Message is a request, health check or notification from a client stub.
type Message struct {
	ID             string // the digits as received; empty for a notification
	Method         string
	IsNotification bool // it has no ID and gets no response
	IsHealthCheck  bool
	IsDeepCheck    bool         // a health check that tests the runtime as well
	Request        node.Request // set for requests only; its class is the method
}

// healthCheckDepth returns the depth of a health check.
func (m *Message) healthCheckDepth() node.HealthCheckDepth {
	if m.IsDeepCheck {
		return node.DeepCheck
	}
	return node.ShallowCheck
}

// envelope holds the top-level members of a message; params are not decoded yet.
type envelope struct {
	version string
	method  string
	id      string // empty if missing or invalid
	hasID   bool
	params  []byte // points into the line; nil if missing
}

// Decode decodes one line. The error is a *ProtocolError; the message's ID is set even then if it could be decoded.
func Decode(line []byte) (Message, error) {
	members, err := decodeEnvelope(line)
	message := Message{ID: members.id}
	if errors.Is(err, jsonline.ErrSyntax) {
		return message, &ProtocolError{codeParseError, err}
	}
	if err != nil {
		return message, &ProtocolError{codeInvalidRequest, err}
	}
	message.Method = members.method
	isRequestObject := members.version == protocolVersion && members.method != ""
	if isRequestObject && !members.hasID {
		message.IsNotification = true
		return message, nil
	}
	if !isRequestObject || members.id == "" {
		return message, &ProtocolError{codeInvalidRequest, errIncompleteRequest}
	}
	message.IsHealthCheck = members.method == methodHealthCheck
	if message.IsHealthCheck && members.params == nil {
		return message, nil
	}
	message.Request.Class = members.method
	if err := message.decodeParams(members.params); err != nil {
		return message, &ProtocolError{codeInvalidParams, err}
	}
	return message, nil
}

func decodeEnvelope(line []byte) (members envelope, err error) {
	reader := jsonline.NewReader(line)
	err = reader.ReadObject(func(name []byte) (err error) {
		switch string(name) {
		case "id":
			err = members.readID(reader)
		case "method":
			err = readString(reader, &members.method)
		case "jsonrpc":
			err = readString(reader, &members.version)
		case "params":
			members.params, err = reader.ReadRaw()
		default:
			_, err = reader.ReadRaw()
		}
		return err
	})
	if err != nil {
		return members, err
	}
	return members, reader.ExpectEnd()
}

// readID reads the ID. An ID other than a number of at most maxMessageIDLength digits is left empty.
func (e *envelope) readID(reader *jsonline.Reader) error {
	e.hasID = true
	if e.id != "" {
		e.id = "" // a response with either ID could be taken for that to another request
		return errDuplicateID
	}
	raw, err := reader.ReadRaw()
	if err != nil {
		return err
	}
	hasOnlyDigits := strings.Trim(string(raw), "0123456789") == ""
	if len(raw) <= maxMessageIDLength && hasOnlyDigits {
		e.id = string(raw)
	}
	return nil
}

func readString(reader *jsonline.Reader, dst *string) error {
	text, err := reader.ReadString()
	if err != nil {
		return err
	}
	if len(text) > maxStringLength {
		return errStringTooLong
	}
	*dst = string(text)
	return nil
}
