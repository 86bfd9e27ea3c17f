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
	codeParse   = -32700
	codeRequest = -32600
	codeMethod  = -32601
	codeParams  = -32602
	codeFailed  = -32000
	codeRefused = -32001
)

// AppendAnswer writes the final answer to the request of that id.
func AppendAnswer(out []byte, id string, a node.Answer) []byte {
	if a.Status == node.Served {
		out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"result":{"doc":`...)
		out = jsonline.AppendBytes(out, a.Result)
		return append(appendFree(out, a.Advertised), "}}\n"...)
	}
	code, text := codeFailed, "failed"
	if a.Status == node.Rejected {
		code, text = codeRefused, "overloaded"
	}
	out = appendError(out, id, code, text)
	var data []byte
	if back := math.Ceil(float64(a.RetryAfter) / 1e6); a.Status == node.Rejected && back > 0 {
		data = strconv.AppendFloat(append(data, `,"backoff":`...), back, 'f', -1, 64)
	}
	if a.Status == node.Rejected && a.NoRetryElsewhere {
		data = append(data, `,"final":1`...)
	}
	if data = appendFree(data, a.Advertised); len(data) > 0 {
		out = append(append(append(out, `,"data":{`...), data[1:]...), '}')
	}
	return append(out, "}}\n"...)
}

// AppendFault writes the answer to what can't be taken; without an id to nobody in particular.
func AppendFault(out []byte, id string, f *Fault) []byte {
	if id == "" {
		id = "null"
	}
	return append(appendError(out, id, f.Code, f.Error()), "}}\n"...)
}

// AppendChecked answers a health check.
func AppendChecked(out []byte, id string, good bool, free float64) []byte {
	out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"result":{"serving":`...)
	return append(appendFree(strconv.AppendBool(out, good), free), "}}\n"...)
}

func appendError(out []byte, id string, code int, text string) []byte {
	out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"error":{"code":`...)
	return jsonline.AppendText(append(strconv.AppendInt(out, int64(code), 10), `,"message":`...), text)
}

func appendFree(out []byte, free float64) []byte {
	if free < 0 {
		return out
	}
	return strconv.AppendFloat(append(out, `,"hint":`...), free, 'f', -1, 64)
}

var closing = []byte(`{"jsonrpc":"2.0","method":"closing"}` + "\n")
