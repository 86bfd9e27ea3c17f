package rpc

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"thymechute/internal/node"
)

func TestAppendResponseEncodesStatus(t *testing.T) {
	for want, a := range map[string]node.Answer{
		`{"jsonrpc":"2.0","id":7,"result":{"doc":"AP8=","hint":0.25}}`: {Status: node.Served, Result: []byte{0, 255}, AdvertisedLoad: 0.25},
		`{"jsonrpc":"2.0","id":7,"result":{"doc":""}}`:                 {Status: node.Served, AdvertisedLoad: -1},
		`{"jsonrpc":"2.0","id":7,"error":{"code":-32001,"message":"overloaded","data":{"backoff":251,"final":1,"hint":0}}}`: {
			Status: node.Rejected, RetryAfter: 250*time.Millisecond + 1, NoRetryElsewhere: true},
		`{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"failed"}}`: {
			Status: node.Failed, RetryAfter: time.Second, NoRetryElsewhere: true, AdvertisedLoad: -1},
	} {
		got := string(AppendResponse(nil, "7", a))
		if got != want+"\n" || !json.Valid([]byte(got)) {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// The texts of errors are part of the protocol.
func TestProtocolErrorsAreEncodedByteForByte(t *testing.T) {
	for line, want := range map[string]string{
		`{`:               `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"no JSON at byte 1: expected a string"}}`,
		`{"id":1,"id":1}`: `{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"id stands twice"}}`,
		`{"jsonrpc":"2.0","id":1}`: `{"jsonrpc":"2.0","id":1,"error":{"code":-32600,` +
			`"message":"expected jsonrpc 2.0, a method and an id"}}`,
		`{"jsonrpc":"2.0","id":1,"method":"a","params":{"rid":"x","rid":"x"}}`: `{"jsonrpc":"2.0","id":1,"error":{"code":-32602,` +
			`"message":"rid: stands twice"}}`,
		`{"jsonrpc":"2.0","id":1,"method":"a","params":{}}`: `{"jsonrpc":"2.0","id":1,"error":{"code":-32602,` +
			`"message":"rid: missing"}}`,
		`{"jsonrpc":"2.0","id":1,"method":"a","params":{"mem":2000}}`: `{"jsonrpc":"2.0","id":1,"error":{"code":-32602,` +
			`"message":"mem: expected over 0 and under 2000"}}`,
		`{"jsonrpc":"2.0","id":1,"method":"a","params":{"t0":1}}`: `{"jsonrpc":"2.0","id":1,"error":{"code":-32602,` +
			`"message":"t0: expected a time just now"}}`,
		`{"jsonrpc":"2.0","id":1,"method":"a","params":{"doc":"?"}}`: `{"jsonrpc":"2.0","id":1,"error":{"code":-32602,` +
			`"message":"doc: expected at most 2048 bytes in base64"}}`,
	} {
		message, err := Decode([]byte(line))
		var protocolErr *ProtocolError
		if !errors.As(err, &protocolErr) {
			t.Errorf("%s: got %v", line, err)
			continue
		}
		if got := string(AppendError(nil, message.ID, protocolErr)); got != want+"\n" {
			t.Errorf("%s: got %s, want %s", line, got, want)
		}
	}
}
