// Package amqp is the front of a message broker: an AMQP 0-9-1 consumer. It turns messages into work items for the
// door, and their ends into acks, replies, returns and dead letters. This file owns, on the loop, every message that
// was read and is not settled: its one table, bounded by the credit in force and the one before it, emptied by the
// settling or the connection's end. What is taken, and when, is decided by internal/decide/intake; what runs, waits
// or is turned back by the module. It must never wait for a broker on the loop, settle a message on another
// connection than the one that brought it, or ack one before what its end needs was confirmed. Design: docs/amqp.md.
package amqp

import (
	"fmt"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"

	"thymechute/internal/decide/intake"
	"thymechute/internal/node"
	"thymechute/internal/operator"
	"thymechute/policy/settings"
)

const (
	loadEvery = 100 * time.Millisecond // the instance's load is looked at
	slack     = 64                     // orders and messages beyond the credits
)

// Admission is where work items go.
type Admission interface {
	Admit(responder node.Responder, id node.MessageID, incoming node.Request) error
	CallerGone(responder node.Responder)
	Load() node.Load
}

// Loop is what the front needs of it.
type Loop interface {
	Post(f func())                         // from any goroutine
	After(wait time.Duration, what func()) // on the loop, later
}

// counts are of messages since the start, each read counted once more by how it ended; told at the end.
type counts struct {
	Read, Fulfilled, TurnedBack, Scrapped, DeadLettered, Unreadable, Unsent, CallerGone, RepliesLost uint64
}

// Front owns the connection to the brokers.
type Front struct {
	door    Admission
	loop    Loop
	told    *operator.AMQP
	name    string
	kind    func(class string) settings.Idempotency
	log     *zap.Logger
	in      *intake.Intake
	start   time.Time
	looked  time.Time
	wake    time.Duration // asked for last
	now     *session      // none while apart
	serial  int           // sessions so far
	rid     string        // of this life: a runtime may know names of one before
	open    map[uint64]*message
	waits   map[uint64]*message // for a confirm, by publish number
	number  uint64
	stands  bool // the session is up
	leaving bool
	late    []*message // came straight back to this instance that leaves: given back once nothing more can come
	drained bool       // the consumers are cancelled and have brought their last
	left    bool       // the closing has been ordered
	counts  counts
}

// message is one that was read and is not settled.
type message struct {
	d        amqp.Delivery
	tag      uint64
	queue    *operator.Queue
	came     time.Time
	until    time.Time // its own patience; zero: none told
	fate     intake.Fate
	comeBack time.Duration
	reply    bool // that is a reply to its caller
	lost     bool // that reached no queue
}

// New makes the front of what the operator set; kind tells that of a band. It connects once the instance can work.
func New(door Admission, loop Loop, told *operator.AMQP, name string, seed uint64, kind func(class string) settings.Idempotency, log *zap.Logger) *Front {
	f := &Front{door: door, loop: loop, told: told, name: name, kind: kind, log: log, start: time.Now(),
		rid: "q" + strconv.FormatUint(seed&0xffffffff, 36) + "-" + strconv.FormatInt(time.Now().UnixMilli()&0xffffff, 36) + "-", waits: map[uint64]*message{}}
	f.in = intake.New(f, seed, intake.Told{Brokers: len(told.Brokers), Least: told.MinCredit, Most: told.MaxCredit,
		Silence: time.Duration(told.ConfirmTimeoutSeconds) * time.Second})
	return f
}

func (f *Front) time() time.Duration { return time.Since(f.start) }

// SetIdleTimeout is for callers' connections; a broker's stays.
func (f *Front) SetIdleTimeout(time.Duration) {}

// Drain ends consuming at once; what is read is settled, then the connection closed.
func (f *Front) Drain() {
	f.leaving = true
	f.in.Leave(f.time())
	if f.now != nil && !f.stands { // it has brought nothing yet
		f.apart(f.now)
	}
	f.finish()
}

// HasPending tells whether something is still to be settled.
func (f *Front) HasPending() bool { return f.now != nil && f.leaving }

// Sweep looks at the instance's load.
func (f *Front) Sweep(now time.Time) {
	if now.Sub(f.looked) < loadEvery {
		return
	}
	f.looked = now
	l := f.door.Load()
	f.in.Ready(f.time(), l.Ready, l.Requests, l.Capacity)
}

