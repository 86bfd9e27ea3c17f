package runtimelink

import (
	"errors"
	"fmt"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
	"thymechute/policy"
)

// Bounds of what a notice may carry.
const (
	maxLineBytes   = 64 << 10
	maxBodyBytes   = 32 << 10
	maxReadings    = 64      // further ones are ignored
	maxIndex       = 1 << 53 // the largest integer that a JSON number carries exactly
	maxSpentMillis = 1e12
)

// Verbs of commands.
const (
	verbStart    = "start"
	verbStop     = "stop"
	verbGive     = "give"
	verbGauges   = "gauges"
	verbSelfTest = "selftest"
)

// Verbs of notices.
const (
	verbReady   = "ready"
	verbEnd     = "end"
	verbWants   = "wants"
	verbLoad    = "load"
	verbVerdict = "verdict"
	verbNack    = "nack"
	verbInfo    = "info"
)

// Outcomes that are compared with.
const (
	stateOld    = "old"  // of ready: the runtime has executed requests before this connection
	outcomeGood = "good" // of end and verdict
)

// runOutcomes are the outcomes of an end notice.
var runOutcomes = map[string]policy.Outcome{
	outcomeGood: policy.OK,
	"bad":       policy.Failed,
	"cut":       policy.Cancelled,
	"gone":      policy.NotStarted,
}

// notice is a message from the runtime. Which fields it carries depends on the verb.
type notice struct {
	Verb     string
	Task     node.TaskID
	Outcome  string
	Nonce    string // of the command that it answers
	Index    uint64 // 0: not numbered
	Spent    time.Duration
	Body     []byte
	Readings []float64
}

// decodeNotice reads one line. Unknown fields are ignored.
func decodeNotice(line []byte) (n notice, err error) {
	r := jsonline.NewReader(line)
	err = r.ReadObject(func(name []byte) error { return n.decodeField(r, string(name)) })
	if err != nil {
		return n, err
	}
	if err := r.ExpectEnd(); err != nil {
		return n, err
	}
	if n.Verb == "" {
		return n, errors.New("expected a verb")
	}
	return n, nil
}

func (n *notice) decodeField(r *jsonline.Reader, name string) (err error) {
	switch name {
	case "verb":
		n.Verb, err = decodeText(r)
	case "task":
		var task string
		task, err = decodeText(r)
		n.Task = node.TaskID(task)
	case "outcome":
		n.Outcome, err = decodeText(r)
	case "nonce":
		n.Nonce, err = decodeText(r)
	case "index":
		n.Index, err = decodeIndex(r)
	case "spent":
		n.Spent, err = decodeMillis(r)
	case "bytes":
		n.Body, err = r.ReadBase64(maxBodyBytes)
	case "readings":
		err = r.ReadArray(func() error { return n.decodeReading(r) })
	default:
		_, err = r.ReadRaw()
	}
	return err
}

func (n *notice) decodeReading(r *jsonline.Reader) error {
	value, err := r.ReadNumber()
	if len(n.Readings) < maxReadings {
		n.Readings = append(n.Readings, value)
	}
	return err
}

func decodeText(r *jsonline.Reader) (string, error) {
	text, err := r.ReadString()
	return string(text), err
}

func decodeIndex(r *jsonline.Reader) (uint64, error) {
	value, err := r.ReadNumber()
	if err == nil && (value < 0 || value > maxIndex) {
		return 0, errors.New("expected a number of a notice")
	}
	return uint64(value), err
}

// decodeMillis reads a time in milliseconds; one out of range is taken as the nearest bound.
func decodeMillis(r *jsonline.Reader) (time.Duration, error) {
	value, err := r.ReadNumber()
	if err != nil {
		return 0, err
	}
	return time.Duration(min(max(value, 0), maxSpentMillis) * float64(time.Millisecond)), nil
}

// command is a message to the runtime. Empty fields are omitted, but for a body that is not nil.
type command struct {
	verb  string
	task  node.TaskID
	class string
	body  []byte
	nonce string
}

// append writes the command's line.
func (c command) append(out []byte) []byte {
	out = jsonline.AppendString(append(out, `{"verb":`...), c.verb)
	if c.task != "" {
		out = jsonline.AppendString(append(out, `,"task":`...), string(c.task))
	}
	if c.class != "" {
		out = jsonline.AppendString(append(out, `,"handler":`...), c.class)
	}
	if c.body != nil {
		out = jsonline.AppendBase64(append(out, `,"bytes":`...), c.body)
	}
	if c.nonce != "" {
		out = jsonline.AppendString(append(out, `,"nonce":`...), c.nonce)
	}
	return append(out, "}\n"...)
}

// appendSync writes the line that asks for the notices after an index.
func appendSync(out []byte, lastIndex uint64) []byte {
	return fmt.Appendf(out, `{"verb":"sync","index":%d}`+"\n", lastIndex)
}
