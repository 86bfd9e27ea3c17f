// Package runtimelink is the client of the runtime that executes requests: it writes commands and reads notices, each a JSON
// object on one line.
//
// A Link has one connection to the runtime. When it is lost, the Link opens another after a backoff with jitter. The runtime
// numbers its notices; a new connection requests those after the last one that was read, and each is passed on once and in
// order. A Link does not buffer commands: after RuntimeResynced, which follows the missed notices, the instance repeats the
// commands that the lost connection may not have delivered.
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
	minBackoff         = 20 * time.Millisecond // after the first failed connection
	maxBackoff         = time.Second           // short, as the runtime may be back at any time
	gaugesTimeout      = 2 * time.Second       // without an answer for this long, another connection is opened
	maxAnomalyLogLines = 20                    // log lines about unexpected notices, per connection
	gaugesNonce        = "g"                   // nonce of the gauge requests sent by ticks
)

// Sink receives the runtime's notices on the event loop.
type Sink interface {
	// RuntimeReady is called with the runtime's state when a connection is established.
	RuntimeReady(state node.RuntimeState)
	// RuntimeResynced is called when all notices missed before the connection was established have been passed on.
	RuntimeResynced()
	// RunEnded is called when a run has ended or was not started.
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

	latest    *session  // handler of the newest connection, open or being dialled
	conn      loop.Conn // carries the commands; nil while the link is down
	lines     jsonline.LineSplitter
	lastIndex uint64 // of the last numbered notice that was read from this process of the runtime; 0 if there is none

	processStart time.Time // latest possible start of the runtime's process; zero before the first connection is established

	resynced        bool   // the notices missed before this connection have been read
	syncNonce       string // nonce of the gauge request whose answer follows the missed notices
	sessionCount    int
	anomalies       int // unexpected notices on this connection
	backoff         time.Duration
	openedAt        time.Time
	unansweredSince time.Time // time of the first gauge request since the last input; zero: none
}

// NewLink returns a link without a connection. dial opens a connection for a handler, schedule runs a function on the event
// loop after a delay, and seed determines the jitter of the backoff.
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

// Open dials a new connection, which replaces the current one once it is open.
func (l *Link) Open() {
	l.latest = &session{link: l}
	l.dial(l.latest)
}

// Up reports whether commands reach the runtime.
func (l *Link) Up() bool { return l.conn != nil && l.resynced }

// Start starts a run of a request's class with its body.
func (l *Link) Start(id node.TaskID, class string, body []byte) {
	l.send(command{verb: verbStart, task: id, class: class, body: emptyIfNil(body)})
}

// Stop stops a run.
func (l *Link) Stop(id node.TaskID) { l.send(command{verb: verbStop, task: id}) }

// DeliverReply delivers the reply to a run's call.
func (l *Link) DeliverReply(id node.TaskID, reply []byte) {
	l.send(command{verb: verbGive, task: id, body: emptyIfNil(reply)})
}

// RequestGauges requests a reading of the gauges. If nothing was received for gaugesTimeout after an earlier request, the
// connection may be open without a runtime at its other end, so another one is opened to replace it.
func (l *Link) RequestGauges() {
	l.reopenIfSilent(time.Now())
	l.send(command{verb: verbGauges, nonce: gaugesNonce})
}

func (l *Link) reopenIfSilent(now time.Time) {
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
		return
	}
	silence := now.Sub(l.unansweredSince)
	if silence <= gaugesTimeout {
		return
	}
	l.log.Warn("runtime link silent", zap.Duration("silent_for", silence))
	l.unansweredSince = now
	l.Open()
}

// SelfTest requests a self-test, for a deep health check.
func (l *Link) SelfTest(id string) { l.send(command{verb: verbSelfTest, nonce: id}) }

func (l *Link) send(c command) {
	if l.conn != nil {
		l.conn.Write(c.append(nil))
	}
}

// emptyIfNil returns an empty body for nil, as a command omits a nil body.
func emptyIfNil(body []byte) []byte {
	if body == nil {
		return []byte{}
	}
	return body
}

// replaceConn closes the current connection and synchronizes the new one from the last notice that was read.
func (l *Link) replaceConn(conn loop.Conn) {
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = conn
	l.resynced = false
	l.anomalies = 0
	l.openedAt = time.Now()
	l.unansweredSince = time.Time{}
	l.sessionCount++
	l.syncNonce = "sync" + strconv.Itoa(l.sessionCount)
	l.lines = jsonline.LineSplitter{MaxLength: maxLineBytes}
	l.conn.Write(appendSync(nil, l.lastIndex))
}

// scheduleReopen dials again after the backoff, unless the lost session has been replaced by then.
func (l *Link) scheduleReopen(lost *session) {
	jitter := 0.5 + l.random.Float64()
	delay := time.Duration(float64(l.backoff) * jitter)
	l.backoff = min(2*l.backoff, maxBackoff)
	l.schedule(delay, func() {
		if l.latest == lost {
			l.Open()
		}
	})
}

// handle passes a notice on to the sink, unless it was read before.
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
	state := node.RuntimeState{Reused: n.Outcome == stateOld, Age: n.Spent, RequestedAt: l.openedAt}
	l.checkProcess(state)
	l.sink.RuntimeReady(state)
	l.send(command{verb: verbGauges, nonce: l.syncNonce}) // the answer follows the missed notices
}

// checkProcess detects that the runtime has restarted. Its new process may go on after the index in sync, or number its notices anew;
// in both cases all that it sends is new.
func (l *Link) checkProcess(state node.RuntimeState) {
	isRestarted := !l.processStart.IsZero() && state.StartedAfter(l.processStart)
	if isRestarted && l.lastIndex > 0 {
		l.log.Warn("runtime restarted, its notices are read from the first", zap.Uint64("last_index", l.lastIndex))
		l.lastIndex = 0
	}
	if isRestarted || l.processStart.IsZero() {
		l.processStart = time.Now().Add(-state.Age)
	}
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

// handleNack handles the rejection of a command. A run whose start was rejected ends as not started.
func (l *Link) handleNack(n notice) {
	l.reportAnomaly("command rejected", n)
	if n.Outcome == verbStart {
		l.sink.RunEnded(n.Task, node.RunResult{Outcome: policy.NotStarted})
	}
}

func (l *Link) reportAnomaly(reason string, n notice) {
	l.anomalies++
	if l.anomalies > maxAnomalyLogLines {
		return
	}
	l.log.Warn("unexpected runtime notice", zap.String("reason", reason), zap.String("verb", n.Verb),
		zap.String("task", string(n.Task)), zap.String("outcome", n.Outcome), zap.Uint64("index", n.Index))
}
