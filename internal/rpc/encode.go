package rpc

import (
	"math"
	"strconv"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
)

// Messages of the errors for requests that did not complete.
const (
	messageFailed     = "failed"
	messageOverloaded = "overloaded"
)

// nullID is the ID of a response to a message whose own could not be read.
const nullID = "null"

// closingNotification asks a client to send nothing more on the connection.
var closingNotification = []byte(`{"jsonrpc":"2.0","method":"closing"}` + "\n")

// AppendResponse appends the response to the request with that ID, with its line feed.
func AppendResponse(out []byte, id string, answer node.Answer) []byte {
	switch answer.Status {
	case node.Served:
		out = appendResultHead(out, id)
		out = append(out, `"doc":`...)
		out = jsonline.AppendBase64(out, answer.Result)
		out = appendHint(out, answer.AdvertisedLoad)
		return append(out, "}}\n"...)
	case node.Rejected:
		out = appendErrorHead(out, id, codeOverloaded, messageOverloaded)
		return appendErrorData(out, rejectionData(answer))
	}
	out = appendErrorHead(out, id, codeFailed, messageFailed)
	return appendErrorData(out, appendHint(nil, answer.AdvertisedLoad))
}

// rejectionData returns the members of a rejection's data, each after a comma.
func rejectionData(answer node.Answer) (data []byte) {
	backoffMillis := math.Ceil(float64(answer.RetryAfter) / float64(time.Millisecond))
	if backoffMillis > 0 {
		data = append(data, `,"backoff":`...)
		data = appendNumber(data, backoffMillis)
	}
	if answer.NoRetryElsewhere {
		data = append(data, `,"final":1`...)
	}
	return appendHint(data, answer.AdvertisedLoad)
}

// appendErrorData appends the members, each after a comma, as the data of an error, and ends the line.
func appendErrorData(out, members []byte) []byte {
	if len(members) > 0 {
		out = append(out, `,"data":{`...)
		out = append(out, members[1:]...)
		out = append(out, '}')
	}
	return append(out, "}}\n"...)
}

// AppendError appends the response to an invalid message, with its line feed. The ID is empty if it could not be decoded.
func AppendError(out []byte, id string, err *ProtocolError) []byte {
	if id == "" {
		id = nullID
	}
	out = appendErrorHead(out, id, err.Code, err.Error())
	return append(out, "}}\n"...)
}

// AppendHealthStatus appends the response to a health check, with its line feed.
func AppendHealthStatus(out []byte, id string, result node.HealthCheckResult) []byte {
	out = appendResultHead(out, id)
	out = append(out, `"serving":`...)
	out = strconv.AppendBool(out, result.Status == node.Healthy)
	out = appendHint(out, result.AdvertisedLoad)
	return append(out, "}}\n"...)
}

func appendResultHead(out []byte, id string) []byte {
	out = appendID(out, id)
	return append(out, `,"result":{`...)
}

func appendErrorHead(out []byte, id string, code int, message string) []byte {
	out = appendID(out, id)
	out = append(out, `,"error":{"code":`...)
	out = strconv.AppendInt(out, int64(code), 10)
	out = append(out, `,"message":`...)
	return jsonline.AppendString(out, message)
}

func appendID(out []byte, id string) []byte {
	out = append(out, `{"jsonrpc":"2.0","id":`...)
	return append(out, id...)
}

// appendHint appends the advertised load value; a negative one means none and is left out.
func appendHint(out []byte, advertised float64) []byte {
	if advertised < 0 {
		return out
	}
	out = append(out, `,"hint":`...)
	return appendNumber(out, advertised)
}

func appendNumber(out []byte, x float64) []byte {
	return strconv.AppendFloat(out, x, 'f', -1, 64)
}
