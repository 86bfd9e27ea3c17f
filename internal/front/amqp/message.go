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

// message is one that was received and is not settled.
type message struct {
	delivery     amqp.Delivery
	tag          uint64 // of the delivery
	queue        *operator.Queue
	receivedAt   time.Time
	deadline     time.Time // until which its caller waits; zero if unknown
	outcome      intake.Outcome
	retryAfter   time.Duration
	isReply      bool // what is published for it is the reply to its caller
	isUnroutable bool // what was published for it reached no queue
}

// isExpired reports whether its caller waits no longer, or hardly.
func (m *message) isExpired() bool {
	const margin = 100 * time.Millisecond
	return !m.deadline.IsZero() && time.Until(m.deadline) <= margin
}

// messageCounts counts messages since the start: each received one, and how it ended.
type messageCounts struct {
	received, completed, rejected, failed, deadLettered, unreadable, unpublished, callerGone, repliesLost uint64
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

// receive takes in a delivery and submits it to the instance.
func (f *Front) receive(s *session, e *event) {
	f.counts.received++
	m := &message{delivery: e.delivery, tag: e.delivery.DeliveryTag, queue: &f.config.Queues[e.queue], receivedAt: e.receivedAt}
	if f.unsettled[m.tag] != nil || len(f.unsettled) >= f.maxUnsettled() {
		f.controller.ProtocolViolated(f.now(), "more messages than credit, or one tag twice")
		return
	}
	f.unsettled[m.tag] = m
	f.controller.MessagesReceived(1)
	if s.guard.takeOversized(m.tag) {
		f.counts.unreadable++
		f.log.Warn("amqp: message too large, rejected", zap.String("queue", m.queue.Name), zap.String("key", m.delivery.MessageId),
			zap.Int("largest", f.config.MaxBodyBytes))
		f.settle(m, discard(m.tag))
		return
	}
	if err := f.admit(s, m); err != nil {
		f.counts.unreadable++
		f.log.Warn("amqp: message can't be decoded, dead-lettered", zap.String("queue", m.queue.Name),
			zap.String("key", fmt.Sprintf("%.64q", m.delivery.MessageId)), zap.Error(err))
		f.deadLetter(m, "unreadable: "+err.Error())
	}
}

// admit decodes a message and hands it to the instance; the answer arrives at handleAnswer under the delivery tag.
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