// Dial opens a session with that broker.
func (f *Front) Dial(broker int) {
	f.serial++
	f.open = map[uint64]*message{}
	bound := 2*f.told.MaxCredit*len(f.told.Queues) + slack
	var s *session
	s = open(f.told, f.name, f.told.Brokers[broker].Address, bound, f.loop.Post, func(events []event) { f.take(s, events) }, f.answer)
	f.now, f.stands, f.drained, f.left = s, false, true, false
}

// Hangup gives the session up.
func (f *Front) Hangup(string) { f.apart(f.now) }

// apart: the callers of what came on that session are known gone; keyed runs go on, and their results are kept.
func (f *Front) apart(s *session) {
	s.hangup()
	f.now = nil
	f.counts.CallerGone += uint64(len(f.open))
	f.open, f.late = nil, nil
	clear(f.waits)
	f.door.CallerGone(s)
	if f.leaving {
		f.Log("left: %+v", f.counts)
	}
}

// Consume takes messages with that credit; Pause takes none.
func (f *Front) Consume(credit int) {
	f.drained = false
	f.in.Asked(f.time())
	f.now.step(consume(credit))
}

// Pause cancels the consumers.
func (f *Front) Pause() {
	f.drained = false
	f.in.Asked(f.time())
	f.now.step(pause)
}

// Wake asks for a Tick; a later one that was asked for before does no harm.
func (f *Front) Wake(at time.Duration) {
	if f.wake > f.time() && f.wake <= at {
		return
	}
	f.wake = at
	f.loop.After(max(at-f.time(), time.Millisecond), func() { f.in.Tick(f.time()) })
}

// Log is one line to the operators.
func (f *Front) Log(format string, args ...any) { f.log.Sugar().Infof("amqp: "+format, args...) }

// take is what happened on a session.
func (f *Front) take(s *session, events []event) {
	now := f.time()
	for n := range events {
		e := &events[n]
		if f.now != s {
			return // it was given up; the broker hands out again what came on it
		}
		switch e.what {
		case delivered:
			f.read(s, e)
		case confirmed:
			f.confirmed(e.number, e.good)
		case unrouted:
			if m := f.waits[e.number]; m != nil {
				m.lost = true
			}
		case standing:
			f.stands = true
			f.in.Up(now)
		case consuming:
			f.in.Answered(now)
		case pausing:
			f.drained = true
			for _, m := range f.late {
				f.giveBack(m, returned(&m.d))
			}
			f.late = nil
			f.in.Answered(now)
			f.finish()
		case blocked:
			f.in.Blocked(now, e.good)
		case cancelled:
			f.in.Cancelled(now)
		case publishLost: // what it held is told as not confirmed
			f.log.Error("amqp: publishing refused", zap.Error(e.err))
		case closed:
			f.apart(s)
			why := "closed"
			if e.err != nil {
				why = e.err.Error()
			}
			f.in.Failed(now, e.far, why)
		}
	}
}

// read takes a message to the door.
func (f *Front) read(s *session, e *event) {
	f.counts.Read++
	m := &message{d: e.delivery, tag: e.delivery.DeliveryTag, queue: &f.told.Queues[e.queue], came: e.at}
	if f.open[m.tag] != nil || len(f.open) >= 2*f.told.MaxCredit*len(f.told.Queues)+slack {
		f.in.Senseless(f.time(), "more messages than credit, or one tag twice")
		return
	}
	f.open[m.tag] = m
	f.in.Read(1)
	if s.guard.wasTooLarge(m.tag) {
		f.counts.Unreadable++
		f.log.Warn("amqp: message too large, rejected", zap.String("queue", m.queue.Name), zap.String("key", m.d.MessageId), zap.Int("largest", f.told.MaxBodyBytes))
		f.settle(m, back(m.tag, false))
		return
	}
	ask, err := Decode(&m.d, f.told.Fields, m.queue, m.came, f.kind)
	if err == nil {
		if ask.CallerTimeout > 0 {
			m.until = m.came.Add(ask.CallerTimeout)
		}
		ask.ID = node.TaskID(f.rid + strconv.Itoa(f.serial) + "-" + strconv.FormatUint(m.tag, 36))
		err = f.door.Admit(s, node.MessageID(strconv.FormatUint(m.tag, 10)), ask)
	}
	if err != nil {
		f.counts.Unreadable++
		f.log.Warn("amqp: message can't be read, dead-lettered", zap.String("queue", m.queue.Name), zap.String("key", fmt.Sprintf("%.64q", m.d.MessageId)), zap.Error(err))
		f.giveUp(m, "unreadable: "+err.Error())
	}
}

