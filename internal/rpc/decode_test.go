package rpc

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
)

var (
	receivedAtMillis = time.Now().UnixMilli()
	requestLine      = fmt.Sprintf(`{"jsonrpc":"2.0","id":7,"method":"excursion","params":{"rid":"9b1f","t0":%d,"peer":4,`+
		`"acct":"acme","again":1,"mem":24.5,"prio":0.6250,"token":"5c0f","obj":"7f3a","doc":"AP8="}}`, receivedAtMillis)
)

func TestDecodeAcceptsFieldsInAnyOrder(t *testing.T) {
	want := node.Request{ID: "9b1f", Class: "excursion", Tenant: "acme", Key: "5c0f", Subject: "7f3a",
		ReceivedAt: time.UnixMilli(receivedAtMillis), Caller: 4, IsRetry: true, MemoryKB: 24.5, Priority: 0.625, Body: []byte{0, 255}}
	reordered := `{"params":{"doc":"AP8=","x":[{}],"obj":"7f3a","token":"5c0f","prio":0.6250,"mem":24.5,"again":true,` +
		`"acct":"ac\u006de","peer":4,"t0":` + fmt.Sprint(receivedAtMillis) + `,"rid":"9b1f"},"method":"excursion","more":null,"id":7,"jsonrpc":"2.0"}`
	for _, line := range []string{requestLine, reordered} {
		message, err := Decode([]byte(line))
		got := message.Request
		body := string(message.Request.Body)
		got.Body = nil
		if err != nil || message.ID != "7" || message.IsHealthCheck || body != string(want.Body) || !got.ReceivedAt.Equal(want.ReceivedAt) ||
			got.ID != want.ID || got.Class != want.Class || got.Tenant != want.Tenant || got.Key != want.Key ||
			got.Subject != want.Subject || got.Caller != 4 || !got.IsRetry || got.MemoryKB != 24.5 || got.Priority != 0.625 {
			t.Errorf("error %v, decoded %+v", err, message)
		}
	}
}

func TestProtocolErrorUnwrapsToItsReason(t *testing.T) {
	_, err := Decode([]byte(strings.Replace(requestLine, `"mem":24.5`, `"mem":2000`, 1)))
	var protocolErr *ProtocolError
	var fieldErr *FieldError
	if !errors.As(err, &protocolErr) || !errors.As(err, &fieldErr) || !errors.Is(err, errMemoryRange) {
		t.Fatalf("got %v", err)
	}
	if protocolErr.Code != codeInvalidParams || fieldErr.Field != "mem" {
		t.Errorf("got code %d, field %q", protocolErr.Code, fieldErr.Field)
	}
	if _, err := Decode([]byte(`{`)); !errors.Is(err, jsonline.ErrSyntax) {
		t.Errorf("got %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{requestLine, `{"jsonrpc":"2.0","id":"x","method":"check","params":{"full":true}}`, `{"id":1,"method":5}`, `{"id":00`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := Decode(line)
		if err == nil && !message.IsHealthCheck &&
			(!isValidRequestID(string(message.Request.ID)) || len(message.Request.Body) > maxBodySize || message.ID == "") {
			t.Errorf("%q was decoded as %+v", line, message)
		}
		if out := AppendError(nil, message.ID, &ProtocolError{codeParseError, errors.New(string(line))}); err != nil && !json.Valid(out) {
			t.Errorf("answered with %q", out)
		}
	})
}
