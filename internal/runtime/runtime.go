// Package runtime is the link to the runtime that owns the cores: its lines to notices and commands to its lines.
// The Link keeps one connection, opens it anew after growing, spread waits, and tells each notice once and in
// order, by the number of the last one read. It must never keep or give again a command: what a broken link may
// have swallowed is the node's to say again, after CaughtUp. It keeps no table.
package runtime

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/policy"
)

const (
	longestLine = 64 << 10
	mostBytes   = 32 << 10
	leastWait   = 20 * time.Millisecond
	mostWait    = time.Second
	silence     = 2 * time.Second // without a word, though readings are owed, before the link is opened anew
	mostOdd     = 20              // remarks on what is odd in a link's life
)

// Notice is a message from the runtime.
type Notice struct {
	Verb, Task, Outcome, Nonce string
	Index                      uint64 // 0: not numbered
	Spent                      time.Duration
	Bytes                      []byte
	Readings                   []float64
}

// Decode reads one line.
func Decode(line []byte) (n Notice, err error) {
	r := jsonline.NewReader(line)
	text := func(into *string) error {
		b, err := r.ReadString()
		*into = string(b)
		return err
	}
	err = r.ReadObject(func(name []byte) (err error) {
		var x float64
		switch string(name) {
		case "verb":
			err = text(&n.Verb)
		case "task":
			err = text(&n.Task)
		case "outcome":
			err = text(&n.Outcome)
		case "nonce":
			err = text(&n.Nonce)
		case "index":
			if x, err = r.ReadNumber(); err == nil && (x < 0 || x > 1<<53) {
				err = errors.New("expected a number of a notice")
			}
			n.Index = uint64(x)
		case "spent":
			if x, err = r.ReadNumber(); err == nil {
				n.Spent = time.Duration(min(max(x, 0), 1e12) * 1e6)
			}
		case "bytes":
			n.Bytes, err = r.ReadBase64(mostBytes)
		case "readings":
			err = r.ReadArray(func() error {
				x, err := r.ReadNumber()
				if len(n.Readings) < 64 {
					n.Readings = append(n.Readings, x)
				}
				return err
			})
		default:
			_, err = r.ReadRaw()
		}
		return err
	})
	if err == nil {
		err = r.ExpectEnd()
	}
	if err == nil && n.Verb == "" {
		err = errors.New("expected a verb")
	}
	return n, err
}

// AppendCommand writes a command; empty fields are left out, but for bytes, which stand where they are not nil.
func AppendCommand(out []byte, verb, task, handler string, body []byte, nonce string) []byte {
	out = jsonline.AppendString(append(out, `{"verb":`...), verb)
	if task != "" {
		out = jsonline.AppendString(append(out, `,"task":`...), task)
	}
	if handler != "" {
		out = jsonline.AppendString(append(out, `,"handler":`...), handler)
	}
	if body != nil {
		out = jsonline.AppendBase64(append(out, `,"bytes":`...), body)
	}
	if nonce != "" {
		out = jsonline.AppendString(append(out, `,"nonce":`...), nonce)
	}
	return append(out, "}\n"...)
}

// Sink is told what the runtime says.
type Sink interface {
	RuntimeReady(old bool, ago time.Duration, asked time.Time)
	RuntimeResynced()
	RunEnded(task string, o policy.Outcome, took time.Duration, result []byte)
	CallRequested(task string, body []byte)
	GaugesRead(row []float64)
	SelfTestEnded(tag string, good bool)
}

var ends = map[string]policy.Outcome{
	"good": policy.OK, "bad": policy.Failed, "cut": policy.Cancelled, "gone": policy.NotStarted,
}

// Link is the one connection to the runtime.
type Link struct {
	sink   Sink
	dial   func(loop.Handler)
	after  func(time.Duration, func())
	log    *zap.Logger
	spread *rand.Rand
	now    *session  // the latest connection, standing or dialled
	wire   loop.Conn // of the session that commands go to; none while the link is broken
	in     jsonline.LineSplitter
	last   uint64 // number of the last notice read
	caught bool   // the notices missed have been read
	tag    string // of the reading behind them
	links  int
	odd    int
	wait   time.Duration
	opened time.Time
	owed   time.Time // the first reading asked for since anything came; zero: none
}

// NewLink makes a link; dial opens a connection for it, after calls back on the loop later.
func NewLink(sink Sink, dial func(loop.Handler), after func(time.Duration, func()), seed uint64, log *zap.Logger) *Link {
	return &Link{sink: sink, dial: dial, after: after, log: log, spread: rand.New(rand.NewPCG(seed, 1)), wait: leastWait}
}

// session is one connection of the link. One that was replaced is heard no more: the next has told the runtime how
// far its notices were read.
type session struct {
	l    *Link
	wire loop.Conn
}

// Open dials, also where a link stands: that one serves on until the new one is open, which takes its place.
func (l *Link) Open() {
	l.now = &session{l: l}
	l.dial(l.now)
}

