// This file owns the writing of messages: final answers, faults, health checks, the notice. It must never decide.

package rpc

import (
	"math"
	"strconv"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
)

// JSON-RPC's own codes, and the protocol's for what never ran.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInvalidParams  = -32602
	codeFailed         = -32000
	codeOverloaded     = -32001
)

// AppendResponse writes the final answer to the request of that id.
func AppendResponse(out []byte, id string, a node.Answer) []byte {
	if a.Status == node.Served {
		out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"result":{"doc":`...)
		out = jsonline.AppendBase64(out, a.Result)
		return append(appendHint(out, a.Advertised), "}}\n"...)
	}
	code, text := codeFailed, "failed"
	if a.Status == node.Rejected {
		code, text = codeOverloaded, "overloaded"
	}
	out = appendErrorHead(out, id, code, text)
	var data []byte
	if back := math.Ceil(float64(a.RetryAfter) / 1e6); a.Status == node.Rejected && back > 0 {
		data = strconv.AppendFloat(append(data, `,"backoff":`...), back, 'f', -1, 64)
	}
	if a.Status == node.Rejected && a.NoRetryElsewhere {
		data = append(data, `,"final":1`...)
	}
	if data = appendHint(data, a.Advertised); len(data) > 0 {
		out = append(append(append(out, `,"data":{`...), data[1:]...), '}')
	}
	return append(out, "}}\n"...)
}

// AppendError writes the answer to what can't be taken; without an id to nobody in particular.
func AppendError(out []byte, id string, f *ProtocolError) []byte {
	if id == "" {
		id = "null"
	}
	return append(appendErrorHead(out, id, f.Code, f.Error()), "}}\n"...)
}

// AppendHealthStatus answers a health check.
func AppendHealthStatus(out []byte, id string, good bool, free float64) []byte {
	out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"result":{"serving":`...)
	return append(appendHint(strconv.AppendBool(out, good), free), "}}\n"...)
}

func appendErrorHead(out []byte, id string, code int, text string) []byte {
	out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"error":{"code":`...)
	return jsonline.AppendString(append(strconv.AppendInt(out, int64(code), 10), `,"message":`...), text)
}

func appendHint(out []byte, free float64) []byte {
	if free < 0 {
		return out
	}
	return strconv.AppendFloat(append(out, `,"hint":`...), free, 'f', -1, 64)
}

var closingNotification = []byte(`{"jsonrpc":"2.0","method":"closing"}` + "\n")
