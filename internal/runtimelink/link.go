// Package runtimelink is the client of the runtime that executes requests: it writes commands and reads notices, as JSON
// messages of one line each.
//
// A Link has one connection to the runtime, and opens another after a backoff with jitter when that is lost. The runtime
// numbers its notices; a new connection requests those after the last one that was read, and each is passed on once and in
// order. A Link does not buffer commands: after RuntimeResynced, which follows the missed notices, the instance repeats the
// commands that a lost connection may not have delivered.
//
// A Link belongs to the event loop; its methods must be called on the loop's goroutine and do not block.
package runtimelink

import (
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/policy"
)

const (
	minBackoff      = 20 * time.Millisecond // after the first failed connection
	maxBackoff      = time.Second           // the runtime may be back at any time
	gaugesTimeout   = 2 * time.Second       // another connection is opened after this long without an answer
	maxAnomalyLines = 20                    // log lines about unexpected notices, per connection
	gaugesNonce     = "g"                   // of the gauge requests of ticks
)

// Sink receives the runtime's notices, on the loop.
type Sink interface {
	// RuntimeReady is called with the runtime's state when a connection is established.
	RuntimeReady(state node.RuntimeState)
	// RuntimeResynced is called when the notices missed before the connection were passed on.
	RuntimeResynced()
	// RunEnded is called when a run has ended.
	RunEnded(id node.TaskID, result node.RunResult)
	// CallRequested is called when a run waits for the reply to a call with this body.
	CallRequested(id node.TaskID, body []byte)
	// GaugesRead is called with a reading of the gauges, in the order of the settings.
	GaugesRead(values []float64)
	// SelfTestEnded is called when the self-test with this id has ended.
	SelfTestEnded(id string, status node.HealthStatus)
}

// Link is the connection to the runtime.
type Link struct {
	sink     Sink
	dial     func(loop.Handler)
	schedule func(time.Duration, func())
	log      *zap.Logger
	random   *rand.Rand

	latest    *session  // the latest connection, open or being dialled
	conn      loop.Conn // of the session that commands are written to; nil while the link is down
	lines     jsonline.LineSplitter
	lastIndex uint64 // of the last numbered notice read

	resynced     bool   // the notices missed before this connection were read
	syncNonce    string // of the gauge request whose answer follows them
	sessionCount int
	anomalies    int // of this connection
	backoff      time.Duration
	openedAt     time.Time
	awaitedSince time.Time // of the first gauge request since the last input; zero: none
}

// NewLink returns a link without a connection. dial opens a connection for a handler, schedule runs a function on the loop
// after a delay, and seed determines the jitter of the backoff.
func NewLink(sink Sink, dial func(loop.Handler), schedule func(time.Duration, func()), seed uint64, log *zap.Logger) *Link {
	return &Link{
		sink:     sink,
		dial:     dial,
		schedule: schedule,
		log:      log,
		random:   rand.New(rand.NewPCG(seed, 1)),
		backoff:  minBackoff,
	}
}

// Open dials a new connection, which replaces the present one once it is open.
func (l *Link) Open() {
	l.latest = &session{link: l}
	l.dial(l.latest)
}

// Up reports whether commands reach the runtime.
func (l *Link) Up() bool { return l.conn != nil && l.resynced }

// Start starts a run of the class with that body.
func (l *Link) Start(id node.TaskID, class string, body []byte) {
	l.send(command{verb: verbStart, task: id, class: class, body: notNil(body)})
}

// Stop stops a run.
func (l *Link) Stop(id node.TaskID) { l.send(command{verb: verbStop, task: id}) }

// DeliverReply gives a run the reply to its call.
func (l *Link) DeliverReply(id node.TaskID, reply []byte) {
	l.send(command{verb: verbGive, task: id, body: notNil(reply)})
}

// RequestGauges requests a reading of the gauges. If nothing was received for gaugesTimeout after an earlier request, the
// connection may be open without a runtime at its other end, so another one is opened to replace it.
func (l *Link) RequestGauges() {
	l.reopenIfSilent(time.Now())
	l.send(command{verb: verbGauges, nonce: gaugesNonce})
}

