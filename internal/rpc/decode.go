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

	maxIDLength     = 40  // bytes of a message's ID
	maxStringLength = 128 // bytes of any other string but the body
)

// Message is a request, health check or notification from a client stub.
type Message struct {
	ID             string // digits as in the line; empty for a notification
	Method         string
	IsNotification bool // it has no ID and gets no response
	IsHealthCheck  bool
	IsDeepCheck    bool         // a health check that asks for a test of the parts
	Request        node.Request // of neither a notification nor a health check; its class is the method
}

// depth returns the depth of a health check.
func (m *Message) depth() node.HealthCheckDepth {
	if m.IsDeepCheck {
		return node.DeepCheck
	}
	return node.ShallowCheck
}

// envelope is the members of a message, before params are decoded.
type envelope struct {
	version string
	method  string
	id      string // empty if missing or not acceptable
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
	isCall := members.version == protocolVersion && members.method != ""
	if isCall && !members.hasID {
		message.IsNotification = true
		return message, nil
	}
	if !isCall || members.id == "" {
		return message, &ProtocolError{codeInvalidRequest, errNotRequest}
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

// readID reads the ID. Only a number of at most maxIDLength digits is acceptable.
func (e *envelope) readID(reader *jsonline.Reader) error {
	e.hasID = true
	if e.id != "" {
		e.id = "" // a response with either ID could be taken for that of another request
		return errDuplicateID
	}
	raw, err := reader.ReadRaw()
	if err != nil {
		return err
	}
	hasOnlyDigits := strings.Trim(string(raw), "0123456789") == ""
	if len(raw) <= maxIDLength && hasOnlyDigits {
		e.id = string(raw)
	}
	return nil
}

func readString(reader *jsonline.Reader, into *string) error {
	text, err := reader.ReadString()
	if err != nil {
		return err
	}
	if len(text) > maxStringLength {
		return errStringTooLong
	}
	*into = string(text)
	return nil
}
