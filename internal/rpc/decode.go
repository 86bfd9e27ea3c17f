// This file owns the reading of a message: one line to a typed value, once. It must never keep a part of the line.

package rpc

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
)

// requiredFields are the fields of every request.
var requiredFields = []string{"rid", "t0", "peer", "mem", "prio", "doc"}

// Message is a message from a stub.
type Message struct {
	ID             string // as it stands in the line
	IsNotification bool   // a notification: the line has no id, and wants no answer
	IsHealthCheck  bool   // a health check; Full: a deep one
	IsDeepCheck    bool
	Request        node.Request
}

// ProtocolError is what is wrong with a message, by JSON-RPC's code.
type ProtocolError struct {
	Code int
	Err  error
}

func (f *ProtocolError) Error() string { return f.Err.Error() }

// Decode reads one line. With a Fault the request's ID is set where it could be read.
func Decode(line []byte) (q Message, err error) {
	r := jsonline.NewReader(line)
	var method string
	var params []byte
	version, named := "", false
	err = r.ReadObject(func(name []byte) error {
		switch string(name) {
		case "id":
			named = true
			if q.ID != "" {
				q.ID = "" // whose answer would it be
				return errors.New("id stands twice")
			}
			raw, err := r.ReadRaw()
			if err == nil && len(raw) <= maxIDLength && strings.Trim(string(raw), "0123456789") == "" {
				q.ID = string(raw)
			}
			return err
		case "method":
			return readString(r, &method)
		case "jsonrpc":
			return readString(r, &version)
		case "params":
			raw, err := r.ReadRaw()
			params = raw
			return err
		}
		_, err := r.ReadRaw()
		return err
	})
	if err == nil {
		err = r.ExpectEnd()
	}
	switch {
	case errors.Is(err, jsonline.ErrSyntax):
		return q, &ProtocolError{codeParseError, err}
	case err != nil:
		return q, &ProtocolError{codeInvalidRequest, err}
	case version == "2.0" && method != "" && !named: // what it wants to say is read by its method alone
		q.IsNotification, q.Request.Class = true, method
		return q, nil
	case version != "2.0" || method == "" || q.ID == "":
		return q, &ProtocolError{codeInvalidRequest, errors.New("expected jsonrpc 2.0, a method and an id")}
	}
	if q.IsHealthCheck = method == methodHealthCheck; q.IsHealthCheck && params == nil {
		return q, nil
	}
	q.Request.Class = method
	if err := q.params(params); err != nil {
		return q, &ProtocolError{codeInvalidParams, err}
	}
	return q, nil
}

func (q *Message) params(text []byte) error {
	r, a := jsonline.NewReader(text), &q.Request
	seen := map[string]bool{}
	err := r.ReadObject(func(name []byte) (err error) {
		var x float64
		if seen[string(name)] {
			return fmt.Errorf("%.20s: stands twice", name)
		}
		if len(seen) < maxTrackedFields {
			seen[string(name)] = true
		}
		switch string(name) {
		case "rid":
			err = readString(r, &a.ID)
		case "t0":
			if x, err = r.ReadNumber(); err == nil && (x < 0 || x > 1e14) {
				err = errors.New("expected Unix milliseconds")
			}
			a.ReceivedAt = time.UnixMicro(int64(x * 1e3))
			if ago := time.Since(a.ReceivedAt); err == nil && (ago > maxRequestAge || ago < -maxClockSkew) {
				err = errors.New("expected a time just now")
			}
		case "peer":
			if x, err = r.ReadNumber(); err == nil && (x != math.Trunc(x) || x < 0 || x > 1e9) {
				err = errors.New("expected the number of a stub")
			}
			a.Caller = int(x)
		case "acct":
			err = readString(r, &a.Tenant)
		case "again":
			a.Retry, err = r.ReadBool()
		case "mem":
			if a.MemoryKB, err = r.ReadNumber(); err == nil && (a.MemoryKB <= 0 || a.MemoryKB >= maxMemoryKB) {
				err = fmt.Errorf("expected over 0 and under %d", maxMemoryKB)
			}
		case "prio":
			if a.Priority, err = r.ReadNumber(); err == nil && (a.Priority < 0 || a.Priority >= 1) {
				err = errors.New("expected 0 to under 1")
			}
		case "token":
			err = readString(r, &a.Key)
		case "obj":
			err = readString(r, &a.Subject)
		case "doc":
			a.Body, err = r.ReadBase64(maxBodySize)
		case "full":
			q.IsDeepCheck, err = r.ReadBool()
		default:
			_, err = r.ReadRaw()
		}
		if err != nil {
			err = fmt.Errorf("%.20s: %w", name, err)
		}
		return err
	})
	if err != nil || q.IsHealthCheck {
		return err
	}
	for _, name := range requiredFields {
		if !seen[name] {
			return fmt.Errorf("%s: missing", name)
		}
	}
	if !isPlainID(a.ID) {
		return errors.New("rid: expected 1 to 64 letters or digits")
	}
	return nil
}

func readString(r *jsonline.Reader, into *string) error {
	text, err := r.ReadString()
	if err == nil && len(text) > maxStringLength {
		err = fmt.Errorf("expected at most %d bytes", maxStringLength)
	}
	*into = string(text)
	return err
}

// isPlainID: ids go on into line protocols, where a blank would end them.
func isPlainID(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}
