// Package rpc is the client stubs' protocol, JSON-RPC 2.0 with one message a line: it turns lines into work items
// and health checks for the door, and answers back into lines. A Front owns the stubs' connections, their open ids
// (mostOpen each, emptied by the answer) and their age. It must never decide on a work item, answer a request
// twice, or let anything that a peer sends reach further than that peer's connection.
package rpc

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

const (
	longestLine = 8 << 10
	longestID   = 40
	longestWord = 128
	mostBody    = 2 << 10
	mostOpen    = 32
	mostKB      = 2000
	mostNames   = 64                      // in one message; more are not told apart
	oldest      = 30 * time.Second        // a request can't have come longer ago, nor so far ahead:
	ahead       = 5 * time.Second         // such a time would be taken for a wait of that length
	mostFaults  = 8                       // that a connection may bring
	unasked     = 1500 * time.Millisecond // a connection may stay without a whole request, or with part of one
	sweepEvery  = 100 * time.Millisecond
	silent      = time.Minute // a connection with nothing open is closed after this in any case
)

// needed are the fields of every request.
var needed = []string{"rid", "t0", "peer", "mem", "prio", "doc"}

// JSON-RPC's own codes, and the protocol's for what never ran.
const (
	codeParse   = -32700
	codeRequest = -32600
	codeMethod  = -32601
	codeParams  = -32602
	codeFailed  = -32000
	codeRefused = -32001
)

