package amqp

import (
	"fmt"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"thymechute/internal/decide/intake"
	"thymechute/internal/decide/redelivery"
	"thymechute/internal/node"
	"thymechute/internal/operator"
)

// message is a received message that is not settled yet.
type message struct {
	delivery     amqp.Delivery
	tag          uint64 // delivery tag
	queue        *operator.Queue
	receivedAt   time.Time
	deadline     time.Time // when the caller stops waiting; zero if unknown
	outcome      intake.Outcome
	retryAfter   time.Duration
	isUnroutable bool // the broker routed the publish before settling to no queue
	identity     redelivery.Identity
	hasIdentity  bool
	hasEnded     bool        // its final answer or its copy was submitted to the session
	answer       finalAnswer // set if the final answer was submitted
	copyID       string      // set if its copy was submitted
}

// isExpired reports whether the caller will have stopped waiting before another attempt could be answered.
func (m *message) isExpired() bool {
	const margin = 100 * time.Millisecond
	return !m.deadline.IsZero() && time.Until(m.deadline) <= margin
}

// messageCounts counts messages by outcome since the process started. One message may count in several fields.
type messageCounts struct {
	received     uint64
	completed    uint64 // answered with a result
	rejected     uint64 // by the instance; requeued or dead-lettered
	failed       uint64 // answered with an error
	deadLettered uint64
	unreadable   uint64 // body too large, or fields that can't be decoded
	unpublished  uint64 // returned to their queue because the broker did not accept a publish for them
	callerGone   uint64 // unsettled when their connection ended
	repliesLost  uint64 // replies that the broker routed to no queue
	alreadyEnded uint64 // delivered again after they had ended, or after another message stood for them
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
	encoder.AddUint64("already_ended", c.alreadyEnded)
	return nil
}

// receive records a delivery as unsettled and submits it to the instance, unless it has ended before. It discards oversized
// messages and dead-letters those that can't be decoded.
func (f *Front) receive(s *session, e *event) {
	f.counts.received++
	m := &message{
		delivery:   e.delivery,
		tag:        e.delivery.DeliveryTag,
		queue:      &f.config.Queues[e.queue],
		receivedAt: e.receivedAt,
	}
	if f.unsettled[m.tag] != nil || len(f.unsettled) >= f.maxUnsettled() {
		f.controller.ProtocolViolated(f.now(), fmt.Sprintf("broker reused delivery tag %d or exceeded the limit of %d unsettled messages",
			m.tag, f.maxUnsettled()))
		return
	}
	f.unsettled[m.tag] = m
	f.controller.MessagesReceived(1)
	if s.socket.takeOversized(m.tag) {
		f.counts.unreadable++
		f.log.Warn("amqp: message body too large, discarded",
			zap.String("queue", m.queue.Name),
			zap.String("key", m.delivery.MessageId),
			zap.Int("max_body_bytes", f.config.MaxBodyBytes))
		f.settle(m, nackAndDiscard(m.tag))
		return
	}
	f.identify(m)
	if f.settleIfEnded(m) {
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

// admit decodes a message and submits it to the instance, under its delivery tag, which handleAnswer gets as the id.
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
