package index

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"thymechute/internal/node"
	"thymechute/policy"
)

// Limits of a reply, in bytes.
const (
	maxStatusLineBytes = 256
	maxBodyBytes       = 64 << 10
)

// statusHit is the status of a reply with a body.
const statusHit = "HIT"

// outcomes maps the status of a reply to the outcome of its call.
var outcomes = map[string]policy.Outcome{
	statusHit: policy.OK,
	"SHED":    policy.Rejected,
	"BROKEN":  policy.Failed,
	"SLOW":    policy.TimedOut,
	"NOBODY":  policy.NotStarted,
}

// reply is the index's answer to one call.
type reply struct {
	id     node.TaskID
	status string
	body   []byte // points into the decoded text
}

var errIncomplete = errors.New("index reply: incomplete, expected more bytes")

// decodeReply decodes the reply at the start of the text and returns its length in bytes. The error is errIncomplete if the
// text ends within the reply.
func decodeReply(text []byte) (r reply, length int, err error) {
	r, line, err := decodeStatusLine(text)
	if err != nil || r.status != statusHit {
		return r, line.length, err
	}
	bodySize, err := line.bodySize()
	if err != nil {
		return r, 0, err
	}
	length = line.length + bodySize + len("\r\n")
	if len(text) < length {
		return r, 0, errIncomplete
	}
	r.body = text[line.length : line.length+bodySize]
	if !bytes.HasSuffix(text[:length], []byte("\r\n")) {
		return r, 0, errors.New("index reply: the body of a hit is not followed by CR LF")
	}
	return r, length, nil
}

// statusLine is the first line of a reply.
type statusLine struct {
	words  [][]byte
	length int // bytes, including CR LF
}

// decodeStatusLine decodes the first line: ID and status, followed by the body's length in case of a hit.
func decodeStatusLine(text []byte) (r reply, line statusLine, err error) {
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		if len(text) > maxStatusLineBytes {
			return r, line, fmt.Errorf("index reply: no end of line in the first %d bytes", maxStatusLineBytes)
		}
		return r, line, errIncomplete
	}
	words := bytes.Fields(text[:min(end, maxStatusLineBytes)])
	if end > maxStatusLineBytes || len(words) < 2 || text[max(end-1, 0)] != '\r' {
		return r, line, fmt.Errorf("index reply: invalid first line, expected an ID, a status and CR LF within %d bytes", maxStatusLineBytes)
	}
	r.id = node.TaskID(words[0])
	r.status = string(words[1])
	return r, statusLine{words: words, length: end + 1}, nil
}

// bodySize decodes the length of the body, in bytes.
func (l statusLine) bodySize() (int, error) {
	if len(l.words) != 3 {
		return 0, fmt.Errorf("index reply: first line has %d words, expected an ID, a status and the body's length", len(l.words))
	}
	size, err := strconv.ParseUint(string(l.words[2]), 10, 31)
	if err != nil || size > maxBodyBytes {
		return 0, fmt.Errorf("index reply: body length is %q, expected 0 to %d", l.words[2], maxBodyBytes)
	}
	return int(size), nil
}

// appendCall appends a call: its ID, the milliseconds until its deadline (at least 1), the body's length and the body.
func appendCall(out []byte, issued *call) []byte {
	millisLeft := max(time.Until(issued.deadline).Milliseconds(), 1)
	out = fmt.Appendf(out, "GET %s %d %d\r\n", issued.id, millisLeft, len(issued.body))
	out = append(out, issued.body...)
	return append(out, "\r\n"...)
}