// Request is a message from a stub.
type Request struct {
	ID    string // as it stands in the line
	Check bool   // a health check; Full: a deep one
	Full  bool
	Ask   node.Ask
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
	version := ""
	err = r.Object(func(name []byte) error {
		switch string(name) {
		case "id":
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
	case version != "2.0" || method == "" || q.ID == "":
		return q, &Fault{codeRequest, errors.New("expected jsonrpc 2.0, a method and an id")}
	}
	if q.Check = method == "check"; q.Check && params == nil {
		return q, nil
	}
	q.Ask.Band = method
	if err := q.params(params); err != nil {
		return q, &Fault{codeParams, err}
	}
	return q, nil
}

func (q *Request) params(text []byte) error {
	r, a := jsonline.New(text), &q.Ask
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
			err = word(r, &a.Rid)
		case "t0":
			if x, err = r.Number(); err == nil && (x < 0 || x > 1e14) {
				err = errors.New("expected Unix milliseconds")
			}
			a.Came = time.UnixMicro(int64(x * 1e3))
			if ago := time.Since(a.Came); err == nil && (ago > oldest || ago < -ahead) {
				err = errors.New("expected a time just now")
			}
		case "peer":
			if x, err = r.Number(); err == nil && (x != math.Trunc(x) || x < 0 || x > 1e9) {
				err = errors.New("expected the number of a stub")
			}
			a.From = int(x)
		case "acct":
			err = word(r, &a.Customer)
		case "again":
			a.Again, err = r.Flag()
		case "mem":
			if a.KB, err = r.Number(); err == nil && (a.KB <= 0 || a.KB >= mostKB) {
				err = fmt.Errorf("expected over 0 and under %d", mostKB)
			}
		case "prio":
			if a.Rank, err = r.Number(); err == nil && (a.Rank < 0 || a.Rank >= 1) {
				err = errors.New("expected 0 to under 1")
			}
		case "token":
			err = word(r, &a.Receipt)
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
	if !plain(a.Rid) {
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

// AppendAnswer writes the final answer to the request of that id.
func AppendAnswer(out []byte, id string, a node.Answer) []byte {
	if a.Kind == node.Fulfilled {
		out = append(append(append(out, `{"jsonrpc":"2.0","id":`...), id...), `,"result":{"doc":`...)
		out = jsonline.AppendBytes(out, a.Result)
		return append(appendFree(out, a.Free), "}}\n"...)
	}
	code, text := codeFailed, "failed"
	if a.Kind == node.TurnedBack {
		code, text = codeRefused, "overloaded"
	}
	out = appendError(out, id, code, text)
	var data []byte
	if back := math.Ceil(float64(a.ComeBack) / 1e6); a.Kind == node.TurnedBack && back > 0 {
		data = strconv.AppendFloat(append(data, `,"backoff":`...), back, 'f', -1, 64)
	}
	if a.Kind == node.TurnedBack && a.No {
		data = append(data, `,"final":1`...)
	}
	if data = appendFree(data, a.Free); len(data) > 0 {
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

// Door is where work items go.
type Door interface {
	Arrive(asker node.Asker, tag string, ask node.Ask) error
	Gone(asker node.Asker)
	Check(asker node.Asker, tag string, full bool)
}

// Front owns the stubs' connections.
type Front struct {
	door    Door
	log     *zap.Logger
	most    int
	lines   map[*line]struct{}
	idle    time.Duration
	leaving bool
	next    time.Time
	refused int // connections over the limit since the last line of the log
}

// NewFront takes at most so many connections.
func NewFront(door Door, most int, log *zap.Logger) *Front {
	return &Front{door: door, most: most, log: log, lines: map[*line]struct{}{}, idle: silent}
}

// Accept makes the peer of a new connection. At the limit the one goes that is needed least: the longest without a
// whole request, else the longest idle. Where all are in use the new one goes.
func (f *Front) Accept() loop.Peer {
	if len(f.lines) >= f.most {
		f.refused++
		var least *line
		for l := range f.lines {
			if len(l.open) == 0 && (least == nil || l.asked == least.asked && l.last.Before(least.last) || !l.asked && least.asked) {
				least = l
			}
		}
		if least == nil {
			return nil
		}
		least.end()
	}
	return &line{front: f, in: jsonline.Lines{Longest: longestLine}, open: map[string]struct{}{}}
}

// Idle closes connections with nothing open after so long.
func (f *Front) Idle(after time.Duration) { f.idle = min(max(after, 10*time.Millisecond), silent) }

// Leave tells all stubs to send no more here.
func (f *Front) Leave() {
	f.leaving = true
	for l := range f.lines {
		l.wire.Write(closing)
	}
}

// Owes: what is written leaves with the round.
func (f *Front) Owes() bool { return false }

// Sweep closes what is idle.
func (f *Front) Sweep(now time.Time) {
	if now.Before(f.next) {
		return
	}
	f.next = now.Add(sweepEvery)
	for l := range f.lines {
		part := !l.began.IsZero() && now.Sub(l.began) > unasked
		if part || len(l.open) == 0 && (now.Sub(l.last) > f.idle || !l.asked && now.Sub(l.last) > unasked) {
			l.end()
		}
	}
	if f.refused > 0 {
		f.log.Warn("connections refused: at the limit", zap.Int("refused", f.refused), zap.Int("limit", f.most))
		f.refused = 0
	}
}

// line is one connection of a stub. It has brought nothing whole yet, or is idle, or in use: three different things
// where room or time is short.
type line struct {
	front  *Front
	wire   loop.Wire
	in     jsonline.Lines
	open   map[string]struct{}
	last   time.Time // opened, a request read or answered
	began  time.Time // of a message that is not whole; zero: none
	asked  bool      // a whole request has come
	faults int
}

func (l *line) Opened(w loop.Wire) {
	l.wire, l.last = w, time.Now()
	l.front.lines[l] = struct{}{}
	if l.front.leaving {
		w.Write(closing)
	}
}

func (l *line) Closed(error) { l.leave() }

// end closes the connection; what was open on it is given up.
func (l *line) end() {
	l.leave()
	l.wire.Close()
}

func (l *line) leave() {
	if _, ok := l.front.lines[l]; ok {
		delete(l.front.lines, l)
		if len(l.open) > 0 {
			l.front.door.Gone(l)
		}
	}
}

// Read takes what came. A fault is answered under its id; without one, or with too many, the connection ends.
func (l *line) Read(p []byte) error {
	whole := false
	err := l.in.Feed(p, func(text []byte) error {
		whole = true
		q, err := Decode(text)
		if err == nil {
			err = l.take(q)
		}
		if err == nil {
			l.asked, l.last = true, time.Now()
			return nil
		}
		var f *Fault
		if !errors.As(err, &f) {
			return err
		}
		l.wire.Write(AppendFault(nil, q.ID, f))
		if l.faults++; q.ID == "" || l.faults > mostFaults {
			return err
		}
		return nil
	})
	if !l.in.Partial() {
		l.began = time.Time{}
	} else if whole || l.began.IsZero() {
		l.began = time.Now()
	}
	return err
}

func (l *line) take(q Request) error {
	if _, twice := l.open[q.ID]; twice { // whichever of the two an error under this id would be taken for
		return errors.New("two requests under one id")
	}
	if len(l.open) >= mostOpen {
		return &Fault{codeRequest, fmt.Errorf("over %d open requests", mostOpen)}
	}
	l.open[q.ID] = struct{}{}
	if q.Check {
		l.front.door.Check(l, q.ID, q.Full)
		return nil
	}
	err := l.front.door.Arrive(l, q.ID, q.Ask)
	if err == nil {
		return nil
	}
	delete(l.open, q.ID)
	switch {
	case errors.Is(err, node.ErrBand):
		return &Fault{codeMethod, err}
	case errors.Is(err, node.ErrCustomer):
		return &Fault{codeParams, err}
	}
	return &Fault{codeRequest, err}
}

// Answer writes a final answer.
func (l *line) Answer(tag string, a node.Answer) {
	l.done(tag)
	l.wire.Write(AppendAnswer(nil, tag, a))
}

// Checked answers a health check.
func (l *line) Checked(tag string, good bool, free float64) {
	l.done(tag)
	l.wire.Write(AppendChecked(nil, tag, good, free))
}

func (l *line) done(tag string) {
	delete(l.open, tag)
	l.last = time.Now()
}
