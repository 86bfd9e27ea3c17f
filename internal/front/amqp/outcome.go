package amqp

import (
	"fmt"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"

	"thymechute/internal/decide/intake"
	"thymechute/internal/node"
)

// Values of the outcome header of a reply.
const (
	replyServed = "fulfilled"
	replyFailed = "scrapped"
)

// Values of the reason header of dead letters and error replies.
const (
	reasonFailed      = "failed"
	reasonKeyConflict = "another message stands under the same key"
	reasonMayHaveRun  = "may have run already"
	reasonExpired     = "its patience is over"
)

// handleAnswer handles the instance's answer to a message. id is the decimal delivery tag on the session.
func (f *Front) handleAnswer(s *session, id node.MessageID, answer node.Answer) {
	tag, err := strconv.ParseUint(string(id), 10, 64)
	m := f.unsettled[tag]
	if err != nil || f.session != s || m == nil {
		return
	}
	switch answer.Status {
	case node.Served:
		f.counts.completed++
		f.replyAndAck(m, answer.Result)
	case node.Rejected:
		f.counts.rejected++
		m.retryAfter = answer.RetryAfter
		f.reject(m)
	case node.Failed:
		f.counts.failed++
		f.deadLetter(m, failureReason(answer.Cause))
	}
}

func failureReason(cause node.Cause) string {
	switch cause {
	case node.CauseKeyConflict:
		return reasonKeyConflict
	case node.CauseMayHaveRun:
		return reasonMayHaveRun
	}
	return reasonFailed
}

// replyAndAck acks a served message. If its sender wants a reply, the ack waits until the broker has confirmed the reply.
func (f *Front) replyAndAck(m *message, result []byte) {
	if m.delivery.ReplyTo == "" {
		f.settle(m, ack(m.tag))
		return
	}
	m.isReply = true
	f.publishBeforeSettling(m, "", m.delivery.ReplyTo, amqp.Publishing{
		CorrelationId: m.delivery.CorrelationId,
		Body:          result,
		Headers:       amqp.Table{outcomeHeader: replyServed},
	})
}

// reject requeues or dead-letters a message that the instance rejected.
//
// While the instance drains, the broker may deliver messages to it that it has just requeued. These are held in loopedBack until
// the consumers have ended, because they would otherwise be requeued and delivered in a loop.
func (f *Front) reject(m *message) {
	requeues := requeueCount(&m.delivery)
	switch {
	case m.isExpired():
		f.deadLetter(m, reasonExpired)
	case f.draining && !f.consumersStopped && m.delivery.Headers[drainingInstanceHeader] == f.name:
		f.loopedBack = append(f.loopedBack, m)
	case f.draining: // not counted, because another consumer may process the copy at once
		f.requeue(m, requeues)
	case requeues >= f.config.MaxReturns:
		f.deadLetter(m, fmt.Sprintf("turned back %d times", requeues+1))
	default:
		f.requeue(m, requeues+1)
	}
}

// requeue publishes a copy with the requeue count to the end of the message's queue, and settles the message once the copy is
// confirmed. A copy is not marked as redelivered, so its consumer knows that the message was not processed.
func (f *Front) requeue(m *message, requeues int) {
	m.outcome = intake.Requeued
	requeued := requeuedCopy(&m.delivery, requeues)
	if f.draining {
		requeued.Headers[drainingInstanceHeader] = f.name
	}
	f.publishBeforeSettling(m, "", m.queue.Name, requeued)
}

// deadLetter publishes a copy with the reason to the queue's configured dead-letter exchange, and settles the message once the
// copy is confirmed. If a reply is requested, it publishes an error reply first, without waiting for its confirm.
func (f *Front) deadLetter(m *message, reason string) {
	f.counts.deadLettered++
	if m.delivery.ReplyTo != "" {
		f.publishNumber++
		f.session.submit(publish(f.publishNumber, "", m.delivery.ReplyTo, amqp.Publishing{
			CorrelationId: m.delivery.CorrelationId,
			Headers:       amqp.Table{outcomeHeader: replyFailed, reasonHeader: reason},
		}))
	}
	f.publishBeforeSettling(m, m.queue.DeadLetterExchange, m.queue.DeadLetterRoutingKey, deadLetterCopy(&m.delivery, reason))
}

// publishBeforeSettling publishes a message that the broker has to confirm before m is settled.
func (f *Front) publishBeforeSettling(m *message, exchange, key string, publishing amqp.Publishing) {
	f.publishNumber++
	f.unconfirmed[f.publishNumber] = m
	f.controller.RequestSent(f.now())
	f.session.submit(publish(f.publishNumber, exchange, key, publishing))
}

// handleConfirm settles the message for which the confirmed publish was made. A reply that was routed to no queue is lost, as
// its caller is gone. After any other publish that failed or was routed to no queue, the message is returned to its queue, which
// redelivers it.
func (f *Front) handleConfirm(e *event) {
	m := f.unconfirmed[e.publishNumber]
	if m == nil {
		return
	}
	delete(f.unconfirmed, e.publishNumber)
	f.controller.ResponseReceived(f.now())
	switch {
	case e.isAcked && !m.isUnroutable:
		f.settle(m, ack(m.tag))
	case e.isAcked && m.isReply:
		f.counts.repliesLost++
		f.settle(m, ack(m.tag))
	default:
		f.counts.unpublished++
		f.log.Error("amqp: publish not accepted, message returned to its queue",
			zap.Bool("reply", m.isReply),
			zap.Bool("unroutable", m.isUnroutable),
			zap.String("queue", m.queue.Name),
			zap.String("dead_letter_exchange", m.queue.DeadLetterExchange))
		m.outcome = intake.PublishFailed
		f.settle(m, nackAndRequeue(m.tag))
	}
}

// settle submits the settlement of a message and removes it from the unsettled messages.
func (f *Front) settle(m *message, settlement command) {
	delete(f.unsettled, m.tag)
	f.session.submit(settlement)
	f.controller.MessageSettled(f.now(), m.outcome, time.Since(m.receivedAt), m.retryAfter)
	f.closeIfDrained()
}
