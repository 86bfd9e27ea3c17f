package runtimelink

import (
	"errors"
	"fmt"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/node"
	"thymechute/policy"
)

// Limits of a notice.
const (
	maxLineBytes   = 64 << 10
	maxBodyBytes   = 32 << 10
	maxReadings    = 64      // further ones are ignored
	maxIndex       = 1 << 53 // integers up to this are exact in a JSON number
	maxSpentMillis = 1e12
)

// Verbs of commands.
const (
	verbStart    = "start"    // starts a run
	verbStop     = "stop"     // stops a run
	verbGive     = "give"     // delivers the reply to a run's call
	verbGauges   = "gauges"   // requests a reading of the gauges
	verbSelfTest = "selftest" // requests a self-test
)

// Verbs of notices.
const (
	verbReady   = "ready"   // the connection is established
	verbEnd     = "end"     // a run has ended
	verbWants   = "wants"   // a run waits for the reply to a call
	verbLoad    = "load"    // a reading of the gauges
	verbVerdict = "verdict" // the result of a self-test
	verbNack    = "nack"    // a command was rejected
	verbInfo    = "info"    // ignored
)

// Outcomes with their own handling.
const (
	stateOld    = "old"  // of ready: the runtime executed requests before this connection
	outcomeGood = "good" // of end and verdict
)

// runOutcomes maps the outcomes of an end notice to the policy's.
var runOutcomes = map[string]policy.Outcome{
	outcomeGood: policy.OK,
	"bad":       policy.Failed,
	"cut":       policy.Cancelled,
	"gone":      policy.NotStarted,
}

// notice is a message from the runtime. Its verb determines which fields it carries.
type notice struct {
	Verb     string
	Task     node.TaskID
	Outcome  string        // of end, verdict and ready; of nack: the verb of the rejected command
	Nonce    string        // of the command that the notice answers
	Index    uint64        // 0: the notice is not numbered
	Spent    time.Duration // of end: the run's duration; of ready: the runtime's age
	Body     []byte
	Readings []float64
}

// decodeNotice decodes one line. Unknown fields are ignored.
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
		return n, errors.New(`field "verb" is missing or empty`)
	}
	return n, nil
}

func (n *notice) decodeField(r *jsonline.Reader, name string) (err error) {
	switch name {
	case "verb":
		n.Verb, err = decodeString(r)
	case "task":
		var task string
		task, err = decodeString(r)
		n.Task = node.TaskID(task)
	case "outcome":
		n.Outcome, err = decodeString(r)
	case "nonce":
		n.Nonce, err = decodeString(r)
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

func decodeString(r *jsonline.Reader) (string, error) {
	text, err := r.ReadString()
	return string(text), err
}

func decodeIndex(r *jsonline.Reader) (uint64, error) {
	value, err := r.ReadNumber()
	if err == nil && (value < 0 || value > maxIndex) {
		return 0, fmt.Errorf("index is %v, expected 0 to %d", value, uint64(maxIndex))
	}
	return uint64(value), err
}

// decodeMillis reads a duration in milliseconds, clamped to 0 to maxSpentMillis.
func decodeMillis(r *jsonline.Reader) (time.Duration, error) {
	value, err := r.ReadNumber()
	if err != nil {
		return 0, err
	}
	return time.Duration(min(max(value, 0), maxSpentMillis) * float64(time.Millisecond)), nil
}

// command is a message to the runtime. Empty fields are omitted, except for a body, which is omitted only if nil.
type command struct {
	verb  string
	task  node.TaskID
	class string
	body  []byte
	nonce string
}

// append appends the command's line.
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

// appendSync appends the line that requests the notices after lastIndex.
func appendSync(out []byte, lastIndex uint64) []byte {
	return fmt.Appendf(out, `{"verb":"sync","index":%d}`+"\n", lastIndex)
}
