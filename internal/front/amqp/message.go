package amqp

import (
	"fmt"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"thymechute/internal/decide/intake"
	"thymechute/internal/node"
	"thymechute/internal/operator"
)

// message is a received message that is not settled.
type message struct {
	delivery     amqp.Delivery
	tag          uint64 // delivery tag
	queue        *operator.Queue
	receivedAt   time.Time
	deadline     time.Time // when its caller stops waiting; zero if unknown
	outcome      intake.Outcome
	retryAfter   time.Duration
	isReply      bool // what is published for it is the reply to its caller
	isUnroutable bool // what was published for it reached no queue
}

// isExpired reports whether its caller will have stopped waiting before a retry could be answered.
func (m *message) isExpired() bool {
	const margin = 100 * time.Millisecond
	return !m.deadline.IsZero() && time.Until(m.deadline) <= margin
}

// messageCounts counts the messages since the start, by how they ended. One message may count in several fields.
type messageCounts struct {
	received     uint64
	completed    uint64 // answered with a result
	rejected     uint64 // by the instance
	failed       uint64 // answered with an error
	deadLettered uint64
	unreadable   uint64 // too large, or not decodable
	unpublished  uint64 // left to their queue as the broker did not accept a publish
	callerGone   uint64 // unsettled when the connection ended
	repliesLost  uint64 // replies that were not routed to any queue
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c *messageCounts) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddUint64("received", c.received)
	encoder.AddUint64("completed", c.completed)
	encoder.AddUint64("rejected", c.rejected)
	encoder.AddUint64("failed", c.failed)
	encoder.AddUint64("dead_lettered", c.deadLettered)
	encoder.AddUint64("unreadable", c.unreadable)
	encoder.AddUint64("unpublished", c.unpublished)
	encoder.AddUint64("caller_gone", c.callerGone)
	encoder.AddUint64("replies_lost", c.repliesLost)
	return nil
}

// receive handles a delivery and submits it to the instance.
func (f *Front) receive(s *session, e *event) {
	f.counts.received++
	m := &message{
		delivery:   e.delivery,
		tag:        e.delivery.DeliveryTag,
		queue:      &f.config.Queues[e.queue],
		receivedAt: e.receivedAt,
	}
	if f.unsettled[m.tag] != nil || len(f.unsettled) >= f.maxUnsettled() {
		f.controller.ProtocolViolated(f.now(), "more messages than credit, or one tag twice")
		return
	}
	f.unsettled[m.tag] = m
	f.controller.MessagesReceived(1)
	if s.guard.takeOversized(m.tag) {
		f.counts.unreadable++
		f.log.Warn("amqp: message too large, rejected",
			zap.String("queue", m.queue.Name),
			zap.String("key", m.delivery.MessageId),
			zap.Int("max_body_bytes", f.config.MaxBodyBytes))
		f.settle(m, discard(m.tag))
		return
	}
	if err := f.admit(s, m); err != nil {
		f.counts.unreadable++
		f.log.Warn("amqp: message can't be decoded, dead-lettered",
			zap.String("queue", m.queue.Name),
			zap.String("key", fmt.Sprintf("%.64q", m.delivery.MessageId)), zap.Error(err))
		f.deadLetter(m, "unreadable: "+err.Error())
	}
}

// admit decodes a message and submits it to the instance. handleAnswer gets the answer under the delivery tag.
func (f *Front) admit(s *session, m *message) error {
	const tagBase = 36
	request, err := Decode(&m.delivery, f.config.Fields, m.queue, m.receivedAt, f.idempotency)
	if err != nil {
		return err
	}
	if request.CallerTimeout > 0 {
		m.deadline = m.receivedAt.Add(request.CallerTimeout)
	}
	request.ID = node.TaskID(f.requestPrefix + strconv.Itoa(f.sessionCount) + "-" + strconv.FormatUint(m.tag, tagBase))
	return f.admission.Admit(s, node.MessageID(strconv.FormatUint(m.tag, 10)), request)
}