func (l *Link) reopenIfSilent(now time.Time) {
	if l.awaitedSince.IsZero() {
		l.awaitedSince = now
		return
	}
	silence := now.Sub(l.awaitedSince)
	if silence <= gaugesTimeout {
		return
	}
	l.log.Warn("runtime link silent", zap.Duration("silent_for", silence))
	l.awaitedSince = now
	l.Open()
}

// SelfTest requests a self-test, for a deep health check.
func (l *Link) SelfTest(id string) { l.send(command{verb: verbSelfTest, nonce: id}) }

func (l *Link) send(c command) {
	if l.conn != nil {
		l.conn.Write(c.append(nil))
	}
}

// notNil returns an empty body for nil, as a command omits a nil body.
func notNil(body []byte) []byte {
	if body == nil {
		return []byte{}
	}
	return body
}

// replace makes the session's connection the link's.
func (l *Link) replace(conn loop.Conn) {
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = conn
	l.resynced = false
	l.anomalies = 0
	l.openedAt = time.Now()
	l.awaitedSince = time.Time{}
	l.sessionCount++
	l.syncNonce = "sync" + strconv.Itoa(l.sessionCount)
	l.lines = jsonline.LineSplitter{MaxLength: maxLineBytes}
	l.conn.Write(appendSync(nil, l.lastIndex))
}

// reopen dials again after the backoff, unless the session was replaced by then.
func (l *Link) reopen(lost *session) {
	jitter := 0.5 + l.random.Float64()
	delay := time.Duration(float64(l.backoff) * jitter)
	l.backoff = min(2*l.backoff, maxBackoff)
	l.schedule(delay, func() {
		if l.latest == lost {
			l.Open()
		}
	})
}

// handle passes a notice on, unless it was read before.
func (l *Link) handle(n notice) {
	isNumbered := n.Index != 0
	if isNumbered && n.Index <= l.lastIndex {
		l.reportAnomaly("duplicate", n)
		return
	}
	if isNumbered {
		l.lastIndex = n.Index
	}
	switch n.Verb {
	case verbReady:
		l.handleReady(n)
	case verbEnd:
		l.handleEnd(n)
	case verbWants:
		l.sink.CallRequested(n.Task, n.Body)
	case verbLoad:
		l.handleLoad(n)
	case verbVerdict:
		l.sink.SelfTestEnded(n.Nonce, node.HealthOf(n.Outcome == outcomeGood))
	case verbNack:
		l.handleNack(n)
	case verbInfo:
	default:
		l.reportAnomaly("unknown verb", n)
	}
}

func (l *Link) handleReady(n notice) {
	l.backoff = minBackoff
	l.log.Info("runtime link established", zap.String("state", n.Outcome), zap.Duration("age", n.Spent))
	l.sink.RuntimeReady(node.RuntimeState{Reused: n.Outcome == stateOld, Age: n.Spent, RequestedAt: l.openedAt})
	l.send(command{verb: verbGauges, nonce: l.syncNonce}) // the answer follows the missed notices
}

func (l *Link) handleEnd(n notice) {
	outcome, ok := runOutcomes[n.Outcome]
	if !ok {
		l.reportAnomaly("unknown run outcome", n)
		l.sink.RunEnded(n.Task, node.RunResult{Outcome: policy.Unknown, Duration: n.Spent})
		return
	}
	l.sink.RunEnded(n.Task, node.RunResult{Outcome: outcome, Duration: n.Spent, Body: n.Body})
}

func (l *Link) handleLoad(n notice) {
	if n.Nonce == l.syncNonce && !l.resynced {
		l.resynced = true
		l.sink.RuntimeResynced()
	}
	l.sink.GaugesRead(n.Readings)
}

// handleNack handles a command that the runtime rejected; a run that was not started has ended.
func (l *Link) handleNack(n notice) {
	l.reportAnomaly("command rejected", n)
	if n.Outcome == verbStart {
		l.sink.RunEnded(n.Task, node.RunResult{Outcome: policy.NotStarted})
	}
}

func (l *Link) reportAnomaly(reason string, n notice) {
	l.anomalies++
	if l.anomalies > maxAnomalyLines {
		return
	}
	l.log.Warn("unexpected runtime notice", zap.String("reason", reason), zap.String("verb", n.Verb),
		zap.String("task", string(n.Task)), zap.String("outcome", n.Outcome), zap.Uint64("index", n.Index))
}