// Answer is a work item's end, on the session that brought it.
func (f *Front) answer(s *session, id node.MessageID, a node.Answer) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	m := f.open[n]
	if err != nil || f.now != s || m == nil {
		return
	}
	switch a.Status {
	case node.Served:
		f.counts.Fulfilled++
		if m.d.ReplyTo == "" {
			f.settle(m, ack(m.tag))
			return
		}
		m.reply = true
		f.publish(m, "", m.d.ReplyTo, amqp.Publishing{CorrelationId: m.d.CorrelationId, Body: a.Result, Headers: amqp.Table{endField: "fulfilled"}})
	case node.Rejected:
		f.counts.TurnedBack++
		m.comeBack = a.RetryAfter
		times := returned(&m.d)
		switch {
		case !m.until.IsZero() && time.Until(m.until) <= time.Second/10:
			f.giveUp(m, "its patience is over")
		case f.leaving && !f.drained && m.d.Headers[leavingField] == f.name:
			f.late = append(f.late, m) // the broker pushes on though consuming was cancelled: this would go round and round
		case f.leaving: // the next consumer has it at once, and no return is counted
			f.giveBack(m, times)
		case times >= f.told.MaxReturns:
			f.giveUp(m, fmt.Sprintf("turned back %d times", times+1))
		default:
			f.giveBack(m, times+1)
		}
	case node.Failed:
		f.counts.Scrapped++
		why := "failed"
		switch a.Cause {
		case node.KeyConflict:
			why = "another message stands under the same key"
		case node.MayHaveRun:
			why = "may have run already"
		}
		f.giveUp(m, why)
	}
}

// giveBack puts a copy at its queue's end: a copy is no redelivery, so that whoever gets it knows that it never ran,
// and it carries the count of its returns. Only then is the message itself settled.
func (f *Front) giveBack(m *message, times int) {
	m.fate = intake.Returned
	p := publishing(&m.d, returnsField, int64(times))
	if delete(p.Headers, leavingField); f.leaving {
		p.Headers[leavingField] = f.name
	}
	f.publish(m, "", m.queue.Name, p)
}

// giveUp hands it to the dead-letter exchange, with the reason.
func (f *Front) giveUp(m *message, reason string) {
	f.counts.DeadLettered++
	if m.d.ReplyTo != "" { // who waits hears of it; nothing waits for that
		f.number++
		f.now.put(publish(f.number, "", m.d.ReplyTo, amqp.Publishing{CorrelationId: m.d.CorrelationId, Headers: amqp.Table{endField: "scrapped", reasonField: reason}}))
	}
	f.publish(m, m.queue.DeadLetterExchange, m.queue.DeadLetterRoutingKey, publishing(&m.d, reasonField, reason))
}

func (f *Front) publish(m *message, exchange, key string, p amqp.Publishing) {
	f.number++
	f.waits[f.number] = m
	f.in.Asked(f.time())
	f.now.put(publish(f.number, exchange, key, p))
}

// confirmed: the broker has what was published, or has refused it.
func (f *Front) confirmed(number uint64, good bool) {
	m := f.waits[number]
	if m == nil {
		return
	}
	delete(f.waits, number)
	f.in.Answered(f.time())
	switch {
	case good && !m.lost:
		f.settle(m, ack(m.tag))
	case good && m.reply: // its reply queue is gone, and so is its caller
		f.counts.RepliesLost++
		f.settle(m, ack(m.tag))
	default: // nothing may be lost: it stays the broker's, and comes again as one that may have run
		f.counts.Unsent++
		f.log.Error("amqp: nothing takes what is published", zap.Bool("reply", m.reply), zap.Bool("unroutable", m.lost),
			zap.String("queue", m.queue.Name), zap.String("dead-letter", m.queue.DeadLetterExchange))
		m.fate = intake.Unsent
		f.settle(m, back(m.tag, true))
	}
}

// settle is the last of a message here.
func (f *Front) settle(m *message, how order) {
	delete(f.open, m.tag)
	f.now.put(how)
	f.in.Ended(f.time(), m.fate, time.Since(m.came), m.comeBack)
	f.finish()
}

// finish closes the connection of a leaving instance once nothing is left on it.
func (f *Front) finish() {
	if f.leaving && f.now != nil && f.drained && len(f.open) == 0 && !f.left {
		f.left = true
		f.now.put(leave)
	}
}

// Answer is a work item's end.
func (s *session) Answer(id node.MessageID, a node.Answer) { s.answered(s, id, a) }

// HealthChecked: no health check comes by this way.
func (s *session) HealthChecked(node.MessageID, node.HealthCheckResult) {}
