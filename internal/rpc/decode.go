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

// needed are the fields of every request.
var needed = []string{"rid", "t0", "peer", "mem", "prio", "doc"}

// Request is a message from a stub.
type Request struct {
	ID           string // as it stands in the line
	Notification bool   // a notification: the line has no id, and wants no answer
	Check        bool   // a health check; Full: a deep one
	Full         bool
	Work         node.Request
}

// Fault is what is wrong with a message, by JSON-RPC's code.
type Fault struct {
	Code int
	Err  error
}

func (f *Fault) Error() string { return f.Err.Error() }

// Decode reads one line. With a Fault the request's ID is set where it could be read.
func Decode(line []byte) (q Request, err error) {
	r := jsonline.New(line)
	var method string
	var params []byte
	version, named := "", false
	err = r.Object(func(name []byte) error {
		switch string(name) {
		case "id":
			named = true
			if q.ID != "" {
				q.ID = "" // whose answer would it be
				return errors.New("id stands twice")
			}
			raw, err := r.Raw()
			if err == nil && len(raw) <= longestID && strings.Trim(string(raw), "0123456789") == "" {
				q.ID = string(raw)
			}
			return err
		case "method":
			return word(r, &method)
		case "jsonrpc":
			return word(r, &version)
		case "params":
			raw, err := r.Raw()
			params = raw
			return err
		}
		_, err := r.Raw()
		return err
	})
	if err == nil {
		err = r.End()
	}
	switch {
	case errors.Is(err, jsonline.ErrSyntax):
		return q, &Fault{codeParse, err}
	case err != nil:
		return q, &Fault{codeRequest, err}
	case version == "2.0" && method != "" && !named: // what it wants to say is read by its method alone
		q.Notification, q.Work.Class = true, method
		return q, nil
	case version != "2.0" || method == "" || q.ID == "":
		return q, &Fault{codeRequest, errors.New("expected jsonrpc 2.0, a method and an id")}
	}
	if q.Check = method == methodCheck; q.Check && params == nil {
		return q, nil
	}
	q.Work.Class = method
	if err := q.params(params); err != nil {
		return q, &Fault{codeParams, err}
	}
	return q, nil
}

func (q *Request) params(text []byte) error {
	r, a := jsonline.New(text), &q.Work
	seen := map[string]bool{}
	err := r.Object(func(name []byte) (err error) {
		var x float64
		if seen[string(name)] {
			return fmt.Errorf("%.20s: stands twice", name)
		}
		if len(seen) < mostNames {
			seen[string(name)] = true
		}
		switch string(name) {
		case "rid":
			err = word(r, &a.ID)
		case "t0":
			if x, err = r.Number(); err == nil && (x < 0 || x > 1e14) {
				err = errors.New("expected Unix milliseconds")
			}
			a.ReceivedAt = time.UnixMicro(int64(x * 1e3))
			if ago := time.Since(a.ReceivedAt); err == nil && (ago > oldest || ago < -ahead) {
				err = errors.New("expected a time just now")
			}
		case "peer":
			if x, err = r.Number(); err == nil && (x != math.Trunc(x) || x < 0 || x > 1e9) {
				err = errors.New("expected the number of a stub")
			}
			a.Caller = int(x)
		case "acct":
			err = word(r, &a.Tenant)
		case "again":
			a.Retry, err = r.Flag()
		case "mem":
			if a.MemoryKB, err = r.Number(); err == nil && (a.MemoryKB <= 0 || a.MemoryKB >= mostKB) {
				err = fmt.Errorf("expected over 0 and under %d", mostKB)
			}
		case "prio":
			if a.Priority, err = r.Number(); err == nil && (a.Priority < 0 || a.Priority >= 1) {
				err = errors.New("expected 0 to under 1")
			}
		case "token":
			err = word(r, &a.Key)
		case "obj":
			err = word(r, &a.Subject)
		case "doc":
			a.Body, err = r.Bytes(mostBody)
		case "full":
			q.Full, err = r.Flag()
		default:
			_, err = r.Raw()
		}
		if err != nil {
			err = fmt.Errorf("%.20s: %w", name, err)
		}
		return err
	})
	if err != nil || q.Check {
		return err
	}
	for _, name := range needed {
		if !seen[name] {
			return fmt.Errorf("%s: missing", name)
		}
	}
	if !plain(a.ID) {
		return errors.New("rid: expected 1 to 64 letters or digits")
	}
	return nil
}

func word(r *jsonline.Reader, into *string) error {
	text, err := r.Text()
	if err == nil && len(text) > longestWord {
		err = fmt.Errorf("expected at most %d bytes", longestWord)
	}
	*into = string(text)
	return err
}

// plain: ids go on into line protocols, where a blank would end them.
func plain(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}
