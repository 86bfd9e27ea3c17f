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

// Bounds of a reply, in bytes.
const (
	maxHeadBytes = 256
	maxBodyBytes = 64 << 10
)

// statusHit is the status of a reply with a body.
const statusHit = "HIT"

// outcomes are the outcomes of calls by the reply's status.
var outcomes = map[string]policy.Outcome{
	statusHit: policy.OK,
	"SHED":    policy.Rejected,
	"BROKEN":  policy.Failed,
	"SLOW":    policy.TimedOut,
	"NOBODY":  policy.NotStarted,
}

// reply is one message from the index.
type reply struct {
	id     node.TaskID
	status string
	body   []byte // points into the decoded text
}

var errIncomplete = errors.New("incomplete reply")

// decodeReply decodes the reply at the start of the text and returns its length in bytes. The error is errIncomplete if the
// text ends within the reply.
func decodeReply(text []byte) (r reply, length int, err error) {
	r, head, err := decodeHead(text)
	if err != nil || r.status != statusHit {
		return r, head.length, err
	}
	bodySize, err := head.bodySize()
	if err != nil {
		return r, 0, err
	}
	length = head.length + bodySize + len("\r\n")
	if len(text) < length {
		return r, 0, errIncomplete
	}
	r.body = text[head.length : head.length+bodySize]
	if !bytes.HasSuffix(text[:length], []byte("\r\n")) {
		return r, 0, errors.New("index: expected CR LF behind the reply")
	}
	return r, length, nil
}

// head is the first line of a reply.
type head struct {
	words  [][]byte
	length int // bytes, with CR LF
}

// decodeHead reads the first line: id and status, and the body's length of a hit.
func decodeHead(text []byte) (r reply, h head, err error) {
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		if len(text) > maxHeadBytes {
			return r, h, errors.New("index: line too long")
		}
		return r, h, errIncomplete
	}
	words := bytes.Fields(text[:min(end, maxHeadBytes)])
	if end > maxHeadBytes || len(words) < 2 || text[max(end-1, 0)] != '\r' {
		return r, h, errors.New("index: expected an id and a word, ended by CR LF")
	}
	r.id = node.TaskID(words[0])
	r.status = string(words[1])
	return r, head{words: words, length: end + 1}, nil
}

// bodySize reads the length of the body, in bytes.
func (h head) bodySize() (int, error) {
	if len(h.words) != 3 {
		return 0, errors.New("index: expected a length")
	}
	size, err := strconv.ParseUint(string(h.words[2]), 10, 31)
	if err != nil || size > maxBodyBytes {
		return 0, fmt.Errorf("index: expected a length up to %d", maxBodyBytes)
	}
	return int(size), nil
}

// appendCall appends a call: its id, the time until its deadline in milliseconds, at least 1, and the body.
func appendCall(out []byte, issued *call) []byte {
	millisLeft := max(time.Until(issued.deadline).Milliseconds(), 1)
	out = fmt.Appendf(out, "GET %s %d %d\r\n", issued.id, millisLeft, len(issued.body))
	out = append(out, issued.body...)
	return append(out, "\r\n"...)
}