// Up tells whether commands reach the runtime.
func (l *Link) Up() bool { return l.wire != nil && l.caught }

// Opened says how far the notices were read.
func (s *session) Opened(w loop.Conn) {
	l := s.l
	if s.wire = w; l.now != s {
		w.Close()
		return
	}
	if l.wire != nil {
		l.wire.Close()
	}
	l.wire, l.caught, l.odd, l.opened, l.owed = w, false, 0, time.Now(), time.Time{}
	l.links++
	l.tag = "sync" + strconv.Itoa(l.links)
	l.in = jsonline.LineSplitter{MaxLength: longestLine}
	l.wire.Write(fmt.Appendf(nil, `{"verb":"sync","index":%d}`+"\n", l.last))
}

// Closed dials again after a while, unless the next is dialled already.
func (s *session) Closed(err error) {
	l := s.l
	if s.wire != nil && s.wire == l.wire {
		l.log.Warn("runtime link lost", zap.Error(err))
		l.wire, l.caught = nil, false
	}
	if l.now != s {
		return
	}
	wait := time.Duration(float64(l.wait) * (0.5 + l.spread.Float64()))
	l.wait = min(2*l.wait, mostWait)
	l.after(wait, func() {
		if l.now == s {
			l.Open()
		}
	})
}

func (s *session) Received(p []byte) error {
	l := s.l
	if s.wire != l.wire {
		return nil
	}
	l.owed = time.Time{}
	return l.in.Feed(p, func(line []byte) error {
		n, err := Decode(line)
		if err != nil {
			return fmt.Errorf("runtime: %w", err)
		}
		l.notice(n)
		return nil
	})
}

func (l *Link) notice(n Notice) {
	if n.Index != 0 {
		if n.Index <= l.last {
			l.remark("notice repeated", n)
			return
		}
		l.last = n.Index
	}
	switch n.Verb {
	case "ready":
		l.wait = leastWait
		l.log.Info("runtime link", zap.String("outcome", n.Outcome), zap.Duration("spent", n.Spent))
		l.sink.RuntimeReady(n.Outcome == "old", n.Spent, l.opened)
		l.send("gauges", "", "", nil, l.tag) // its answer comes behind the notices that were missed
	case "end":
		if o, ok := ends[n.Outcome]; ok {
			l.sink.RunEnded(n.Task, o, n.Spent, n.Bytes)
			return
		}
		l.remark("unknown end", n)
		l.sink.RunEnded(n.Task, policy.Unknown, n.Spent, nil)
	case "wants":
		l.sink.CallRequested(n.Task, n.Bytes)
	case "load":
		if n.Nonce == l.tag && !l.caught {
			l.caught = true
			l.sink.RuntimeResynced()
		}
		l.sink.GaugesRead(n.Readings)
	case "verdict":
		l.sink.SelfTestEnded(n.Nonce, n.Outcome == "good")
	case "nack":
		l.remark("command not carried out", n)
		if n.Outcome == "start" {
			l.sink.RunEnded(n.Task, policy.NotStarted, 0, nil)
		}
	case "info":
	default:
		l.remark("unknown verb", n)
	}
}

func (l *Link) remark(what string, n Notice) {
	if l.odd++; l.odd <= mostOdd {
		l.log.Warn("runtime: "+what, zap.String("verb", n.Verb), zap.String("task", n.Task),
			zap.String("outcome", n.Outcome), zap.Uint64("index", n.Index))
	}
}

func (l *Link) send(verb, task, handler string, body []byte, nonce string) {
	if l.wire != nil {
		l.wire.Write(AppendCommand(nil, verb, task, handler, body, nonce))
	}
}

// Start runs a work item.
func (l *Link) Start(task, band string, body []byte) {
	if body == nil {
		body = []byte{}
	}
	l.send("start", task, band, body, "")
}

// Stop stops a run.
func (l *Link) Stop(task string) { l.send("stop", task, "", nil, "") }

// DeliverReply hands a run the reply to its call.
func (l *Link) DeliverReply(task string, reply []byte) {
	if reply == nil {
		reply = []byte{}
	}
	l.send("give", task, "", reply, "")
}

// RequestGauges asks for a reading. A runtime that owes readings for long may not be at the other end of this link any more,
// though nobody closed it: another is opened, and takes its place once it stands.
func (l *Link) RequestGauges() {
	if now := time.Now(); l.owed.IsZero() {
		l.owed = now
	} else if now.Sub(l.owed) > silence {
		l.log.Warn("runtime link silent", zap.Duration("for", now.Sub(l.owed)))
		l.owed = now
		l.Open()
	}
	l.send("gauges", "", "", nil, "g")
}

// SelfTest asks for the work of a deep health check.
func (l *Link) SelfTest(tag string) { l.send("selftest", "", "", nil, tag) }
